"""Counts how often what crashes upstreams is tried again, over all entries.

Judgements of crashes may be late, or end at all entries at the same time. So
once a request has crashed three upstreams, or a request or part was refused,
it may only be tried: one request at a time, and MAX_TRIES in all until it is
answered. An entry that tries claims the number of the try first.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

MAX_TRIES = 3
# Those by requests that may crash upstreams for another cause, too.
MAX_AMBIGUOUS_TRIES = 1

# Callers wait for the outcome of another one's try for this long.
TRY_S = 2.0
# A try without an outcome is over by then, but counts: its entry may have
# ended. Long answers take their time until they are complete.
MAX_TRY_S = 10.0

# An outage of many upstreams must not use up the tries of a sound part. Other
# requests wait for this long after a crash, less than callers wait.
CRASHED_TRY_PAUSE_S = 1.0


class _Tried(NamedTuple):
    number: int
    newest_at: float
    is_open: bool


class Tries:
    """The tries of each cause that are known."""

    def __init__(self) -> None:
        self._tried: dict[str, _Tried] = {}

    @property
    def names(self) -> Collection[str]:
        """The causes that were tried."""
        return self._tried.keys()

    def record(
        self, name: str, number: int, at: float, is_open: bool = True
    ) -> None:
        """Record a try that this entry or another one has claimed."""
        known = self._tried.get(name)
        if not is_open and known and number == known.number:
            self.end(name, number)
        if known is None or number > known.number:
            newest_at = max(at, known.newest_at if known else at)
            self._tried[name] = _Tried(number, newest_at, is_open)

    def count(self, name: str) -> int:
        """Return how many tries of a cause were claimed."""
        known = self._tried.get(name)
        return known.number if known else 0

    def newest_at(self, name: str) -> float | None:
        """Return when a cause was last tried, None if it was not."""
        known = self._tried.get(name)
        return known.newest_at if known else None

    def are_used_up(self, name: str) -> bool:
        """Whether a cause must not be tried until it is answered."""
        return self.count(name) >= MAX_TRIES

    def open_for_s(self, name: str, now: float) -> float:
        """Return for how long a try may show something yet, 0 if none may."""
        known = self._tried.get(name)
        if known is None or not known.is_open:
            return 0.0
        return max(0.0, known.newest_at + MAX_TRY_S - now)

    def end(self, name: str, number: int) -> bool:
        """End a try without an outcome; return whether it was open."""
        known = self._tried.get(name)
        if known is None or known.number != number or not known.is_open:
            return False
        self._tried[name] = known._replace(is_open=False)
        return True

    def crashed(self, name: str, at: float) -> None:
        """End the open try of a cause that was in a crash since it began."""
        known = self._tried.get(name)
        if known is not None and at > known.newest_at:
            self._tried[name] = known._replace(is_open=False)

    def forget(self, name: str, at: float) -> None:
        """Forget the tries until a time, at which a cause was answered."""
        known = self._tried.get(name)
        if known is not None and at >= known.newest_at:
            del self._tried[name]

    def drop_before(self, at: float) -> None:
        """Forget causes whose newest try was before a time."""
        self._tried = {
            name: tried
            for name, tried in self._tried.items()
            if tried.newest_at >= at
        }
