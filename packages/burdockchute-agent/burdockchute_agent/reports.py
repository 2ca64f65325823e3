"""Load reports to the entries: on each change and every second.

Entries place requests by these. They lag by at most POLL_S behind what the
upstream itself reports; the entry adds what it has sent since.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import time
from typing import NamedTuple
from urllib import parse

import gevent
from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses

from burdockchute import logs
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

# A report costs each entry a wake-up for each of its agents. While requests
# come and go entries need the numbers of the last second; while nothing
# changes the report only shows that the agent is there, and may be as old as
# half of what placement still believes (5 s). It comes before a heartbeat
# would, so that the link needs none.
BUSY_REPORT_S = 1.0
IDLE_REPORT_S = 1.8
UPSTREAM_TIMEOUT_S = 1.0

# Misses in a row before the upstream counts as away. One is a pause of its
# garbage collector; three are longer than any of the stand-ins or engines
# pause while they answer anything.
MAX_MISSES = 3


class UpstreamLoad(NamedTuple):
    """What the upstream reports of itself."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    tokens_per_s: float = 0.0
    prefill_tokens_per_s: float = 0.0


class ReportsTask:
    """Polls the upstream and tells entries."""

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
        self._misses = 0
        self._cache = PendingCacheChanges()
        self._next_event = 0
        self._sent: tuple = ()
        self._sent_at = 0.0
        self._sent_load: tuple = ()

    def run(self) -> None:
        """Poll and report for ever."""
        gevent.spawn(self._poll)
        while True:
            gevent.sleep(CHANGE_CHECK_S)
            if self._is_due(time.monotonic()):
                self.send_now()

    def opened(self, link: links.Link) -> None:
        """Tell a new entry at once."""
        self._links[link] = None
        self._send_to(link, self.report(NO_CACHE_CHANGES))

    def closed(self, link: links.Link) -> None:
        """Stop telling an entry."""
        self._links.pop(link, None)

    def send_now(self) -> None:
        """Send a report to every entry."""
        now = time.monotonic()
        self._sent = self._key()
        self._sent_load = self._load_key()
        self._sent_at = now
        report = self.report(self._cache.take(now))
        for link in list(self._links):
            self._send_to(link, report)

    def report(self, news: CacheChanges) -> messages.LoadReport:
        """Give the report of this moment."""
        away = self._misses >= MAX_MISSES
        return messages.LoadReport(
            instance=self._cfg.name,
            running=self._runner.running(),
            waiting=self._load.waiting,
            slots=self._load.slots,
            tokens_per_s=self._load.tokens_per_s,
            leaving=self._runner.leaving,
            weights=[] if away else self._weights.states(),
            services=[] if away else self._weights.services(),
            prefixes=news.stored,
            table_offset=self._table_offset(),
            prefill_tokens_per_s=round(self._load.prefill_tokens_per_s),
            evicted=news.evicted,
            entries=max(1, len(self._links)),
        )

    def _is_due(self, now: float) -> bool:
        if self._key() != self._sent:
            return True
        is_busy = self._load_key() != self._sent_load
        wait_s = BUSY_REPORT_S if is_busy else IDLE_REPORT_S
        return now >= self._sent_at + wait_s

    def _load_key(self) -> tuple:
        return (self._runner.running(), self._load.waiting, self._load.slots)

    def _key(self) -> tuple:
        return (
            self._runner.leaving,
            self._misses >= MAX_MISSES,
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
                self._note_answer()
            except (OSError, ValueError, responses.HTTPParseError):
                self._note_miss()
            gevent.sleep(POLL_S)

    def _poll_engine(self) -> Callable[[], None]:
        client = geventhttpclient.HTTPClient.from_url(
            self._cfg.upstream_url,
            connection_timeout=UPSTREAM_TIMEOUT_S,
            network_timeout=UPSTREAM_TIMEOUT_S,
        )

        def poll_once() -> None:
            load = json.loads(client.get('/load').read())
            self._load = _load_of(load)
            path = f'/cache/events?from={self._next_event}'
            self._note_cache(json.loads(client.get(path).read()))

        return poll_once

    def _poll_service(self) -> None:
        # A plain service knows no status page; any call could be one that
        # may not be repeated. That it takes connections has to do.
        parts = parse.urlsplit(self._cfg.upstream_url)
        address = (parts.hostname, parts.port)
        socket.create_connection(address, UPSTREAM_TIMEOUT_S).close()

    def _note_cache(self, page: dict) -> None:
        for event in page.get('events', ()):
            note = (
                self._cache.stored
                if event['act'] == 'stored'
                else self._cache.evicted
            )
            note(event['prefix'])
        self._next_event = page.get('next', self._next_event)

    def _note_answer(self) -> None:
        if self._misses >= MAX_MISSES:
            logs.event('upstream_back')
        self._misses = 0

    def _note_miss(self) -> None:
        self._misses += 1
        if self._misses == MAX_MISSES:
            # The engine's cache and weights may be gone with it; events of
            # the one that comes back are numbered anew.
            self._cache.clear()
            self._next_event = 0
            logs.warn('upstream_away', url=self._cfg.upstream_url)


def _load_of(document: dict) -> UpstreamLoad:
    return UpstreamLoad(
        running=int(document.get('running', 0)),
        waiting=int(document.get('waiting', 0)),
        slots=int(document.get('slots', 0)),
        tokens_per_s=float(document.get('tokens_per_s', 0.0)),
        prefill_tokens_per_s=int(document.get('prefill_tokens_per_s', 0)),
    )
