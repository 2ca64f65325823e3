"""The agent's application: wires its tasks together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import queue

from burdockchute import http_admin
from burdockchute import listener_metrics
from burdockchute import listening
from burdockchute import logs
from burdockchute import process_limits
from burdockchute import tasks
from burdockchute.decisions import connection_limits
from burdockchute.lifecycle import ProcessLifecycle
from burdockchute.listener_metrics import LoopWatch
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute.platform.log import LogClient
from burdockchute.wire import messages
from burdockchute_agent import reports
from burdockchute_agent.registration import register
from burdockchute_agent.rows_task import RowsTask
from burdockchute_agent.runner import Runner
from burdockchute_agent.runner import Upstream
from burdockchute_agent.settings import Settings
from burdockchute_agent.weights_task import manifest_header
from burdockchute_agent.weights_task import WeightsTask

# Once the last request has ended, its answer may still be in transit over a
# slow link.
FLUSH_TIMEOUT_S = 2.0

# An entry may dispatch a request before it has read that this agent is
# leaving. The agent refuses it as not run; if it closed the link instead, the
# entry couldn't tell whether the request ran. A second is many times the
# latency between two regions.
REFUSE_BEFORE_CLOSE_S = 1.0


class App:
    """One running agent."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.lifecycle = ProcessLifecycle(cfg, 'agent', self.table_offset)
        self.admin_url = ''
        self.inbox: queue.Queue = queue.Queue()
        self.loop_watch = LoopWatch()
        self.entries: dict[links.Link, None] = {}
        self.rows = RowsTask(self._publish)
        place = Place(cfg.zone, cfg.region, cfg.pool)
        log = LogClient(cfg.log_url)
        self.weights = WeightsTask(
            name=cfg.name,
            place=place,
            store_url=cfg.store_url,
            upstream_url=cfg.upstream_url,
            upstream_kind=cfg.upstream_kind,
            uplink=cfg.uplink_bytes_per_s,
            downlink=cfg.downlink_bytes_per_s,
            register=lambda: register(
                log, cfg.name, self.lifecycle.incarnation
            ),
            hello=self.lifecycle.hello,
            source=lambda: self.admin_url,
            services=cfg.services,
            live_bytes=self._live_bytes,
        )
        upstream = Upstream(cfg.upstream_url, cfg.stall_s)
        self.runner = Runner(upstream, self.weights.gate)
        self.reports = reports.ReportsTask(
            cfg, self.runner, self.weights, self.table_offset
        )

    def _live_bytes(self) -> int:
        # Only answers are counted, as requests are small.
        return sum(link.bytes_sent for link in self.entries)

    def table_offset(self) -> int:
        """Return the highest table offset applied."""
        return self.rows.table.offset

    def serve(self) -> int:
        """Run until a signal requests a stop; return the exit status."""
        self.lifecycle.start()
        link_server = links.make_server(
            self.cfg.address,
            self.cfg.link_port,
            self.lifecycle.hello,
            self.inbox,
            self.table_offset,
            connection_limits.for_links(
                process_limits.memory_left_bytes(None),
                process_limits.max_descriptors(None),
            ),
        )
        # Peers copy weights from the admin port.
        admin = http_admin.make_server(
            self.cfg.address, self.cfg.admin_port, self._admin_app()
        )
        if not listening.start_all(
            [admin, link_server],
            self.lifecycle.wait_stop,
            self.cfg.drain_s + listening.PREDECESSOR_MARGIN_S,
        ):
            return listening.stop_before_serving()
        self.admin_url = f'http://{self.cfg.address}:{admin.server_port}'
        listener_metrics.register([admin, link_server], self.loop_watch)
        logs.event(
            'serving',
            link_port=link_server.server_port,
            admin_port=admin.server_port,
        )
        is_planned = self.lifecycle.run_until_stopped(self._loops())
        status = self._shut_down(link_server)
        return status if is_planned else tasks.EXIT_TASK_FAILED

    def status(self) -> dict[str, Any]:
        """Return the status document of this process."""
        return {
            **self.lifecycle.status(),
            'table_offset': self.table_offset(),
            'table_age_s': self.rows.age_s(),
            'entries': sorted(link.peer.name for link in self.entries),
            'links': links.traffic(self.entries),
            'members': len(self.rows.members),
            'running': self.runner.running(),
            'finished': self.runner.finished,
            'leaving': self.runner.leaving,
            'weights': [vars(state) for state in self.weights.states()],
        }

    def _loops(self) -> list[Callable[[], None]]:
        return [
            self._route_events,
            self.rows.run,
            self.weights.run,
            self.reports.run,
            self.loop_watch.run,
        ]

    def _probe(self) -> http_admin.Readiness:
        if self.table_offset() < 0:
            return http_admin.Readiness(False, 'no table yet')
        if self.runner.leaving:
            return http_admin.Readiness(False, 'leaving')
        return http_admin.Readiness(True, '')

    def _admin_app(self) -> Callable:
        return http_admin.make_app(
            self.status, self._probe, {'/weights/': self._weights_page}
        )

    def _weights_page(self, digest: str) -> http_admin.Response:
        content = self.weights.weights_response(digest)
        if content is None:
            return http_admin.json_response(
                {'error': f'no whole copy of {digest!r}'}, '404 Not Found'
            )
        manifest, chunks = content
        headers = [
            ('Content-Type', 'application/octet-stream'),
            ('Burdockchute-Manifest', manifest_header(manifest)),
        ]
        return '200 OK', headers, chunks

    def _publish(self, event: TableChanged | MembersChanged) -> None:
        self.weights.inbox.put(event)

    def _route_events(self) -> None:
        while True:
            event = self.inbox.get()
            if event.link.peer.role == 'agent':
                self.weights.inbox.put(event)
            else:
                self._handle_entry_event(event)

    def _handle_entry_event(self, event: links.Event) -> None:
        self.rows.inbox.put(event)
        if isinstance(event, links.Opened):
            self.entries[event.link] = None
            self.reports.opened(event.link)
        elif isinstance(event, links.Closed):
            self.entries.pop(event.link, None)
            self.reports.closed(event.link)
            self.runner.link_closed(event.link)
        elif isinstance(event.message, messages.Dispatch):
            self.runner.dispatch(event.link, event.message)
        elif isinstance(event.message, messages.Cancel):
            self.runner.cancel(event.message.request_id)

    def _shut_down(self, link_server: Any) -> int:
        logs.event('leaving', running=self.runner.running())
        self.runner.leaving = True
        self.reports.send_now()
        gevent.sleep(REFUSE_BEFORE_CLOSE_S)
        drained = self.runner.drain(self.cfg.drain_s)
        for link in list(self.entries):
            link.flush(FLUSH_TIMEOUT_S)
        link_server.stop(timeout=0)
        logs.event('stopped', drained=drained, left=self.runner.running())
        return 0 if drained else 1
