"""The queue of chunks to send, served round robin over the peers."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# In a longer queue, chunks would wait beyond the deadline of the peers that
# requested them, and would be sent for nothing.
MAX_QUEUED_CHUNKS = 8


class Upload(NamedTuple):
    """One chunk to send to a peer."""

    peer: str
    digest: str
    chunk: int


class UploadQueue:
    """A bounded queue that takes one chunk of each peer in turn."""

    def __init__(self) -> None:
        self._by_peer: dict[str, deque[Upload]] = {}
        self._rotation: deque[str] = deque()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._by_peer.values())

    def add(self, upload: Upload) -> bool:
        """Queue an upload unless it is queued already; False if full."""
        if len(self) >= MAX_QUEUED_CHUNKS:
            return False
        if upload.peer not in self._by_peer:
            self._by_peer[upload.peer] = deque()
            self._rotation.append(upload.peer)
        waiting = self._by_peer[upload.peer]
        if upload not in waiting:
            waiting.append(upload)
        return True

    def next(self) -> Upload | None:
        """Remove and return the next upload, None if there is none."""
        while self._rotation:
            peer = self._rotation.popleft()
            waiting = self._by_peer[peer]
            if waiting:
                upload = waiting.popleft()
                self._rotation.append(peer)
                return upload
            del self._by_peer[peer]
        return None

    def remove_peer(self, peer: str) -> None:
        """Drop the uploads to a disconnected peer."""
        if peer in self._by_peer:
            self._by_peer[peer].clear()

    def remove_digest(self, digest: str) -> list[Upload]:
        """Drop and return all uploads of a digest."""
        dropped: list[Upload] = []
        for peer, waiting in self._by_peer.items():
            dropped.extend(
                upload for upload in waiting if upload.digest == digest
            )
            self._by_peer[peer] = deque(
                upload for upload in waiting if upload.digest != digest
            )
        return dropped
