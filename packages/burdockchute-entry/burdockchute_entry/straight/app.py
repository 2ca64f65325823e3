"""Wiring of an entry that sends requests to upstreams without agents."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools
import random
import time
from typing import Any

import gevent

from burdockchute import http_admin
from burdockchute import listener_metrics
from burdockchute import listening
from burdockchute import logs
from burdockchute import metrics
from burdockchute import process_limits
from burdockchute import site_settings
from burdockchute import tasks
from burdockchute.adapters import Adapter
from burdockchute.callers import server
from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import Stage
from burdockchute.decisions import connection_limits
from burdockchute.decisions import memory_budget
from burdockchute.decisions.crash_causes import fingerprint_of
from burdockchute.feed_follower import Cadence
from burdockchute.feed_follower import FeedFollower
from burdockchute.feed_follower import max_open_read_s
from burdockchute.feed_follower import SETTLING_S
from burdockchute.lifecycle import ProcessLifecycle
from burdockchute.listener_metrics import LoopWatch
from burdockchute.model.crash_reports import AnsweredRequest
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Machine
from burdockchute.model.members import Member
from burdockchute.nodes.desired_state import decode_versions
from burdockchute.site_settings import SiteSettings
from burdockchute.wire import messages
from burdockchute_entry.straight.agents_task import AgentsTask
from burdockchute_entry.straight.callers import CallersApp
from burdockchute_entry.straight.confirmation_task import ConfirmationTask
from burdockchute_entry.straight.counters import Counters
from burdockchute_entry.straight.crash_records_task import CrashRecordsTask
from burdockchute_entry.straight.crash_watch import CrashWatch
from burdockchute_entry.straight.end_check import EndCheck
from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.request_admission import request_limits
from burdockchute_entry.straight.request_admission import ShutdownState
from burdockchute_entry.straight.retry_leases_task import RetryLeasesTask
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.sending import Dependencies
from burdockchute_entry.straight.store_probes import StoreProbes

# Pause between a read of the upstream list that returned changes and the next
# read. An upstream that shuts down must get no new requests after two seconds,
# and reading and sending take a part of that. So a change is delivered at
# once, and the ones after it within this time.
UPSTREAMS_PERIOD_S = 0.7

# Interval at which waiting requests are assigned even without an event, since
# an upstream may become usable again some time after a failure.
ASSIGN_INTERVAL_S = 0.1

# Pause between a read of the desired state that returned changes and the next
# read. Configurations are long and may be saved many times a second; those
# saved within this time are read together.
DESIRED_STATE_PERIOD_S = 0.3

# Time for which an entry that shuts down still accepts requests. The load
# balancer checks once a second and removes an entry after two failed checks.
# Until then it still sends requests, which are served. It keeps sending them
# if it has removed too many entries of a zone. Those later requests are
# refused, as the end of the process would cut off a long answer.
STILL_ACCEPTING_S = 2.4

# Part of the grace period that is reserved for the exit itself.
SHUTDOWN_RESERVE_S = 0.7

# A request that still waits for its answer so long before the exit gets one
# from the entry. A closed connection would not tell whether it may have run.
LAST_REPLIES_S = 0.4


class StraightApp:
    """A running entry."""

    def __init__(
        self, cfg: SiteSettings, machine: Machine, adapter: Adapter
    ) -> None:
        self.shutdown_state = ShutdownState(False, True)
        self._cfg = cfg
        self._adapter = adapter
        self._machine = machine
        now = time.monotonic
        rng = random.Random()
        self.lifecycle = ProcessLifecycle(
            cfg.identity(machine), 'entry', lambda: 0
        )
        self.confirmation = ConfirmationTask(
            lambda: self.follower.confirm_desired_state(),
            lambda: self._configuration() or 0,
            lambda: self._machine.bounds.config_apply_s,
            now,
            lambda: self.store_probes.start(),
        )
        self.store_probes = StoreProbes(
            lambda message: self.agents.inbox.put(message),
            lambda: self.follower.known_end,
            self.confirmation.record_confirmed,
            self.confirmation.record_store_away,
            now,
        )
        self.scheduler = Scheduler(
            machine.bounds,
            now,
            rng,
            machine.place.region,
            machine.regions,
            lambda message: self.agents.inbox.put(message),
            cfg.engine_speed,
            self.confirmation,
        )
        wait_s = max_open_read_s(machine.bounds.contact_s)
        desired_state_cadence = Cadence(wait_s, DESIRED_STATE_PERIOD_S)
        self.follower = FeedFollower(
            adapter.open_feeds(machine.store),
            self._on_state_changed,
            now,
            rng,
            lambda: desired_state_cadence,
            Cadence(wait_s, UPSTREAMS_PERIOD_S, SETTLING_S),
            self.confirmation.record_confirmed,
        )
        self.end_check = EndCheck(
            adapter,
            self._health_path,
            now,
            lambda *start: self.crash_watch.causes.has_crashed(*start),
        )
        self.crash_watch = CrashWatch(
            now,
            self.end_check.has_ended,
            self._publish_crash_report,
            lambda: self.crash_records.expect_changes(),
            lambda name, for_s: self.crash_records.save_refused(name, for_s),
            lambda: len(self.scheduler.targets()),
            lambda *answer: self.crash_records.save_answered(*answer),
            lambda *claim: self.crash_records.claim_tries(*claim),
            lambda *claim: self.crash_records.save_try_over(*claim),
        )
        self.crash_records = CrashRecordsTask(
            adapter.open_crash_records(machine.store),
            self.crash_watch,
            max_open_read_s(machine.bounds.contact_s),
            now,
            time.time,
        )
        self.retry_leases = RetryLeasesTask(
            adapter.open_retry_leases(machine.store),
            self.scheduler.retry_budgets,
            machine.name,
            self.lifecycle.incarnation,
            self.scheduler.set_registered_entries,
            now,
            rng,
        )
        self.agents = AgentsTask(
            Member(machine.name, 'entry', machine.address, 0, machine.place),
            self.lifecycle.hello,
            machine.link_ports[0],
            self._on_load_report,
            self.crash_watch.peer_lost,
            lambda: not self.follower.desired_state_contact.lost,
            rng,
            self.scheduler.handle_link_event,
            self.crash_watch.peer_answered,
            lambda: self.crash_records.read_soon(),
            self.store_probes.handle_event,
        )
        # The account of the server of callers, once there is one.
        self.work = OpenWork()
        self.loop_watch = LoopWatch()
        self.counters = Counters()
        self.memory = MemoryAccount(now, close_idle=self._close_idle)
        self.callers = CallersApp(
            Dependencies(
                adapter,
                self.scheduler,
                self.crash_watch,
                self.end_check,
                now,
            ),
            self.known_state,
            lambda: self.shutdown_state,
            self.counters.finished,
            self.memory,
        )

    def known_state(self) -> KnownState:
        """Return the known state of the platform."""
        return self.follower.known_state

    def serve(self) -> int:
        """Run until a signal stops the process; returns the exit status."""
        machine = self._machine
        assert machine.callers is not None and machine.probes is not None
        self.lifecycle.start(self._reload)
        self._watch()
        self._set_memory_budget()
        callers = server.make_server(
            machine.callers.ip,
            machine.callers.port,
            self.callers,
            connection_limits.for_callers(
                process_limits.memory_left_bytes(machine.memory_bytes),
                process_limits.max_descriptors(machine.max_descriptors),
            ),
            request_limits=lambda: request_limits(self.known_state()),
            limits_sends=self.memory.budget_bytes is not None,
        )
        self.work = callers.work
        probes = http_admin.make_server(
            machine.probes.ip, machine.probes.port, self._probe, 'probes'
        )
        if not listening.start_all(
            [probes, callers],
            self.lifecycle.wait_stop,
            machine.bounds.grace_s + listening.PREDECESSOR_MARGIN_S,
        ):
            return listening.stop_before_serving()
        admin = self._serve_admin()
        listener_metrics.register([callers, probes, admin], self.loop_watch)
        logs.event(
            'serving',
            callers=machine.callers,
            probes=machine.probes,
            admin_port=admin.server_port,
            zone=machine.place.zone,
            incarnation=self.lifecycle.incarnation,
        )
        is_planned = self.lifecycle.run_until_stopped(self._loops())
        status = self._shut_down(callers, accepting=is_planned)
        return status if is_planned else tasks.EXIT_TASK_FAILED

    def _set_memory_budget(self) -> None:
        limit = self._machine.memory_bytes
        if limit is None:
            return
        resident = process_limits.resident_bytes()
        budget = memory_budget.budget_bytes(limit, resident)
        self.memory.budget_bytes = budget
        logs.event(
            'memory_budget', limit=limit, resident=resident, budget=budget
        )

    def _close_idle(self) -> None:
        for target in self.scheduler.targets():
            target.close_idle()

    def _watch(self) -> None:
        self.follower.register_age_gauges()
        self.memory.register_gauges()
        metrics.register_gauge(
            'burdockchute.open_requests',
            '1',
            lambda: self.work.owed,
        )
        for stage in Stage:
            metrics.register_gauge(
                f'burdockchute.callers_{stage.value}',
                '1',
                functools.partial(self.work.count, stage),
            )
        metrics.register_gauge(
            'burdockchute.configuration_version', '1', self._configuration
        )
        metrics.register_gauge(
            'burdockchute.upstreams',
            '1',
            lambda: len(self.scheduler.targets()),
        )
        metrics.register_gauge(
            'burdockchute.evacuated_zones',
            '1',
            lambda: len(self.known_state().evacuated),
        )
        metrics.register_gauge(
            'burdockchute.hedged_requests',
            '1',
            lambda: self.scheduler.hedged_count,
        )
        metrics.register_gauge(
            'burdockchute.entries_counted',
            '1',
            lambda: self.scheduler.entries,
        )
        metrics.register_gauges(
            'burdockchute.retries_left',
            '1',
            'service',
            lambda: self.scheduler.retry_budgets.balances(time.monotonic()),
        )
        metrics.register_gauge(
            'burdockchute.cold_upstreams',
            '1',
            lambda: sum(
                target.is_cold(time.monotonic())
                for target in self.scheduler.targets()
            ),
        )

    def _health_path(self, service: str) -> str:
        return self.known_state().health_path(service)

    def _configuration(self) -> int | None:
        routes = self.known_state().routes
        return routes.configuration.version if routes else None

    def status(self) -> dict[str, Any]:
        """Return the status document of this process."""
        known_state = self.known_state()
        return {
            **self.lifecycle.status(),
            'leaving': self.shutdown_state.shutting_down,
            'open_requests': self.work.owed,
            'callers': self.work.counts(),
            'memory': self.memory.status(),
            'configuration': self._configuration(),
            'versions': {
                model: history.newest
                for model, history in known_state.histories.items()
            },
            **self._refused_causes(),
            'evacuated': {
                zone: round(time.monotonic() - at, 2)
                for zone, at in known_state.evacuated.items()
            },
            'upstreams': [
                {
                    'id': target.id,
                    'service': target.upstream.service,
                    'draining': target.is_leaving,
                    'ours': target.load.ours,
                    'others': target.load.others,
                    'versions': dict(target.versions),
                    'failures': target.health.failures,
                    'limit': target.limit.rate if target.limit else None,
                    'rest_s': target.rest_left_s(time.monotonic()),
                    'cold_s': max(0.0, target.cold_until - time.monotonic())
                    if target.is_cold(time.monotonic())
                    else 0.0,
                    'slowness': target.slowness(time.monotonic()),
                }
                for target in self.scheduler.targets()
            ],
        }

    def _refused_causes(self) -> dict[str, dict[str, float]]:
        refused = self.crash_watch.causes.refused(time.monotonic())
        fingerprints = {name: fingerprint_of(name) for name in refused}
        return {
            'refused_parts': {
                name: left_s
                for name, left_s in refused.items()
                if fingerprints[name] is None
            },
            'refused_requests': {
                fingerprint: refused[name]
                for name, fingerprint in fingerprints.items()
                if fingerprint is not None
            },
        }

    def _loops(self) -> list[Callable[[], None]]:
        return [
            self.follower.follow_desired_state,
            self.follower.follow_upstreams,
            self.confirmation.run,
            self.agents.run,
            self.crash_records.read_forever,
            self.crash_records.save_forever,
            self.retry_leases.run,
            self._keep_assigning,
        ]

    def _reload(self) -> None:
        self._machine = site_settings.reload(
            self._cfg, self._adapter, self._machine
        )
        self.scheduler.set_bounds(self._machine.bounds)

    def _on_state_changed(self, known_state: KnownState) -> None:
        self.scheduler.update(known_state)
        self.agents.inbox.put(known_state)

    def _publish_crash_report(
        self, report: LostRequest | AnsweredRequest
    ) -> None:
        if isinstance(report, AnsweredRequest):
            self.agents.inbox.put(report)
            return
        self.crash_records.save_crash(report)
        self.agents.inbox.put(report)

    def _on_load_report(
        self, address: str, report: messages.LoadReport
    ) -> None:
        if report.named:
            self.follower.receive_peer_reports(
                decode_versions(report.named, time.monotonic())
            )
        if report.configuration is not None:
            self.follower.receive_configuration_version(report.configuration)
            self.confirmation.record_version(report.configuration)
        self.scheduler.apply_load_report(address, report)

    def _keep_assigning(self) -> None:
        was_lost = False
        while True:
            self.loop_watch.sleep(ASSIGN_INTERVAL_S)
            is_lost = self.follower.desired_state_contact.lost
            if was_lost and not is_lost:
                self.crash_records.expect_changes()
            was_lost = is_lost
            self.scheduler.check_links()
            self.scheduler.assign_free_slots()

    def _probe(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        ready = self._readiness()
        line = '200 OK' if ready.ready else '503 Service Unavailable'
        start_response(line, [('Content-Type', 'text/plain')])
        return [(ready.reason or 'ready').encode()]

    def _readiness(self) -> http_admin.Readiness:
        if self.shutdown_state.shutting_down:
            return http_admin.Readiness(False, 'leaving')
        if not self.known_state().complete:
            return http_admin.Readiness(False, 'no configuration yet')
        if not self.memory.is_ready():
            return http_admin.Readiness(False, 'too many bytes are held')
        return http_admin.Readiness(True, '')

    def _serve_admin(self) -> server.CallersServer:
        app = http_admin.make_app(self.status, self._readiness)
        return http_admin.serve(
            self._machine.address, self._cfg.admin_port, app
        )

    def _refuse_late(self) -> None:
        self.scheduler.refuse_late()
        exit_at = self.shutdown_state.exit_at
        if time.monotonic() >= exit_at - LAST_REPLIES_S:
            self.callers.end_waiting()

    def _shut_down(
        self, callers: server.CallersServer, accepting: bool
    ) -> int:
        # Without `accepting`, new requests are refused at once.
        started = time.monotonic()
        exit_at = started + self._machine.bounds.grace_s - SHUTDOWN_RESERVE_S
        logs.event(
            'leaving',
            open_requests=self.work.owed,
            unused=self.work.count(Stage.UNUSED),
            idle=self.work.count(Stage.IDLE),
            heads=self.work.count(Stage.HEAD),
            bodies=self.work.count(Stage.BODY),
            running=self.work.count(Stage.RUNNING),
            answers=self.work.count(Stage.ANSWER),
        )
        self.shutdown_state = ShutdownState(True, accepting, exit_at)
        self.scheduler.exit_at = exit_at
        if accepting:
            accept_until = min(
                started + STILL_ACCEPTING_S, exit_at - server.LAST_ANSWERS_S
            )
            gevent.sleep(max(0.0, accept_until - started))
        self.shutdown_state = ShutdownState(True, False, exit_at)
        self.retry_leases.leave()
        callers.finish(exit_at, self._refuse_late)
        unfinished = self.work.owed
        self.agents.close()
        logs.event(
            'stopped',
            left=unfinished,
            took_s=round(time.monotonic() - started, 2),
            unused=self.work.count(Stage.UNUSED),
            idle=self.work.count(Stage.IDLE),
            heads=self.work.count(Stage.HEAD),
            bodies=self.work.count(Stage.BODY),
            running=self.work.count(Stage.RUNNING),
            answers=self.work.count(Stage.ANSWER),
        )
        return 1 if unfinished else 0
