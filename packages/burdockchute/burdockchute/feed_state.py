"""What a process keeps of each feed of the platform that it reads.

Where the next read begins, whether the store answers, and until when all that
was stored has been read.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import logs
from burdockchute.decisions import listing
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import FeedError
from burdockchute.model.feeds import ReadEnd
from burdockchute.model.feeds import ReadFeed
from burdockchute.model.positions import Position

# Contact counts as lost after this time without an answer.
CONTACT_TIMEOUT_S = 1.5


class Cursor:
    """The position from which to read a feed; None for a complete read."""

    def __init__(self) -> None:
        self.position: Position | None = None
        self._era: int | None = None

    def expire(self) -> None:
        """Start over, as the store no longer has the position."""
        self.position = None

    def advance(self, position: Position) -> bool:
        """Set the position; true if the store was restored from a copy."""
        restored = self._era is not None and position.era != self._era
        self.position = position
        self._era = position.era
        return restored


class StoreReturn(NamedTuple):
    """Whether a batch is the first one after the store's return.

    `regained` marks the first answer after an outage, `restored` the first
    one of a store that was restored from a copy.
    """

    regained: bool
    restored: bool


class Contact:
    """Whether one feed answers, and when it last did."""

    def __init__(self, name: str, now: float) -> None:
        self.lost = False
        self._name = name
        self._answered_at = now

    def age_s(self, now: float) -> float:
        """Return the seconds since the feed last answered."""
        return now - self._answered_at

    def on_answered(self, now: float) -> bool:
        """Record an answer; true if contact had been lost."""
        regained = self.lost
        if regained:
            logs.event(
                'dependency_regained',
                dependency=self._name,
                away_s=round(self.age_s(now), 2),
            )
        self._answered_at = now
        self.lost = False
        return regained

    def on_restored(self, position: Position) -> None:
        """Log that the store was restored from a copy."""
        logs.warn(
            'dependency_restored',
            dependency=self._name,
            era=position.era,
            position=position.offset,
            kept_s=listing.SETTLE_S,
        )

    def skip(self, now: float) -> None:
        """Record that the feed isn't read, so that its age doesn't grow."""
        self._answered_at = now

    def on_failed(self, error: FeedError, now: float) -> None:
        """Record a failed read."""
        silent_s = self.age_s(now)
        if not self.lost and silent_s > CONTACT_TIMEOUT_S:
            self.lost = True
            logs.warn(
                'dependency_lost',
                dependency=self._name,
                reason=error.reason,
                age_s=round(silent_s, 2),
            )


class Feed:
    """One feed, and how far it has been read.

    All that was stored before `confirmed_at` has been read. Several reads may
    be open at once; the position is that of the newest.
    `read_end` is set for a feed with long records.
    """

    def __init__(
        self,
        read: ReadFeed,
        contact: Contact,
        apply: Callable[[Batch, StoreReturn, float], None],
        read_end: ReadEnd | None = None,
    ) -> None:
        self.read = read
        self._read_end = read_end
        self.contact = contact
        self.apply = apply
        self.cursor = Cursor()
        self.confirmed_at = float('-inf')
        self.full_read_at = float('inf')
        self.failures = 0

    def read_urgently(self) -> Result[Batch, FeedError]:
        """Read without waiting for a change, from a store that may be away.

        The changes may be long, and read for longer than it takes to notice
        that the store does not answer. So they are only read if it does.
        """
        position = self.cursor.position
        if self._read_end is not None and position is not None:
            end = self._read_end()
            if isinstance(end, Failure):
                return end
            if end.unwrap() == position:
                return Success(Batch(position, False, ()))
        return self.read(position, 0.0)

    def on_answer(
        self,
        batch: Batch,
        read_from: Position | None,
        confirmed_at: float,
        now: float,
    ) -> StoreReturn:
        """Apply what a read from a position returned."""
        self.failures = 0
        regained = self.contact.on_answered(now)
        restored = False
        if not self._is_overtaken(batch, read_from):
            restored = self.cursor.advance(batch.position)
            if restored:
                self.contact.on_restored(batch.position)
                self.full_read_at = now + listing.SETTLE_S
            self.apply(batch, StoreReturn(regained, restored), now)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return StoreReturn(regained, restored)

    def _is_overtaken(self, batch: Batch, read_from: Position | None) -> bool:
        """Whether another read has returned as much since this one began."""
        position = self.cursor.position
        if read_from is None or position is None or position == read_from:
            return False
        return batch.position <= position
