"""Which chunks were asked of which peers, and when."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple


class ChunkRequestSent(NamedTuple):
    """One request that is on its way."""

    peer: str
    at: float


class PeerCopy:
    """What is known of one peer's copy of some weights.

    `held` is a bitmap of chunks, `load` its queue of uploads, `asked` how
    many requests of ours it has.
    """

    def __init__(self, distance: int) -> None:
        self.distance = distance
        self.held = 0
        self.load = 0
        self.has_manifest = False
        self.asked = 0
        self.strikes = 0
        self.avoid_until = 0.0


class PendingChunkRequests:
    """Requests on their way, by chunk; a chunk may be asked for twice."""

    def __init__(self) -> None:
        self._by_chunk: dict[int, list[ChunkRequestSent]] = {}

    def __len__(self) -> int:
        return len(self._by_chunk)

    def __contains__(self, chunk: int) -> bool:
        return chunk in self._by_chunk

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_chunk)

    def of(self, chunk: int) -> list[ChunkRequestSent]:
        """Give the requests for a chunk."""
        return list(self._by_chunk.get(chunk, ()))

    def add(self, chunk: int, peer: str, now: float) -> None:
        """Note a request."""
        self._by_chunk.setdefault(chunk, []).append(
            ChunkRequestSent(peer, now)
        )

    def remove(self, chunk: int, peer: str) -> ChunkRequestSent | None:
        """Forget a request and give it, None if there was none."""
        asked = self._by_chunk.get(chunk, [])
        for ask in asked:
            if ask.peer == peer:
                asked.remove(ask)
                if not asked:
                    del self._by_chunk[chunk]
                return ask
        return None

    def forget_chunk(self, chunk: int) -> None:
        """Forget all requests for a chunk."""
        self._by_chunk.pop(chunk, None)

    def before(self, at: float) -> list[tuple[int, str]]:
        """Give chunk and peer of the requests made before a time."""
        return [
            (chunk, ask.peer)
            for chunk, asked in self._by_chunk.items()
            for ask in asked
            if ask.at < at
        ]
