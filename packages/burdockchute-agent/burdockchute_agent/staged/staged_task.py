"""The task that brings the wanted version to the engine beside it.

Everything that happens reaches it as a message in its inbox; after each it
looks at what is the case and takes the next step. Calls to the engine, which
wait for answers, run in greenlets of their own and report back.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

import gevent
from gevent import queue
from returns.result import Failure
from returns.result import Result

from burdockchute import logs
from burdockchute.adapters import Adapter
from burdockchute.adapters import Engine
from burdockchute.decisions import pacing
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.neighbours import neighbours
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.machines import Machine
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes.peers import Peers
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import parse_named
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copying import Copying
from burdockchute_agent.copying import Source
from burdockchute_agent.origin_reads import OriginClient
from burdockchute_agent.policy import DEFAULT
from burdockchute_agent.staged import loading
from burdockchute_agent.staged.loading import LoadEnded
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.origins import NamedOrigin
from burdockchute_agent.staged.origins import NoOrigin
from burdockchute_agent.wanted import Target

# How often the engine is looked at; it is on the same machine and what it
# tells is fresh, so this is the age of what entries learn of its load.
LOOK_S = 0.1

# An engine that does not answer may still hold a copy; it is waited for this
# long before the copy is asked for elsewhere.
HOLD_S = 5.0

# One copy from the origin for all; a reader that fails is followed by the
# next in order.
ORIGIN_COPIES = 1.0


class EngineLooked(NamedTuple):
    """The engine's report, asked for at `at`, or why there is none."""

    at: float
    result: Result[EngineReport, CallFailed]


class FoundHere(NamedTuple):
    """All that lay in the staging area was looked through for a copy."""

    name: str
    found: int


class ModelState:
    """How far the engine is with one model.

    `target` is the version that is copied, `ready` the newest of which there
    is a whole copy; `busy` while that is staged and ordered.
    """

    def __init__(self, model: str) -> None:
        self.model = model
        self.target: int | None = None
        self.target_at: float | None = None
        self.ready: int | None = None
        self.ordered_at: float | None = None
        self.busy = False
        self.pause_until = 0.0


