"""Upstreams that are blocked after a failure."""

from __future__ import annotations

import unittest

from burdockchute.decisions import health
from burdockchute.decisions.health import Health


class HealthTest(unittest.TestCase):
    def test_one_failure_blocks_for_a_short_time(self):
        failed = health.after_failure(Health(), 10.0)
        self.assertFalse(health.is_usable(failed, 10.1))
        self.assertTrue(health.is_usable(failed, 10.2))

    def test_a_crash_that_breaks_many_connections_counts_once(self):
        """An engine crashes with sixteen streams on it.

        If each counted, the block would be the longest at once, and an engine
        that is back within a second would get no work.
        """
        state = Health()
        for _stream in range(16):
            state = health.after_failure(state, 10.0)
        self.assertEqual(1, state.failures)

    def test_blocks_grow_and_are_bounded(self):
        state, now, blocks = Health(), 0.0, []
        for _failure in range(5):
            state = health.after_failure(state, now)
            blocks.append(round(state.blocked_until - now, 2))
            now = state.blocked_until
        self.assertEqual([0.2, 0.4, 0.8, 1.6, 1.6], blocks)

    def test_silence_counts_from_the_last_byte_or_the_request(self):
        self.assertFalse(health.is_silent(0.0, 10.0, 11.1))
        self.assertFalse(health.is_silent(10.5, 0.0, 11.6))
        self.assertTrue(health.is_silent(10.0, 10.0, 11.3))
