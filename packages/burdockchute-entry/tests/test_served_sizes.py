"""Served shares of large requests while there are more than can be carried.

Each test simulates entries and engines with their own clock, so that the
figures are the same in every run.
"""

from __future__ import annotations

import unittest

from burdockchute_testing.emulator import deployments
from burdockchute_testing.emulator.site import Site

# Each size class of a route is served at least this many times as often as all
# its requests.
MIN_RATIO = 0.8

# Announced lengths of answers are off by this much, as on the platform.
HINT_SPREAD = 0.5

# Shares are counted from when the queues are full.
FIRST_S, LAST_S = 6.0, 60.0


def overloaded_site(rate: float, seed: int) -> Site:
    """Return a site after a load of `rate` requests a second and engine."""
    small = deployments.small(engines=12)
    deployment = small._replace(
        shapes=tuple(
            shape._replace(hint_spread=HINT_SPREAD) for shape in small.shapes
        )
    )
    site = Site(deployment, lambda now: rate * deployment.engines, seed)
    site.open_engines(range(deployment.engines))
    site.run(LAST_S)
    return site


class ServedSizesTest(unittest.TestCase):
    def test_large_requests_are_not_left_unserved_in_lasting_overload(self):
        """Shorter prompts took every slot before a long one could start.

        The engines carry ten requests a second each.
        """
        for rate in (11.0, 15.0, 25.0):
            site = overloaded_site(rate, seed=1)
            for number, shares in enumerate(
                site.served_shares(FIRST_S, LAST_S - 2.0)
            ):
                for measure, served in shares.items():
                    with self.subTest(rate=rate, route=number, by=measure):
                        self.assertLess(served.all, 0.9)
                        bound = MIN_RATIO * served.all
                        self.assertGreaterEqual(served.tenth, bound)
                        self.assertGreaterEqual(served.fifth, bound)
