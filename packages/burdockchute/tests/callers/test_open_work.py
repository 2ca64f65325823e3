"""Tests of the account of what a process owes to its callers."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import OWED
from burdockchute.callers.open_work import Stage

CONNECTIONS = st.integers(0, 4)
STEPS = st.lists(
    st.tuples(CONNECTIONS, st.sampled_from(['open', 'close', *Stage]))
)


def play(steps):
    """Return the account after the steps and the stages it should hold."""
    work, expected = OpenWork(), {}
    for now, (conn, step) in enumerate(steps):
        if step == 'open':
            if conn not in expected:
                work.open(conn, now)
                expected[conn] = Stage.UNUSED
        elif step == 'close':
            work.close(conn)
            expected.pop(conn, None)
        else:
            work.move(conn, step, now)
            if conn in expected:
                expected[conn] = step
    return work, expected


class OpenWorkTest(unittest.TestCase):
    @given(STEPS)
    def test_counts_match_the_connections(self, steps):
        """A count that is too low lets the process exit too early."""
        work, expected = play(steps)
        stages = list(expected.values())
        for stage in Stage:
            self.assertEqual(stages.count(stage), work.count(stage))
            self.assertEqual(stages.count(stage), work.counts()[stage.value])
            self.assertCountEqual(
                [c for c, found in expected.items() if found is stage],
                work.connections(stage),
            )
        owed = sum(stage in OWED for stage in stages)
        self.assertEqual(owed, work.owed)
        self.assertEqual(bool(owed), work.owes_from_before(len(steps)))
        self.assertFalse(work.owes_from_before(0))
        self.assertEqual(not expected, work.is_empty())

    def test_a_request_begins_with_its_first_byte(self):
        """A caller may wait for long before its first request."""
        work = OpenWork()
        work.open('c', 1.0)
        self.assertEqual(0, work.owed)
        work.move('c', Stage.HEAD, 5.0)
        work.move('c', Stage.BODY, 6.0)
        work.move('c', Stage.RUNNING, 7.0)
        self.assertFalse(work.owes_from_before(5.0))
        self.assertTrue(work.owes_from_before(5.5))

    def test_an_answered_request_is_not_owed(self):
        work = OpenWork()
        work.open('c', 1.0)
        work.move('c', Stage.ANSWER, 2.0)
        self.assertEqual(1, work.owed)
        work.move('c', Stage.CLOSING, 3.0)
        self.assertEqual(0, work.owed)
        self.assertFalse(work.owes_from_before(9.0))
        self.assertFalse(work.is_empty())


if __name__ == '__main__':
    unittest.main()
