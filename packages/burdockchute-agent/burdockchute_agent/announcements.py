"""Announces to peers what this instance holds of each copy."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from burdockchute.nodes.peers import PeerLink
from burdockchute.wire import messages

# Changes are collected for this time, so that one message covers many chunks.
BATCH_S = 0.02


class Announcements:
    """Digests whose state has changed since the last announcement."""

    def __init__(self, now: float) -> None:
        self._sent_at = now
        self._new_chunks: set[str] = set()
        self._new_phases: set[str] = set()
        self._phase_of: dict[str, tuple[bool, bool]] = {}

    def chunk_added(self, digest: str) -> None:
        """Mark a digest that has a new chunk.

        It isn't announced to peers with a complete copy, which need none.
        """
        self._new_chunks.add(digest)

    def set_phase(self, digest: str, loading: bool, is_open: bool) -> None:
        """Set whether the engine loads and whether it serves a digest."""
        if self._phase_of.get(digest) != (loading, is_open):
            self._phase_of[digest] = (loading, is_open)
            self._new_phases.add(digest)

    def phase_of(self, digest: str) -> tuple[bool, bool]:
        """Return whether the engine loads and whether it serves a digest."""
        return self._phase_of.get(digest, (False, False))

    def forget(self, digest: str) -> None:
        """Drop everything about a digest that is no longer wanted."""
        self._new_chunks.discard(digest)
        self._new_phases.discard(digest)
        self._phase_of.pop(digest, None)

    def send_due(
        self,
        peers: Iterable[PeerLink],
        have: Callable[[str], messages.Have],
        now: float,
    ) -> float | None:
        """Send what is due.

        Return the seconds until the next call is useful, None if nothing is
        left to announce.
        """
        changed = self._new_chunks | self._new_phases
        if not changed:
            return None
        if now - self._sent_at < BATCH_S:
            return BATCH_S
        self._sent_at = now
        receivers = list(peers)
        for digest in changed:
            message = have(digest)
            for peer in receivers:
                known = peer.haves.get(digest)
                is_complete = known is not None and not known.wants
                if digest in self._new_phases or not is_complete:
                    peer.send(message)
        self._new_chunks.clear()
        self._new_phases.clear()
        return None
