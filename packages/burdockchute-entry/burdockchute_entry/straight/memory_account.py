"""The account of the bytes that an entry holds for callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable
import enum
import functools
from typing import Any
from typing import Protocol

from burdockchute import logs
from burdockchute import metrics
from burdockchute.decisions import memory_budget
from burdockchute.decisions.memory_budget import Level
from burdockchute.decisions.memory_budget import Readiness
from burdockchute.upstreams.connections import RECEIVE_BYTES

# Interval at which it is decided again which streams are not read ahead.
STOP_PERIOD_S = 0.1


class Use(enum.Enum):
    """What bytes are held for.

    BODIES are bodies of requests and the copies that are being sent, ANSWERS
    are whole answers until they are written, and EVENTS are events of
    streams that the caller has not read.
    """

    BODIES = 'bodies'
    ANSWERS = 'answers'
    EVENTS = 'events'


class Reader(Protocol):
    """A stream that is read ahead of its caller.

    `read_at` is when the caller last read something; `wake` makes the reader
    ask again whether it may read.
    """

    read_at: float

    def wake(self) -> None: ...


class MemoryAccount:
    """Counts the held bytes and decides what follows from their number.

    Without a budget the bytes are only counted: nothing is refused and no
    stream is read ahead. `close_idle` closes idle connections to upstreams.
    """

    def __init__(
        self,
        now: Callable[[], float],
        budget_bytes: int | None = None,
        close_idle: Callable[[], None] = lambda: None,
    ) -> None:
        self.budget_bytes = budget_bytes
        self.held_bytes = 0
        self.held_by_use = dict.fromkeys(Use, 0)
        self.max_held_bytes = 0
        # Requests for which bytes of an answer are held.
        self.answer_count = 0
        self.level = Level.NORMAL
        self.readers: set[Reader] = set()
        self._now = now
        self._close_idle = close_idle
        self._readiness = Readiness()
        self._stop_before = float('-inf')
        self._stop_decided_at = float('-inf')

    def holding(self) -> Holding:
        """Return the holding of one more request."""
        return Holding(self)

    def change(self, use: Use, count: int) -> None:
        """Add `count` bytes, which is negative if they are given back."""
        self.held_bytes += count
        self.held_by_use[use] += count
        if self.held_bytes > self.max_held_bytes:
            self.max_held_bytes = self.held_bytes
        if self.budget_bytes is not None:
            self._update_level(self.budget_bytes)

    def may_admit(self, more: int) -> bool:
        """Whether a request that takes `more` bytes is accepted."""
        return self.budget_bytes is None or memory_budget.may_admit(
            self.level, self.held_bytes, more, self.budget_bytes
        )

    def must_end_answer(self, size: int) -> bool:
        """Whether an answer is received no further, as the budget is used up.

        These are the ones of at least the mean size, so the longest is always
        among them.
        """
        return self.budget_bytes is not None and memory_budget.must_end_answer(
            size,
            self.held_by_use[Use.ANSWERS],
            self.answer_count,
            self.held_bytes,
            self.budget_bytes,
        )

    @property
    def keeps_idle(self) -> bool:
        """Whether connections to upstreams are kept for reuse."""
        return self.level < Level.CLOSING_IDLE

    def may_read_ahead(self, reader: Reader, buffered: int) -> bool:
        """Whether a stream with so many buffered bytes is read further."""
        budget = self.budget_bytes
        if budget is None or not memory_budget.may_read_ahead(
            buffered, budget
        ):
            return False
        expected = self.held_bytes + len(self.readers) * RECEIVE_BYTES
        if not memory_budget.must_stop_some(expected, budget):
            return True
        if expected >= budget:
            return False
        now = self._now()
        if now - self._stop_decided_at >= STOP_PERIOD_S:
            self._stop_decided_at = now
            self._stop_before = memory_budget.stop_before(
                (other.read_at for other in self.readers),
                expected,
                budget,
            )
        return reader.read_at >= self._stop_before

    def is_ready(self) -> bool:
        """Whether callers should be sent here, as far as memory goes."""
        self._readiness = memory_budget.next_readiness(
            self._readiness, self.level >= Level.REFUSING, self._now()
        )
        return self._readiness.ready

    def status(self) -> dict[str, Any]:
        """Return its numbers for the status document."""
        return {
            'budget': self.budget_bytes,
            'level': self.level.name.lower(),
            'highest': self.max_held_bytes,
            'read_ahead': len(self.readers),
            **{use.value: held for use, held in self.held_by_use.items()},
        }

    def register_gauges(self) -> None:
        """Export its numbers as metrics."""
        for use in Use:
            metrics.register_gauge(
                f'burdockchute.held_{use.value}',
                'By',
                functools.partial(self.held_by_use.__getitem__, use),
            )
        metrics.register_gauge(
            'burdockchute.held_budget', 'By', lambda: self.budget_bytes
        )
        metrics.register_gauge(
            'burdockchute.memory_level', '1', lambda: self.level
        )

    def _update_level(self, budget: int) -> None:
        before = self.level
        level = memory_budget.next_level(before, self.held_bytes, budget)
        if level is before:
            return
        self.level = level
        logs.event(
            'memory_level',
            reached=level.name.lower(),
            before=before.name.lower(),
            held=self.held_bytes,
            budget=budget,
            bodies=self.held_by_use[Use.BODIES],
            answers=self.held_by_use[Use.ANSWERS],
            events=self.held_by_use[Use.EVENTS],
            read_ahead=len(self.readers),
        )
        if before < Level.CLOSING_IDLE <= level:
            self._close_idle()
        if level < Level.STOPPING <= before:
            for reader in self.readers:
                reader.wake()


class Holding:
    """The bytes that are held for one request.

    They are all given back at the end of the request. Greenlets that still
    run for it then take and give back nothing more.
    """

    __slots__ = ('account', '_held', '_closed')

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self._held = dict.fromkeys(Use, 0)
        self._closed = False

    def take(self, use: Use, count: int) -> None:
        """Add bytes that are held from now on."""
        if count and not self._closed:
            if use is Use.ANSWERS and not self._held[use]:
                self.account.answer_count += 1
            self._held[use] += count
            self.account.change(use, count)

    def give_back(self, use: Use, count: int) -> None:
        """Remove bytes that are no longer held."""
        count = min(count, self._held[use])
        if count:
            self._held[use] -= count
            if use is Use.ANSWERS and not self._held[use]:
                self.account.answer_count -= 1
            self.account.change(use, -count)

    def must_end_answer(self) -> bool:
        """Whether its answer is too long for what the process still has."""
        return self.account.must_end_answer(self._held[Use.ANSWERS])

    def close(self) -> None:
        """Give back all bytes; may be repeated."""
        self._closed = True
        for use in Use:
            self.give_back(use, self._held[use])
