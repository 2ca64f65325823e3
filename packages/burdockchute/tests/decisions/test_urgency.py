"""How priorities share the engines of a service."""

from __future__ import annotations

import unittest

from burdockchute.decisions import urgency
from burdockchute.decisions.urgency import UrgencyState


class UrgencyStateTest(unittest.TestCase):
    def setUp(self):
        self.state = UrgencyState()

    def test_priorities_without_requests_are_forgotten(self):
        """One urgent request would otherwise reserve slots for ever."""
        self.state.record_arrival(0, 0.0)
        self.state.record_arrival(-2, 1.0)
        self.assertTrue(self.state.is_mixed)
        self.state.record_arrival(-2, urgency.PRIORITY_VALID_S + 0.5)
        self.assertFalse(self.state.is_mixed)

    def test_slots_are_reserved_only_while_urgent_work_needs_them(self):
        """A reserve without need leaves slots empty."""
        for _number in range(5):
            self.state.record_arrival(0, 0.0)
            self.state.record_arrival(-1, 0.0)
        self.assertEqual(0.0, self.state.rate_above(-1, 1.0))
        self.state.record_pressure(0, 1.0)
        self.assertEqual(5 / urgency.WINDOW_S, self.state.rate_above(-1, 1.0))
        self.assertEqual(0.0, self.state.rate_above(0, 1.0))
        later = 1.1 + urgency.WINDOW_S
        self.assertEqual(0.0, self.state.rate_above(-1, later))

    def test_least_urgent_work_is_due_until_it_has_its_share(self):
        """A steady load of urgent work starved the least urgent kind."""
        self.state.record_arrival(0, 0.0)
        self.state.record_arrival(-2, 0.0)
        for _number in range(10):
            self.state.record_start(0, 0.0)
        self.assertTrue(self.state.is_due(-2, 0.0))
        self.assertFalse(self.state.is_due(0, 0.0))
        self.state.record_start(-2, 0.0)
        self.state.record_start(-2, 0.0)
        self.assertFalse(self.state.is_due(-2, 0.0))


if __name__ == '__main__':
    unittest.main()
