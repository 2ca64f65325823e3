"""Callers that state less time left than others of their route."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import returning_callers


class ReturningCallersTest(unittest.TestCase):
    def test_callers_with_shorter_deadlines_are_new(self):
        """Callers of one route state times that differ by up to 15 in 100.

        When these counted as returning, six in ten of them waited behind all
        other requests from their first attempt on, and got only what was left
        of the engines.
        """
        rng = random.Random(1)
        for _caller in range(200):
            left_s = 6.0 * (1.0 - 0.15 * rng.random())
            self.assertEqual(0.0, returning_callers.elapsed_s(6.0, left_s))

    def test_a_retry_after_the_given_delay_is_recognised(self):
        """A retry after a shorter delay would wait among the new requests.

        It would always be late there.
        """
        for first_s in (6.0, 5.1):
            left_s = first_s - returning_callers.min_return_delay_s(first_s)
            self.assertGreater(
                returning_callers.elapsed_s(first_s, left_s), 0.0
            )


if __name__ == '__main__':
    unittest.main()
