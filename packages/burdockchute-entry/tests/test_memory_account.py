"""Tests of the account of held bytes, and of which streams it stops."""

from __future__ import annotations

import unittest

from burdockchute.decisions.memory_budget import Level
from burdockchute.upstreams.connections import RECEIVE_BYTES
from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.memory_account import Use
from burdockchute_entry.straight.read_ahead import ReadAhead

BUDGET_BYTES = 100 * RECEIVE_BYTES


class MemoryAccountTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.closed_idle = 0
        self.account = MemoryAccount(
            lambda: self.now, BUDGET_BYTES, self._close_idle
        )
        self.holding = self.account.holding()

    def _close_idle(self):
        self.closed_idle += 1

    def _hold(self, share):
        change = int(share * BUDGET_BYTES) - self.account.held_bytes
        self.holding.take(Use.ANSWERS, max(0, change))
        self.holding.give_back(Use.ANSWERS, max(0, -change))

    def _stream(self):
        parts = (b'x' for _number in range(3))
        holding = self.account.holding()
        stream = ReadAhead(parts, holding, 'q', lambda: self.now)
        self.addCleanup(stream.close)
        return stream

    def _stopped(self, streams):
        return [not self.account.may_read_ahead(s, 0) for s in streams]

    def test_levels_are_reached_in_order(self):
        """New requests are refused before accepted ones lose anything."""
        self._hold(0.75)
        self.assertFalse(self.account.may_admit(0))
        self.assertTrue(self.account.keeps_idle)
        self._hold(0.82)
        self.assertFalse(self.account.keeps_idle)
        self.assertEqual(1, self.closed_idle)
        self.assertEqual([False], self._stopped([self._stream()]))
        self._hold(1.0)
        self.assertEqual([True], self._stopped([self._stream()]))
        self._hold(0.5)
        self.assertIs(Level.NORMAL, self.account.level)
        self.assertEqual(1, self.closed_idle)

    def test_the_stream_unread_for_the_longest_time_is_stopped_first(self):
        streams = []
        for now in (1.0, 2.0, 3.0):
            self.now = now
            streams.append(self._stream())
            self.account.readers.add(streams[-1])
        self._hold(0.85)
        self.assertEqual([True, False, False], self._stopped(streams))
        streams[0].on_sent(1)
        self.now += 1.0
        self.assertEqual([False, True, False], self._stopped(streams))

    def test_a_caller_that_kept_up_counts_as_having_read(self):
        """It was stopped first, as nothing had recorded its earlier reads."""
        stream = self._stream()
        self.now = 9.0
        stream.on_blocked(1)
        self.assertEqual(9.0, stream.read_at)

    def test_a_closed_holding_takes_nothing_more(self):
        """Greenlets of a request may run on for a moment after its end."""
        self._hold(0.1)
        self.holding.close()
        self.holding.take(Use.BODIES, 5)
        self.holding.give_back(Use.BODIES, 5)
        self.assertEqual(0, self.account.held_bytes)


if __name__ == '__main__':
    unittest.main()
