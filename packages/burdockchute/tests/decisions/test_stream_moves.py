"""Streams that are resumed elsewhere so that an engine can load."""

from __future__ import annotations

import unittest

from burdockchute.decisions import stream_moves


class StreamMovesTest(unittest.TestCase):
    def test_a_long_remainder_moves_from_a_closed_engine(self):
        """One long answer keeps an engine from loading for two seconds.

        Requests of that time would find half of the engines closed.
        """
        self.assertTrue(stream_moves.should_move(0.5, 1.5, 0.4, 1))

    def test_a_short_remainder_stays(self):
        self.assertFalse(stream_moves.should_move(0.5, 0.2, 0.4, 1))

    def test_nothing_moves_from_an_open_engine(self):
        self.assertFalse(stream_moves.should_move(None, 1.5, 0.4, 1))
        self.assertFalse(stream_moves.should_move(0.2, 1.5, 0.4, 1))

    def test_a_stream_moves_once(self):
        self.assertFalse(stream_moves.should_move(0.5, 1.5, 0.4, 2))

    def test_an_answer_longer_than_estimated_still_has_a_remainder(self):
        self.assertAlmostEqual(0.6, stream_moves.remainder_s(2.0, 1.2))
        self.assertEqual(0.0, stream_moves.remainder_s(2.0, 0.0))
