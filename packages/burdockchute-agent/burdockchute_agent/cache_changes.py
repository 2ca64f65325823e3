"""What has changed in the upstream's prefix cache since entries were told.

Every report goes out on every link, so it has room for the news only, and
not each second. What doesn't fit is dropped, oldest first: an entry that
misses a prefix sends a request where it is not warm, once.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

PREFIX_HEX = 16

# With 134 agents to an entry, 8 prefixes of 20 bytes each 2 s are 11 KB a
# second at the worst, half of what a node may spend on control.
MAX_REPORTED_PREFIXES = 8
REPORT_INTERVAL_S = 2.0


class CacheChanges(NamedTuple):
    """Prefix digests, shortened; those stored last come first."""

    stored: list[str]
    evicted: list[str]


NO_CACHE_CHANGES = CacheChanges([], [])


class PendingCacheChanges:
    """News not yet told; times are monotonic seconds."""

    def __init__(self) -> None:
        self._stored: dict[str, None] = {}
        self._evicted: dict[str, None] = {}
        self._reported_at = float('-inf')

    def stored(self, prefix: str) -> None:
        """Note that the cache holds a prefix."""
        _move(prefix, self._evicted, self._stored)

    def evicted(self, prefix: str) -> None:
        """Note that the cache no longer holds a prefix."""
        _move(prefix, self._stored, self._evicted)

    def clear(self) -> None:
        """Forget all, when the upstream has gone."""
        self._stored.clear()
        self._evicted.clear()

    def take(self, now: float) -> CacheChanges:
        """Give the news if it is time to tell, and forget them."""
        if now < self._reported_at + REPORT_INTERVAL_S:
            return NO_CACHE_CHANGES
        self._reported_at = now
        changes = CacheChanges(
            _newest_first(self._stored), _newest_first(self._evicted)
        )
        self.clear()
        return changes


def _move(prefix: str, old: dict[str, None], new: dict[str, None]) -> None:
    short = prefix[:PREFIX_HEX]
    old.pop(short, None)
    new.pop(short, None)
    new[short] = None
    if len(new) > MAX_REPORTED_PREFIXES:
        del new[next(iter(new))]


def _newest_first(prefixes: Iterable[str]) -> list[str]:
    return list(reversed(list(prefixes)))
