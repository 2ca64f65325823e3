"""How long requests wait for a place."""

from __future__ import annotations

import unittest

from burdockchute.decisions import wait_limits


class PatienceTest(unittest.TestCase):
    def test_fresh_requests_wait_for_part_of_the_objective(self):
        self.assertEqual(0.25, wait_limits.on_time_wait_s(0.5, 0.0, 6.0))

    def test_a_caller_who_comes_back_late_is_not_fresh(self):
        self.assertEqual(0.0, wait_limits.on_time_wait_s(0.5, 0.4, 5.6))

    def test_a_route_without_objective_still_has_a_bound(self):
        self.assertEqual(1.0, wait_limits.on_time_wait_s(0.0, 0.0, 6.0))

    def test_the_late_wait_only_where_there_is_something_to_wait_for(self):
        """Fresh requests take all places for half a minute.

        Each late one would wait for two seconds to be refused, and have
        lost that time for another try.
        """
        self.assertTrue(wait_limits.may_wait_overdue(1, 0, 0.0))
        self.assertFalse(wait_limits.may_wait_overdue(2, 0, 0.0))
        self.assertTrue(wait_limits.may_wait_overdue(7, 8, 0.0))
        self.assertTrue(wait_limits.may_wait_overdue(7, 0, 12.5))

    def test_a_shortage_that_is_over_does_not_last_in_the_queue(self):
        """Engines that were away for two seconds are back.

        They carry the load and a third more.
        Who waits for seconds behind the fresh takes each place the moment it
        is free, so the next fresh one is late too, and so on for long after
        the engines are back.
        """
        backlog, per_s, carried_per_s = 160.0, 80.0, 107.0
        waits_s = wait_limits.overdue_wait_s(0.45, 6.0)
        left = min(backlog, per_s * waits_s)
        self.assertLess(left / (carried_per_s - per_s), 3.0)

    def test_nobody_waits_beyond_the_deadline(self):
        self.assertEqual(0.1, wait_limits.on_time_wait_s(0.5, 0.0, 0.1))
        self.assertEqual(0.0, wait_limits.overdue_wait_s(0.4, -1.0))
