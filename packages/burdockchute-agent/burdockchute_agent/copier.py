"""The state of one copy: chunks held, requested and read, and its peers.

It has no sockets and reads no clock. The caller reports what arrives;
`plan_reads` and `plan_requests` return the reads and requests to start now.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from burdockchute.decisions import chunks
from burdockchute.decisions import sources
from burdockchute.decisions.chunks import ChunkPolicy
from burdockchute.decisions.chunks import Offer
from burdockchute.decisions.chunks import set_bits
from burdockchute.decisions.neighbours import OTHER_REGION
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import chunk_bytes
from burdockchute.weights.manifest import Manifest
from burdockchute.wire import messages
from burdockchute_agent.chunk_requests import PeerCopy
from burdockchute_agent.chunk_requests import PendingChunkRequests
from burdockchute_agent.origin_schedule import MANIFEST_INDEX
from burdockchute_agent.origin_schedule import OriginSchedule
from burdockchute_agent.region_imports import RegionImports

# Names of the distances of peers, nearest first, as in the label `source` of
# the metrics.
SOURCE_NAMES = ('zone', 'region', 'elsewhere')

# Two requests keep a peer's uplink busy while the next one is on its way.
# More would only wait there, while another peer could send the chunks.
MAX_REQUESTS_PER_PEER = 2
MAX_REQUESTS = 16
MAX_READS = 2

# On paced links, chunks requested from several peers may arrive at once and
# fill the queue before this instance's link, where requests for its upstream
# wait too. These limits keep the link busy and delay a request by no more
# than some tenths of a second.
PACED_MAX_REQUESTS = 4
PACED_MAX_READS = 1
MAX_REQUESTS_DURING_READS = 1


class RequestChunk(NamedTuple):
    """Send a ChunkRequest."""

    peer: str
    chunk: int


class ReadOrigin(NamedTuple):
    """Read a chunk, or the manifest, from the store."""

    chunk: int


Action = RequestChunk | ReadOrigin


class ReceivedBytes(NamedTuple):
    """Bytes of chunks by source; `twice` counts chunks already held."""

    origin: int = 0
    zone: int = 0
    region: int = 0
    elsewhere: int = 0
    twice: int = 0


class CopyStatus(NamedTuple):
    """The progress of a copy, in chunks.

    `held` are verified. `near` are held by peers in this agent's region,
    `known` are held here or by any peer. `asked` are requested from peers,
    `reading` are being read from the origin.
    """

    held: int
    near: int
    known: int
    asked: int
    reading: int


class Copier:
    """The copy of one digest, its peers, requests and reads."""

    def __init__(
        self,
        digest: str,
        origin_copies: float,
        choose: ChunkPolicy,
        rng: random.Random,
        now: float,
    ) -> None:
        self.digest = digest
        self.schedule = OriginSchedule(rng, now)
        self.schedule.origin_copies = origin_copies
        self.copy: Copy | None = None
        self.peers: dict[str, PeerCopy] = {}
        self.completed_at: float | None = None
        self.received = ReceivedBytes()
        self.imports = RegionImports()
        self.max_requests = MAX_REQUESTS
        self.max_reads = MAX_READS
        # Whether the fleet reads the origin in the order of chunks, a few at
        # a time.
        self.reads_in_order = False
        self._choose = choose
        self._rng = rng
        self._all_chunks = 0
        self._missing = 0
        self._seen_chunks = 0
        self._holder_counts: list[int] = []
        self._requests = PendingChunkRequests()
        self._reads: dict[int, float] = {}
        self._mean_read_s = 0.0
        # When each chunk first became readable, if they are read in order.
        self._readable_since: dict[int, float] = {}
        self._latency_s = 0.0

    # Received data and failures.

    def manifest_received(self, manifest: Manifest, now: float) -> None:
        """Take a manifest that has been verified against the digest."""
        self._reads.pop(MANIFEST_INDEX, None)
        self._requests.remove_chunk(MANIFEST_INDEX)
        if self.copy is not None:
            return
        self.schedule.manifest_received(now)
        self.copy = Copy(manifest)
        count = len(manifest.chunks)
        self._all_chunks = self._missing = (1 << count) - 1
        self._holder_counts = [0] * count

    def have_received(
        self, name: str, distance: int, have: messages.Have, now: float
    ) -> None:
        """Update a peer's state from its Have message."""
        peer = self.peers.setdefault(name, PeerCopy(distance))
        peer.distance = distance
        peer.has_manifest = bool(have.bitmap)
        peer.load = have.uploads
        held = int.from_bytes(have.bitmap, 'little') & self._all_chunks
        for chunk in set_bits(held & ~peer.held):
            self._holder_counts[chunk] += 1
        for chunk in set_bits(peer.held & ~held):
            self._holder_counts[chunk] -= 1
        peer.held = held
        if distance == OTHER_REGION:
            self.imports.note_remote_chunks(held & self._missing, now)
        new_chunks = held & ~self._seen_chunks
        if new_chunks:
            self._seen_chunks |= new_chunks
            self.schedule.chunks_found(new_chunks.bit_count(), now)

    def peer_disconnected(self, name: str) -> None:
        """Remove a peer whose link has closed, and the requests to it."""
        peer = self.peers.pop(name, None)
        if peer is None:
            return
        for chunk in set_bits(peer.held):
            self._holder_counts[chunk] -= 1
        for chunk in list(self._requests):
            self._remove_request(chunk, name)

    def chunk_received(
        self, name: str, chunk: int, data: bytes, now: float
    ) -> bool:
        """Take a chunk from a peer; False if it is corrupt."""
        sent_at = self._remove_request(chunk, name)
        if self.copy is None:
            return True
        if self.copy.has_chunk(chunk):
            twice = self.received.twice + len(data)
            self.received = self.received._replace(twice=twice)
            return True
        if not self.copy.add(chunk, data):
            return False
        if sent_at is not None:
            self._latency_s = sources.moving_average(
                self._latency_s, now - sent_at
            )
        peer = self.peers.get(name)
        if peer is not None:
            peer.missed_deadlines = 0
            self._count_received(peer.distance, len(data))
        self._chunk_added(chunk, now)
        return True

    def request_refused(
        self, name: str, chunk: int, retry_after_s: float, now: float
    ) -> None:
        """Remove a refused request and avoid the peer for a time."""
        self._remove_request(chunk, name)
        peer = self.peers.get(name)
        if peer is not None:
            peer.avoid_until = max(peer.avoid_until, now + retry_after_s)

    def origin_chunk_received(
        self, chunk: int, data: bytes, now: float
    ) -> bool:
        """Take a chunk from the origin; False if it is corrupt."""
        started = self._reads.pop(chunk, now)
        self._mean_read_s = sources.moving_average(
            self._mean_read_s, now - started
        )
        if self.copy is None or self.copy.has_chunk(chunk):
            return True
        if not self.copy.add(chunk, data):
            self.schedule.read_failed(now)
            return False
        self.schedule.read_succeeded(now)
        origin = self.received.origin + len(data)
        self.received = self.received._replace(origin=origin)
        self._chunk_added(chunk, now)
        return True

    def add_local_chunk(self, chunk: int, data: bytes, now: float) -> bool:
        """Take a chunk found on this machine; False if it is corrupt."""
        if self.copy is None or self.copy.has_chunk(chunk):
            return True
        if not self.copy.add(chunk, data):
            return False
        self._chunk_added(chunk, now)
        return True

    def origin_read_failed(self, chunk: int, now: float) -> None:
        """Record that a read from the origin has failed."""
        self._reads.pop(chunk, None)
        # Reads fail for the other readers too, so a chunk that doesn't turn
        # up is no sign that its reader is gone.
        self._readable_since.clear()
        self.schedule.read_failed(now)

    # Progress and planning.

    @property
    def complete(self) -> bool:
        """Whether every chunk is held and verified."""
        return self.copy is not None and self.copy.complete

    def status(self) -> CopyStatus:
        """Return the progress for the log."""
        known = self._known()
        return CopyStatus(
            self.copy.held_count if self.copy else 0,
            self._held_in_region().bit_count(),
            known.bit_count(),
            len(self._requests),
            len(self._reads),
        )

    def known_chunk_count(self) -> int:
        """Return the number of chunks that are held here or by a peer."""
        return self._known().bit_count()

    def all_known(self) -> bool:
        """Whether each chunk is held here or by a peer."""
        return self.copy is not None and self._known() == self._all_chunks

    def is_half_known(self) -> bool:
        """Whether at least half of the chunks are held here or by a peer."""
        return self.copy is not None and (
            2 * self.known_chunk_count() >= self._all_chunks.bit_count()
        )

    def can_request_from_peers(self, now: float) -> bool:
        """Whether a peer that isn't being avoided holds a missing chunk."""
        return any(
            peer.held & self._missing and peer.avoid_until <= now
            for peer in self.peers.values()
        )

    def _known(self) -> int:
        known = self._all_chunks & ~self._missing
        for peer in self.peers.values():
            known |= peer.held
        return known

    def set_expected_peers(self, names: set[str]) -> None:
        """Set the names of the peers that should report.

        Once all have reported what they hold, the origin is read without
        further waiting.
        """
        if names and names <= self.peers.keys():
            self.schedule.all_peers_reported()

    def size_of(self, chunk: int) -> int:
        """Return the size of a chunk in bytes, 0 if it isn't known."""
        if self.copy is None or chunk == MANIFEST_INDEX:
            return 0
        return chunk_bytes(self.copy.manifest, chunk)

    def bitmap(self) -> bytes:
        """Return the bitmap of held chunks, empty without a manifest."""
        return self.copy.bitmap() if self.copy else b''

    def plan_reads(
        self, now: float, reserve: Callable[[int], bool]
    ) -> list[Action]:
        """Return reads from the origin, or the request for the manifest.

        They count as started. `reserve` takes a number of bytes from the
        downlink's budget and returns False if it is used up.
        """
        if self.complete:
            return []
        self._expire_requests(now)
        if self.copy is None:
            return self._plan_manifest(now)
        actions: list[Action] = []
        self._plan_reads(actions, now, reserve)
        return actions

    def plan_requests(
        self, now: float, reserve: Callable[[int], bool]
    ) -> list[Action]:
        """Return the requests to send to peers now, as `plan_reads` does."""
        if self.copy is None or self.complete:
            return []
        actions: list[Action] = []
        self._plan_requests(actions, now, reserve)
        self._plan_second_sources(actions, now, reserve)
        return actions

    def _plan_manifest(self, now: float) -> list[Action]:
        if MANIFEST_INDEX not in self._requests:
            names = [
                name
                for name, peer in self.peers.items()
                if peer.has_manifest and peer.avoid_until <= now
            ]
            if names:
                return [
                    self._add_request(
                        self._rng.choice(names), MANIFEST_INDEX, now
                    )
                ]
        if len(self._requests) or self._reads:
            return []
        if not self.schedule.may_read(now) or not self.schedule.is_due(
            MANIFEST_INDEX, now
        ):
            return []
        self._reads[MANIFEST_INDEX] = now
        return [ReadOrigin(MANIFEST_INDEX)]

    def _plan_reads(
        self,
        actions: list[Action],
        now: float,
        reserve: Callable[[int], bool],
    ) -> None:
        if len(self._reads) >= self.max_reads or not self.schedule.may_read(
            now
        ):
            return
        unavailable = self._missing & ~self._reachable(now) & ~self._pending()
        due = [
            (self.schedule.rank(chunk), self._read_order(chunk), chunk)
            for chunk in set_bits(unavailable & self._readable_chunks(now))
            if self._is_due(chunk, now)
        ]
        for _rank, _tiebreak, chunk in sorted(due):
            if len(self._reads) >= self.max_reads:
                return
            if not reserve(self.size_of(chunk)):
                return
            self._reads[chunk] = now
            actions.append(ReadOrigin(chunk))
        if not self.reads_in_order or self.all_known():
            self._plan_reads_for_region(actions, now, reserve)

    def _read_order(self, chunk: int) -> float:
        return chunk if self.reads_in_order else self._rng.random()

    def _readable_chunks(self, now: float) -> int:
        """Return the chunks that may be read now, by any agent.

        The window starts after the last known chunk, not at the first
        unknown one: an agent is linked to only some of the others and may
        receive the announcements of earlier chunks later.
        """
        if not self.reads_in_order:
            return self._all_chunks
        end = self._known().bit_length() + self.schedule.read_window(now)
        found = self._all_chunks & ((1 << end) - 1)
        for chunk in set_bits(found & ~self._known()):
            self._readable_since.setdefault(chunk, now)
        return found

    def _is_due(self, chunk: int, now: float) -> bool:
        if not self.reads_in_order or chunk not in self._readable_since:
            return self.schedule.is_due(chunk, now)
        rank = self.schedule.rank(chunk)
        if rank == 0:
            return self.schedule.is_due(chunk, now)
        read_s = max(
            [
                self._mean_read_s,
                *(now - started for started in self._reads.values()),
            ]
        )
        unread_s = now - self._readable_since[chunk]
        return unread_s >= sources.takeover_delay_s(rank, read_s)

    def _plan_reads_for_region(
        self,
        actions: list[Action],
        now: float,
        reserve: Callable[[int], bool],
    ) -> None:
        """Read this agent's share of the chunks that its region lacks.

        A copy on many instances is limited by peers' uplinks. The origin's
        link is several times as wide, and idle once every chunk has been
        read there.
        """
        wanted = self._missing & ~self._pending() & ~self._held_in_region()
        chosen = list(set_bits(self.imports.own_share(wanted, now)))
        while chosen and len(self._reads) < self.max_reads:
            chunk = chosen.pop(self._rng.randrange(len(chosen)))
            if not reserve(self.size_of(chunk)):
                return
            self._reads[chunk] = now
            actions.append(ReadOrigin(chunk))

    def _plan_requests(
        self,
        actions: list[Action],
        now: float,
        reserve: Callable[[int], bool],
    ) -> None:
        # All agents wait for a chunk that is being read; chunks from peers
        # would compete with it for the downlink.
        reads_first = self.reads_in_order and not self.all_known()
        limit = (
            MAX_REQUESTS_DURING_READS if reads_first and self._reads else None
        )
        while len(self._requests) < (limit or self.max_requests) and reserve(
            0
        ):
            wanted = self._missing & ~self._pending()
            offers = self._offers(wanted, now)
            # Chunks that this agent is to import for its region go before
            # those held nearby, as the other agents wait for them.
            imports = self.imports.own_share(
                wanted & ~self._held_in_region(), now
            )
            first = [
                offer._replace(useful=offer.useful & imports)
                for offer in offers
                if offer.distance == OTHER_REGION and offer.useful & imports
            ]
            offers = first or chunks.nearest(offers)
            if not offers:
                return
            peer, chunk = self._choose(offers, self._holder_counts, self._rng)
            reserve(self.size_of(chunk))
            actions.append(self._add_request(peer, chunk, now))

    def _plan_second_sources(
        self,
        actions: list[Action],
        now: float,
        reserve: Callable[[int], bool],
    ) -> None:
        if self._missing & ~self._pending():
            return
        overdue_before = now - sources.second_source_s(self._latency_s)
        for chunk in set_bits(self._missing):
            requests = self._requests.for_chunk(chunk)
            started = [request.sent_at for request in requests]
            if chunk in self._reads:
                started.append(self._reads[chunk])
            if len(started) != 1 or started[0] > overdue_before:
                continue
            requested = {request.peer for request in requests}
            offers = [
                offer
                for offer in self._offers(1 << chunk, now)
                if offer.useful and offer.peer not in requested
            ]
            if not offers or not reserve(self.size_of(chunk)):
                continue
            peer = self._choose(offers, self._holder_counts, self._rng).peer
            actions.append(self._add_request(peer, chunk, now))

    def _offers(self, wanted: int, now: float) -> list[Offer]:
        allowed = self.imports.importable(wanted, now)
        return [
            Offer(
                name,
                peer.held
                & (allowed if peer.distance == OTHER_REGION else wanted),
                peer.load + peer.pending_requests,
                peer.distance,
            )
            for name, peer in self.peers.items()
            if peer.pending_requests < MAX_REQUESTS_PER_PEER
            and peer.avoid_until <= now
        ]

    def _add_request(self, name: str, chunk: int, now: float) -> RequestChunk:
        self._requests.add(chunk, name, now)
        self.peers[name].pending_requests += 1
        return RequestChunk(name, chunk)

    def _remove_request(self, chunk: int, name: str) -> float | None:
        request = self._requests.remove(chunk, name)
        if request is None:
            return None
        if name in self.peers:
            self.peers[name].pending_requests -= 1
        return request.sent_at

    def _expire_requests(self, now: float) -> None:
        # Without a deadline, a chunk requested from a peer that stalls, or
        # whose link lost the request, would never be requested elsewhere.
        cutoff = now - sources.deadline_s(self._latency_s)
        for chunk, name in self._requests.sent_before(cutoff):
            self._remove_request(chunk, name)
            peer = self.peers.get(name)
            if peer is None:
                continue
            peer.missed_deadlines += 1
            wait = sources.avoid_s(peer.missed_deadlines)
            peer.avoid_until = max(peer.avoid_until, now + wait)

    def _pending(self) -> int:
        pending = 0
        for chunk in self._requests:
            pending |= 1 << chunk
        for chunk in self._reads:
            pending |= 1 << chunk
        return pending

    def _held_in_region(self) -> int:
        held = 0
        for peer in self.peers.values():
            if peer.distance != OTHER_REGION:
                held |= peer.held
        return held

    def _reachable(self, now: float) -> int:
        reachable = 0
        for peer in self.peers.values():
            if not peer.missed_deadlines or peer.avoid_until <= now:
                reachable |= peer.held
        return reachable

    def _chunk_added(self, chunk: int, now: float) -> None:
        self._missing &= ~(1 << chunk)
        if not self._seen_chunks >> chunk & 1:
            self._seen_chunks |= 1 << chunk
            self.schedule.chunks_found(1, now)
        if self.complete:
            self.completed_at = now

    def _count_received(self, distance: int, size: int) -> None:
        field = SOURCE_NAMES[distance]
        total = getattr(self.received, field) + size
        self.received = self.received._replace(**{field: total})
