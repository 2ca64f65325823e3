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

LIST_HANDLERS = """
import signal
from burdockchute_entry import main
for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
    print(getattr(signal.getsignal(number), '__name__', 'SIG_DFL'))
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

    def test_operators_commands_keep_the_default_actions_of_signals(self):
        """Ctrl-C and a closed terminal must end an operator's command."""
        found = subprocess.run(
            [sys.executable, '-c', LIST_HANDLERS, 'status'],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertEqual(
            ['default_int_handler', 'SIG_DFL', 'SIG_DFL'],
            found.stdout.split(),
        )
