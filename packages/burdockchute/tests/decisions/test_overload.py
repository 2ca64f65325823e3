"""When a service is overloaded, and what callers are told then."""

from __future__ import annotations

import unittest

from burdockchute.decisions import overload
from burdockchute.decisions.overload import OverloadDetector


class OverloadTest(unittest.TestCase):
    def note(self, state, now, missed, count):
        for _request in range(count):
            state.record(missed, now)

    def test_a_few_that_miss_are_no_overload(self):
        """An engine that crashes makes its own callers late."""
        state = OverloadDetector()
        self.note(state, 1.0, True, 3)
        self.note(state, 1.2, False, 30)
        self.assertIsNone(state.duration_s(1.3))
        self.assertEqual(0.0, state.overdue_reserve(1.3))

    def test_it_lasts_as_long_as_new_callers_miss(self):
        """Its length is what callers are told to stay away for."""
        state = OverloadDetector()
        for tenth in range(10, 60):
            self.note(state, tenth / 10, tenth % 3 == 0, 3)
        began = 5.9 - state.duration_s(5.9)
        self.assertLess(began, 1.7)
        self.assertEqual(overload.OVERDUE_RESERVE, state.overdue_reserve(5.9))

    def test_it_is_over_when_new_callers_are_on_time(self):
        """A reserve that stays would be lost to those who wait."""
        state = OverloadDetector()
        self.note(state, 1.0, True, 20)
        self.assertIsNotNone(state.duration_s(1.1))
        self.assertIsNone(state.duration_s(1.1 + overload.WINDOW_S))

    def test_nobody_is_told_to_come_when_it_is_too_late(self):
        """An answer takes a second; who returns after that gets none."""
        self.assertEqual(2.0, overload.retry_delay_s(0.5, 30.0, 2.0))


if __name__ == '__main__':
    unittest.main()
