"""Manages all copies of weights that this instance holds or makes.

It keeps one copier per digest, decides which copies may read the origin and
request chunks from peers, and carries out what the copiers plan.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
import time
from typing import NamedTuple

from gevent import queue
from returns.result import Result

from burdockchute.decisions import sources
from burdockchute.decisions.sources import ReaderGroup
from burdockchute.logs import event
from burdockchute.model.members import Member
from burdockchute.nodes import links
from burdockchute.nodes.peers import DialResult
from burdockchute.nodes.peers import Peers
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest
from burdockchute.wire import messages
from burdockchute_agent.announcements import Announcements
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.chunk_receiver import ChunkReceiver
from burdockchute_agent.chunk_sender import ChunkSender
from burdockchute_agent.copier import Action
from burdockchute_agent.copier import Copier
from burdockchute_agent.copier import PACED_MAX_READS
from burdockchute_agent.copier import PACED_MAX_REQUESTS
from burdockchute_agent.copier import RequestChunk
from burdockchute_agent.events import ManifestRead
from burdockchute_agent.events import OriginRead
from burdockchute_agent.hosting_plan import Target
from burdockchute_agent.origin_reads import OriginClient
from burdockchute_agent.origin_reads import OriginReads
from burdockchute_agent.policy import Policy
from burdockchute_agent.weights_metrics import WeightsMetrics

# The longest wait between two ticks.
IDLE_S = 0.05


def copies_reading_origin(active: Sequence[Copier]) -> list[Copier]:
    """Return those of the ordered copies that may read the origin.

    Only one copy has chunks read at a time that no agent holds yet: if two
    shared the origin and it failed, neither might be complete. A copy of
    which agents hold half of the chunks goes first, since the remainder takes
    little time and the agents can then complete it without the origin. A copy
    whose reads fail doesn't block the others.
    """
    unread = [
        c for c in active if not c.all_known() and not c.schedule.is_failing
    ]
    half_known = [c for c in unread if c.is_half_known()]
    if half_known:
        return half_known[:1]
    last = active.index(unread[0]) if unread else len(active)
    return list(active[: last + 1])


def copies_requesting_chunks(
    active: Sequence[Copier], now: float
) -> list[Copier]:
    """Return those of the ordered copies that may request chunks.

    Later copies wait while an earlier one can request chunks from peers,
    because both would share the peers' uplinks.
    """
    for position, copier in enumerate(active):
        if copier.can_request_from_peers(now):
            return list(active[: position + 1])
    return list(active)


class WeightsSource(NamedTuple):
    """How to open the origin and how to parse manifests from peers."""

    open_origin: Callable[[], OriginClient]
    parse_manifest: Callable[[bytes, str], Result]


class _KnownReaders(NamedTuple):
    """The readers of a copy, as computed from its hosts."""

    hosts: tuple[str, ...]
    readers: ReaderGroup


class CopyManager:
    """The copies by digest, and their exchange with peers and the origin.

    No chunk is requested for the digests in `awaiting_local_scan`.
    """

    def __init__(
        self,
        own: Member,
        source: WeightsSource,
        bandwidth: Bandwidth,
        peers: Peers,
        inbox: queue.Queue,
        policy: Policy,
        rng: random.Random,
        now: float,
        paced: bool = False,
    ) -> None:
        # Chunks of these may be on this machine, which is searched first.
        self.awaiting_local_scan: set[str] = set()
        self.origin_reads = OriginReads(source.open_origin, inbox.put)
        self._own = own
        self._bandwidth = bandwidth
        self._peers = peers
        self._policy = policy
        self._rng = rng
        self._copiers: dict[str, Copier] = {}
        self._hosts: Mapping[str, tuple[str, ...]] = {}
        # Computing the order of readers takes a hash of each host, and each
        # step sets the readers of each copy again.
        self._readers: dict[str, _KnownReaders] = {}
        self._announcements = Announcements(now)
        self._unreachable: frozenset[str] = frozenset()
        self._order: tuple[str, ...] = ()
        self._paced = paced
        metrics = WeightsMetrics()
        self._sender = ChunkSender(
            peers.links, self.copy_of, bandwidth, metrics, paced
        )
        self._receiver = ChunkReceiver(
            self._copiers,
            peers.links,
            source.parse_manifest,
            bandwidth,
            self._sender,
            self._announcements,
            metrics,
        )

    def stop(self) -> None:
        """Stop all reads and close the links to peers."""
        self.origin_reads.stop_all()
        self._peers.close_all()

    def note_live_bytes(self, count: int, now: float) -> None:
        """Count bytes of live requests on this instance's link."""
        self._bandwidth.note_live(count, now)

    def complete_copy(self, digest: str) -> Copy | None:
        """Return a copy if every chunk of it is held and verified."""
        copier = self._copiers.get(digest)
        return copier.copy if copier is not None and copier.complete else None

    def completed_at(self, digest: str) -> float | None:
        """Return when a copy was completed, in monotonic seconds."""
        copier = self._copiers.get(digest)
        return copier.completed_at if copier is not None else None

    def size_of(self, digest: str) -> int:
        """Return the size of a copy in bytes, 0 while it isn't known."""
        copy = self.copy_of(digest)
        return copy.manifest.size if copy else 0

    def progress(self, digest: str) -> tuple[int, int]:
        """Return the numbers of held chunks and of all chunks."""
        copy = self.copy_of(digest)
        return (copy.held_count, len(copy.manifest.chunks)) if copy else (0, 0)

    def known(self, digest: str) -> int:
        """Return the number of chunks that are held here or by a peer."""
        copier = self._copiers.get(digest)
        return copier.known_chunk_count() if copier is not None else 0

    def full_copy_s(self, digest: str) -> float:
        """Return the least time in seconds that a copy takes on this link."""
        size = self.size_of(digest)
        return size / self._bandwidth.receive_rate if size else float('inf')

    def log_progress(self) -> None:
        """Log the progress of each incomplete copy."""
        for digest, copier in self._copiers.items():
            if not copier.complete:
                event(
                    'copy_progress',
                    digest=digest,
                    uploads=len(self._sender),
                    peers=len(copier.peers),
                    **copier.status()._asdict(),
                )

    def held_bytes(self) -> int:
        """Return the bytes of memory that all copies take."""
        copies = [copier.copy for copier in self._copiers.values()]
        return sum(copy.held_bytes for copy in copies if copy)

    def is_served_by(self, name: str, digest: str) -> bool:
        """Whether a peer has announced that it serves a digest."""
        peer = self._peers.links.get(name)
        have = peer.haves.get(digest) if peer else None
        return have is not None and bool(have.open)

    def set_engine_phase(
        self, digest: str, loading: bool, is_open: bool
    ) -> None:
        """Announce to peers whether the engine loads or serves a digest."""
        if digest in self._copiers:
            self._announcements.set_phase(digest, loading, is_open)

    def set_targets(
        self,
        targets: Sequence[Target],
        hosts: Mapping[str, tuple[str, ...]],
        now: float,
        importers: Mapping[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Set the copies to hold and the agents that host them, by digest.

        `targets` are in order of priority: the copy of an earlier one uses
        the downlink first. `importers` names the agents of this region,
        which divide the import of chunks from other regions among them;
        without it each agent imports its own.
        """
        self._order = tuple(dict.fromkeys(t.digest for t in targets))
        self._hosts = hosts
        self._unreachable = frozenset()
        wanted = {target.digest: target for target in targets}
        for digest in set(self._copiers) - set(wanted):
            self._drop_copy(digest)
        for digest, target in wanted.items():
            if digest not in self._copiers:
                self._start_copy(target, now)
            copier = self._copiers[digest]
            copier.schedule.origin_copies = target.origin_copies
            if importers is not None:
                copier.imports.set_importers(
                    self._own.name, importers.get(digest, ())
                )
            self._set_readers(digest)

    def copy_of(self, digest: str) -> Copy | None:
        """Return a target's copy, complete or not, None without manifest."""
        copier = self._copiers.get(digest)
        return copier.copy if copier is not None else None

    def manifest_of(self, digest: str) -> Manifest | None:
        """Return the manifest of a target, None while it isn't known."""
        copy = self.copy_of(digest)
        return copy.manifest if copy else None

    def add_local_chunk(
        self, digest: str, index: int, data: bytes, now: float
    ) -> bool:
        """Take a chunk found on this machine; False if it is corrupt."""
        copier = self._copiers.get(digest)
        if copier is None or copier.complete:
            return True
        if not copier.add_local_chunk(index, data, now):
            return False
        self._announcements.chunk_added(digest)
        self._receiver.log_if_complete(copier)
        return True

    def missing_chunks(self, digest: str) -> list[int]:
        """Return the chunks that a copy lacks, none without a manifest."""
        copy = self.copy_of(digest)
        if copy is None:
            return []
        count = len(copy.manifest.chunks)
        return [index for index in range(count) if not copy.has_chunk(index)]

    # Messages and links.

    def handle(self, message: object, now: float) -> None:
        """Handle a message about copies or peers."""
        match message:
            case ManifestRead(digest=digest, outcome=outcome):
                self._receiver.manifest_read(digest, outcome, now)
            case OriginRead():
                self._receiver.origin_chunk_read(message, now)
            case DialResult():
                self._peers.on_dialled(message, now)
            case links.Opened(link=link):
                self._link_opened(link)
            case links.Closed(link=link):
                self._link_closed(link)
            case links.Received(link=link, message=received):
                peer = self._peers.find_by_link(link)
                if peer is not None:
                    self._receiver.handle_message(peer, received, now)

    def _link_opened(self, link: links.Link) -> None:
        peer = self._peers.on_opened(link)
        if peer is not None:
            if self._paced:
                link.pace(self._pace)
            for digest in self._copiers:
                peer.send(self._have(digest))

    def _pace(self, size: int) -> float:
        return self._bandwidth.reserve_uplink(size, time.monotonic())

    def _link_closed(self, link: links.Link) -> None:
        name = self._peers.on_closed(link)
        if name is not None:
            self._sender.remove_peer(name)
            for copier in self._copiers.values():
                copier.peer_disconnected(name)

    # Work that is due.

    def tick(self, now: float) -> float:
        """Send the requests, chunks and announcements that are due.

        Return the longest time in seconds until the next call.
        """
        self._peers.tick(now)
        self._bandwidth.refill(now, self._paced)
        self.origin_reads.close_idle(now)
        self._skip_unreachable()
        active: list[Copier] = []
        for digest in self._order:
            copier = self._copiers[digest]
            if copier.complete:
                continue
            if copier.schedule.resumed_after_stall:
                copier.schedule.resumed_after_stall = False
                self._peers.reset_backoff()
            copier.set_expected_peers(self._expected_peers(copier.digest))
            if copier.copy is not None and digest in self.awaiting_local_scan:
                continue
            active.append(copier)
        # Without pacing the copies belong to different rows and are
        # independent of each other.
        for copier in (
            copies_reading_origin(active) if self._paced else reversed(active)
        ):
            for action in copier.plan_reads(
                now, self._bandwidth.reserve_downlink
            ):
                self._execute(copier, action)
        for copier in (
            copies_requesting_chunks(active, now) if self._paced else active
        ):
            for action in copier.plan_requests(
                now, self._bandwidth.reserve_downlink
            ):
                self._execute(copier, action)
        upload_s = self._sender.send_due(now)
        peers = self._peers.links.values()
        announce_s = self._announcements.send_due(peers, self._have, now)
        due = [IDLE_S, announce_s, upload_s]
        return min(wait_s for wait_s in due if wait_s is not None)

    def _execute(self, copier: Copier, action: Action) -> None:
        if isinstance(action, RequestChunk):
            peer = self._peers.links.get(action.peer)
            request = messages.ChunkRequest(copier.digest, action.chunk)
            if peer is not None:
                peer.send(request)
        elif copier.copy is None:
            self.origin_reads.read_manifest(copier.digest)
        else:
            self.origin_reads.read_chunk(copier.copy.manifest, action.chunk)

    def _have(self, digest: str) -> messages.Have:
        copier = self._copiers[digest]
        loading, is_open = self._announcements.phase_of(digest)
        return messages.Have(
            digest=digest,
            bitmap=copier.bitmap(),
            uploads=len(self._sender),
            wants=not copier.complete,
            loading=int(loading),
            open=is_open,
        )

    def _start_copy(self, target: Target, now: float) -> None:
        copier = Copier(
            target.digest,
            target.origin_copies,
            self._policy.choose,
            self._rng,
            now,
        )
        if self._paced:
            copier.max_requests = PACED_MAX_REQUESTS
            copier.max_reads = PACED_MAX_READS
            copier.reads_in_order = True
            copier.schedule.max_backoff_s = sources.URGENT_BACKOFF_S
        self._copiers[target.digest] = copier
        self._announcements.chunk_added(target.digest)
        event('copy_began', digest=target.digest)
        self._receiver.apply_stored_haves(copier, now)

    def _drop_copy(self, digest: str) -> None:
        self.origin_reads.stop(digest)
        copier = self._copiers.pop(digest)
        self._readers.pop(digest, None)
        self._announcements.forget(digest)
        if copier.copy is not None:
            copier.copy.release()
        self._sender.remove_digest(digest)
        event('copy_released', digest=digest)

    def _skip_unreachable(self) -> None:
        # An earlier reader that can't be reached is most likely dead; the
        # platform's list shows that only later.
        unreachable = self._peers.unreachable()
        if unreachable != self._unreachable:
            self._unreachable = unreachable
            for digest, copier in self._copiers.items():
                if not copier.complete:
                    self._set_readers(digest)

    def _set_readers(self, digest: str) -> None:
        hosts = self._hosts.get(digest, ())
        known = self._readers.get(digest)
        if known is None or known.hosts != hosts:
            readers = self._policy.readers(digest, self._own.name, hosts)
            known = self._readers[digest] = _KnownReaders(hosts, readers)
        self._copiers[digest].schedule.set_readers(
            known.readers._replace(unreachable=self._unreachable)
        )

    def _expected_peers(self, digest: str) -> set[str]:
        hosts = set(self._hosts.get(digest, ()))
        banned = {
            name
            for name, peer in self._peers.links.items()
            if self._receiver.is_banned(peer)
        }
        return (self._peers.expected() & hosts) - banned
