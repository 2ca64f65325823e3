"""All copies that this instance holds or makes, and their exchange."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import random

from gevent import queue

from burdockchute.decisions import sources
from burdockchute.logs import event
from burdockchute.logs import warn
from burdockchute.model.members import Member
from burdockchute.nodes import links
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import document_of
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.manifest import parse
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copier import Action
from burdockchute_agent.copier import AskPeer
from burdockchute_agent.copier import Copier
from burdockchute_agent.copier import MANIFEST
from burdockchute_agent.copier import SOURCES
from burdockchute_agent.events import Dialled
from burdockchute_agent.events import ManifestRead
from burdockchute_agent.events import OriginRead
from burdockchute_agent.news import News
from burdockchute_agent.origin_reads import OriginReads
from burdockchute_agent.peers import PeerLink
from burdockchute_agent.peers import Peers
from burdockchute_agent.policy import Policy
from burdockchute_agent.uploads import Upload
from burdockchute_agent.uploads import Uploads
from burdockchute_agent.wanted import Target
from burdockchute_agent.weights_metrics import WeightsMetrics

IDLE_S = 0.05
# A peer that reads slower than it asks has this much waiting in its link.
MAX_QUEUED_BYTES = 4 * 1024 * 1024


class Copying:
    """Copies by digest, the peers, and what goes to and fro."""

    def __init__(
        self,
        own: Member,
        store_url: str,
        bandwidth: Bandwidth,
        peers: Peers,
        inbox: queue.Queue,
        policy: Policy,
        rng: random.Random,
        now: float,
    ) -> None:
        self.reads = OriginReads(store_url, inbox.put)
        self._own = own
        self._bandwidth = bandwidth
        self._peers = peers
        self._policy = policy
        self._rng = rng
        self._copiers: dict[str, Copier] = {}
        self._hosts: Mapping[str, tuple[str, ...]] = {}
        self._uploads = Uploads()
        self._corrupt: dict[tuple[str, str], int] = {}
        self._news = News(now)
        self._unreachable: frozenset[str] = frozenset()
        self._metrics = WeightsMetrics()

    def stop(self) -> None:
        """Stop all that is under way."""
        self.reads.stop_all()
        self._peers.close_all()

    def note_live_bytes(self, count: int, now: float) -> None:
        """Count bytes of live requests on this instance's link."""
        self._bandwidth.note_live(count, now)

    def whole_copy(self, digest: str) -> Copy | None:
        """Give a copy if every chunk of it is held and verified."""
        copier = self._copiers.get(digest)
        return copier.copy if copier is not None and copier.complete else None

    def whole_since(self, digest: str) -> float | None:
        """Give when a copy became whole."""
        copier = self._copiers.get(digest)
        return copier.whole_at if copier is not None else None

    def size_of(self, digest: str) -> int:
        """Give the size of weights in bytes, 0 while it isn't known."""
        copy = self._copy(digest)
        return copy.manifest.size if copy else 0

    def progress(self, digest: str) -> tuple[int, int]:
        """Give how many chunks are held, and of how many."""
        copy = self._copy(digest)
        return (copy.held_count, len(copy.manifest.chunks)) if copy else (0, 0)

    def held_bytes(self) -> int:
        """Give the memory that all copies take."""
        copies = [copier.copy for copier in self._copiers.values()]
        return sum(copy.held_bytes for copy in copies if copy)

    def is_open_at(self, name: str, digest: str) -> bool:
        """Tell whether a peer has said that it serves a digest."""
        peer = self._peers.links.get(name)
        have = peer.haves.get(digest) if peer else None
        return have is not None and bool(have.open)

    def set_phase(self, digest: str, loading: bool, is_open: bool) -> None:
        """Tell peers whether the engine loads or serves a digest."""
        if digest in self._copiers:
            self._news.phase(digest, loading, is_open)

    def want(
        self,
        targets: Sequence[Target],
        hosts: Mapping[str, tuple[str, ...]],
        now: float,
    ) -> None:
        """Take the copies to hold, and who else hosts them, by digest."""
        self._hosts = hosts
        self._unreachable = frozenset()
        wanted = {target.digest: target for target in targets}
        for digest in set(self._copiers) - set(wanted):
            self._give_up(digest)
        for digest, target in wanted.items():
            if digest not in self._copiers:
                self._begin(target, now)
            self._copiers[digest].origin_copies = target.origin_copies
            self._set_readers(digest)

    # What arrives.

    def take(self, message: object, now: float) -> None:
        """Take a message about copies or peers."""
        match message:
            case ManifestRead(digest=digest, outcome=outcome):
                self._manifest_read(digest, outcome, now)
            case OriginRead():
                self._chunk_read(message, now)
            case Dialled():
                self._peers.dialled(message, now)
            case links.Opened(link=link):
                self._opened(link)
            case links.Closed(link=link):
                self._closed(link)
            case links.Received(link=link, message=received):
                peer = self._peers.of(link)
                if peer is not None:
                    self._received(peer, received, now)

    def _opened(self, link: links.Link) -> None:
        peer = self._peers.opened(link)
        if peer is not None:
            for digest in self._copiers:
                peer.send(self._have(digest))

    def _closed(self, link: links.Link) -> None:
        name = self._peers.closed(link)
        if name is not None:
            self._uploads.forget_peer(name)
            for copier in self._copiers.values():
                copier.peer_gone(name)

    def _received(self, peer: PeerLink, message: object, now: float) -> None:
        match message:
            case messages.Have():
                self._have_came(peer, message, now)
            case messages.ChunkRequest():
                self._asked(peer, message)
            case messages.Chunk():
                self._chunk_came(peer, message, now)

    def _have_came(
        self, peer: PeerLink, have: messages.Have, now: float
    ) -> None:
        peer.keep(have)
        copier = self._copiers.get(have.digest)
        if copier is None or copier.complete or self._is_banned(peer):
            return
        copier.have_came(peer.name, peer.distance, have, now)

    def _asked(self, peer: PeerLink, request: messages.ChunkRequest) -> None:
        digest, index = request.digest, request.index
        copy = self._copy(digest)
        if copy is None or (index != MANIFEST and not copy.holds(index)):
            peer.send(messages.Chunk(digest, index, b'', 'unknown', 1000))
        elif index == MANIFEST:
            document = document_of(copy.manifest)
            peer.send(messages.Chunk(digest, index, document, '', 0))
        elif not self._uploads.add(Upload(peer.name, digest, index)):
            waiting = len(self._uploads) * copy.manifest.chunk_size
            wait_s = waiting / self._bandwidth.send_rate / 2
            wait_ms = int(wait_s * 1000)
            peer.send(messages.Chunk(digest, index, b'', 'busy', wait_ms))

    def _chunk_came(
        self, peer: PeerLink, chunk: messages.Chunk, now: float
    ) -> None:
        copier = self._copiers.get(chunk.digest)
        if copier is None:
            return
        if chunk.error:
            wait_s = chunk.retry_after_ms / 1000
            copier.refused(peer.name, chunk.index, wait_s, now)
            self._bandwidth.not_received(copier.size_of(chunk.index))
        elif chunk.index == MANIFEST:
            self._manifest_came(copier, peer, chunk.data, now)
        elif copier.complete:
            copier.chunk_came(peer.name, chunk.index, chunk.data, now)
        elif copier.chunk_came(peer.name, chunk.index, chunk.data, now):
            source = SOURCES[peer.distance]
            self._metrics.received(source, len(chunk.data))
            self._news.chunk(chunk.digest)
            self._tell_whole(copier)
        else:
            self._corrupt_from(peer, chunk.digest, chunk.index)

    def _manifest_came(
        self, copier: Copier, peer: PeerLink, data: bytes, now: float
    ) -> None:
        manifest = parse(data, copier.digest).value_or(None)
        if manifest is None:
            copier.refused(peer.name, MANIFEST, sources.MIN_AVOID_S, now)
            self._corrupt_from(peer, copier.digest, MANIFEST)
        else:
            self._have_manifest(copier, manifest, now)

    def _manifest_read(self, digest: str, outcome: object, now: float) -> None:
        copier = self._copiers.get(digest)
        if copier is None:
            return
        if isinstance(outcome, Manifest):
            self._have_manifest(copier, outcome, now)
        else:
            copier.read_lost(MANIFEST, now)
            self._metrics.failed('origin_read_failed')
            warn('origin_read_failed', digest=digest, reason=outcome)

    def _have_manifest(
        self, copier: Copier, manifest: Manifest, now: float
    ) -> None:
        copier.manifest_came(manifest, now)
        self._news.chunk(copier.digest)
        # What peers hold could not be read without the number of chunks.
        for peer in self._peers.links.values():
            have = peer.haves.get(copier.digest)
            if have is not None and not self._is_banned(peer):
                copier.have_came(peer.name, peer.distance, have, now)

    def _chunk_read(self, read: OriginRead, now: float) -> None:
        copier = self._copiers.get(read.digest)
        if copier is None:
            return
        if not isinstance(read.outcome, bytes):
            copier.read_lost(read.chunk, now)
            self._metrics.failed('origin_read_failed')
            warn(
                'origin_read_failed',
                digest=read.digest,
                chunk=read.chunk,
                reason=read.outcome.text,
            )
        elif copier.complete:
            return
        elif copier.read_came(read.chunk, read.outcome, now):
            self._metrics.received('origin', len(read.outcome))
            self._news.chunk(read.digest)
            self._tell_whole(copier)
        else:
            self._metrics.failed('origin_chunk_corrupt')
            warn('origin_chunk_corrupt', digest=read.digest, chunk=read.chunk)

    def _corrupt_from(self, peer: PeerLink, digest: str, index: int) -> None:
        key = peer.name, peer.link.peer.incarnation
        self._corrupt[key] = self._corrupt.get(key, 0) + 1
        self._metrics.failed('peer_chunk_corrupt')
        warn(
            'peer_chunk_corrupt',
            peer=peer.name,
            digest=digest,
            chunk=index,
            count=self._corrupt[key],
        )
        if self._is_banned(peer):
            # A peer that corrupts what it sends would be asked again and
            # again, as it says that it holds all; the copy would crawl.
            warn('peer_banned', peer=peer.name)
            for copier in self._copiers.values():
                copier.peer_gone(peer.name)

    # What to do.

    def tick(self, now: float) -> float:
        """Ask, send and tell what is due; gives when to come back at most."""
        self._peers.tick(now)
        self._bandwidth.refill(now)
        self._skip_unreachable()
        for copier in self._copiers.values():
            if copier.complete:
                continue
            if copier.stood_still:
                copier.stood_still = False
                self._peers.dial_again()
            copier.heard(self._expected_peers(copier.digest))
            for action in copier.plan(now, self._bandwidth.may_receive):
                self._do(copier, action)
        self._send_uploads()
        peers = self._peers.links.values()
        news_s = self._news.tell(peers, self._have, now)
        upload_s = self._bandwidth.send_wait_s() if self._uploads else None
        due = [IDLE_S, news_s, upload_s]
        return min(wait_s for wait_s in due if wait_s is not None)

    def _do(self, copier: Copier, action: Action) -> None:
        if isinstance(action, AskPeer):
            peer = self._peers.links.get(action.peer)
            request = messages.ChunkRequest(copier.digest, action.chunk)
            if peer is not None:
                peer.send(request)
        elif copier.copy is None:
            self.reads.read_manifest(copier.digest)
        else:
            self.reads.read_chunk(copier.copy.manifest, action.chunk)

    def _send_uploads(self) -> None:
        while self._bandwidth.may_send:
            upload = self._uploads.next()
            if upload is None:
                return
            self._send(upload)

    def _send(self, upload: Upload) -> None:
        peer = self._peers.links.get(upload.peer)
        copy = self._copy(upload.digest)
        data = copy.chunk(upload.chunk) if copy else None
        if peer is None or data is None:
            return
        if peer.link.queued_bytes > MAX_QUEUED_BYTES:
            reply = messages.Chunk(
                upload.digest, upload.chunk, b'', 'busy', 1000
            )
            peer.send(reply)
            return
        self._bandwidth.sent(len(data))
        self._metrics.sent(len(data))
        peer.send(messages.Chunk(upload.digest, upload.chunk, data, '', 0))

    def _have(self, digest: str) -> messages.Have:
        copier = self._copiers[digest]
        loading, is_open = self._news.phase_of(digest)
        return messages.Have(
            digest=digest,
            bitmap=copier.bitmap(),
            uploads=len(self._uploads),
            wants=not copier.complete,
            loading=int(loading),
            open=is_open,
        )

    def _begin(self, target: Target, now: float) -> None:
        copier = Copier(
            target.digest,
            target.origin_copies,
            self._policy.choose,
            self._rng,
            now,
        )
        self._copiers[target.digest] = copier
        self._news.chunk(target.digest)
        event('copy_began', digest=target.digest)
        for peer in self._peers.links.values():
            have = peer.haves.get(target.digest)
            if have is not None and not self._is_banned(peer):
                copier.have_came(peer.name, peer.distance, have, now)

    def _give_up(self, digest: str) -> None:
        self.reads.stop(digest)
        copier = self._copiers.pop(digest)
        self._news.forget(digest)
        if copier.copy is not None:
            copier.copy.release()
        for upload in self._uploads.forget_digest(digest):
            peer = self._peers.links.get(upload.peer)
            if peer is not None:
                peer.send(
                    messages.Chunk(digest, upload.chunk, b'', 'unknown', 1000)
                )
        event('copy_released', digest=digest)

    def _tell_whole(self, copier: Copier) -> None:
        if copier.complete:
            event(
                'copy_whole',
                digest=copier.digest,
                **{
                    f'{source}_bytes': size
                    for source, size in copier.received._asdict().items()
                },
            )

    def _skip_unreachable(self) -> None:
        # A reader before us that can't be reached is most likely dead; the
        # platform's list says so only later.
        unreachable = self._peers.unreachable()
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            for digest, copier in self._copiers.items():
                if not copier.complete:
                    self._set_readers(digest)

    def _set_readers(self, digest: str) -> None:
        names = [
            name
            for name in self._hosts.get(digest, ())
            if name not in self._unreachable
        ]
        self._copiers[digest].set_readers(
            self._policy.readers(digest, self._own.name, names)
        )

    def _expected_peers(self, digest: str) -> set[str]:
        hosts = set(self._hosts.get(digest, ()))
        banned = {
            name
            for name, peer in self._peers.links.items()
            if self._is_banned(peer)
        }
        return (self._peers.expected() & hosts) - banned

    def _is_banned(self, peer: PeerLink) -> bool:
        key = peer.name, peer.link.peer.incarnation
        return sources.is_banned(self._corrupt.get(key, 0))

    def _copy(self, digest: str) -> Copy | None:
        copier = self._copiers.get(digest)
        return copier.copy if copier is not None else None
