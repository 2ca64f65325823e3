"""What a process imports that serves."""

from __future__ import annotations

import subprocess
import sys
import unittest

LIST_OPERATORS_MODULES = """
import sys
from burdockchute_entry import main
import burdockchute_entry.straight.app
main._parse(['serve-site', '--platform', 'fleet'])
print([n for n in sys.modules if n.startswith('burdockchute.operators')])
"""


class MainTest(unittest.TestCase):
    def test_a_process_that_serves_imports_no_operators_commands(self):
        """Each of dozens of processes would pay for them at each start."""
        found = subprocess.run(
            [sys.executable, '-c', LIST_OPERATORS_MODULES],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertEqual('[]', found.stdout.strip())
