"""Distribution of weights among agents, in simulated time.

Agents run the product's own decision modules: which version to copy, from
which peer to request a chunk, when to read the origin and which agent loads
next. The transfers over a link share its bandwidth evenly.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import functools
import hashlib
import random

from burdockchute.decisions import copy_rates
from burdockchute.decisions import neighbours
from burdockchute.decisions import pacing
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copier import Copier
from burdockchute_agent.copier import PACED_MAX_READS
from burdockchute_agent.copier import PACED_MAX_REQUESTS
from burdockchute_agent.copier import ReadOrigin
from burdockchute_agent.copier import RequestChunk
from burdockchute_agent.copy_manager import copies_reading_origin
from burdockchute_agent.copy_manager import copies_requesting_chunks
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.rollout import EngineLoadState
from burdockchute_agent.staged.rollout import Rollout
from burdockchute_agent.upload_queue import Upload
from burdockchute_agent.upload_queue import UploadQueue
from burdockchute_testing.emulator.network import Fleet
from burdockchute_testing.emulator.network import MBIT_BYTES
from burdockchute_testing.emulator.network import Network
from burdockchute_testing.emulator.network import ORIGIN
from burdockchute_testing.emulator.network import region_link

MODEL = 'story'
# The chunks held in memory have this size; transfers over the links take as
# long as chunks of full size.
STORED_CHUNK_BYTES = 32

# Time step of the simulation; bandwidth is divided anew in each.
TIME_STEP_S = 0.01
# Agents plan at this interval, and at once when a chunk or a peer's
# announcement arrives.
PLAN_INTERVAL_S = 0.05
# Announcements of new chunks are batched over this interval.
ANNOUNCE_INTERVAL_S = 0.02
NETWORK_DELAY_S = 0.003
# Concurrent uploads of an agent; further ones wait in its queue.
MAX_CONCURRENT_UPLOADS = 2
# An engine finishes its requests before it loads weights.
DRAIN_S = 1.5
LOAD_S = 0.4


class Agent:
    """One agent and its engine."""

    def __init__(self, swarm: Swarm, member: Member, seed: int) -> None:
        self.name = member.name
        self.member = member
        self.rollout = Rollout(MODEL)
        self.copiers: dict[str, Copier] = {}
        self.uploads = UploadQueue()
        self.active_uploads = 0
        self.needs_planning = False
        fleet = swarm.fleet
        agent_bytes_per_s = (
            fleet.agent_mbit
            * MBIT_BYTES
            * STORED_CHUNK_BYTES
            / fleet.chunk_bytes
        )
        self._bandwidth = Bandwidth(
            agent_bytes_per_s, agent_bytes_per_s, swarm.now
        )
        self.version = 1
        self.loading_until: float | None = None
        self.peers: dict[str, Agent] = {}
        self.completed_at: dict[int, float] = {}
        self._loading_version = 0
        self._swarm = swarm
        self._rng = random.Random(seed)
        self._unannounced: set[str] = set()
        self._announced_at = 0.0
        self._add_first_version()

    def _add_first_version(self) -> None:
        digest = copy_name(MODEL, self.version)
        copier = Copier(digest, 1.0, DEFAULT_POLICY.choose, self._rng, 0.0)
        copier.manifest_received(self._swarm.manifest(digest), 0.0)
        for chunk in range(self._swarm.fleet.chunks):
            copier.add_local_chunk(chunk, self._swarm.data(digest, chunk), 0.0)
        self.copiers[digest] = copier
        self.rollout.ready = self.version
        self.rollout.wanted = (self.version,)

    # Interface that the product's Rollout uses.

    def progress(self, digest: str) -> tuple[int, int]:
        """Return the number of held chunks and of all chunks."""
        copier = self.copiers.get(digest)
        if copier is None or copier.copy is None:
            return 0, 0
        return copier.copy.held_count, len(copier.copy.manifest.chunks)

    def known(self, digest: str) -> int:
        """Return the number of chunks that this agent or a peer holds."""
        copier = self.copiers.get(digest)
        return copier.known_chunk_count() if copier is not None else 0

    def full_copy_s(self, digest: str) -> float:
        """Return the least time of a full copy over the agent's own link."""
        fleet = self._swarm.fleet
        size = fleet.chunks * fleet.chunk_bytes
        return size / (copy_rates.CAP_SHARE * fleet.agent_mbit * MBIT_BYTES)

    def complete_copy(self, digest: str) -> Copy | None:
        """Return the copy of a digest if it is complete."""
        copier = self.copiers.get(digest)
        return copier.copy if copier is not None and copier.complete else None

    def copy_of(self, digest: str) -> Copy | None:
        """Return the copy of a digest, complete or not."""
        copier = self.copiers.get(digest)
        return copier.copy if copier is not None else None

    # Planning and messages.

    def is_open(self, now: float) -> bool:
        """Whether the engine may start requests."""
        oldest_allowed = versions.least_allowed(
            self._swarm.history, self._swarm.fleet.version_interval_s, now
        )
        return self.loading_until is None and self.version >= oldest_allowed

    def plan(self, now: float) -> None:
        """Choose versions, request chunks and load complete copies."""
        fleet, history = self._swarm.fleet, self._swarm.history
        self.rollout.update_ready(self)
        self.rollout.choose_versions(
            history, self, fleet.version_interval_s, now
        )
        held = [copy_name(MODEL, v) for v in self.rollout.held_versions()]
        for digest in set(self.copiers) - set(held):
            del self.copiers[digest]
        for digest in held:
            if digest not in self.copiers:
                self._start_copy(digest, now)
        self._load(now)
        self._plan_transfers(held, now)
        if (
            self._unannounced
            and now - self._announced_at >= ANNOUNCE_INTERVAL_S
        ):
            self._announce(now)

    def _start_copy(self, digest: str, now: float) -> None:
        copier = Copier(digest, 1.0, DEFAULT_POLICY.choose, self._rng, now)
        copier.max_requests = PACED_MAX_REQUESTS
        copier.max_reads = PACED_MAX_READS
        copier.reads_in_order = True
        copier.schedule.max_backoff_s = 0.5
        names = self._swarm.names
        copier.schedule.set_readers(
            DEFAULT_POLICY.readers(digest, self.name, names)
        )
        copier.imports.set_importers(self.name, self._swarm.region_of(self))
        self.copiers[digest] = copier
        self._unannounced.add(digest)
        for peer in self._reachable_peers():
            other = peer.copiers.get(digest)
            if other is not None:
                self.have_received(
                    peer, digest, peer.announcement(digest), now
                )

    def announcement(self, digest: str) -> messages.Have:
        """Return the announcement of a copy's chunks."""
        copier = self.copiers[digest]
        return messages.Have(
            digest, copier.bitmap(), len(self.uploads), True, 0, False
        )

    def have_received(
        self, peer: Agent, digest: str, have: messages.Have, now: float
    ) -> None:
        """Handle a peer's announcement of its chunks."""
        copier = self.copiers.get(digest)
        if copier is not None and not copier.complete:
            distance = neighbours.distance(
                self.member.place, peer.member.place
            )
            copier.have_received(peer.name, distance, have, now)
            copier.set_expected_peers(set(self.peers))
            self.needs_planning = True

    def _announce(self, now: float) -> None:
        self._announced_at = now
        for digest in self._unannounced & self.copiers.keys():
            have = self.announcement(digest)
            for peer in self._reachable_peers():
                deliver = functools.partial(
                    peer.have_received, self, digest, have
                )
                self._swarm.after(NETWORK_DELAY_S, deliver)
        self._unannounced.clear()

    def _reachable_peers(self) -> list[Agent]:
        is_partitioned = self.name in self._swarm.partitioned
        return [
            peer
            for peer in self.peers.values()
            if (peer.name in self._swarm.partitioned) == is_partitioned
        ]

    def _plan_transfers(self, held: Sequence[str], now: float) -> None:
        incomplete = [
            self.copiers[d] for d in held if not self.copiers[d].complete
        ]
        reserve = self._bandwidth.reserve_downlink
        self._bandwidth.refill(now, paced=True)
        for copier in copies_reading_origin(incomplete):
            for action in copier.plan_reads(now, reserve):
                self._execute(copier, action, now)
        for copier in copies_requesting_chunks(incomplete, now):
            for action in copier.plan_requests(now, reserve):
                self._execute(copier, action, now)

    def _execute(
        self, copier: Copier, action: RequestChunk | ReadOrigin, now: float
    ) -> None:
        digest, chunk = copier.digest, action.chunk
        if isinstance(action, RequestChunk):
            peer = self.peers[action.peer]
            if peer in self._reachable_peers():
                self._swarm.after(
                    NETWORK_DELAY_S,
                    lambda t: peer.chunk_requested(self, digest, chunk, t),
                )
        else:
            self._swarm.read(self, digest, chunk)

    def chunk_requested(
        self, peer: Agent, digest: str, chunk: int, now: float
    ) -> None:
        """Handle a peer's request for a chunk; -1 stands for the manifest."""
        copier = self.copiers.get(digest)
        copy = copier.copy if copier is not None else None
        if copy is None or (chunk >= 0 and not copy.has_chunk(chunk)):
            self._refuse(peer, digest, chunk, 1.0)
        elif chunk < 0:
            self._swarm.after(
                NETWORK_DELAY_S, lambda t: peer.manifest_received(digest, t)
            )
        elif self.uploads.add(Upload(peer.name, digest, chunk)):
            self.start_uploads()
        else:
            self._refuse(peer, digest, chunk, 0.3)

    def _refuse(
        self, peer: Agent, digest: str, chunk: int, wait_s: float
    ) -> None:
        def refused(now: float) -> None:
            copier = peer.copiers.get(digest)
            if copier is not None:
                copier.request_refused(self.name, chunk, wait_s, now)
                peer.release_downlink(copier.size_of(chunk))

        self._swarm.after(NETWORK_DELAY_S, refused)

    def release_downlink(self, size: int) -> None:
        """Release the downlink reserved for a refused request."""
        self._bandwidth.release_downlink(size)

    def start_uploads(self) -> None:
        """Start queued uploads up to the limit of concurrent ones."""
        while self.active_uploads < MAX_CONCURRENT_UPLOADS:
            upload = self.uploads.next()
            if upload is None:
                return
            self.active_uploads += 1
            self._swarm.send(self, self._swarm.agents[upload.peer], upload)

    def manifest_received(self, digest: str, now: float) -> None:
        """Handle a manifest from a peer or the origin."""
        copier = self.copiers.get(digest)
        if copier is None or copier.copy is not None:
            return
        copier.manifest_received(self._swarm.manifest(digest), now)
        self._unannounced.add(digest)
        for peer in self._reachable_peers():
            if digest in peer.copiers:
                self.have_received(
                    peer, digest, peer.announcement(digest), now
                )
        self.plan(now)

    def chunk_received(
        self, source: str, digest: str, chunk: int, now: float
    ) -> None:
        """Handle a chunk; an empty `source` stands for the origin."""
        copier = self.copiers.get(digest)
        if copier is None:
            return
        data = self._swarm.data(digest, chunk)
        if source:
            copier.chunk_received(source, chunk, data, now)
        else:
            copier.origin_chunk_received(chunk, data, now)
        self._unannounced.add(digest)
        if copier.complete:
            version = int(digest.partition('@')[2])
            self.completed_at.setdefault(version, now)
        self.plan(now)

    # Loading.

    def _load(self, now: float) -> None:
        if self.loading_until is not None:
            if now >= self.loading_until:
                self.version, self.loading_until = self._loading_version, None
            return
        ready = self.rollout.ready
        if ready is None or ready <= self.version:
            return
        if self._is_our_turn(ready, now):
            self._loading_version = ready
            drain_s = DRAIN_S if self.is_open(now) else 0.0
            self.loading_until = now + drain_s + LOAD_S

    def _is_our_turn(self, ready: int, now: float) -> bool:
        swarm = self._swarm
        named_at = versions.named_at(swarm.history, ready)
        if staging.must_load(named_at, swarm.fleet.version_interval_s, now):
            return True
        name = copy_name(MODEL, ready)
        predecessor = pacing.predecessor(
            name, self.name, swarm.names, staging.LOADING_SHARE
        )
        known = pacing.Predecessor(
            predecessor is not None
            and swarm.agents[predecessor].version >= ready,
            False,
        )
        completed_at = self.completed_at.get(ready, now)
        return pacing.may_load(predecessor, known, completed_at, now)

    def loaded(self) -> EngineLoadState:
        """Return the version in the engine and whether it is loading."""
        return EngineLoadState(self.version, self.loading_until is not None)


