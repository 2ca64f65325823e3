"""Streams that go on elsewhere so that an engine can load."""

from __future__ import annotations

import unittest

from burdockchute.decisions import stream_moves


class MovingTest(unittest.TestCase):
    def test_a_long_rest_leaves_an_engine_that_waits_to_load(self):
        """One long page keeps an engine from loading for two seconds.

        Callers of that time would find half of the engines closed.
        """
        self.assertTrue(stream_moves.should_move(0.5, 1.5, 0.4, 1))

    def test_what_ends_soon_stays(self):
        self.assertFalse(stream_moves.should_move(0.5, 0.2, 0.4, 1))

    def test_nothing_moves_from_an_engine_that_works_on(self):
        self.assertFalse(stream_moves.should_move(None, 1.5, 0.4, 1))
        self.assertFalse(stream_moves.should_move(0.2, 1.5, 0.4, 1))

    def test_a_stream_moves_once(self):
        self.assertFalse(stream_moves.should_move(0.5, 1.5, 0.4, 2))

    def test_an_answer_that_has_outgrown_its_estimate_goes_on(self):
        self.assertAlmostEqual(0.6, stream_moves.remainder_s(2.0, 1.2))
        self.assertEqual(0.0, stream_moves.remainder_s(2.0, 0.0))
