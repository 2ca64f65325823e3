"""How long requests wait for a slot."""

from __future__ import annotations

import unittest

from burdockchute.decisions import wait_limits


class WaitLimitsTest(unittest.TestCase):
    def test_requests_on_time_wait_for_part_of_the_objective(self):
        self.assertEqual(0.25, wait_limits.on_time_wait_s(0.5, 0.0, 6.0))

    def test_a_late_retry_does_not_count_as_on_time(self):
        self.assertEqual(0.0, wait_limits.on_time_wait_s(0.5, 0.4, 5.6))

    def test_a_route_without_objective_still_has_a_bound(self):
        self.assertEqual(1.0, wait_limits.on_time_wait_s(0.0, 0.0, 6.0))

    def test_overdue_requests_wait_only_while_slots_become_free(self):
        """Requests on time take every slot for half a minute.

        Each overdue request would wait for two seconds to be refused, and lose
        that time for a retry.
        """
        self.assertTrue(wait_limits.may_wait_overdue(1, 0, 0.0))
        self.assertFalse(wait_limits.may_wait_overdue(2, 0, 0.0))
        self.assertTrue(wait_limits.may_wait_overdue(7, 8, 0.0))
        self.assertTrue(wait_limits.may_wait_overdue(7, 0, 12.5))

    def test_a_shortage_that_is_over_does_not_last_in_the_queue(self):
        """Engines that were away for two seconds are back.

        They carry the load and a third more. Overdue requests that wait for
        seconds take each slot the moment it is free, so the next request on
        time becomes overdue too, for long after the engines are back.
        """
        backlog, per_s, carried_per_s = 160.0, 80.0, 107.0
        waits_s = wait_limits.overdue_wait_s(0.45, 6.0)
        left = min(backlog, per_s * waits_s)
        self.assertLess(left / (carried_per_s - per_s), 3.0)

    def test_no_wait_exceeds_the_deadline(self):
        self.assertEqual(0.1, wait_limits.on_time_wait_s(0.5, 0.0, 0.1))
        self.assertEqual(0.0, wait_limits.overdue_wait_s(0.4, -1.0))
