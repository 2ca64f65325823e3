"""Load reports to the entries, on each change and about once a second.

Entries place requests by these reports, which lag by at most POLL_S behind
the state of the upstream; an entry adds the requests it has sent since.
"""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

import gevent
from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses

from burdockchute import documents
from burdockchute import logs
from burdockchute import reply_limits
from burdockchute import tasks
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_agent.cache_changes import CacheChanges
from burdockchute_agent.cache_changes import NO_CACHE_CHANGES
from burdockchute_agent.cache_changes import PendingCacheChanges
from burdockchute_agent.runner import Runner
from burdockchute_agent.settings import Settings
from burdockchute_agent.weights_task import WeightsTask

POLL_S = 0.5
CHANGE_CHECK_S = 0.05

# Each report wakes up the entry, once for each of its agents. While the load
# changes, entries need figures at most a second old. While it doesn't, a
# report only shows that the agent is alive and may be up to half as old as
# placement accepts (5 s). It is sent before a heartbeat is due, so that the
# link needs no heartbeats.
BUSY_REPORT_S = 1.0
IDLE_REPORT_S = 1.8
UPSTREAM_TIMEOUT_S = 1.0

# Reports carry numbers in 32 bits.
MAX_REPORTED = 2**31 - 1

# Failed polls in a row after which the upstream counts as unavailable. A
# single one may be a garbage collection pause; three last longer than any
# pause of an engine, or of a stand-in, that still answers.
MAX_FAILED_POLLS = 3


class UpstreamLoad(NamedTuple):
    """The load that the upstream reports."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    tokens_per_s: float = 0.0
    prefill_tokens_per_s: float = 0.0


class ReportsTask:
    """Polls the upstream and sends load reports to the entries."""

    def __init__(
        self,
        cfg: Settings,
        runner: Runner,
        weights: WeightsTask,
        table_offset: Callable[[], int],
    ) -> None:
        self._cfg = cfg
        self._runner = runner
        self._weights = weights
        self._table_offset = table_offset
        self._links: dict[links.Link, None] = {}
        self._load = UpstreamLoad()
        self._failed_polls = 0
        self._cache = PendingCacheChanges()
        self._next_event = 0
        self._sent_state: tuple = ()
        self._sent_at = 0.0
        self._sent_load_state: tuple = ()

    def run(self) -> None:
        """Poll and report until killed."""
        tasks.start_part(self._poll)
        while True:
            gevent.sleep(CHANGE_CHECK_S)
            if self._is_due(time.monotonic()):
                self.send_now()

    def opened(self, link: links.Link) -> None:
        """Add the link of a new entry and send it a report at once."""
        self._links[link] = None
        self._send_to(link, self.report(NO_CACHE_CHANGES))

    def closed(self, link: links.Link) -> None:
        """Stop sending reports over a link."""
        self._links.pop(link, None)

    def send_now(self) -> None:
        """Send a report to every entry."""
        now = time.monotonic()
        self._sent_state = self._urgent_state()
        self._sent_load_state = self._load_state()
        self._sent_at = now
        report = self.report(self._cache.take(now))
        for link in list(self._links):
            self._send_to(link, report)

    def report(self, changes: CacheChanges) -> messages.LoadReport:
        """Return the current report, with the given cache changes."""
        is_unavailable = self._failed_polls >= MAX_FAILED_POLLS
        return messages.LoadReport(
            instance=self._cfg.name,
            running=self._runner.running(),
            waiting=self._load.waiting,
            slots=self._load.slots,
            tokens_per_s=self._load.tokens_per_s,
            leaving=self._runner.leaving,
            weights=[] if is_unavailable else self._weights.states(),
            services=[] if is_unavailable else self._weights.services(),
            prefixes=changes.stored,
            table_offset=self._table_offset(),
            prefill_tokens_per_s=round(self._load.prefill_tokens_per_s),
            evicted=changes.evicted,
            entries=max(1, len(self._links)),
        )

    def _is_due(self, now: float) -> bool:
        if self._urgent_state() != self._sent_state:
            return True
        is_busy = self._load_state() != self._sent_load_state
        wait_s = BUSY_REPORT_S if is_busy else IDLE_REPORT_S
        return now >= self._sent_at + wait_s

    def _load_state(self) -> tuple:
        return (self._runner.running(), self._load.waiting, self._load.slots)

    def _urgent_state(self) -> tuple:
        return (
            self._runner.leaving,
            self._failed_polls >= MAX_FAILED_POLLS,
            tuple(
                (state.row, state.digest, state.phase)
                for state in self._weights.states()
            ),
        )

    def _send_to(self, link: links.Link, report: messages.LoadReport) -> None:
        try:
            link.send(report)
        except links.LinkError:
            self.closed(link)

    def _poll(self) -> None:
        is_engine = self._cfg.upstream_kind == 'engine'
        poll_once = self._poll_engine() if is_engine else self._poll_service
        while True:
            try:
                poll_once()
                self._record_poll()
            except (
                OSError,
                responses.HTTPParseError,
                *documents.INVALID,
            ):
                self._record_failed_poll()
            gevent.sleep(POLL_S)

    def _poll_engine(self) -> Callable[[], None]:
        client = geventhttpclient.HTTPClient.from_url(
            self._cfg.upstream_url,
            connection_timeout=UPSTREAM_TIMEOUT_S,
            network_timeout=UPSTREAM_TIMEOUT_S,
        )
        reply_limits.limit_replies(client)

        def get(path: str) -> Any:
            reply = client.get(path)
            reply_limits.allow_body(reply)
            return documents.load(reply.read())

        def poll_once() -> None:
            self._load = _load_of(get('/load'))
            path = f'/cache/events?from={self._next_event}'
            self._record_cache_events(get(path))

        return poll_once

    def _poll_service(self) -> None:
        # A plain service has no status page, and any call to it could be one
        # that must not be repeated. So the poll only checks that it accepts
        # connections.
        parts = parse.urlsplit(self._cfg.upstream_url)
        address = (parts.hostname, parts.port)
        socket.create_connection(address, UPSTREAM_TIMEOUT_S).close()

    def _record_cache_events(self, page: dict) -> None:
        for event in page.get('events', ()):
            record = (
                self._cache.stored
                if event['act'] == 'stored'
                else self._cache.evicted
            )
            prefix = str(event['prefix'])
            prefix.encode()
            record(prefix)
        self._next_event = page.get('next', self._next_event)

    def _record_poll(self) -> None:
        if self._failed_polls >= MAX_FAILED_POLLS:
            logs.event('upstream_back')
        self._failed_polls = 0

    def _record_failed_poll(self) -> None:
        self._failed_polls += 1
        if self._failed_polls == MAX_FAILED_POLLS:
            # The engine may have lost its cache and weights. Once it is back
            # its events are numbered from 0 again.
            self._cache.clear()
            self._next_event = 0
            logs.warn('upstream_away', url=self._cfg.upstream_url)


def _load_of(document: dict) -> UpstreamLoad:
    return UpstreamLoad(
        running=int(_number(document, 'running')),
        waiting=int(_number(document, 'waiting')),
        slots=int(_number(document, 'slots')),
        tokens_per_s=_number(document, 'tokens_per_s'),
        prefill_tokens_per_s=int(_number(document, 'prefill_tokens_per_s')),
    )


def _number(document: dict, name: str) -> float:
    value = float(document.get(name, 0))
    if not 0 <= value <= MAX_REPORTED:
        raise ValueError(f'{name}: {value!r} is out of range')
    return value
