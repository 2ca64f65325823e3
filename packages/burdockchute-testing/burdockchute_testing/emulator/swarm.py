"""Copies of weights that spread among agents, in simulated time.

Agents run the product's own decisions: which version to copy, whom to ask,
when to read the origin, whose turn it is to load. Links are shared evenly by
what goes over them at a moment.
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
from burdockchute_testing.emulator.network import between
from burdockchute_testing.emulator.network import Fleet
from burdockchute_testing.emulator.network import MBIT_BYTES
from burdockchute_testing.emulator.network import Network
from burdockchute_testing.emulator.network import ORIGIN

MODEL = 'story'
# Chunks that are copied are this small, those on the links of full size.
DATA_BYTES = 32

# Links are shared anew this often.
STEP_S = 0.01
# Agents look at what to ask for this often, and at once when a chunk comes.
LOOK_S = 0.05
# News of chunks is gathered and sent this often.
NEWS_S = 0.02
WAY_S = 0.003
# Chunks that one agent sends at a time; the others wait in its queue.
UPLOADS_AT_ONCE = 2
# An engine that is to load finishes its requests, then takes the weights.
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
        self.sending = 0
        self.has_news = False
        fleet = swarm.fleet
        side = fleet.side_mbit * MBIT_BYTES * DATA_BYTES / fleet.chunk_bytes
        self._bandwidth = Bandwidth(side, side, swarm.now)
        self.version = 1
        self.loads_until: float | None = None
        self.peers: dict[str, Agent] = {}
        self.whole_at: dict[int, float] = {}
        self._loading = 0
        self._swarm = swarm
        self._rng = random.Random(seed)
        self._news: set[str] = set()
        self._told_at = 0.0
        self._hold_first()

    def _hold_first(self) -> None:
        digest = copy_name(MODEL, self.version)
        copier = Copier(digest, 1.0, DEFAULT_POLICY.choose, self._rng, 0.0)
        copier.manifest_received(self._swarm.manifest(digest), 0.0)
        for chunk in range(self._swarm.fleet.chunks):
            copier.add_local_chunk(chunk, self._swarm.data(digest, chunk), 0.0)
        self.copiers[digest] = copier
        self.rollout.ready = self.version
        self.rollout.wanted = (self.version,)

    # What the product's rollout asks of its copies.

    def progress(self, digest: str) -> tuple[int, int]:
        """Give how many chunks are held, and of how many."""
        copier = self.copiers.get(digest)
        if copier is None or copier.copy is None:
            return 0, 0
        return copier.copy.held_count, len(copier.copy.manifest.chunks)

    def known(self, digest: str) -> int:
        """Give how many chunks this agent or a peer holds."""
        copier = self.copiers.get(digest)
        return copier.known_chunk_count() if copier is not None else 0

    def full_copy_s(self, digest: str) -> float:
        """Give what a whole copy takes over the own link at the least."""
        fleet = self._swarm.fleet
        size = fleet.chunks * fleet.chunk_bytes
        return size / (copy_rates.CAP_SHARE * fleet.side_mbit * MBIT_BYTES)

    def complete_copy(self, digest: str) -> Copy | None:
        """Give a copy if it is whole."""
        copier = self.copiers.get(digest)
        return copier.copy if copier is not None and copier.complete else None

    def copy_of(self, digest: str) -> Copy | None:
        """Give a copy, whole or not."""
        copier = self.copiers.get(digest)
        return copier.copy if copier is not None else None

    # What happens.

    def is_open(self, now: float) -> bool:
        """Tell whether the engine may begin requests."""
        least = versions.least_allowed(
            self._swarm.history, self._swarm.fleet.version_s, now
        )
        return self.loads_until is None and self.version >= least

    def look(self, now: float) -> None:
        """Choose versions, ask for chunks, load what is whole."""
        fleet, history = self._swarm.fleet, self._swarm.history
        self.rollout.update_ready(self)
        self.rollout.choose_versions(history, self, fleet.version_s, now)
        held = [copy_name(MODEL, v) for v in self.rollout.held_versions()]
        for digest in set(self.copiers) - set(held):
            del self.copiers[digest]
        for digest in held:
            if digest not in self.copiers:
                self._begin(digest, now)
        self._load(now)
        self._plan(held, now)
        if self._news and now - self._told_at >= NEWS_S:
            self._tell(now)

    def _begin(self, digest: str, now: float) -> None:
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
        self._news.add(digest)
        for peer in self._reached():
            other = peer.copiers.get(digest)
            if other is not None:
                self.have_received(peer, digest, peer.have(digest), now)

    def have(self, digest: str) -> messages.Have:
        """Give what to tell of a copy."""
        copier = self.copiers[digest]
        return messages.Have(
            digest, copier.bitmap(), len(self.uploads), True, 0, False
        )

    def have_received(
        self, peer: Agent, digest: str, have: messages.Have, now: float
    ) -> None:
        """Take a peer's news."""
        copier = self.copiers.get(digest)
        if copier is not None and not copier.complete:
            distance = neighbours.distance(
                self.member.place, peer.member.place
            )
            copier.have_received(peer.name, distance, have, now)
            copier.set_expected_peers(set(self.peers))
            self.has_news = True

    def _tell(self, now: float) -> None:
        self._told_at = now
        for digest in self._news & self.copiers.keys():
            have = self.have(digest)
            for peer in self._reached():
                came = functools.partial(
                    peer.have_received, self, digest, have
                )
                self._swarm.after(WAY_S, came)
        self._news.clear()

    def _reached(self) -> list[Agent]:
        is_cut = self.name in self._swarm.cut
        return [
            peer
            for peer in self.peers.values()
            if (peer.name in self._swarm.cut) == is_cut
        ]

    def _plan(self, held: Sequence[str], now: float) -> None:
        going = [self.copiers[d] for d in held if not self.copiers[d].complete]
        may_take = self._bandwidth.reserve_downlink
        self._bandwidth.refill(now, paced=True)
        for copier in copies_reading_origin(going):
            for action in copier.plan_reads(now, may_take):
                self._do(copier, action, now)
        for copier in copies_requesting_chunks(going, now):
            for action in copier.plan_requests(now, may_take):
                self._do(copier, action, now)

    def _do(
        self, copier: Copier, action: RequestChunk | ReadOrigin, now: float
    ) -> None:
        digest, chunk = copier.digest, action.chunk
        if isinstance(action, RequestChunk):
            peer = self.peers[action.peer]
            if peer in self._reached():
                self._swarm.after(
                    WAY_S, lambda t: peer.asked(self, digest, chunk, t)
                )
        else:
            self._swarm.read(self, digest, chunk)

    def asked(self, peer: Agent, digest: str, chunk: int, now: float) -> None:
        """Take a peer's request for a chunk."""
        copier = self.copiers.get(digest)
        copy = copier.copy if copier is not None else None
        if copy is None or (chunk >= 0 and not copy.has_chunk(chunk)):
            self._refuse(peer, digest, chunk, 1.0)
        elif chunk < 0:
            self._swarm.after(
                WAY_S, lambda t: peer.manifest_received(digest, t)
            )
        elif self.uploads.add(Upload(peer.name, digest, chunk)):
            self.send_due()
        else:
            self._refuse(peer, digest, chunk, 0.3)

    def _refuse(
        self, peer: Agent, digest: str, chunk: int, wait_s: float
    ) -> None:
        def refused(now: float) -> None:
            copier = peer.copiers.get(digest)
            if copier is not None:
                copier.request_refused(self.name, chunk, wait_s, now)
                peer.give_back(copier.size_of(chunk))

        self._swarm.after(WAY_S, refused)

    def give_back(self, size: int) -> None:
        """Note that bytes that were asked for will not come."""
        self._bandwidth.release_downlink(size)

    def send_due(self) -> None:
        """Send what the uplink takes."""
        while self.sending < UPLOADS_AT_ONCE:
            upload = self.uploads.next()
            if upload is None:
                return
            self.sending += 1
            self._swarm.send(self, self._swarm.agents[upload.peer], upload)

    def manifest_received(self, digest: str, now: float) -> None:
        """Take a manifest from a peer or the origin."""
        copier = self.copiers.get(digest)
        if copier is None or copier.copy is not None:
            return
        copier.manifest_received(self._swarm.manifest(digest), now)
        self._news.add(digest)
        for peer in self._reached():
            if digest in peer.copiers:
                self.have_received(peer, digest, peer.have(digest), now)
        self.look(now)

    def chunk_received(
        self, source: str, digest: str, chunk: int, now: float
    ) -> None:
        """Take a chunk from a peer, or from the origin without a name."""
        copier = self.copiers.get(digest)
        if copier is None:
            return
        data = self._swarm.data(digest, chunk)
        if source:
            copier.chunk_received(source, chunk, data, now)
        else:
            copier.origin_chunk_received(chunk, data, now)
        self._news.add(digest)
        if copier.complete:
            version = int(digest.partition('@')[2])
            self.whole_at.setdefault(version, now)
        self.look(now)

    # Loads.

    def _load(self, now: float) -> None:
        if self.loads_until is not None:
            if now >= self.loads_until:
                self.version, self.loads_until = self._loading, None
            return
        ready = self.rollout.ready
        if ready is None or ready <= self.version:
            return
        if self._is_our_turn(ready, now):
            self._loading = ready
            drain_s = DRAIN_S if self.is_open(now) else 0.0
            self.loads_until = now + drain_s + LOAD_S

    def _is_our_turn(self, ready: int, now: float) -> bool:
        swarm = self._swarm
        named_at = versions.named_at(swarm.history, ready)
        if staging.must_load(named_at, swarm.fleet.version_s, now):
            return True
        name = copy_name(MODEL, ready)
        before = pacing.predecessor(
            name, self.name, swarm.names, staging.LOADING_SHARE
        )
        known = pacing.Predecessor(
            before is not None and swarm.agents[before].version >= ready, False
        )
        since = self.whole_at.get(ready, now)
        return pacing.may_load(before, known, since, now)

    def loaded(self) -> EngineLoadState:
        """Give what the engine holds."""
        return EngineLoadState(self.version, self.loads_until is not None)


