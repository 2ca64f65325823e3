"""Requests for chunks that peers have not answered yet."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple


class SentRequest(NamedTuple):
    """A request without an answer; `sent_at` is in monotonic seconds."""

    peer: str
    sent_at: float


class PeerCopy:
    """The state of one peer's copy of a digest.

    `held` is a bitmap of chunks, `load` the length of the peer's upload
    queue, `pending_requests` the number of our requests that it has not
    answered. No request goes to the peer before `avoid_until` (monotonic
    seconds).
    """

    def __init__(self, distance: int) -> None:
        self.distance = distance
        self.held = 0
        self.load = 0
        self.has_manifest = False
        self.pending_requests = 0
        self.missed_deadlines = 0
        self.avoid_until = 0.0


class PendingChunkRequests:
    """Pending requests by chunk; a chunk may be requested of two peers."""

    def __init__(self) -> None:
        self._by_chunk: dict[int, list[SentRequest]] = {}

    def __len__(self) -> int:
        return len(self._by_chunk)

    def __contains__(self, chunk: int) -> bool:
        return chunk in self._by_chunk

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_chunk)

    def for_chunk(self, chunk: int) -> list[SentRequest]:
        """Return the requests for a chunk."""
        return list(self._by_chunk.get(chunk, ()))

    def add(self, chunk: int, peer: str, now: float) -> None:
        """Add a request sent at `now`."""
        self._by_chunk.setdefault(chunk, []).append(SentRequest(peer, now))

    def remove(self, chunk: int, peer: str) -> SentRequest | None:
        """Remove and return a request, None if there was none."""
        requests = self._by_chunk.get(chunk, [])
        for request in requests:
            if request.peer == peer:
                requests.remove(request)
                if not requests:
                    del self._by_chunk[chunk]
                return request
        return None

    def remove_chunk(self, chunk: int) -> None:
        """Remove all requests for a chunk."""
        self._by_chunk.pop(chunk, None)

    def sent_before(self, at: float) -> list[tuple[int, str]]:
        """Return chunk and peer of each request sent before `at`."""
        return [
            (chunk, request.peer)
            for chunk, requests in self._by_chunk.items()
            for request in requests
            if request.sent_at < at
        ]
