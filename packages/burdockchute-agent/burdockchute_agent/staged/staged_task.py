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
from burdockchute import tasks
from burdockchute.adapters import Adapter
from burdockchute.adapters import Engine
from burdockchute.decisions import pacing
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.neighbours import neighbours
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import OrderEnd
from burdockchute.model.machines import Machine
from burdockchute.model.members import Member
from burdockchute.nodes.agents import agent_beside
from burdockchute.nodes.peers import Peers
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import parse_named
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.copy_manager import WeightsSource
from burdockchute_agent.hosting_plan import Target
from burdockchute_agent.origin_reads import OriginClient
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.staged import loading
from burdockchute_agent.staged.forecast import AvailabilityForecast
from burdockchute_agent.staged.forecast import servable_versions
from burdockchute_agent.staged.loading import ChunksStaged
from burdockchute_agent.staged.loading import LoadEnded
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.origins import NoOrigin
from burdockchute_agent.staged.origins import PlatformOrigin
from burdockchute_agent.staged.rollout import ChunksToStage
from burdockchute_agent.staged.rollout import EngineLoadState
from burdockchute_agent.staged.rollout import Rollout

# How often the engine is looked at; it is on the same machine and what it
# tells is fresh, so this is the age of what entries learn of its load.
LOOK_S = 0.1

# An engine that does not answer may still hold a copy; it is waited for this
# long before the copy is asked for elsewhere.
HOLD_S = 5.0

# One copy from the origin for all; a reader that fails is followed by the
# next in order.
ORIGIN_COPIES = 1.0

# How a copy comes along is written this often: who looks for why a version
# does not spread sees which chunks nobody near has.
STANDING_S = 1.0


class EngineLooked(NamedTuple):
    """The engine's report, asked for at `at`, or why there is none."""

    at: float
    result: Result[EngineReport, CallFailed]


