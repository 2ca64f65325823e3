"""Passes messages and origin reads about copies to their copiers.

Peers that send corrupt chunks are counted, and banned after too many.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from returns.result import Result

from burdockchute.decisions import sources
from burdockchute.logs import event
from burdockchute.logs import warn
from burdockchute.nodes.peers import PeerLink
from burdockchute.weights.manifest import Manifest
from burdockchute.wire import messages
from burdockchute_agent.announcements import Announcements
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.chunk_sender import ChunkSender
from burdockchute_agent.copier import Copier
from burdockchute_agent.copier import SOURCE_NAMES
from burdockchute_agent.corruption import CorruptChunkCounts
from burdockchute_agent.events import OriginRead
from burdockchute_agent.origin_schedule import MANIFEST_INDEX
from burdockchute_agent.weights_metrics import WeightsMetrics


class ChunkReceiver:
    """Verifies received data and passes it to the copier of its digest."""

    def __init__(
        self,
        copiers: Mapping[str, Copier],
        links: Mapping[str, PeerLink],
        parse: Callable[[bytes, str], Result],
        bandwidth: Bandwidth,
        sender: ChunkSender,
        announcements: Announcements,
        metrics: WeightsMetrics,
    ) -> None:
        self._copiers = copiers
        self._links = links
        self._parse = parse
        self._bandwidth = bandwidth
        self._sender = sender
        self._announcements = announcements
        self._metrics = metrics
        self._corruption = CorruptChunkCounts()

    def is_banned(self, peer: PeerLink) -> bool:
        """Whether a peer has sent too many corrupt chunks to be used."""
        return self._corruption.is_banned(peer)

    def handle_message(
        self, peer: PeerLink, message: object, now: float
    ) -> None:
        """Handle a peer's message about copies."""
        match message:
            case messages.Have():
                self._have_came(peer, message, now)
            case messages.ChunkRequest():
                self._sender.handle_request(peer, message)
            case messages.Chunk():
                self._chunk_came(peer, message, now)

    def _have_came(
        self, peer: PeerLink, have: messages.Have, now: float
    ) -> None:
        peer.record_have(have)
        copier = self._copiers.get(have.digest)
        if (
            copier is None
            or copier.complete
            or self._corruption.is_banned(peer)
        ):
            return
        copier.have_received(peer.name, peer.distance, have, now)

    def _chunk_came(
        self, peer: PeerLink, chunk: messages.Chunk, now: float
    ) -> None:
        copier = self._copiers.get(chunk.digest)
        if copier is None:
            return
        if chunk.error:
            wait_s = chunk.retry_after_ms / 1000
            copier.request_refused(peer.name, chunk.index, wait_s, now)
            self._bandwidth.release_downlink(copier.size_of(chunk.index))
        elif chunk.index == MANIFEST_INDEX:
            self._manifest_came(copier, peer, chunk.data, now)
        elif copier.complete:
            copier.chunk_received(peer.name, chunk.index, chunk.data, now)
        elif copier.chunk_received(peer.name, chunk.index, chunk.data, now):
            source = SOURCE_NAMES[peer.distance]
            self._metrics.received(source, len(chunk.data))
            self._announcements.chunk_added(chunk.digest)
            self.log_if_complete(copier)
        else:
            self._record_corrupt_chunk(peer, chunk.digest, chunk.index)

    def _manifest_came(
        self, copier: Copier, peer: PeerLink, data: bytes, now: float
    ) -> None:
        manifest = self._parse(data, copier.digest).value_or(None)
        if manifest is None:
            copier.request_refused(
                peer.name, MANIFEST_INDEX, sources.MIN_AVOID_S, now
            )
            self._record_corrupt_chunk(peer, copier.digest, MANIFEST_INDEX)
        else:
            self._store_manifest(copier, manifest, now)

    def manifest_read(self, digest: str, outcome: object, now: float) -> None:
        """Handle the result of reading a manifest from the origin."""
        copier = self._copiers.get(digest)
        if copier is None:
            return
        if isinstance(outcome, Manifest):
            self._store_manifest(copier, outcome, now)
        else:
            copier.origin_read_failed(MANIFEST_INDEX, now)
            self._metrics.failed('origin_read_failed')
            warn('origin_read_failed', digest=digest, reason=outcome)

    def _store_manifest(
        self, copier: Copier, manifest: Manifest, now: float
    ) -> None:
        copier.manifest_received(manifest, now)
        self._announcements.chunk_added(copier.digest)
        # Without the number of chunks, peers' bitmaps couldn't be decoded.
        self.apply_stored_haves(copier, now)

    def apply_stored_haves(self, copier: Copier, now: float) -> None:
        """Pass a copier what peers have announced of its digest so far."""
        for peer in self._links.values():
            have = peer.haves.get(copier.digest)
            if have is not None and not self._corruption.is_banned(peer):
                copier.have_received(peer.name, peer.distance, have, now)

    def origin_chunk_read(self, read: OriginRead, now: float) -> None:
        """Handle the result of reading a chunk from the origin."""
        copier = self._copiers.get(read.digest)
        if copier is None:
            return
        if not isinstance(read.outcome, bytes):
            copier.origin_read_failed(read.chunk, now)
            self._metrics.failed('origin_read_failed')
            warn(
                'origin_read_failed',
                digest=read.digest,
                chunk=read.chunk,
                reason=read.outcome.text,
            )
        elif copier.complete:
            return
        elif copier.origin_chunk_received(read.chunk, read.outcome, now):
            self._metrics.received('origin', len(read.outcome))
            self._announcements.chunk_added(read.digest)
            self.log_if_complete(copier)
        else:
            self._metrics.failed('origin_chunk_corrupt')
            warn('origin_chunk_corrupt', digest=read.digest, chunk=read.chunk)

    def _record_corrupt_chunk(
        self, peer: PeerLink, digest: str, index: int
    ) -> None:
        count = self._corruption.record(peer)
        self._metrics.failed('peer_chunk_corrupt')
        warn(
            'peer_chunk_corrupt',
            peer=peer.name,
            digest=digest,
            chunk=index,
            count=count,
        )
        if self._corruption.is_banned(peer):
            # A peer that corrupts what it sends claims to hold every chunk.
            # Chunks would be requested from it over and over, and the copy
            # would make little progress.
            warn('peer_banned', peer=peer.name)
            for copier in self._copiers.values():
                copier.peer_disconnected(peer.name)

    def log_if_complete(self, copier: Copier) -> None:
        """Log `copy_whole` if a copy is complete."""
        if copier.complete:
            event(
                'copy_whole',
                digest=copier.digest,
                **{
                    f'{source}_bytes': size
                    for source, size in copier.received._asdict().items()
                },
            )
