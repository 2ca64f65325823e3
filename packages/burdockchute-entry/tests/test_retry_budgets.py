"""Retries that entries share without talking to each other."""

from __future__ import annotations

import unittest

from burdockchute.model.machines import Bounds
from burdockchute_entry.straight.retry_budgets import RetryBudgets

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 106.0)


class RetryBudgetsTest(unittest.TestCase):
    def test_all_entries_together_stay_within_what_is_allowed(self):
        """All engines fail, and six entries retry whatever they may.

        If each took all that operators allow, the engines that come back
        would meet six times as many retries and fail again.
        """
        entries = [RetryBudgets(lambda: BOUNDS, lambda: 6) for _ in range(6)]
        times = []
        for step in range(4000):
            now = step / 100
            for budgets in entries:
                if step % 8 == 0:
                    budgets.record_first_attempt('drafts', now)
                if budgets.take('drafts', now):
                    times.append(now)
        firsts_in_window = 6 * 10 * 100 / 8
        allowed = 0.2 * firsts_in_window + 106
        most = max(sum(t <= s < t + 10 for s in times) for t in times)
        self.assertLessEqual(most, allowed)
        self.assertGreater(most, allowed / 3)

    def test_services_have_budgets_of_their_own(self):
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 6)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('desk', 0.0))

    def test_new_requests_leave_retries_for_begun_streams(self):
        """A crash fails new requests and breaks off streams at once.

        Whoever asked first took all, and callers lost the rest of an answer.
        """
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 6)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('drafts', 0.0, resuming=True))

    def test_one_of_many_entries_may_still_retry_new_requests(self):
        """So many entries share the retries that each has one at a time."""
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 400)
        self.assertTrue(budgets.take('drafts', 0.0))
        self.assertFalse(budgets.take('drafts', 0.0, resuming=True))

    def test_a_small_share_is_kept_whole_for_begun_streams(self):
        """Fourteen entries share the retries, and a crash used some up.

        New requests left less than one retry, with which a stream that has
        begun can do nothing.
        """
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 14)
        while budgets.take('drafts', 0.0, resuming=True):
            pass
        while budgets.take('drafts', 6.0):
            pass
        self.assertTrue(budgets.take('drafts', 6.0, resuming=True))
