"""Retry budgets of one entry: what it earns and what it leases."""

from __future__ import annotations

import unittest

from burdockchute.model.machines import Bounds
from burdockchute_entry.straight.retry_budgets import RetryBudgets

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 106.0)


def budgets_with(leases: int, extra: float = 106.0) -> RetryBudgets:
    budgets = RetryBudgets(lambda: BOUNDS._replace(retry_extra=extra))
    budgets.own_leases.grant({'drafts': leases, 'desk': leases}, 0.0)
    return budgets


class RetryBudgetsTest(unittest.TestCase):
    def test_all_entries_together_stay_within_the_allowed_retries(self):
        """All engines fail, and six entries retry as often as they may.

        If each entry made all retries that operators allow, recovering
        engines would get six times as many and fail again.
        """
        entries = [budgets_with(2) for _ in range(6)]
        times = []
        for step in range(4000):
            now = step / 100
            for budgets in entries:
                if step % 1000 == 0:
                    budgets.own_leases.grant({'drafts': 2}, now)
                if step % 8 == 0:
                    budgets.record_first_attempt('drafts', now)
                if budgets.take('drafts', now):
                    times.append(now)
        firsts_in_window = 6 * 10 * 100 / 8
        allowed = 0.2 * firsts_in_window + 106
        max_in_window = max(sum(t <= s < t + 10 for s in times) for t in times)
        self.assertLessEqual(max_in_window, allowed)
        self.assertGreater(max_in_window, allowed / 3)

    def test_an_entry_without_leases_retries_what_its_requests_earn(self):
        """Each entry had a full burst, however many there were."""
        budgets = budgets_with(0)
        self.assertFalse(budgets.take('drafts', 0.0))
        for _ in range(13):
            budgets.record_first_attempt('drafts', 0.0)
        self.assertTrue(budgets.take('drafts', 0.0))
        self.assertFalse(budgets.take('drafts', 0.0))

    def test_a_retry_that_waited_for_a_slot_counts_when_it_is_sent(self):
        """Those of two windows reached an upstream within one."""
        budgets = budgets_with(1)
        while budgets.take('drafts', 0.0, resuming=True):
            budgets.mark_sent('drafts', 0.0, 9.0)
        self.assertFalse(budgets.take('drafts', 11.0, resuming=True))
        self.assertTrue(budgets.take('drafts', 19.5, resuming=True))

    def test_services_have_budgets_of_their_own(self):
        budgets = budgets_with(1)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('desk', 0.0))

    def test_new_requests_leave_retries_for_resumed_streams(self):
        """A crash fails new requests and breaks off streams at once.

        The first requests used up the budget, and callers of interrupted
        streams lost the remainder of their answers.
        """
        budgets = budgets_with(1)
        while budgets.take('drafts', 0.0):
            pass
        self.assertTrue(budgets.take('drafts', 0.0, resuming=True))

    def test_an_entry_with_one_retry_may_use_it_for_new_requests(self):
        budgets = budgets_with(1, extra=10.0)
        self.assertTrue(budgets.take('drafts', 0.0))
        self.assertFalse(budgets.take('drafts', 0.0, resuming=True))

    def test_a_small_reserve_is_a_whole_retry(self):
        """A crash used the retries, and new requests came before streams.

        New requests left less than one retry, which is not enough to resume
        a stream.
        """
        budgets = budgets_with(1)
        while budgets.take('drafts', 0.0, resuming=True):
            pass
        while budgets.take('drafts', 10.5):
            pass
        self.assertTrue(budgets.take('drafts', 10.5, resuming=True))
