"""Detection of overload, and the retry delay during one."""

from __future__ import annotations

import unittest

from burdockchute.decisions import overload
from burdockchute.decisions.overload import OverloadDetector


class OverloadTest(unittest.TestCase):
    def record(self, state, now, missed, count):
        for _request in range(count):
            state.record(missed, now)

    def test_a_few_misses_are_no_overload(self):
        """A crashed engine makes only the requests on it late."""
        state = OverloadDetector()
        self.record(state, 1.0, True, 3)
        self.record(state, 1.2, False, 30)
        self.assertIsNone(state.duration_s(1.3))
        self.assertEqual(0.0, state.overdue_reserve(1.3))

    def test_it_lasts_while_new_requests_miss(self):
        """The retry delay for refused callers follows from its duration."""
        state = OverloadDetector()
        for tenth in range(10, 60):
            self.record(state, tenth / 10, tenth % 3 == 0, 3)
        started = 5.9 - state.duration_s(5.9)
        self.assertLess(started, 1.7)
        self.assertEqual(overload.OVERDUE_RESERVE, state.overdue_reserve(5.9))

    def test_it_ends_when_new_requests_are_on_time(self):
        """A reserve that stays would be lost to the overdue requests."""
        state = OverloadDetector()
        self.record(state, 1.0, True, 20)
        self.assertIsNotNone(state.duration_s(1.1))
        self.assertIsNone(state.duration_s(1.1 + overload.WINDOW_S))

    def test_retry_leaves_time_for_the_answer(self):
        """An answer takes a second; a retry within the last second is lost."""
        self.assertEqual(2.0, overload.retry_delay_s(0.5, 30.0, 2.0))


if __name__ == '__main__':
    unittest.main()
