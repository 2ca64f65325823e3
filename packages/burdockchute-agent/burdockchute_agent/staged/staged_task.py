"""Task that copies the wanted version and has the local engine load it.

All events arrive as messages in its inbox; after each one it derives the next
step from the current state. Calls to the engine block until it answers, so
they run in greenlets of their own, which put their results into the inbox.
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
from burdockchute.decisions import load_verification
from burdockchute.decisions import pacing
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.load_verification import EngineLoads
from burdockchute.decisions.neighbours import neighbours
from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import OrderOutcome
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Machine
from burdockchute.model.members import Member
from burdockchute.nodes.agents import colocated_agent
from burdockchute.nodes.peers import Peers
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.manifest import parse_unverified
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.copy_manager import WeightsSource
from burdockchute_agent.hosting_plan import Target
from burdockchute_agent.origin_reads import OriginClient
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.staged import loading
from burdockchute_agent.staged.forecast import AvailabilityForecast
from burdockchute_agent.staged.loading import ChunksStaged
from burdockchute_agent.staged.loading import LoadChecked
from burdockchute_agent.staged.loading import LoadEnded
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.origins import NoOrigin
from burdockchute_agent.staged.origins import PlatformOrigin
from burdockchute_agent.staged.recorded_engine import RecordedEngine
from burdockchute_agent.staged.rollout import ChunksToStage
from burdockchute_agent.staged.rollout import EngineLoadState
from burdockchute_agent.staged.rollout import Rollout

# Interval of polls of the engine. It is on the same machine, so its reports
# are current, and this is their maximum age when sent to entries.
ENGINE_POLL_S = 0.1

# An engine that doesn't answer may still have a copy staged. Chunks are not
# requested elsewhere before this time has passed.
MAX_SCAN_WAIT_S = 5.0

# One copy is read from the origin for all agents; if a reader fails, the next
# one in order takes over.
ORIGIN_COPIES = 1.0

# Interval of the log lines on the progress of copies. They show which chunks
# no nearby agent has, to explain why a version doesn't spread.
PROGRESS_LOG_S = 1.0

# Chunks named in the log line of a load that isn't verified.
MAX_LOGGED_CHUNKS = 16


class EnginePolled(NamedTuple):
    """The engine's report, or why there is none."""

    requested_at: float
    result: Result[EngineReport, CallFailed]


class StagingAreaScanned(NamedTuple):
    """The staging area was scanned for a copy, and `found` chunks read."""

    name: str
    found: int


