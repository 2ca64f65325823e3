"""Callers who name less time than others of their route."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import returning_callers


class ReturnsTest(unittest.TestCase):
    def test_callers_of_less_patience_are_new(self):
        """Callers name up to 15 in 100 less than the most patient.

        Taken for returned, six in ten of them waited behind all others from
        their first sending on, and got what was left of the engines.
        """
        rng = random.Random(1)
        for _caller in range(200):
            left_s = 6.0 * (1.0 - 0.15 * rng.random())
            self.assertEqual(0.0, returning_callers.elapsed_s(6.0, left_s))

    def test_who_returns_as_told_is_known(self):
        """One told of less would wait among the new ones, always late."""
        for first_s in (6.0, 5.1):
            left_s = first_s - returning_callers.min_return_delay_s(first_s)
            self.assertGreater(
                returning_callers.elapsed_s(first_s, left_s), 0.0
            )


if __name__ == '__main__':
    unittest.main()
