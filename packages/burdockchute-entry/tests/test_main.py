"""The command line, and what a process imports that serves."""

from __future__ import annotations

import contextlib
import io
import subprocess
import sys
import unittest
from unittest import mock

from burdockchute import commands
from burdockchute_entry import main
from burdockchute_entry import operator_commands

LIST_OPERATORS_MODULES = """
import sys
from burdockchute_entry import main
import burdockchute_entry.straight.app
main._parse(['serve-site', '--platform', 'fleet'])
print([n for n in sys.modules if n.startswith('burdockchute.operators')])
"""


def printed_by(*argv):
    """Return what a command line that is not valid prints."""
    output = io.StringIO()
    with contextlib.redirect_stderr(output), contextlib.suppress(SystemExit):
        main.main(list(argv))
    return output.getvalue()


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

    def test_every_command_is_handled(self):
        parser = main._parser(True)
        (subparsers,) = parser._subparsers._group_actions
        handled = set(main.PROCESS_COMMANDS)
        for name in set(subparsers.choices) - handled:
            with (
                self.subTest(name),
                mock.patch.object(
                    operator_commands, 'run', autospec=True, return_value=7
                ),
                mock.patch.object(
                    main,
                    '_parse',
                    autospec=True,
                    return_value=mock.Mock(command=name),
                ),
            ):
                self.assertEqual(7, main.main([name]))
        self.assertLess(handled, set(subparsers.choices))

    def test_process_commands_need_no_other_commands(self):
        with mock.patch.object(
            commands, 'check_site', autospec=True, return_value=5
        ) as check:
            argv = ['check-site', '--settings', 'x.json']
            self.assertEqual(5, main.main(argv))
        self.assertEqual('x.json', check.call_args.args[0].settings)

    def test_usage_lists_every_command(self):
        for argv in (('serve-site', 'rest'), ('serve-site', '--no-such')):
            with self.subTest(argv):
                self.assertIn('manifest', printed_by(*argv))
