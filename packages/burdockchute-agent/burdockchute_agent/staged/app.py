"""The staging agent's application: wires its tasks together."""

from __future__ import annotations

from collections.abc import Callable
import random
import time
from typing import Any

from gevent import queue

from burdockchute import http_admin
from burdockchute import listener_metrics
from burdockchute import listening
from burdockchute import logs
from burdockchute import metrics
from burdockchute import process_limits
from burdockchute import site_settings
from burdockchute import tasks
from burdockchute.adapters import Adapter
from burdockchute.decisions import connection_limits
from burdockchute.feed_follower import Cadence
from burdockchute.feed_follower import FeedFollower
from burdockchute.feed_follower import max_open_read_s
from burdockchute.feed_follower import SETTLING_S
from burdockchute.lifecycle import ProcessLifecycle
from burdockchute.listener_metrics import LoopWatch
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Machine
from burdockchute.nodes import links
from burdockchute.nodes.desired_state import decode_requirements
from burdockchute.nodes.desired_state import decode_versions
from burdockchute.site_settings import SiteSettings
from burdockchute.wire import messages
from burdockchute_agent.staged.reports_task import ReportsTask
from burdockchute_agent.staged.staged_task import StagedTask
from burdockchute_agent.staged.state_sources import DesiredStateSources
from burdockchute_agent.staged.store_queries import StoreQueries

# An agent reads the list only to find its peers, and copies take seconds, so
# more frequent reads would cost calls without any gain. A lost read is noticed
# after its wait; until then the known peers remain, and new peers open links
# to this agent.
UPSTREAMS_CADENCE = Cadence(wait_s=15.0, period_s=3.0, settling_s=SETTLING_S)

# An agent that receives the desired state from no entry reads it from the
# store as entries do, but at an interval that combines changes saved in quick
# succession.
STORE_READ_PERIOD_S = 1.0


class StagedApp:
    """One running agent."""

    def __init__(
        self, cfg: SiteSettings, machine: Machine, adapter: Adapter
    ) -> None:
        assert machine.upstream is not None
        self._cfg = cfg
        self._adapter = adapter
        self._machine = machine
        self._name = str(machine.upstream)
        rng = random.Random()
        identity = cfg.identity(machine)._replace(name=self._name)
        self.lifecycle = ProcessLifecycle(identity, 'agent', lambda: 0)
        self._store_cadence = Cadence(
            max_open_read_s(machine.bounds.contact_s), STORE_READ_PERIOD_S
        )
        self._desired_state_sources = DesiredStateSources(time.monotonic())
        self.follower = FeedFollower(
            adapter.open_feeds(machine.store),
            self._known_state_changed,
            time.monotonic,
            rng,
            self._desired_state_cadence,
            UPSTREAMS_CADENCE,
        )
        self.staged = StagedTask(
            machine,
            adapter,
            self.lifecycle.hello,
            lambda: self.follower.known_state,
            time.monotonic,
            rng,
        )
        self.reports = ReportsTask(
            self.staged,
            self._slots,
            lambda: self.follower.known_state,
            self._name,
        )
        self.store_queries = StoreQueries(
            self.follower.read_log_end,
            self.reports.report_store,
            time.monotonic,
        )
        self.inbox: queue.Queue = queue.Queue()
        self.loop_watch = LoopWatch()

    def serve(self) -> int:
        """Run until a signal requests a stop; return the exit status."""
        machine = self._machine
        self.lifecycle.start(self._reload)
        self._watch()
        link_server = links.make_server(
            machine.address,
            machine.link_ports[0],
            self._hello,
            self.inbox,
            lambda: 0,
            connection_limits.for_links(
                process_limits.memory_left_bytes(machine.memory_bytes),
                process_limits.max_descriptors(machine.max_descriptors),
            ),
        )
        if not listening.start_all(
            [link_server],
            self.lifecycle.wait_stop,
            machine.bounds.grace_s + listening.PREDECESSOR_MARGIN_S,
        ):
            return listening.stop_before_serving()
        admin = http_admin.serve(
            machine.address,
            self._cfg.admin_port,
            http_admin.make_app(self.status, self._probe),
        )
        listener_metrics.register([admin, link_server], self.loop_watch)
        logs.event(
            'serving',
            link_port=link_server.server_port,
            admin_port=admin.server_port,
            upstream=self._name,
            incarnation=self.lifecycle.incarnation,
        )
        if not self.lifecycle.run_until_stopped(self._loops()):
            return tasks.EXIT_TASK_FAILED
        logs.event('stopped', left=0)
        return 0

    def _hello(self) -> messages.Hello:
        hello = self.lifecycle.hello()
        hello.store_queries = True
        return hello

    def _watch(self) -> None:
        metrics.register_gauge(
            'burdockchute.engine_running', '1', self._running
        )
        metrics.register_gauge(
            'burdockchute.held_bytes', 'By', self.staged.held_bytes
        )
        self.follower.register_age_gauges()

    def _running(self) -> int | None:
        report = self.staged.report
        return report.running + report.waiting if report else None

    def status(self) -> dict[str, Any]:
        """Return the status document of this process."""
        report = self.staged.report
        return {
            **self.lifecycle.status(),
            'engine': report._asdict() if report else None,
            'entries': len(self.reports.entries),
        }

    def _loops(self) -> list[Callable[[], None]]:
        return [
            self.follower.follow_desired_state,
            self.follower.follow_upstreams,
            self.staged.run,
            self.reports.run,
            self._route_events,
            self.loop_watch.run,
        ]

    def _route_events(self) -> None:
        """Route events of entries' links to reports, of agents' to copies."""
        while True:
            event = self.inbox.get()
            if event.link.peer.role != 'entry':
                self.staged.inbox.put(event)
            elif isinstance(event, links.Opened):
                self.reports.opened(event.link)
            elif isinstance(event, links.Closed):
                self.reports.closed(event.link)
                self._desired_state_sources.closed(
                    event.link, time.monotonic()
                )
            elif isinstance(event.message, messages.StoreQuery):
                self.store_queries.on_query(event.link, event.message)
            elif isinstance(event.message, messages.LinkProbe):
                self.reports.return_probe(event.link, event.message)
            elif isinstance(
                event.message, messages.CrashNews | messages.LinkNews
            ):
                self.reports.forward(event.link, event.message)
            elif isinstance(event.message, messages.WishesNews):
                self._update_desired_state(
                    event.link, event.message, time.monotonic()
                )

    def _update_desired_state(
        self, link: links.Link, news: messages.WishesNews, now: float
    ) -> None:
        requirements = decode_requirements(news.needs)
        self._desired_state_sources.update(
            link, news.in_contact and requirements is not None, now
        )
        self.follower.receive_peer_reports(decode_versions(news.named, now))
        if requirements is not None:
            self.follower.receive_requirements(requirements)

    def _desired_state_cadence(self) -> Cadence | None:
        must_read = self._desired_state_sources.must_read_store(
            time.monotonic()
        )
        return self._store_cadence if must_read else None

    def _reload(self) -> None:
        self._machine = site_settings.reload(
            self._cfg, self._adapter, self._machine
        )
        self.staged.bounds = self._machine.bounds

    def _known_state_changed(self, known_state: KnownState) -> None:
        self.staged.inbox.put(known_state)

    def _slots(self) -> int:
        requirements = self.follower.known_state.agent_requirements(
            self._machine.service
        )
        return requirements.slots if requirements else 0

    def _probe(self) -> http_admin.Readiness:
        return http_admin.Readiness(True, '')
