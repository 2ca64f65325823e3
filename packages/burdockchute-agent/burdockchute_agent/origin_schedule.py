"""Whether it is this agent's turn to read the origin for a copy."""

from __future__ import annotations

import random

from burdockchute.decisions import sources
from burdockchute.decisions.sources import ChunkArrivals
from burdockchute.decisions.sources import ReaderGroup

# In a request or a reply this stands for the manifest itself.
MANIFEST_INDEX = -1
# A manifest is small and everyone waits for it.
MANIFEST_READERS = 2
# No manifest for so long means that neither store nor peers could be reached.
MANIFEST_STALL_S = 2.0


class OriginSchedule:
    """The order of readers, how new chunks turn up, and failed reads.

    `resumed_after_stall` becomes true when a copy goes on for which neither
    the store nor peers gave chunks; its owner dials the peers again and
    clears it.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.origin_copies = 1.0
        self.resumed_after_stall = False
        self.max_backoff_s = sources.MAX_BACKOFF_S
        self._rng = rng
        self._started_at = now
        self._all_peers_reported = False
        self._readers: ReaderGroup | None = None
        self._ranks: dict[int, int] = {}
        self._progress = ChunkArrivals(now, 0.0)
        self._failures = 0
        self._not_before = 0.0

    def set_readers(self, readers: ReaderGroup) -> None:
        """Take the order in which agents may read."""
        if readers != self._readers:
            self._readers = readers
            self._ranks.clear()

    def all_peers_reported(self) -> None:
        """Note that every peer has told what it holds."""
        self._all_peers_reported = True

    def manifest_received(self, now: float) -> None:
        """Note that chunks may now be read."""
        if self._failures or now - self._started_at > MANIFEST_STALL_S:
            self._restart(now)
        self._failures = 0
        self._progress = ChunkArrivals(now, 0.0)

    def read_succeeded(self, now: float) -> None:
        """Note that the store has given a chunk."""
        if self._failures:
            self._restart(now)
        self._failures = 0

    def read_failed(self, now: float) -> None:
        """Note that the store has refused or sent something else."""
        self._failures += 1
        wait = sources.backoff_s(self._failures, self._rng, self.max_backoff_s)
        self._not_before = now + wait
        self._progress = self._progress._replace(last=now)

    def chunks_found(self, count: int, now: float) -> None:
        """Note that so many chunks unknown so far are held near here."""
        gap = (now - self._progress.last) / count
        gap = sources.moving_average(self._progress.interval_s, gap)
        self._progress = ChunkArrivals(now, gap)

    @property
    def is_failing(self) -> bool:
        """Whether the last read came to nothing."""
        return self._failures > 0

    def may_read(self, now: float) -> bool:
        """Tell whether the order is known and no read failed just now."""
        return self._readers is not None and now >= self._not_before

    def rank(self, chunk: int) -> int:
        """Give how many agents come before this one for a chunk."""
        if self._readers is None:
            return 0
        if chunk not in self._ranks:
            self._ranks[chunk] = sources.reader_rank(self._readers, chunk)
        return self._ranks[chunk]

    def read_window(self, now: float) -> int:
        """Give how many unknown chunks all readers may read at a time."""
        started = self._progress._replace(
            last=max(self._progress.last, self._started_at)
        )
        return sources.chunks_at_once(started, now)

    def is_due(self, chunk: int, now: float) -> bool:
        """Tell whether a chunk that no neighbour has may be read."""
        copies = MANIFEST_READERS
        if chunk != MANIFEST_INDEX:
            copies = sources.readers_per_chunk(self.origin_copies, chunk)
        started = self._started_at
        if self._all_peers_reported:
            started -= sources.GRACE_S
        step = self._readers.group_index if self._readers else 0
        return now >= sources.earliest_read_at(
            self.rank(chunk), step, copies, started, self._progress
        )

    def _restart(self, now: float) -> None:
        # The store was out of reach, and so perhaps were the peers: a region
        # that was cut off is back. What the others have got meanwhile need
        # not come from the store, so peers get the time to tell.
        self._started_at = now
        self._all_peers_reported = False
        self.resumed_after_stall = True