class StagedTask:
    """Copies versions, stages them and orders the engine to load them."""

    def __init__(
        self,
        machine: Machine,
        adapter: Adapter,
        hello: Callable[[], messages.Hello],
        beliefs: Callable[[], Beliefs],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        assert machine.upstream is not None
        self.inbox: queue.Queue = queue.Queue()
        self.report: EngineReport | None = None
        self.bounds = machine.bounds
        self._machine = machine
        self._adapter = adapter
        self._beliefs = beliefs
        self._now = now
        self._engine: Engine = adapter.engine(machine.upstream)
        self._own = Member(
            str(machine.upstream),
            'agent',
            machine.address,
            machine.link_ports[0],
            machine.place,
        )
        self._peers = Peers(self._own, hello, self.inbox, rng)
        link = machine.link_bytes_per_s
        self._copying = Copying(
            self._own,
            Source(self._open_origin, parse_named),
            Bandwidth(link, link, now()),
            self._peers,
            self.inbox,
            DEFAULT,
            rng,
            now(),
            paced=True,
        )
        self._states: dict[str, ModelState] = {}
        self._looked_through: set[str] = set()
        self._held_since: dict[str, float] = {}
        self._hosts: tuple[str, ...] = (self._own.name,)
        self._region_hosts: tuple[str, ...] = self._hosts

    def run(self) -> None:
        """Work until killed."""
        watch = gevent.spawn(self._watch_engine)
        try:
            wait_s = 0.0
            while True:
                self._take_messages(wait_s)
                wait_s = self._step(self._now())
        finally:
            watch.kill(block=False)
            self._copying.stop()

    def loaded(self) -> dict[str, int]:
        """Give the versions on which the engine may begin requests.

        While it loads it takes nothing new, so there are none.
        """
        if self.report is None or self.report.loading:
            return {}
        return dict(self.report.versions)

    def held_bytes(self) -> int:
        """Give the memory that all copies take."""
        return self._copying.held_bytes()

    def closes_in_s(self) -> float | None:
        """Estimate when the engine takes nothing new, None for not soon."""
        now = self._now()
        times = [self._closes_in_s(s, now) for s in self._states.values()]
        return min((t for t in times if t is not None), default=None)

    def _closes_in_s(self, state: ModelState, now: float) -> float | None:
        loaded = self.loaded().get(state.model)
        progress = self._progress(state)
        if loaded is None or progress is None or state.target_at is None:
            return None
        version, share = progress.version, progress.share
        if state.ready is not None and loaded < state.ready:
            version, share = state.ready, 1.0
        if loaded >= version:
            return None
        history = self._beliefs().history(state.model)
        named_at = versions.named_at(history, version)
        limit_in_s = 0.0
        if named_at is not None:
            limit_s = self.bounds.version_s - staging.LAST_CALL_S
            limit_in_s = named_at + limit_s - now
        name = copy_name(state.model, version)
        return staging.closes_in_s(
            share,
            now - state.target_at,
            self._before(name) is not None,
            limit_in_s,
        )

    # What arrives.

    def _watch_engine(self) -> None:
        while True:
            at = self._now()
            self.inbox.put(EngineLooked(at, self._engine.report()))
            gevent.sleep(LOOK_S)

    def _take_messages(self, wait_s: float) -> None:
        try:
            message = self.inbox.get(timeout=wait_s)
        except queue.Empty:
            return
        while message is not None:
            self._take(message)
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                message = None

    def _take(self, message: object) -> None:
        match message:
            case Beliefs():
                self._want_peers(message)
            case EngineLooked(result=result):
                self._looked(result)
            case LoadEnded():
                self._load_ended(message)
            case FoundHere(name=name, found=found):
                self._copying.held_back.discard(name)
                logs.event('chunks_found_here', copy=name, found=found)
            case _:
                self._copying.take(message, self._now())

    def _looked(self, result: Result[EngineReport, CallFailed]) -> None:
        before = self.report
        if isinstance(result, Failure):
            if before is not None:
                logs.warn('engine_lost', reason=result.failure().reason)
            self.report = None
            return
        report = result.unwrap()
        if before is None or (
            dict(before.versions),
            before.loading,
            before.sequence,
        ) != (dict(report.versions), report.loading, report.sequence):
            logs.event(
                'engine_changed',
                versions=','.join(
                    f'{m}@{v}' for m, v in report.versions.items()
                ),
                loading=report.loading,
                sequence=report.sequence,
                running=report.running,
                waiting=report.waiting,
            )
        self.report = report

    def _load_ended(self, ended: LoadEnded) -> None:
        state = self._states[ended.model]
        state.busy = False
        now = self._now()
        if ended.end is None or ended.end.name == 'REFUSED':
            state.ordered_at = None
            state.pause_until = now + staging.ORDER_PAUSE_S
        else:
            state.ordered_at = now
        logs.event(
            'order_ended',
            model=ended.model,
            version=ended.version,
            end=ended.end.value if ended.end else 'not_given',
            reason=ended.reason,
        )

    # What to do.

    def _step(self, now: float) -> float:
        for model in self._models():
            state = self._states.setdefault(model, ModelState(model))
            self._step_model(state, now)
        targets = self._targets()
        self._copying.want(
            targets,
            {target.digest: self._hosts for target in targets},
            now,
            {target.digest: self._region_hosts for target in targets},
        )
        return self._copying.tick(now)

    def _models(self) -> list[str]:
        routes = self._beliefs().routes
        if routes is None:
            return []
        service = routes.services.get(self._machine.service)
        return [model.name for model in service.models] if service else []

    def _step_model(self, state: ModelState, now: float) -> None:
        loaded = self.report.versions.get(state.model) if self.report else None
        self._note_ready(state)
        self._choose_target(state, now)
        standing = staging.Standing(
            ready=state.ready,
            loaded=loaded,
            loading=self.report is None or self.report.loading,
            ordered_at=state.ordered_at,
        )
        if state.busy or now < state.pause_until:
            return
        if state.ready is None:
            return
        name = copy_name(state.model, state.ready)
        self._copying.set_phase(name, standing.loading, loaded == state.ready)
        if staging.may_order(standing, now):
            copy = self._copying.whole_copy(name)
            if copy is not None and self._is_our_turn(state, loaded, now):
                state.busy = True
                gevent.spawn(self._load, copy, state.model, state.ready)

    def _is_our_turn(
        self, state: ModelState, loaded: int | None, now: float
    ) -> bool:
        # Where nothing is served yet a load takes nothing away.
        if loaded is None or state.ready is None:
            return True
        history = self._beliefs().history(state.model)
        named_at = versions.named_at(history, state.ready)
        if staging.must_start(named_at, self.bounds.version_s, now):
            return True
        name = copy_name(state.model, state.ready)
        before = self._before(name)
        known = pacing.Before(
            is_open=before is not None
            and self._copying.is_open_at(before, name),
            gone=before in self._peers.unreachable(),
        )
        whole_since = self._copying.whole_since(name)
        return whole_since is not None and pacing.may_load(
            before, known, whole_since, now
        )

    def _before(self, name: str) -> str | None:
        """Give the agent whose load of a copy comes before ours."""
        return pacing.before(
            name, self._own.name, self._hosts, staging.LOADING_SHARE
        )

    def _choose_target(self, state: ModelState, now: float) -> None:
        newest = self._beliefs().history(state.model).newest
        progress = self._progress(state)
        if progress is not None:
            progress = progress._replace(
                copying_s=now - (state.target_at or now),
                useful_s=self._useful_s(state.model, progress.version, now),
            )
        target = staging.target(newest, progress)
        if target != state.target:
            logs.event(
                'target_changed',
                model=state.model,
                target=target,
                before=state.target,
                newest=newest,
                share=round(progress.share, 2) if progress else None,
            )
            state.target = target
            state.target_at = now
        self._look_through(state.model, copy_name(state.model, target), now)

    def _useful_s(self, model: str, version: int, now: float) -> float:
        """Give how long those before a version may still begin requests."""
        history = self._beliefs().history(model)
        named_at = versions.named_at(history, version)
        if named_at is None:
            return 0.0
        limit_s = self.bounds.version_s - versions.MARGIN_S
        return named_at + limit_s - now

    def _progress(self, state: ModelState) -> staging.Progress | None:
        if state.target is None:
            return None
        name = copy_name(state.model, state.target)
        held, count = self._copying.progress(name)
        return staging.Progress(state.target, held / count if count else 0.0)

    def _note_ready(self, state: ModelState) -> None:
        if state.target is None or state.target == state.ready:
            return
        if self._copying.whole_copy(copy_name(state.model, state.target)):
            state.ready = state.target
            state.ordered_at = None

    def _load(self, copy: Copy, model: str, version: int) -> None:
        self.inbox.put(
            loading.load(self._engine, copy, model, version, self._now)
        )

    def _targets(self) -> list[Target]:
        """Give the copies to hold: the target and what is ready or loaded."""
        return [
            _target(state.model, version)
            for state in self._states.values()
            for version in {state.target, state.ready}
            if version is not None
        ]

    # Peers.

    def _engines(self, beliefs: Beliefs) -> list[Member]:
        regions = self._machine.regions
        return [
            Member(
                str(upstream.endpoint),
                'agent',
                upstream.endpoint.ip,
                self._machine.link_ports[0],
                Place(upstream.zone, regions.get(upstream.zone, ''), ''),
            )
            for upstream in beliefs.present()
            if upstream.service == self._machine.service
        ]

    def _want_peers(self, beliefs: Beliefs) -> None:
        members = {m.name: m for m in self._engines(beliefs)}
        everyone = {**members, self._own.name: self._own}
        self._hosts = tuple(sorted(everyone))
        self._region_hosts = tuple(
            name
            for name in self._hosts
            if everyone[name].place.region == self._own.place.region
        )
        chosen = neighbours(
            f'service/{self._machine.service}',
            self._own,
            tuple(members.values()),
        )
        self._peers.want({name: members[name] for name in chosen})

    # The origin and what lies here.

    def _open_origin(self) -> OriginClient:
        routes = self._beliefs().routes
        for service in routes.services.values() if routes else ():
            if service.origin:
                address = self._adapter.endpoint(service.origin)
                return NamedOrigin(self._adapter.origin(address))
        return NoOrigin()

    def _look_through(self, model: str, name: str, now: float) -> None:
        """Take what lies in the staging area already.

        An agent that was restarted has no copy in memory, but its engine may
        have one staged; reading it costs no link and no origin.
        """
        if name in self._looked_through:
            return
        manifest = self._copying.manifest_of(name)
        since = self._held_since.setdefault(name, now)
        if now - since > HOLD_S:
            self._copying.held_back.discard(name)
        elif manifest is None or self.report is None:
            self._copying.held_back.add(name)
        if manifest is None or self.report is None:
            return
        self._looked_through.add(name)
        gevent.spawn(self._find_here, model, name)

    def _find_here(self, model: str, name: str) -> None:
        found = 0
        for index in self._copying.missing(name):
            lying = self._engine.staged(model, index)
            if isinstance(lying, Failure):
                if not lying.failure().status:
                    break
                continue
            data = lying.unwrap()
            found += self._copying.found_here(name, index, data, self._now())
        self.inbox.put(FoundHere(name, found))


def _target(model: str, version: int) -> Target:
    return Target(
        kind='model',
        name=model,
        version=str(version),
        digest=copy_name(model, version),
        base='',
        checks_fencing=False,
        loading_share=1.0,
        origin_copies=ORIGIN_COPIES,
    )
