"""Peers that have sent corrupt chunks, and which are asked no more."""

from __future__ import annotations

from burdockchute.decisions import sources
from burdockchute.nodes.peers import PeerLink


class CorruptChunkCounts:
    """Counts for each start of each peer: a restart may mend it."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}

    def record(self, peer: PeerLink) -> int:
        """Count a corrupt chunk; gives how many it has sent."""
        key = _key(peer)
        self._counts[key] = self._counts.get(key, 0) + 1
        return self._counts[key]

    def is_banned(self, peer: PeerLink) -> bool:
        """Tell whether a peer has sent too many to be asked again."""
        return sources.is_banned(self._counts.get(_key(peer), 0))


def _key(peer: PeerLink) -> tuple[str, str]:
    return peer.name, peer.link.peer.incarnation