class Swarm:
    """Agents of one service; `name_version` names versions at set times."""

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.now = 0.0
        self.history = versions.add_version(versions.History(), 1, -100.0)
        self.origin_chunks = 0
        self.closed_s = 0.0
        self.cut: set[str] = set()
        self.open_at: list[tuple[float, int]] = []
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
        """Give the names of the agents of an agent's region."""
        region = agent.member.place.region
        return tuple(
            name
            for name in self.names
            if self.agents[name].member.place.region == region
        )

    def cut_off(self, region: str) -> None:
        """Cut a region off from the others and from the origin."""
        self.cut.update(
            agent.name
            for agent in self.agents.values()
            if agent.member.place.region == region
        )

    def name_version(self, version: int, at: float) -> None:
        """Have a version named at a time."""

        def named(now: float) -> None:
            self.history = versions.add_version(self.history, version, now)

        self.after(at - self.now, named)

    def after(self, delay_s: float, act: Callable[[float], None]) -> None:
        """Run something later."""
        self._due.append((self.now + delay_s, act))

    # Weights.

    def data(self, digest: str, chunk: int) -> bytes:
        """Give a chunk; small ones stand for those on the links."""
        return hashlib.sha256(f'{digest}/{chunk}'.encode()).digest()

    def manifest(self, digest: str) -> Manifest:
        """Give the manifest of a version."""
        if digest not in self._manifests:
            count = self.fleet.chunks
            content = b''.join(self.data(digest, c) for c in range(count))
            self._manifests[digest] = manifests.build(
                digest, content, DATA_BYTES
            )
        return self._manifests[digest]

    # Links.

    def read(self, agent: Agent, digest: str, chunk: int) -> None:
        """Read the origin for an agent."""

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

        if self._network.origin_is_away(self.now) or agent.name in self.cut:
            self.after(WAY_S, lambda now: failed())
            return
        links = [ORIGIN, f'down {agent.name}']
        region = agent.member.place.region
        if region != 'r0':
            links.append(between('r0', region))
        size = self.fleet.chunk_bytes if chunk >= 0 else 4000
        self._network.send(links, size, arrived, failed)

    def send(self, sender: Agent, taker: Agent, upload: Upload) -> None:
        """Send a chunk from one agent to another."""

        def done() -> None:
            sender.sending -= 1
            sender.send_due()

        def arrived() -> None:
            done()
            taker.chunk_received(
                sender.name, upload.digest, upload.chunk, self.now
            )

        links = [f'up {sender.name}', f'down {taker.name}']
        here, there = sender.member.place.region, taker.member.place.region
        if here != there:
            links.append(between(here, there))
        self._network.send(links, self.fleet.chunk_bytes, arrived, done)

    def run(self, until_s: float) -> None:
        """Play until a time."""
        look_at = self.now
        while self.now < until_s:
            self.now += STEP_S
            due = [d for d in self._due if d[0] <= self.now]
            self._due = [d for d in self._due if d[0] > self.now]
            for _at, act in sorted(due, key=lambda d: d[0]):
                act(self.now)
            self._network.move(self.now, STEP_S)
            is_due = self.now >= look_at
            look_at += LOOK_S if is_due else 0.0
            for agent in self.agents.values():
                if is_due or agent.has_news:
                    agent.has_news = False
                    agent.look(self.now)
            count = sum(a.is_open(self.now) for a in self.agents.values())
            if not count:
                self.closed_s += STEP_S
            if not self.open_at or self.open_at[-1][1] != count:
                self.open_at.append((self.now, count))

    def wholes(self, version: int) -> list[float]:
        """Give when copies of a version became whole, first ones first."""
        agents = self.agents.values()
        return sorted(
            a.whole_at[version] for a in agents if version in a.whole_at
        )
