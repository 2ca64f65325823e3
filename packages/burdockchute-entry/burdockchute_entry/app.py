"""Wires the tasks of an entry to each other, and runs them until shutdown."""

from __future__ import annotations

from collections.abc import Callable
import random
import time
from typing import Any

import gevent
from gevent import queue

from burdockchute import http_admin
from burdockchute import listener_metrics
from burdockchute import listening
from burdockchute import logs
from burdockchute import process_limits
from burdockchute import tasks
from burdockchute.callers import http
from burdockchute.callers import server
from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import Stage
from burdockchute.decisions import connection_limits
from burdockchute.decisions import memory_budget
from burdockchute.lifecycle import ProcessLifecycle
from burdockchute.listener_metrics import LoopWatch
from burdockchute.model import deltas
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.replies import CallerGone
from burdockchute.model.replies import Submit
from burdockchute.model.requests import RequestContext
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.platform.instances import InstanceList
from burdockchute.platform.log import LogClient
from burdockchute.wire import messages
from burdockchute_entry.claim_collector import Clocks
from burdockchute_entry.claims_task import ClaimsTask
from burdockchute_entry.crashes_task import CrashesTask
from burdockchute_entry.limits_task import LimitsTask
from burdockchute_entry.links_task import LinkHandlers
from burdockchute_entry.links_task import LinksTask
from burdockchute_entry.links_task import TableSource
from burdockchute_entry.request_metrics import RequestMetrics
from burdockchute_entry.router import Router
from burdockchute_entry.settings import Settings
from burdockchute_entry.table_task import TableTask

# The load balancer sees from /readyz that this entry is shutting down. Until
# its next probe, new requests still arrive and are refused as not run.
LEAVING_NOTICE_S = 1.0

# Maximum wait until the last releases and outcomes are in the log.
CLAIMS_SETTLE_S = 3.0

# Each of the 16 claim streams may need two connections at once: one for its
# long poll and one for appends.
CLAIM_CONNECTIONS = 40


