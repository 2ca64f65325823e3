"""Limits of customers and the retry budget."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute.decisions import admission
from burdockchute.decisions import retries
from burdockchute.decisions.admission import RateLimit

ARRIVALS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 400)), max_size=60
)


class AdmissionTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(arrivals=ARRIVALS)
    def test_never_more_than_the_limit(self, arrivals):
        rate = RateLimit(requests_per_s=2, tokens_per_s=100, burst_s=3)
        now, taken, tokens_taken = 0.0, 0, 0
        bucket = admission.full_bucket(rate, now)
        for gap, tokens in arrivals:
            now += gap
            bucket, wait_s = admission.take(bucket, rate, tokens, now)
            if not wait_s:
                taken += 1
                tokens_taken += tokens
        self.assertLessEqual(taken, 2 * (now + 3) + 1e-6)
        # One request may exceed the bucket and leave a negative level.
        self.assertLessEqual(tokens_taken, 100 * (now + 3) + 400 + 1e-6)

    def test_reported_wait_is_enough(self):
        rate = RateLimit(requests_per_s=2, tokens_per_s=100, burst_s=1)
        bucket = admission.full_bucket(rate, 0.0)
        bucket, _wait_s = admission.take(bucket, rate, 100, 0.0)
        bucket, wait_s = admission.take(bucket, rate, 50, 0.0)
        self.assertAlmostEqual(0.5, wait_s)
        _bucket, again_s = admission.take(bucket, rate, 50, wait_s)
        self.assertEqual(0.0, again_s)

    def test_request_larger_than_the_bucket_passes_a_full_one(self):
        # A single large prompt, such as a book, may cost more than the burst
        # of the customer. It must not be refused forever.
        rate = RateLimit(requests_per_s=2, tokens_per_s=100, burst_s=1)
        bucket = admission.full_bucket(rate, 0.0)
        bucket, wait_s = admission.take(bucket, rate, 1000, 0.0)
        self.assertEqual(0.0, wait_s)
        _bucket, wait_s = admission.take(bucket, rate, 1, 0.0)
        self.assertAlmostEqual(9.01, wait_s)

    def test_retries_stay_within_their_share(self):
        budget = retries.full_budget(0.0)
        allowed = 0
        for number in range(5000):
            now = number / 1000
            budget = retries.earn(budget, now)
            budget, may = retries.spend(budget, now)
            allowed += may
        self.assertLessEqual(allowed, 0.1 * 5000)

    def test_budget_refills_without_traffic(self):
        budget = retries.Budget(0.0, 0.0)
        self.assertFalse(retries.spend(budget, 1.0)[1])
        self.assertTrue(
            retries.spend(budget, 2 * retries.REFILL_INTERVAL_S)[1]
        )
