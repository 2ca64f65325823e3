"""Log lines: one for each event, key=value."""

from __future__ import annotations

import contextlib
import io
import logging
import unittest

from burdockchute import logs


class LogsTest(unittest.TestCase):
    def test_event_is_one_line_of_pairs(self):
        stderr = io.StringIO()
        log = logging.getLogger('burdockchute')
        handlers = list(log.handlers)
        with contextlib.redirect_stderr(stderr):
            logs.set_up('info', 'entry-1')
            self.addCleanup(setattr, log, 'handlers', handlers)
            logging.disable(logging.NOTSET)
            self.addCleanup(logging.disable, logging.CRITICAL)
            logs.event('table_applied', offset=3, reason='two\nlines')
        line = stderr.getvalue()
        self.assertEqual(1, line.count('\n'))
        _at, rest = line.split(' level=', 1)
        self.assertEqual(
            'INFO event=table_applied offset=3 '
            'reason="two\\nlines" proc=entry-1\n',
            rest,
        )
