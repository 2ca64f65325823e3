"""Tests of the memory account, without a network and in simulated time."""

from __future__ import annotations

import random
import unittest

from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.memory_account import Use
from burdockchute_entry.straight.read_ahead import ReadAhead

STEP_S = 0.05
ARRIVALS_S = 30.0
REQUESTS_PER_S = 60
BUDGET_BYTES = 40_000_000
MAX_BODY_BYTES = 500_000

STREAM_BYTES = 400_000
STREAM_BYTES_PER_S = 100_000
SLOW_SHARE = 0.5
MAX_PAUSE_S = 20.0


class Request:
    """A stream whose caller reads nothing until `reads_from`.

    `left` are the bytes that its upstream has not been able to send.
    """

    def __init__(self, account, body, now, pause_s) -> None:
        self.read_at = now
        self.reads_from = now + pause_s
        self.left = STREAM_BYTES
        self.buffered = 0
        self._account = account
        self._holding = account.holding()
        self._holding.take(Use.BODIES, body)

    def wake(self) -> None:
        pass

    def step(self, now) -> bool:
        """Pass on the bytes of one step; true at the end."""
        part = min(self.left, int(STREAM_BYTES_PER_S * STEP_S))
        if now >= self.reads_from:
            self.read_at = now
            self._holding.give_back(Use.EVENTS, self.buffered)
            self.buffered = 0
            self._account.readers.discard(self)
            self.left -= part
        else:
            self._account.readers.add(self)
            if self._account.may_read_ahead(self, self.buffered):
                self.left -= part
                self.buffered += part
                self._holding.take(Use.EVENTS, part)
        if self.left or self.buffered:
            return False
        self._holding.close()
        return True


class Load:
    """Slow readers and large bodies at an entry.

    `refused` and `answered` count its requests.
    """

    def __init__(self, budget_bytes) -> None:
        self.now = 0.0
        self.refused = self.answered = 0
        self.account = MemoryAccount(lambda: self.now, budget_bytes)
        self._open: list[Request] = []
        self._rng = random.Random(1)

    def run(self) -> None:
        """Play the load until all accepted requests have ended."""
        while self.now < ARRIVALS_S or self._open:
            if self.now < ARRIVALS_S:
                for _number in range(int(REQUESTS_PER_S * STEP_S)):
                    self._arrive()
            before = len(self._open)
            self._open = [r for r in self._open if not r.step(self.now)]
            self.answered += before - len(self._open)
            self.now += STEP_S

    def _arrive(self) -> None:
        rng = self._rng
        body = rng.choice((5_000, 5_000, 5_000, MAX_BODY_BYTES))
        slow = rng.random() < SLOW_SHARE
        pause_s = rng.uniform(0.0, MAX_PAUSE_S) if slow else 0.0
        if not self.account.may_admit(body):
            self.refused += 1
            return
        self._open.append(Request(self.account, body, self.now, pause_s))


class MemoryLoadTest(unittest.TestCase):
    """Guards against a process that is killed for its memory."""

    def test_the_budget_is_kept_and_accepted_requests_are_answered(self):
        load = Load(BUDGET_BYTES)
        load.run()
        self.assertLessEqual(load.account.max_held_bytes, BUDGET_BYTES)
        offered = int(ARRIVALS_S * REQUESTS_PER_S)
        self.assertEqual(offered, load.answered + load.refused)
        self.assertGreater(load.refused, 0)
        self.assertGreater(load.answered, offered / 5)
        self.assertEqual(0, load.account.held_bytes)

    def test_without_a_budget_it_is_exceeded(self):
        load = Load(None)
        load.run()
        self.assertGreater(load.account.max_held_bytes, 1.5 * BUDGET_BYTES)
        self.assertEqual(0, load.refused)
        self.assertEqual(0, load.account.held_bytes)


class StoppedStreamsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.account = MemoryAccount(lambda: self.now, BUDGET_BYTES)

    def _stream(self):
        parts = (b'x' for _number in range(3))
        holding = self.account.holding()
        stream = ReadAhead(parts, holding, 'q', lambda: self.now)
        self.addCleanup(stream.close)
        return stream

    def _stopped(self, streams):
        return [not self.account.may_read_ahead(s, 0) for s in streams]

    def test_the_stream_unread_for_the_longest_time_is_stopped_first(self):
        streams = []
        for now in (1.0, 2.0, 3.0):
            self.now = now
            streams.append(self._stream())
            self.account.readers.add(streams[-1])
        held = int(0.85 * BUDGET_BYTES)
        self.account.holding().take(Use.ANSWERS, held)
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


if __name__ == '__main__':
    unittest.main()
