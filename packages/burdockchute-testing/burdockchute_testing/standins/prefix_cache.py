"""The stand-in engine's prefix cache, which reports events with a lag."""

from __future__ import annotations

import collections
import random
from typing import NamedTuple

from burdockchute_testing import answers

MAX_KEPT_EVENTS = 10_000
STORED = 'stored'
EVICTED = 'evicted'


class CacheEvent(NamedTuple):
    """One change; readers see it from the time `visible` on, in seconds."""

    sequence: int
    visible: float
    act: str
    prefix: str


class PrefixCache:
    """An LRU cache of `limit` blocks.

    The share `gap_share` of the events is dropped.
    """

    def __init__(
        self,
        limit: int,
        rng: random.Random,
        lag_s: float = 0.0,
        gap_share: float = 0.0,
    ) -> None:
        self._limit = limit
        self._rng = rng
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._blocks: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._sequence = 0

    def use(self, weights: str, prompt: str, now: float) -> int:
        """Return the number of cached words, and cache the complete prompt.

        `weights` names the weights that computed the blocks; blocks of other
        weights don't match.
        """
        prefixes = answers.prefixes_of(prompt)
        hits = 0
        for prefix in prefixes:
            if (weights, prefix) not in self._blocks:
                break
            hits += 1
        for prefix in prefixes:
            self._store(weights, prefix, now)
        return hits * answers.BLOCK_WORDS

    def forget(self, digest: str, now: float) -> None:
        """Drop all blocks of unloaded weights."""
        for key in [key for key in self._blocks if digest in key[0]]:
            del self._blocks[key]
            self._add_event(EVICTED, key[1], now)

    def events(self, start: int, now: float) -> list[CacheEvent]:
        """Return the visible events from a sequence number on."""
        return [
            event
            for event in self._events
            if event.sequence >= start and event.visible <= now
        ]

    def _store(self, weights: str, prefix: str, now: float) -> None:
        key = (weights, prefix)
        if key in self._blocks:
            self._blocks.move_to_end(key)
            return
        self._blocks[key] = None
        self._add_event(STORED, prefix, now)
        while len(self._blocks) > self._limit:
            (_weights, oldest), _none = self._blocks.popitem(last=False)
            self._add_event(EVICTED, oldest, now)

    def _add_event(self, act: str, prefix: str, now: float) -> None:
        self._sequence += 1
        if self._rng.random() < self._gap_share:
            return
        self._events.append(
            CacheEvent(self._sequence, now + self._lag_s, act, prefix)
        )
