"""Retry budgets that entries share without communication."""

from __future__ import annotations

import unittest

from burdockchute.model.machines import Bounds
from burdockchute_entry.straight.retry_budgets import RetryBudgets

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 106.0)


class RetryBudgetsTest(unittest.TestCase):
    def test_all_entries_together_stay_within_the_allowed_retries(self):
        """All engines fail, and six entries retry as often as they may.

        If each entry made all retries that operators allow, recovering
        engines would get six times as many and fail again.
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
        max_in_window = max(sum(t <= s < t + 10 for s in times) for t in times)
        self.assertLessEqual(max_in_window, allowed)
        self.assertGreater(max_in_window, allowed / 3)

    def test_services_have_budgets_of_their_own(self):
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 6)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('desk', 0.0))

    def test_new_requests_leave_retries_for_resumed_streams(self):
        """A crash fails new requests and breaks off streams at once.

        The first requests used up the budget, and callers of interrupted
        streams lost the remainder of their answers.
        """
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 6)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('drafts', 0.0, resuming=True))

    def test_one_of_many_entries_may_still_retry_new_requests(self):
        """With many entries, each has one retry at a time."""
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 400)
        self.assertTrue(budgets.take('drafts', 0.0))
        self.assertFalse(budgets.take('drafts', 0.0, resuming=True))

    def test_a_small_reserve_is_a_whole_retry(self):
        """Fourteen entries share the retries, and a crash used some of them.

        New requests left less than one retry, which is not enough to resume
        a stream.
        """
        budgets = RetryBudgets(lambda: BOUNDS, lambda: 14)
        while budgets.take('drafts', 0.0, resuming=True):
            pass
        while budgets.take('drafts', 6.0):
            pass
        self.assertTrue(budgets.take('drafts', 6.0, resuming=True))