class FoundHere(NamedTuple):
    """All that lay in the staging area was looked through for a copy."""

    name: str
    found: int


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
        self._copying = CopyManager(
            self._own,
            WeightsSource(self._open_origin, parse_named),
            Bandwidth(link, link, now()),
            self._peers,
            self.inbox,
            DEFAULT_POLICY,
            rng,
            now(),
            paced=True,
        )
        self._rollouts: dict[str, Rollout] = {}
        self._looked_through: set[str] = set()
        self._standing_at = 0.0
        self._held_since: dict[str, float] = {}
        self._hosts: tuple[str, ...] = (self._own.name,)
        self._region_hosts: tuple[str, ...] = self._hosts

    def run(self) -> None:
        """Work until killed."""
        watch = gevent.spawn(self._watch_engine)
        try:
            wait_s = 0.0
            while True:
                tasks.take_waiting(self.inbox, self._take, wait_s)
                wait_s = self._step(self._now())
        finally:
            watch.kill(block=False)
            self._copying.stop()

    def loaded(self) -> dict[str, int]:
        """Give the versions on which the engine may begin requests."""
        return servable_versions(self.report)

    def held_bytes(self) -> int:
        """Give the memory that all copies take."""
        return self._copying.held_bytes()

    def closes_in_s(self) -> float | None:
        """Estimate when the engine takes nothing new, None for not soon."""
        return self._forecast().closes_in_s(self._now())

    def opens_in_s(self) -> float | None:
        """Estimate when the engine takes requests again, None for unknown."""
        return self._forecast().opens_in_s(self._now())

    def _forecast(self) -> AvailabilityForecast:
        return AvailabilityForecast(
            self.report,
            self._rollouts.values(),
            self._copying,
            lambda model: self._beliefs().history(model),
            self.bounds.version_s,
            self._machine.link_bytes_per_s,
            self._before,
        )

    # What arrives.

    def _watch_engine(self) -> None:
        while True:
            at = self._now()
            self.inbox.put(EngineLooked(at, self._engine.report()))
            gevent.sleep(LOOK_S)

    def _take(self, message: object) -> None:
        match message:
            case Beliefs():
                self._want_peers(message)
            case EngineLooked(result=result):
                self._looked(result)
            case LoadEnded():
                self._load_ended(message)
            case ChunksStaged():
                self._staged_ahead(message)
            case FoundHere(name=name, found=found):
                self._copying.awaiting_local_scan.discard(name)
                logs.event('chunks_found_here', copy=name, found=found)
            case _:
                self._copying.handle(message, self._now())

    def _looked(self, result: Result[EngineReport, CallFailed]) -> None:
        before = self.report
        if isinstance(result, Failure):
            if before is not None:
                logs.warn('engine_lost', reason=result.failure().reason)
            self.report = None
            self._forget_staged()
            return
        report = result.unwrap()
        if before is not None and report.sequence < before.sequence:
            self._forget_staged()
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

    def _staged_ahead(self, staged: ChunksStaged) -> None:
        rollout = self._rollouts[staged.model]
        rollout.is_staging = False
        rollout.record_staged(staged.version, staged.chunks)
        if staged.reason:
            rollout.stage_after = self._now() + staging.ORDER_RETRY_S
            logs.warn(
                'chunks_not_staged',
                model=staged.model,
                version=staged.version,
                staged=len(staged.chunks),
                reason=staged.reason,
            )

    def _forget_staged(self) -> None:
        # It may have lost power, and what was staged with it.
        for rollout in self._rollouts.values():
            rollout.clear_staged()

    def _load_ended(self, ended: LoadEnded) -> None:
        rollout = self._rollouts[ended.model]
        rollout.busy = False
        now = self._now()
        if ended.end in (None, OrderEnd.REFUSED):
            rollout.ordered_at = None
            rollout.pause_until = now + staging.ORDER_RETRY_S
        else:
            rollout.ordered_at = now
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
            rollout = self._rollouts.setdefault(model, Rollout(model))
            self._step_model(rollout, now)
        targets = self._targets()
        self._copying.set_targets(
            targets,
            {target.digest: self._hosts for target in targets},
            now,
            {target.digest: self._region_hosts for target in targets},
        )
        if now - self._standing_at >= STANDING_S:
            self._standing_at = now
            self._copying.log_progress()
        return self._copying.tick(now)

    def _models(self) -> list[str]:
        needs = self._beliefs().needs(self._machine.service)
        return list(needs.models) if needs else []

    def _step_model(self, rollout: Rollout, now: float) -> None:
        history = self._beliefs().history(rollout.model)
        rollout.update_ready(self._copying)
        rollout.choose_versions(
            history, self._copying, self.bounds.version_s, now
        )
        for version in rollout.wanted:
            self._look_through(rollout.model, rollout.name(version), now)
        engine = self._engine_with(rollout.model)
        self._stage_ahead(rollout, engine)
        if rollout.ready is None:
            return
        name = rollout.name(rollout.ready)
        self._copying.set_engine_phase(
            name, engine.loading, engine.version == rollout.ready
        )
        if rollout.busy or rollout.is_staging or now < rollout.pause_until:
            return
        if not staging.may_order(rollout.standing(engine), now):
            return
        copy = self._copying.complete_copy(name)
        if copy is not None and self._is_our_turn(rollout, engine, now):
            rollout.busy = True
            gevent.spawn(self._load, copy, rollout.model, rollout.ready)

    def _engine_with(self, model: str) -> EngineLoadState:
        if self.report is None:
            return EngineLoadState(None, True)
        return EngineLoadState(
            self.report.versions.get(model), self.report.loading
        )

    def _is_our_turn(
        self, rollout: Rollout, engine: EngineLoadState, now: float
    ) -> bool:
        # Where nothing is served yet a load takes nothing away.
        if engine.version is None or rollout.ready is None:
            return True
        history = self._beliefs().history(rollout.model)
        named_at = versions.named_at(history, rollout.ready)
        if staging.must_load(named_at, self.bounds.version_s, now):
            return True
        name = rollout.name(rollout.ready)
        before = self._before(name)
        known = pacing.Predecessor(
            is_open=before is not None
            and self._copying.is_served_by(before, name),
            gone=before in self._peers.unreachable(),
        )
        whole_since = self._copying.completed_at(name)
        return whole_since is not None and pacing.may_load(
            before, known, whole_since, now
        )

    def _before(self, name: str) -> str | None:
        """Give the agent whose load of a copy comes before ours."""
        return pacing.predecessor(
            name, self._own.name, self._hosts, staging.LOADING_SHARE
        )

    def _stage_ahead(self, rollout: Rollout, engine: EngineLoadState) -> None:
        if self._now() < rollout.stage_after:
            return
        ahead = rollout.chunks_to_stage(engine, self._copying)
        if ahead is None or rollout.name(ahead.version) not in (
            self._looked_through
        ):
            return
        rollout.is_staging = True
        gevent.spawn(self._put_ahead, rollout.model, ahead)

    def _put_ahead(self, model: str, ahead: ChunksToStage) -> None:
        self.inbox.put(
            loading.stage_chunks(
                self._engine, ahead.copy, model, ahead.version, ahead.chunks
            )
        )

    def _load(self, copy: Copy, model: str, version: int) -> None:
        self.inbox.put(
            loading.load(self._engine, copy, model, version, self._now)
        )

    def _targets(self) -> list[Target]:
        """Give the copies to hold, those that go first first."""
        return [
            _target(rollout.model, version)
            for rollout in self._rollouts.values()
            for version in rollout.held_versions()
        ]

    # Peers.

    def _engines(self, beliefs: Beliefs) -> list[Member]:
        machine = self._machine
        return [
            agent_beside(upstream, machine.link_ports[0], machine.regions)
            for upstream in beliefs.present()
            if upstream.service == machine.service
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
        needs = self._beliefs().needs(self._machine.service)
        if needs is None or not needs.origin:
            return NoOrigin()
        address = self._adapter.endpoint(needs.origin)
        return PlatformOrigin(self._adapter.origin(address))

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
            self._copying.awaiting_local_scan.discard(name)
        elif manifest is None or self.report is None:
            self._copying.awaiting_local_scan.add(name)
        if manifest is None or self.report is None:
            return
        self._looked_through.add(name)
        gevent.spawn(self._find_here, model, name)

    def _find_here(self, model: str, name: str) -> None:
        found = 0
        for index in self._copying.missing_chunks(name):
            lying = self._engine.staged(model, index)
            if isinstance(lying, Failure):
                if not lying.failure().status:
                    break
                continue
            data = lying.unwrap()
            found += self._copying.add_local_chunk(
                name, index, data, self._now()
            )
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
