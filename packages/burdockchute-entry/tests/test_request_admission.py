"""Tests of what an entry that shuts down still admits."""

from __future__ import annotations

import unittest

from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route
from burdockchute_entry.straight.request_admission import may_run
from burdockchute_entry.straight.request_admission import ShutdownState

SERVING = ShutdownState(False, True)
ACCEPTING = ShutdownState(True, True, exit_at=10.0)
REFUSING = ShutdownState(True, False, exit_at=10.0)


def route(kind=Kind.NON_IDEMPOTENT, objective_s=0.4):
    return Route(
        name='r-1',
        host='a.example',
        prefix='/',
        kind=kind,
        timeout_s=6.0,
        objective_s=objective_s,
        priority=1,
        shares=(),
        gap_s=0.0,
        resumable=False,
        max_attempts=1,
        anonymous=True,
    )


class MayRunTest(unittest.TestCase):
    def test_an_upload_received_late_runs_if_it_can_end(self):
        """A request that is cut off by the exit can't be repeated."""
        for now, objective_s, run_s, expected in (
            (8.7, 0.4, 1.0, True),
            (8.9, 0.4, 1.0, False),
            (8.9, 0.1, 1.0, True),
            (8.9, 0.1, 1.2, False),
            (1.1, 3.0, 1.0, False),
        ):
            with self.subTest(now=now, objective_s=objective_s, run_s=run_s):
                late = route(objective_s=objective_s)
                found = may_run(REFUSING, late, run_s, now)
                self.assertEqual(expected, found)

    def test_no_stream_begins_once_the_entry_refuses_requests(self):
        """A stream may be longer than the grace period, and would be cut."""
        stream = route(kind=Kind.STREAM)
        self.assertFalse(may_run(REFUSING, stream, 0.0, 0.0))
        self.assertTrue(may_run(ACCEPTING, stream, 0.0, 0.0))

    def test_an_entry_that_accepts_requests_runs_them(self):
        for state in (SERVING, ACCEPTING):
            self.assertTrue(may_run(state, route(), 0.0, 9.9))


if __name__ == '__main__':
    unittest.main()