class App:
    """One entry process with all of its tasks."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.lifecycle = ProcessLifecycle(cfg, 'entry', self.table_offset)
        self.leaving = False
        self.loop_watch = LoopWatch()
        # The account of the server of callers, once there is one.
        self.work = OpenWork()
        self.log = LogClient(cfg.log_url)
        self.table_task = TableTask(
            self.log,
            self._publish,
            cfg.log_retention_s,
            ask_peers=lambda offset: self.links_task.ask_peers(offset),
        )
        self.request_metrics = RequestMetrics(self.table)
        self.claims_task = ClaimsTask(
            cfg.name,
            LogClient(cfg.log_url, concurrency=CLAIM_CONNECTIONS),
            lambda name, message: self.links_task.send_to(name, message),
            Clocks(time.monotonic, time.time),
        )
        self.crashes_task = CrashesTask(
            self.log,
            lambda learned: self.router.inbox.put(learned),
            time.monotonic,
            time.time,
        )
        self.limits_task = LimitsTask(
            cfg.name,
            lambda name, message: self.links_task.send_to(name, message),
            lambda shares: self.router.inbox.put(shares),
            time.monotonic,
        )
        self.router = Router(
            time.monotonic,
            random.Random(),
            claim=self.claims_task.inbox.put,
            crash=self.crashes_task.inbox.put,
            observe=self.request_metrics.record_finished,
            demand=self.limits_task.inbox.put,
            name=cfg.name,
        )
        self.links_task = LinksTask(
            cfg.name,
            self.lifecycle.hello,
            InstanceList(cfg.instances_url),
            TableSource(
                self.table_offset,
                self._delta_for_agent,
                self.table_task.answer,
            ),
            LinkHandlers(
                self._on_link_event, self._peer_handlers(), self.router.in_use
            ),
            random.Random(),
        )

    def table(self) -> Table:
        """Return the table that is in effect here."""
        return self.table_task.table

    def _delta_for_agent(self, offset: int) -> messages.TableDelta:
        return deltas.filter_for_agents(self.table_task.delta_for(offset))

    def table_offset(self) -> int:
        """Return the highest offset applied."""
        return self.table_task.table.offset

    def serve(self) -> int:
        """Run until a signal asks to stop; return the exit status."""
        self.lifecycle.start()
        descriptors = process_limits.max_descriptors(None)
        memory_left = process_limits.memory_left_bytes(self.cfg.memory_bytes)
        link_server = links.make_server(
            self.cfg.address,
            self.cfg.link_port,
            self.lifecycle.hello,
            self.links_task.inbox,
            self.table_offset,
            connection_limits.for_links(memory_left, descriptors),
        )
        callers = server.make_server(
            self.cfg.address,
            self.cfg.http_port,
            self._callers_app(memory_left),
            connection_limits.for_callers(memory_left, descriptors),
        )
        self.work = callers.work
        # The load balancer checks the readiness on the admin port.
        admin = http_admin.make_server(
            self.cfg.address, self.cfg.admin_port, self._admin_app()
        )
        if not listening.start_all(
            [admin, link_server, callers],
            self.lifecycle.wait_stop,
            self.cfg.drain_s + listening.PREDECESSOR_MARGIN_S,
        ):
            return listening.stop_before_serving()
        listener_metrics.register(
            [callers, admin, link_server], self.loop_watch
        )
        logs.event(
            'serving',
            link_port=link_server.server_port,
            http_port=callers.server_port,
            admin_port=admin.server_port,
        )
        is_planned = self.lifecycle.run_until_stopped(self._loops())
        status = self._shut_down(callers, accepting=is_planned)
        return status if is_planned else tasks.EXIT_TASK_FAILED

    def status(self) -> dict[str, Any]:
        """Return the status document of this process."""
        return {
            **self.lifecycle.status(),
            'leaving': self.leaving,
            'in_flight': self.router.open_requests(),
            'callers': self.work.counts(),
            'table': self.table_task.status()._asdict(),
            'agents': sorted(
                link.peer.name for link in self.links_task.agent_links()
            ),
            'links': links.traffic(self.links_task.agent_links()),
            'members': len(self.links_task.members),
        }

    def _loops(self) -> list[Callable[[], None]]:
        return [
            self.table_task.run,
            self.links_task.run,
            self.claims_task.run,
            self.crashes_task.run,
            self.crashes_task.read_forever,
            self.limits_task.run,
            self.router.run,
            self.loop_watch.run,
        ]

    def _publish(self, table: Table) -> None:
        for inbox in (
            self.links_task.inbox,
            self.limits_task.inbox,
            self.router.inbox,
        ):
            inbox.put(TableChanged(table))

    def _on_link_event(self, event: Any) -> None:
        self.router.inbox.put(event)
        if isinstance(event, MembersChanged):
            self.claims_task.inbox.put(event)
            self.limits_task.inbox.put(event)

    def _peer_handlers(self) -> dict[type, Callable[[links.Received], None]]:
        return {
            messages.TableDelta: lambda event: (
                self.table_task.apply_peer_table(event.message)
            ),
            messages.ClaimRequest: self.claims_task.inbox.put,
            messages.ClaimReply: self.claims_task.inbox.put,
            messages.DemandReport: self.limits_task.inbox.put,
            messages.ShareReport: self.limits_task.inbox.put,
        }

    def _callers_app(self, memory_left: int) -> Callable:
        return http.make_app(
            self._submit,
            lambda request_id: self.router.inbox.put(CallerGone(request_id)),
            self.table,
            time.monotonic,
            accepting=lambda: not self.leaving,
            limits=http.Limits(
                self.cfg.max_body_bytes, self.cfg.default_deadline_s
            ),
            bodies=http.BodyBudget(memory_budget.share_of(memory_left)),
        )

    def _submit(self, ctx: RequestContext) -> queue.Queue:
        replies: queue.Queue = queue.Queue()
        self.router.inbox.put(Submit(ctx, replies))
        return replies

    def _admin_app(self) -> Callable:
        return http_admin.make_app(
            self.status,
            self._readiness,
            {
                '/burn': lambda _rest: http_admin.json_response(
                    self.request_metrics.burn_counts()
                )
            },
        )

    def _readiness(self) -> http_admin.Readiness:
        if not self.table_task.ready.is_set():
            return http_admin.Readiness(False, 'no table yet')
        if self.leaving:
            return http_admin.Readiness(False, 'leaving')
        return http_admin.Readiness(True, '')

    def _shut_down(
        self, callers: server.CallersServer, accepting: bool
    ) -> int:
        # Without `accepting`, the load balancer is not waited for.
        exit_at = time.monotonic() + self.cfg.drain_s
        logs.event(
            'leaving',
            in_flight=self.router.open_requests(),
            open_requests=self.work.owed,
            heads=self.work.count(Stage.HEAD),
            bodies=self.work.count(Stage.BODY),
            running=self.work.count(Stage.RUNNING),
            answers=self.work.count(Stage.ANSWER),
        )
        self.leaving = True
        callers.leaving = True
        if accepting:
            gevent.sleep(LEAVING_NOTICE_S)
        callers.finish(exit_at)
        # Requests whose callers have gone may still be under way.
        while self.router.open_requests() and time.monotonic() < exit_at:
            gevent.sleep(0.02)
        unfinished = max(self.work.owed, self.router.open_requests())
        # Without its outcome in the log, a resent request would only be
        # answered that its outcome is unknown. The wait is short since the
        # log may be unavailable.
        settle_until = time.monotonic() + CLAIMS_SETTLE_S
        while not self.claims_task.settled():
            if time.monotonic() > settle_until:
                break
            gevent.sleep(0.02)
        logs.event(
            'stopped',
            left=unfinished,
            heads=self.work.count(Stage.HEAD),
            bodies=self.work.count(Stage.BODY),
            running=self.work.count(Stage.RUNNING),
            answers=self.work.count(Stage.ANSWER),
        )
        return 1 if unfinished else 0
