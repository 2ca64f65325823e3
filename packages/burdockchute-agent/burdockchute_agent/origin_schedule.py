"""Decides when this agent may read chunks of a copy from the origin.

Every agent has a rank for each chunk. The first ranks read early; a later one
waits longer, and reads only a chunk that no neighbour holds by then.
"""

from __future__ import annotations

import random

from burdockchute.decisions import sources
from burdockchute.decisions.sources import ChunkArrivals
from burdockchute.decisions.sources import ReaderGroup

# The chunk index that stands for the manifest in requests and replies.
MANIFEST_INDEX = -1
# Two agents read the manifest: it is small and all others wait for it.
MANIFEST_READERS = 2
# Without a manifest for this time, neither store nor peers were reachable.
MANIFEST_STALL_S = 2.0


class OriginSchedule:
    """The order of readers, the arrival of new chunks, and failed reads.

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
        """Set the order in which agents may read."""
        if readers != self._readers:
            self._readers = readers
            self._ranks.clear()

    def all_peers_reported(self) -> None:
        """Record that every peer has reported what it holds."""
        self._all_peers_reported = True

    def manifest_received(self, now: float) -> None:
        """Record that the manifest is known, so chunks may be read."""
        if self._failures or now - self._started_at > MANIFEST_STALL_S:
            self._restart(now)
        self._failures = 0
        self._progress = ChunkArrivals(now, 0.0)

    def read_succeeded(self, now: float) -> None:
        """Record that the store has returned a valid chunk."""
        if self._failures:
            self._restart(now)
        self._failures = 0

    def read_failed(self, now: float) -> None:
        """Record that a read was refused or returned invalid data."""
        self._failures += 1
        wait = sources.backoff_s(self._failures, self._rng, self.max_backoff_s)
        self._not_before = now + wait
        self._progress = self._progress._replace(last=now)

    def chunks_found(self, count: int, now: float) -> None:
        """Record that `count` new chunks are held here or by a peer."""
        gap = (now - self._progress.last) / count
        gap = sources.moving_average(self._progress.interval_s, gap)
        self._progress = ChunkArrivals(now, gap)

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failures > 0

    def may_read(self, now: float) -> bool:
        """Whether the order is known and no backoff is in progress."""
        return self._readers is not None and now >= self._not_before

    def rank(self, chunk: int) -> int:
        """Return the number of agents that read a chunk before this one."""
        if self._readers is None:
            return 0
        if chunk not in self._ranks:
            self._ranks[chunk] = sources.reader_rank(self._readers, chunk)
        return self._ranks[chunk]

    def read_window(self, now: float) -> int:
        """Return how many unseen chunks all readers may read at a time."""
        started = self._progress._replace(
            last=max(self._progress.last, self._started_at)
        )
        return sources.chunks_at_once(started, now)

    def is_due(self, chunk: int, now: float) -> bool:
        """Whether a chunk that no neighbour holds may be read."""
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
        # The store was unreachable, and perhaps the peers too, as when a
        # region that was cut off is back. Chunks that other agents have
        # received meanwhile need not come from the store, so peers again get
        # the time to report what they hold.
        self._started_at = now
        self._all_peers_reported = False
        self.resumed_after_stall = True
