"""One copy in the making: what is held, asked for and from whom.

It has no socket and reads no clock: it is told what arrives, and `plan_reads`
and `plan_requests` give the requests to make now.
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

# Names of the distances of peers, nearest first.
SOURCES = ('zone', 'region', 'elsewhere')

# Two requests keep a peer's uplink busy while the next one travels; more
# would only wait there, while another peer could have sent them.
ASKED_OF_ONE = 2
ASKED_IN_ALL = 16
READS_AT_ONCE = 2

# On paced links, what was asked for of several peers may arrive at once and
# stand in the queue before this instance's link, and with it the requests
# for its upstream. So much of it keeps the link busy and delays a request by
# no more than some tenths of a second.
PACED_MAX_REQUESTS = 4
PACED_MAX_READS = 1
ASKED_BESIDE_READS = 1


class RequestChunk(NamedTuple):
    """Send a ChunkRequest."""

    peer: str
    chunk: int


class ReadOrigin(NamedTuple):
    """Read a chunk, or the manifest, from the store."""

    chunk: int


Action = RequestChunk | ReadOrigin


class Received(NamedTuple):
    """Bytes of chunks by where they came from; `twice` came in vain."""

    origin: int = 0
    zone: int = 0
    region: int = 0
    elsewhere: int = 0
    twice: int = 0


class Standing(NamedTuple):
    """How a copy stands, in chunks.

    `near` are those that peers of the own region hold, `known` those that any
    peer holds; `asked` and `reading` are under way.
    """

    held: int
    near: int
    known: int
    asked: int
    reading: int


class Copier:
    """The copy of one digest and the state of its getting."""

    def __init__(
        self,
        digest: str,
        origin_copies: float,
        choose: ChunkPolicy,
        rng: random.Random,
        now: float,
    ) -> None:
        self.digest = digest
        self.origin_schedule = OriginSchedule(rng, now)
        self.origin_schedule.origin_copies = origin_copies
        self.copy: Copy | None = None
        self.peers: dict[str, PeerCopy] = {}
        self.whole_at: float | None = None
        self.received = Received()
        self.imports = RegionImports()
        self.max_requests = ASKED_IN_ALL
        self.max_reads = READS_AT_ONCE
        # Whether the fleet reads few chunks of the origin at a time.
        self.reads_in_order = False
        self._choose = choose
        self._rng = rng
        self._all = 0
        self._missing = 0
        self._near = 0
        self._holders: list[int] = []
        self._asked = PendingChunkRequests()
        self._reading: dict[int, float] = {}
        self._read_s = 0.0
        # When each chunk could first be read, where they are read in order.
        self._open_since: dict[int, float] = {}
        self._latency = 0.0

    # What arrives.

    def manifest_received(self, manifest: Manifest, now: float) -> None:
        """Take a manifest that was checked against the digest."""
        self._reading.pop(MANIFEST_INDEX, None)
        self._asked.forget_chunk(MANIFEST_INDEX)
        if self.copy is not None:
            return
        self.origin_schedule.manifest_received(now)
        self.copy = Copy(manifest)
        count = len(manifest.chunks)
        self._all = self._missing = (1 << count) - 1
        self._holders = [0] * count

    def have_received(
        self, name: str, distance: int, have: messages.Have, now: float
    ) -> None:
        """Take a peer's news of its copy."""
        peer = self.peers.setdefault(name, PeerCopy(distance))
        peer.distance = distance
        peer.has_manifest = bool(have.bitmap)
        peer.load = have.uploads
        held = int.from_bytes(have.bitmap, 'little') & self._all
        for chunk in set_bits(held & ~peer.held):
            self._holders[chunk] += 1
        for chunk in set_bits(peer.held & ~held):
            self._holders[chunk] -= 1
        peer.held = held
        if distance == OTHER_REGION:
            self.imports.note_remote_chunks(held & self._missing, now)
        fresh = held & ~self._near
        if fresh:
            self._near |= fresh
            self.origin_schedule.chunks_found(fresh.bit_count(), now)

    def peer_disconnected(self, name: str) -> None:
        """Forget a peer whose link has closed, and what it was asked."""
        peer = self.peers.pop(name, None)
        if peer is None:
            return
        for chunk in set_bits(peer.held):
            self._holders[chunk] -= 1
        for chunk in list(self._asked):
            self._unask(chunk, name)

    def chunk_received(
        self, name: str, chunk: int, data: bytes, now: float
    ) -> bool:
        """Take a chunk from a peer; False if it is corrupt."""
        at = self._unask(chunk, name)
        if self.copy is None:
            return True
        if self.copy.holds(chunk):
            twice = self.received.twice + len(data)
            self.received = self.received._replace(twice=twice)
            return True
        if not self.copy.add(chunk, data):
            return False
        if at is not None:
            self._latency = sources.moving_average(self._latency, now - at)
        peer = self.peers.get(name)
        if peer is not None:
            peer.strikes = 0
            self._count(peer.distance, len(data))
        self._got(chunk, now)
        return True

    def request_refused(
        self, name: str, chunk: int, retry_after_s: float, now: float
    ) -> None:
        """Note that a peer will not send a chunk now."""
        self._unask(chunk, name)
        peer = self.peers.get(name)
        if peer is not None:
            peer.avoid_until = max(peer.avoid_until, now + retry_after_s)

    def origin_chunk_received(
        self, chunk: int, data: bytes, now: float
    ) -> bool:
        """Take a chunk from the origin; False if it is corrupt."""
        began = self._reading.pop(chunk, now)
        self._read_s = sources.moving_average(self._read_s, now - began)
        if self.copy is None or self.copy.holds(chunk):
            return True
        if not self.copy.add(chunk, data):
            self.origin_schedule.read_failed(now)
            return False
        self.origin_schedule.read_worked(now)
        origin = self.received.origin + len(data)
        self.received = self.received._replace(origin=origin)
        self._got(chunk, now)
        return True

    def add_local_chunk(self, chunk: int, data: bytes, now: float) -> bool:
        """Take a chunk that lay on the own machine; False if spoilt."""
        if self.copy is None or self.copy.holds(chunk):
            return True
        if not self.copy.add(chunk, data):
            return False
        self._got(chunk, now)
        return True

    def origin_read_failed(self, chunk: int, now: float) -> None:
        """Note that a read from the origin has failed."""
        self._reading.pop(chunk, None)
        # It fails for the other readers too, so none of them is gone.
        self._open_since.clear()
        self.origin_schedule.read_failed(now)

    # What to do.

    @property
    def complete(self) -> bool:
        """Whether the whole copy is held and verified."""
        return self.copy is not None and self.copy.complete

    def standing(self) -> Standing:
        """Give how it stands, for the log."""
        known = self._known()
        return Standing(
            self.copy.held_count if self.copy else 0,
            self._held_near().bit_count(),
            known.bit_count(),
            len(self._asked),
            len(self._reading),
        )

    def known_count(self) -> int:
        """Give how many chunks are held here or by a peer."""
        return self._known().bit_count()

    def knows_all(self) -> bool:
        """Tell whether each chunk is held here or by a peer."""
        return self.copy is not None and self._known() == self._all

    def is_half_known(self) -> bool:
        """Tell whether half of the chunks are held here or by a peer."""
        return self.copy is not None and (
            2 * self.known_count() >= self._all.bit_count()
        )

    def wants_of_peers(self, now: float) -> bool:
        """Tell whether peers that may be asked hold what is missing here."""
        return any(
            peer.held & self._missing and peer.avoid_until <= now
            for peer in self.peers.values()
        )

    def _known(self) -> int:
        known = self._all & ~self._missing
        for peer in self.peers.values():
            known |= peer.held
        return known

    def set_expected_peers(self, names: set[str]) -> None:
        """Note which peers there are.

        Once all have told what they hold, there is nothing more to wait for
        before the origin is read.
        """
        if names and names <= self.peers.keys():
            self.origin_schedule.heard_all()

    def size_of(self, chunk: int) -> int:
        """Give the bytes of a chunk, 0 where that isn't known."""
        if self.copy is None or chunk == MANIFEST_INDEX:
            return 0
        return chunk_bytes(self.copy.manifest, chunk)

    def bitmap(self) -> bytes:
        """Give what is held, for a Have; empty without a manifest."""
        return self.copy.bitmap() if self.copy else b''

    def plan_reads(
        self, now: float, may_take: Callable[[int], bool]
    ) -> list[Action]:
        """Give what to read from the origin, or whom to ask for a manifest.

        What is given is noted as under way. `may_take` takes a number of
        bytes from the downlink's budget and tells whether they were there.
        """
        if self.complete:
            return []
        self._expire(now)
        if self.copy is None:
            return self._plan_manifest(now)
        actions: list[Action] = []
        self._plan_reads(actions, now, may_take)
        return actions

    def plan_requests(
        self, now: float, may_take: Callable[[int], bool]
    ) -> list[Action]:
        """Give the requests to peers to make now, as `plan_reads` does."""
        if self.copy is None or self.complete:
            return []
        actions: list[Action] = []
        self._plan_asks(actions, now, may_take)
        self._plan_second_sources(actions, now, may_take)
        return actions

    def _plan_manifest(self, now: float) -> list[Action]:
        if MANIFEST_INDEX not in self._asked:
            names = [
                name
                for name, peer in self.peers.items()
                if peer.has_manifest and peer.avoid_until <= now
            ]
            if names:
                return [
                    self._ask(self._rng.choice(names), MANIFEST_INDEX, now)
                ]
        if len(self._asked) or self._reading:
            return []
        if not self.origin_schedule.may_read(
            now
        ) or not self.origin_schedule.is_due(MANIFEST_INDEX, now):
            return []
        self._reading[MANIFEST_INDEX] = now
        return [ReadOrigin(MANIFEST_INDEX)]

    def _plan_reads(
        self,
        actions: list[Action],
        now: float,
        may_take: Callable[[int], bool],
    ) -> None:
        if len(
            self._reading
        ) >= self.max_reads or not self.origin_schedule.may_read(now):
            return
        unseen = self._missing & ~self._reachable(now) & ~self._pending()
        due = [
            (self.origin_schedule.rank(chunk), self._order(chunk), chunk)
            for chunk in set_bits(unseen & self._open_chunks(now))
            if self._is_due(chunk, now)
        ]
        for _rank, _lot, chunk in sorted(due):
            if len(self._reading) >= self.max_reads:
                return
            if not may_take(self.size_of(chunk)):
                return
            self._reading[chunk] = now
            actions.append(ReadOrigin(chunk))
        if not self.reads_in_order or self.knows_all():
            self._plan_reads_for_region(actions, now, may_take)

    def _order(self, chunk: int) -> float:
        return chunk if self.reads_in_order else self._rng.random()

    def _open_chunks(self, now: float) -> int:
        """Give the chunks that may be read now, whoever reads them.

        They go by the last one that has turned up: an agent is linked to some
        of the others only, and hears of the ones before it later.
        """
        if not self.reads_in_order:
            return self._all
        last = (
            self._known().bit_length()
            + self.origin_schedule.chunks_at_once(now)
        )
        found = self._all & ((1 << last) - 1)
        for chunk in set_bits(found & ~self._known()):
            self._open_since.setdefault(chunk, now)
        return found

    def _is_due(self, chunk: int, now: float) -> bool:
        if not self.reads_in_order or chunk not in self._open_since:
            return self.origin_schedule.is_due(chunk, now)
        rank = self.origin_schedule.rank(chunk)
        if rank == 0:
            return self.origin_schedule.is_due(chunk, now)
        read_s = max(
            [self._read_s, *(now - began for began in self._reading.values())]
        )
        unread_s = now - self._open_since[chunk]
        return unread_s >= sources.takeover_delay_s(rank, read_s)

    def _plan_reads_for_region(
        self,
        actions: list[Action],
        now: float,
        may_take: Callable[[int], bool],
    ) -> None:
        """Read what this agent is to bring over and nobody here has.

        Peers' uplinks are what a copy on many instances waits for; the
        origin's link is several times as wide and idle once every chunk was
        read there.
        """
        wanted = self._missing & ~self._pending() & ~self._held_near()
        chosen = list(set_bits(self.imports.own_share(wanted, now)))
        while chosen and len(self._reading) < self.max_reads:
            chunk = chosen.pop(self._rng.randrange(len(chosen)))
            if not may_take(self.size_of(chunk)):
                return
            self._reading[chunk] = now
            actions.append(ReadOrigin(chunk))

    def _plan_asks(
        self,
        actions: list[Action],
        now: float,
        may_take: Callable[[int], bool],
    ) -> None:
        # Everybody waits for a chunk that is read; what peers send meanwhile
        # would take the downlink from it.
        reads_first = self.reads_in_order and not self.knows_all()
        most = ASKED_BESIDE_READS if reads_first and self._reading else None
        while len(self._asked) < (most or self.max_requests) and may_take(0):
            wanted = self._missing & ~self._pending()
            offers = self._offers(wanted, now)
            # What this agent is to bring over for its region goes before
            # what it can have nearby: the others wait for it.
            imports = self.imports.own_share(wanted & ~self._held_near(), now)
            first = [
                offer._replace(useful=offer.useful & imports)
                for offer in offers
                if offer.distance == OTHER_REGION and offer.useful & imports
            ]
            offers = first or chunks.nearest(offers)
            if not offers:
                return
            peer, chunk = self._choose(offers, self._holders, self._rng)
            may_take(self.size_of(chunk))
            actions.append(self._ask(peer, chunk, now))

    def _plan_second_sources(
        self,
        actions: list[Action],
        now: float,
        may_take: Callable[[int], bool],
    ) -> None:
        if self._missing & ~self._pending():
            return
        late = now - sources.second_source_s(self._latency)
        for chunk in set_bits(self._missing):
            asked = self._asked.of(chunk)
            began = [ask.at for ask in asked]
            if chunk in self._reading:
                began.append(self._reading[chunk])
            if len(began) != 1 or began[0] > late:
                continue
            known = {ask.peer for ask in asked}
            offers = [
                offer
                for offer in self._offers(1 << chunk, now)
                if offer.useful and offer.peer not in known
            ]
            if not offers or not may_take(self.size_of(chunk)):
                continue
            peer = self._choose(offers, self._holders, self._rng).peer
            actions.append(self._ask(peer, chunk, now))

    def _offers(self, wanted: int, now: float) -> list[Offer]:
        allowed = self.imports.importable(wanted, now)
        return [
            Offer(
                name,
                peer.held
                & (allowed if peer.distance == OTHER_REGION else wanted),
                peer.load + peer.asked,
                peer.distance,
            )
            for name, peer in self.peers.items()
            if peer.asked < ASKED_OF_ONE and peer.avoid_until <= now
        ]

    def _ask(self, name: str, chunk: int, now: float) -> RequestChunk:
        self._asked.add(chunk, name, now)
        self.peers[name].asked += 1
        return RequestChunk(name, chunk)

    def _unask(self, chunk: int, name: str) -> float | None:
        ask = self._asked.remove(chunk, name)
        if ask is None:
            return None
        if name in self.peers:
            self.peers[name].asked -= 1
        return ask.at

    def _expire(self, now: float) -> None:
        # A peer that stalls, or one whose link lost the request, would keep
        # its chunks from being asked for elsewhere.
        before = now - sources.deadline_s(self._latency)
        for chunk, name in self._asked.before(before):
            self._unask(chunk, name)
            peer = self.peers.get(name)
            if peer is None:
                continue
            peer.strikes += 1
            wait = sources.avoid_s(peer.strikes)
            peer.avoid_until = max(peer.avoid_until, now + wait)

    def _pending(self) -> int:
        pending = 0
        for chunk in self._asked:
            pending |= 1 << chunk
        for chunk in self._reading:
            pending |= 1 << chunk
        return pending

    def _held_near(self) -> int:
        held = 0
        for peer in self.peers.values():
            if peer.distance != OTHER_REGION:
                held |= peer.held
        return held

    def _reachable(self, now: float) -> int:
        reachable = 0
        for peer in self.peers.values():
            if not peer.strikes or peer.avoid_until <= now:
                reachable |= peer.held
        return reachable

    def _got(self, chunk: int, now: float) -> None:
        self._missing &= ~(1 << chunk)
        if not self._near >> chunk & 1:
            self._near |= 1 << chunk
            self.origin_schedule.chunks_found(1, now)
        if self.complete:
            self.whole_at = now

    def _count(self, distance: int, size: int) -> None:
        field = SOURCES[distance]
        total = getattr(self.received, field) + size
        self.received = self.received._replace(**{field: total})