class Swarm:
    """Agents of one service; `name_version` schedules new versions."""

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.now = 0.0
        self.history = versions.add_version(versions.History(), 1, -100.0)
        self.origin_chunks = 0
        self.closed_s = 0.0
        self.partitioned: set[str] = set()
        self.open_counts: list[tuple[float, int]] = []
        self._due: list[tuple[float, Callable[[float], None]]] = []
        self._network = Network(fleet)
        self._manifests: dict[str, Manifest] = {}
        self._regions: dict[str, tuple[str, ...]] = {}
        rng = random.Random(seed)
        members = [self._member(n) for n in range(fleet.agents)]
        self.names = tuple(sorted(m.name for m in members))
        self.agents = {
            m.name: Agent(self, m, rng.randrange(1 << 30)) for m in members
        }
        for member in members:
            for name in neighbours.neighbours('service', member, members):
                self.agents[member.name].peers[name] = self.agents[name]
                self.agents[name].peers[member.name] = self.agents[member.name]

    def _member(self, number: int) -> Member:
        region = f'r{number % self.fleet.regions}'
        place = Place(f'z-{region}', region, '')
        return Member(f'a{number:02}', 'agent', '127.0.0.1', number, place)

    def region_of(self, agent: Agent) -> tuple[str, ...]:
        """Return the names of the agents in an agent's region."""
        region = agent.member.place.region
        return tuple(
            name
            for name in self.names
            if self.agents[name].member.place.region == region
        )

    def partition_region(self, region: str) -> None:
        """Partition a region from the others and from the origin."""
        self.partitioned.update(
            agent.name
            for agent in self.agents.values()
            if agent.member.place.region == region
        )

    def name_version(self, version: int, at: float) -> None:
        """Schedule the naming of a version."""

        def named(now: float) -> None:
            self.history = versions.add_version(self.history, version, now)

        self.after(at - self.now, named)

    def after(self, delay_s: float, act: Callable[[float], None]) -> None:
        """Call `act` with the time after a delay."""
        self._due.append((self.now + delay_s, act))

    # Weights.

    def data(self, digest: str, chunk: int) -> bytes:
        """Return the `STORED_CHUNK_BYTES` bytes that stand for a chunk."""
        return hashlib.sha256(f'{digest}/{chunk}'.encode()).digest()

    def manifest(self, digest: str) -> Manifest:
        """Return the manifest of a version."""
        if digest not in self._manifests:
            count = self.fleet.chunks
            content = b''.join(self.data(digest, c) for c in range(count))
            self._manifests[digest] = manifests.build(
                digest, content, STORED_CHUNK_BYTES
            )
        return self._manifests[digest]

    # Transfers.

    def read(self, agent: Agent, digest: str, chunk: int) -> None:
        """Read a chunk from the origin; -1 stands for the manifest."""

        def failed() -> None:
            copier = agent.copiers.get(digest)
            if copier is not None:
                copier.origin_read_failed(chunk, self.now)

        def arrived() -> None:
            if chunk < 0:
                agent.manifest_received(digest, self.now)
            else:
                self.origin_chunks += 1
                agent.chunk_received('', digest, chunk, self.now)

        if (
            self._network.origin_is_unavailable(self.now)
            or agent.name in self.partitioned
        ):
            self.after(NETWORK_DELAY_S, lambda now: failed())
            return
        links = [ORIGIN, f'down {agent.name}']
        region = agent.member.place.region
        if region != 'r0':
            links.append(region_link('r0', region))
        size = self.fleet.chunk_bytes if chunk >= 0 else 4000
        self._network.send(links, size, arrived, failed)

    def send(self, sender: Agent, receiver: Agent, upload: Upload) -> None:
        """Send a chunk from one agent to another."""

        def done() -> None:
            sender.active_uploads -= 1
            sender.start_uploads()

        def arrived() -> None:
            done()
            receiver.chunk_received(
                sender.name, upload.digest, upload.chunk, self.now
            )

        links = [f'up {sender.name}', f'down {receiver.name}']
        here, there = sender.member.place.region, receiver.member.place.region
        if here != there:
            links.append(region_link(here, there))
        self._network.send(links, self.fleet.chunk_bytes, arrived, done)

    def run(self, until_s: float) -> None:
        """Run the simulation up to a time."""
        plan_at = self.now
        while self.now < until_s:
            self.now += TIME_STEP_S
            due = [d for d in self._due if d[0] <= self.now]
            self._due = [d for d in self._due if d[0] > self.now]
            for _at, act in sorted(due, key=lambda d: d[0]):
                act(self.now)
            self._network.advance(self.now, TIME_STEP_S)
            is_due = self.now >= plan_at
            plan_at += PLAN_INTERVAL_S if is_due else 0.0
            for agent in self.agents.values():
                if is_due or agent.needs_planning:
                    agent.needs_planning = False
                    agent.plan(self.now)
            count = sum(a.is_open(self.now) for a in self.agents.values())
            if not count:
                self.closed_s += TIME_STEP_S
            if not self.open_counts or self.open_counts[-1][1] != count:
                self.open_counts.append((self.now, count))

    def completion_times(self, version: int) -> list[float]:
        """Return the sorted completion times of a version's copies."""
        agents = self.agents.values()
        return sorted(
            a.completed_at[version]
            for a in agents
            if version in a.completed_at
        )
