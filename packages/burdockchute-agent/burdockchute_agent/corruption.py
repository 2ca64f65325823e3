"""Counts corrupt chunks by peer and bans peers that sent too many."""

from __future__ import annotations

from burdockchute.decisions import sources
from burdockchute.nodes.peers import PeerLink


class CorruptChunkCounts:
    """Counts by peer and incarnation, since a restart may fix the fault."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}

    def record(self, peer: PeerLink) -> int:
        """Count a corrupt chunk and return how many the peer has sent."""
        key = _key(peer)
        self._counts[key] = self._counts.get(key, 0) + 1
        return self._counts[key]

    def is_banned(self, peer: PeerLink) -> bool:
        """Whether a peer has sent too many corrupt chunks to be used."""
        return sources.is_banned(self._counts.get(_key(peer), 0))


def _key(peer: PeerLink) -> tuple[str, str]:
    return peer.name, peer.link.peer.incarnation
