"""How the entries divide a customer's limit."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute.decisions import limits
from burdockchute.decisions.admission import RateLimit
from burdockchute.decisions.limits import Share

LIMIT = RateLimit(10.0, 1000.0, 2.0)
DEMANDS = st.dictionaries(
    st.sampled_from('abcdef'), st.floats(0, 1e6), min_size=1
)


class LimitsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(limit=st.floats(0, 1e6), demands=DEMANDS)
    def test_parts_add_up_to_the_limit(self, limit, demands):
        parts = limits.divide(limit, demands, len(demands))
        self.assertEqual(set(demands), set(parts))
        self.assertAlmostEqual(limit, sum(parts.values()), delta=1e-3)

    @settings(derandomize=True, deadline=None)
    @given(limit=st.floats(0, 1e6), demands=DEMANDS)
    def test_demand_below_an_even_part_is_met_fully(self, limit, demands):
        parts = limits.divide(limit, demands, len(demands))
        even = limit / len(demands)
        for entry, demand in demands.items():
            if demand <= even:
                self.assertGreaterEqual(parts[entry], demand - 1e-6)

    def test_parts_of_entries_without_demand_are_reassigned(self):
        self.assertEqual(
            {'a': 10.0}, limits.divide(10.0, {'a': 50.0}, entries=4)
        )

    def test_share_that_is_not_renewed_fades_to_an_even_part(self):
        # Two regions lose contact for an hour. The shares that one side was
        # assigned must not stay in force there all that time.
        share = Share(9.0, 900.0, 100.0)
        rates = [
            limits.rate_at(LIMIT, share, 5, 100.0 + age).requests_per_s
            for age in (0.0, 3.0, 4.5, 6.0, 3600.0)
        ]
        self.assertEqual([9.0, 9.0, 5.5, 2.0, 2.0], rates)