class StagedTask:
    """Copies versions, stages them and orders the engine to load them."""

    def __init__(
        self,
        machine: Machine,
        adapter: Adapter,
        hello: Callable[[], messages.Hello],
        known_state: Callable[[], KnownState],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        assert machine.upstream is not None
        self.inbox: queue.Queue = queue.Queue()
        self.report: EngineReport | None = None
        self.bounds = machine.bounds
        self._machine = machine
        self._adapter = adapter
        self._known_state = known_state
        self._now = now
        self._engine = RecordedEngine(adapter.engine(machine.upstream), now)
        # The loads of the engine's present start, None before its first
        # report.
        self._loads: EngineLoads | None = None
        self._own = Member(
            str(machine.upstream),
            'agent',
            machine.address,
            machine.link_ports[0],
            machine.place,
        )
        self._peers = Peers(self._own, hello, self.inbox, rng)
        link = machine.link_bytes_per_s
        self._copies = CopyManager(
            self._own,
            WeightsSource(self._open_origin, parse_unverified),
            Bandwidth(link, link, now()),
            self._peers,
            self.inbox,
            DEFAULT_POLICY,
            rng,
            now(),
            paced=True,
        )
        self._rollouts: dict[str, Rollout] = {}
        self._scanned_copies: set[str] = set()
        self._progress_logged_at = 0.0
        self._scan_requested_at: dict[str, float] = {}
        self._hosts: tuple[str, ...] = (self._own.name,)
        self._region_hosts: tuple[str, ...] = self._hosts

    def run(self) -> None:
        """Work until killed."""
        poller = tasks.start_part(self._poll_engine)
        try:
            wait_s = 0.0
            while True:
                tasks.drain_inbox(self.inbox, self._handle, wait_s)
                wait_s = self._step(self._now())
        finally:
            poller.kill(block=False)
            self._copies.stop()

    def loaded(self) -> dict[str, int]:
        """Return the versions on which the engine may start requests."""
        return load_verification.servable_versions(self._loads, self.report)

    def unverified(self) -> dict[str, int]:
        """Return the loaded versions whose loads aren't verified."""
        return load_verification.unverified_versions(self._loads, self.report)

    def held_bytes(self) -> int:
        """Return the memory that all copies take, in bytes."""
        return self._copies.held_bytes()

    def closes_in_s(self) -> float | None:
        """Estimate the seconds until the engine closes, None if not soon."""
        return self._forecast().closes_in_s(self._now())

    def opens_in_s(self) -> float | None:
        """Estimate the seconds until the engine starts requests again.

        None if it does now, or if no estimate is possible.
        """
        return self._forecast().opens_in_s(self._now())

    def _forecast(self) -> AvailabilityForecast:
        return AvailabilityForecast(
            self.report,
            self.loaded(),
            self._rollouts.values(),
            self._copies,
            lambda model: self._known_state().history(model),
            self.bounds.version_s,
            self._machine.link_bytes_per_s,
            self._predecessor,
        )

    # Events.

    def _poll_engine(self) -> None:
        while True:
            requested_at = self._now()
            self.inbox.put(EnginePolled(requested_at, self._engine.report()))
            gevent.sleep(ENGINE_POLL_S)

    def _handle(self, message: object) -> None:
        match message:
            case KnownState():
                self._update_peers(message)
            case EnginePolled():
                self._engine_polled(message)
            case LoadEnded():
                self._load_ended(message)
            case LoadChecked():
                self._load_checked(message)
            case ChunksStaged():
                self._chunks_staged(message)
            case StagingAreaScanned(name=name, found=found):
                self._copies.awaiting_local_scan.discard(name)
                logs.event('chunks_found_here', copy=name, found=found)
            case _:
                self._copies.handle(message, self._now())

    def _engine_polled(self, polled: EnginePolled) -> None:
        result, previous = polled.result, self.report
        if isinstance(result, Failure):
            if previous is not None:
                logs.warn('engine_lost', reason=result.failure().reason)
            self.report = None
            self._clear_staged()
            return
        report = result.unwrap()
        if previous is not None and report.sequence < previous.sequence:
            self._clear_staged()
        known_start = self._loads.started_ms if self._loads else None
        if report.started_ms != known_start:
            self._forget_earlier_start()
        if previous is None or (
            dict(previous.versions),
            previous.loading,
            previous.sequence,
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
        self._loads = load_verification.after_report(
            self._loads, report, polled.requested_at
        )

    def _chunks_staged(self, staged: ChunksStaged) -> None:
        rollout = self._rollouts[staged.model]
        rollout.is_staging = False
        rollout.record_staged(staged.version, staged.chunks)
        if staged.reason:
            rollout.retry_staging_at = self._now() + staging.ORDER_RETRY_S
            logs.warn(
                'chunks_not_staged',
                model=staged.model,
                version=staged.version,
                staged=len(staged.chunks),
                reason=staged.reason,
            )

    def _clear_staged(self) -> None:
        # The machine may have lost power, and with it the staged chunks.
        for rollout in self._rollouts.values():
            rollout.clear_staged()

    def _forget_earlier_start(self) -> None:
        # Its orders ended with it. The sequence does not always tell: it is 0
        # again after a start, and may have been 0 before.
        self._clear_staged()
        for rollout in self._rollouts.values():
            rollout.ordered_at = None

    def _load_ended(self, ended: LoadEnded) -> None:
        rollout = self._rollouts[ended.model]
        rollout.load_in_progress = False
        now = self._now()
        rollout.record_order(
            ended,
            self._copies.manifest_of(rollout.copy_name_of(ended.version)),
            now,
        )
        if ended.end in (None, OrderOutcome.REFUSED):
            rollout.ordered_at = None
            rollout.retry_load_at = now + staging.ORDER_RETRY_S
        else:
            rollout.ordered_at = now
        logs.event(
            'order_ended',
            model=ended.model,
            version=ended.version,
            end=ended.end.value if ended.end else 'not_given',
            reason=ended.reason,
            started_ms=ended.started_ms,
            sequence=ended.sequence,
            check_age_ms=None
            if ended.check_age_s is None
            else int(ended.check_age_s * 1000),
        )

    def _load_checked(self, checked: LoadChecked) -> None:
        rollout = self._rollouts[checked.model]
        rollout.is_checking = False
        loads = self._loads
        if loads is None or (loads.started_ms, loads.sequence) != (
            checked.started_ms,
            checked.sequence,
        ):
            return
        if checked.invalid is None:
            rollout.retry_check_at = self._now() + staging.ORDER_RETRY_S
            return
        is_verified = load_verification.is_verified_by_order(
            loads, rollout.order, self._engine.first_call_at
        )
        reason = None
        if not is_verified and checked.invalid:
            reason = 'chunks are not those of the version'
        elif not is_verified:
            reason = load_verification.reason_unverified(
                loads, rollout.order, self._engine.written_at(checked.model)
            )
        self._loads = load_verification.after_check(
            loads, checked.model, checked.version, valid=reason is None
        )
        if reason is None:
            logs.event(
                'load_verified',
                model=checked.model,
                version=checked.version,
                started_ms=checked.started_ms,
                sequence=checked.sequence,
                ms=checked.ms,
            )
            return
        logs.warn(
            'load_unverified',
            model=checked.model,
            version=checked.version,
            started_ms=checked.started_ms,
            sequence=checked.sequence,
            ms=checked.ms,
            reason=reason,
            invalid=len(checked.invalid),
            chunks=','.join(map(str, checked.invalid[:MAX_LOGGED_CHUNKS])),
        )

    # Steps.

    def _step(self, now: float) -> float:
        for model in self._models():
            self._step_model(self._rollout_of(model), now)
        targets = self._targets()
        self._copies.set_targets(
            targets,
            {target.digest: self._hosts for target in targets},
            now,
            {target.digest: self._region_hosts for target in targets},
        )
        if now - self._progress_logged_at >= PROGRESS_LOG_S:
            self._progress_logged_at = now
            self._copies.log_progress()
        return self._copies.tick(now)

    def _models(self) -> list[str]:
        requirements = self._known_state().agent_requirements(
            self._machine.service
        )
        return list(requirements.models) if requirements else []

    def _rollout_of(self, model: str) -> Rollout:
        rollout = self._rollouts.get(model)
        if rollout is None:
            rollout = self._rollouts[model] = Rollout(model)
            rollout.expect_earlier_order()
        return rollout

    def _step_model(self, rollout: Rollout, now: float) -> None:
        history = self._known_state().history(rollout.model)
        rollout.update_ready(self._copies)
        rollout.choose_versions(
            history, self._copies, self.bounds.version_s, now
        )
        for version in rollout.wanted:
            self._scan_staging_area(
                rollout.model, rollout.copy_name_of(version), now
            )
        engine = self._engine_state(rollout.model)
        loads = self._loads if self.report is not None else None
        rollout.update_pending_order(loads, now)
        name = ''
        if rollout.ready is not None:
            name = rollout.copy_name_of(rollout.ready)
            self._copies.set_engine_phase(
                name, engine.loading, engine.version == rollout.ready
            )
        if self._check_load(rollout, now):
            # Writes would make it impossible to verify what was loaded.
            return
        self._start_staging(rollout, engine)
        if rollout.ready is None:
            return
        if (
            rollout.load_in_progress
            or rollout.is_staging
            or now < rollout.retry_load_at
        ):
            return
        if not staging.may_order(rollout.staging_state(engine), now):
            return
        copy = self._copies.complete_copy(name)
        if copy is None or self._engine.may_stage_other_data(
            rollout.model, copy, now
        ):
            # Such a write could be executed between the check and the order,
            # and another one hide that from the read after the load.
            return
        if self._is_our_turn(rollout, engine, now):
            rollout.load_in_progress = True
            gevent.spawn(
                self._load,
                copy,
                rollout.model,
                rollout.ready,
                now >= rollout.order_pending_until,
            )

    def _check_load(self, rollout: Rollout, now: float) -> bool:
        """Start to check the last load; return whether it needs a check.

        A version whose manifest isn't known can't be checked.
        """
        if rollout.is_checking:
            return True
        if rollout.load_in_progress or rollout.is_staging:
            return False
        version = load_verification.version_to_check(
            self._loads, self.report, rollout.model, rollout.order
        )
        if version is None:
            return False
        manifest = self._copies.manifest_of(rollout.copy_name_of(version))
        if rollout.order is not None and rollout.order.version == version:
            manifest = manifest or rollout.ordered_manifest
        if manifest is None:
            return False
        if now >= rollout.retry_check_at:
            rollout.is_checking = True
            gevent.spawn(
                self._read_after_load,
                manifest,
                rollout.model,
                version,
                self._loads,
            )
        return True

    def _engine_state(self, model: str) -> EngineLoadState:
        if self.report is None:
            return EngineLoadState(None, True)
        return EngineLoadState(
            self.report.versions.get(model), self.report.loading
        )

    def _is_our_turn(
        self, rollout: Rollout, engine: EngineLoadState, now: float
    ) -> bool:
        # A load interrupts nothing if no version is loaded yet.
        if engine.version is None or rollout.ready is None:
            return True
        history = self._known_state().history(rollout.model)
        named_at = versions.named_at(history, rollout.ready)
        if staging.must_load(named_at, self.bounds.version_s, now):
            return True
        name = rollout.copy_name_of(rollout.ready)
        predecessor = self._predecessor(name)
        known = pacing.Predecessor(
            is_open=predecessor is not None
            and self._copies.is_served_by(predecessor, name),
            gone=predecessor in self._peers.unreachable(),
        )
        completed_at = self._copies.completed_at(name)
        return completed_at is not None and pacing.may_load(
            predecessor, known, completed_at, now
        )

    def _predecessor(self, name: str) -> str | None:
        """Return the agent that loads a copy before this one, if any."""
        return pacing.predecessor(
            name, self._own.name, self._hosts, staging.LOADING_SHARE
        )

    def _start_staging(
        self, rollout: Rollout, engine: EngineLoadState
    ) -> None:
        now = self._now()
        if now < max(rollout.retry_staging_at, rollout.order_pending_until):
            return
        to_stage = rollout.chunks_to_stage(engine, self._copies)
        if to_stage is None or rollout.copy_name_of(to_stage.version) not in (
            self._scanned_copies
        ):
            return
        rollout.is_staging = True
        gevent.spawn(self._stage_chunks, rollout.model, to_stage)

    def _stage_chunks(self, model: str, to_stage: ChunksToStage) -> None:
        self.inbox.put(
            loading.stage_chunks(
                self._engine,
                to_stage.copy,
                model,
                to_stage.version,
                to_stage.chunks,
            )
        )

    def _load(
        self, copy: Copy, model: str, version: int, may_write: bool
    ) -> None:
        self.inbox.put(
            loading.load(
                self._engine, copy, model, version, self._now, may_write
            )
        )

    def _read_after_load(
        self, manifest: Manifest, model: str, version: int, loads: EngineLoads
    ) -> None:
        self.inbox.put(
            loading.check_load(
                self._engine, manifest, model, version, loads, self._now
            )
        )

    def _targets(self) -> list[Target]:
        """Return the copies to hold, by priority."""
        return [
            _target(rollout.model, version)
            for rollout in self._rollouts.values()
            for version in rollout.held_versions()
        ]

    # Peers.

    def _service_agents(self, known_state: KnownState) -> list[Member]:
        machine = self._machine
        return [
            colocated_agent(upstream, machine.link_ports[0], machine.regions)
            for upstream in known_state.present_upstreams()
            if upstream.service == machine.service
        ]

    def _update_peers(self, known_state: KnownState) -> None:
        members = {m.name: m for m in self._service_agents(known_state)}
        all_members = {**members, self._own.name: self._own}
        self._hosts = tuple(sorted(all_members))
        self._region_hosts = tuple(
            name
            for name in self._hosts
            if all_members[name].place.region == self._own.place.region
        )
        chosen = neighbours(
            f'service/{self._machine.service}',
            self._own,
            tuple(members.values()),
        )
        self._peers.set_wanted({name: members[name] for name in chosen})

    # The origin and the staging area.

    def _open_origin(self) -> OriginClient:
        requirements = self._known_state().agent_requirements(
            self._machine.service
        )
        if requirements is None or not requirements.origin:
            return NoOrigin()
        try:
            address = self._adapter.endpoint(requirements.origin)
        except ValueError as exc:
            # An entry of another release may report one.
            logs.warn('origin_unreadable', reason=str(exc))
            return NoOrigin()
        return PlatformOrigin(self._adapter.origin(address))

    def _scan_staging_area(self, model: str, name: str, now: float) -> None:
        """Read the chunks of a copy that are in the staging area already.

        An agent that was restarted has no copy in memory, but its engine may
        have one staged; reading it loads neither the link nor the origin.
        """
        if name in self._scanned_copies:
            return
        manifest = self._copies.manifest_of(name)
        requested_at = self._scan_requested_at.setdefault(name, now)
        if now - requested_at > MAX_SCAN_WAIT_S:
            self._copies.awaiting_local_scan.discard(name)
        elif manifest is None or self.report is None:
            self._copies.awaiting_local_scan.add(name)
        if manifest is None or self.report is None:
            return
        self._scanned_copies.add(name)
        gevent.spawn(self._read_staged_chunks, model, name)

    def _read_staged_chunks(self, model: str, name: str) -> None:
        found = 0
        for index in self._copies.missing_chunks(name):
            staged = self._engine.staged(model, index)
            if isinstance(staged, Failure):
                if not staged.failure().status:
                    break
                continue
            data = staged.unwrap()
            found += self._copies.add_local_chunk(
                name, index, data, self._now()
            )
        self.inbox.put(StagingAreaScanned(name, found))


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
