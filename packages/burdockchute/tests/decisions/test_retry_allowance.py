"""The retries of all entries stay within what operators allow."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions.retry_allowance import USED_SHARE
from tests.decisions import retry_simulation
from tests.decisions.retry_simulation import LeasingEntry
from tests.decisions.retry_simulation import Scene

SCENES = 60


class RetryAllowanceTest(unittest.TestCase):
    def test_no_starts_cuts_or_waves_exceed_the_allowed_retries(self):
        """Over all entries and in every window, whatever they know."""
        for seed in range(SCENES):
            rng = random.Random(seed)
            scene = retry_simulation.random_scene(rng)
            result = retry_simulation.run(scene, rng, LeasingEntry)
            with self.subTest(seed=seed, scene=scene):
                self.assertLessEqual(result.worst_share, USED_SHARE + 1e-9)

    def test_all_failures_are_retried_while_few_fail(self):
        """Less is leased than is needed where entries wait for a wave."""
        waves = [(30.0 + 10 * n, 30.5 + 10 * n, 1.0) for n in range(5)]
        for entries, per_s in ((6, 75.0), (6, 9.0), (14, 75.0)):
            scene = Scene(entries, per_s, 106.0, [], [], waves, [])
            result = retry_simulation.run(
                scene, random.Random(1), LeasingEntry
            )
            with self.subTest(entries=entries, per_s=per_s):
                self.assertEqual(result.failed, result.retries)
