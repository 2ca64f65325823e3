"""Tests that the known evacuations follow the records of the store."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import evacuation
from burdockchute.model import known_state as state_updates
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import EvacuationRequested
from burdockchute.model.feeds import EvacuationRevoked
from burdockchute.model.feeds import UnreadableRecord
from burdockchute.model.known_state import KnownState
from burdockchute.model.positions import Position

# What a read has of a zone; damaged records change nothing.
REQUESTED, REVOKED, TORN = 'requested', 'revoked', 'torn'
READ = st.dictionaries(
    st.sampled_from(['north', 'south']),
    st.sampled_from([REQUESTED, REVOKED, TORN]),
)


def change(zone, word):
    if word == TORN:
        return UnreadableRecord('k', 'torn', zone)
    kinds = {REQUESTED: EvacuationRequested, REVOKED: EvacuationRevoked}
    return kinds[word](zone)


class EvacuatedZonesTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), READ), max_size=6))
    def test_any_reads(self, reads):
        """A mistake sends to a zone that is switched off, or starves one."""
        state, zones = KnownState(), set()
        for now, (complete, read) in enumerate(reads):
            changes = tuple(change(*item) for item in read.items())
            state, _logged = state_updates.apply_desired_state(
                state, Batch(Position(1, 1), complete, changes), False, now
            )
            kept = {z for z in zones if z in read or not complete}
            zones = {z for z in kept if read.get(z) != REVOKED}
            zones |= {z for z, word in read.items() if word == REQUESTED}
            self.assertEqual(zones, set(state.evacuated))

    def test_only_a_stream_that_outlasts_the_bound_moves(self):
        left_s = evacuation.left_s(10.0, 5.0, 14.0)
        self.assertFalse(evacuation.should_move(left_s, 0.9))
        self.assertTrue(evacuation.should_move(left_s, 1.1))
