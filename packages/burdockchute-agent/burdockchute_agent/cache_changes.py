"""Changes of the upstream's prefix cache since the last report to entries.

Every report goes out on every link, so it carries only what has changed, and
not each second. What doesn't fit is dropped, oldest first: an entry that
hasn't received a prefix sends one request to an instance whose cache doesn't
hold it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

PREFIX_HEX = 16

# With 134 agents per entry, 8 prefixes of 20 bytes every 2 s are at most
# 11 KB a second, half of what a node may spend on control traffic.
MAX_REPORTED_PREFIXES = 8
REPORT_INTERVAL_S = 2.0


class CacheChanges(NamedTuple):
    """Truncated prefix digests, the latest ones first."""

    stored: list[str]
    evicted: list[str]


NO_CACHE_CHANGES = CacheChanges([], [])


class PendingCacheChanges:
    """Changes that are not yet reported; times are monotonic seconds."""

    def __init__(self) -> None:
        self._stored: dict[str, None] = {}
        self._evicted: dict[str, None] = {}
        self._reported_at = float('-inf')

    def stored(self, prefix: str) -> None:
        """Record that the cache now holds a prefix."""
        _move(prefix, self._evicted, self._stored)

    def evicted(self, prefix: str) -> None:
        """Record that the cache no longer holds a prefix."""
        _move(prefix, self._stored, self._evicted)

    def clear(self) -> None:
        """Drop all changes, when the upstream is away."""
        self._stored.clear()
        self._evicted.clear()

    def take(self, now: float) -> CacheChanges:
        """Return and clear the changes, none before the next report is due."""
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
