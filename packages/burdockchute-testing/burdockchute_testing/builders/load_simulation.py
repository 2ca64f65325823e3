"""Runs a load pattern through a router in simulated time.

The model of an upstream is the smallest one that shows the router's
decisions: a number of slots, a time per unit of work and a load report each
second. It uses neither a network nor a real clock, so a minute of load takes
a fraction of a second.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools
import heapq
import itertools
from typing import Any
from typing import NamedTuple

from burdockchute.decisions import admission
from burdockchute.model.outcomes import Answered
from burdockchute.model.replies import RequestSummary
from burdockchute.model.requests import RequestContext
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_testing.builders import routing

REPORT_INTERVAL_S = 1.0


class _UpstreamLink(routing.FakeLink):
    def __init__(self, name: str, on_message: Callable[[Any], None]) -> None:
        super().__init__(name)
        self._receive = on_message

    def send(self, message: Any) -> None:
        self._receive(message)


class SimulatedUpstream:
    """An instance that runs `slots` requests at a time, in FIFO order.

    A request takes `unit_s` seconds for each unit of its cost.
    """

    def __init__(
        self, simulation: LoadSimulation, name: str, slots: int, unit_s: float
    ):
        self.name = name
        self.slots = slots
        self.unit_s = unit_s
        self.finished_count = 0
        self.work_done = 0.0
        self._simulation = simulation
        self._running: dict[str, RequestContext] = {}
        self._queued: list[str] = []
        self.link: Any = _UpstreamLink(name, self._receive)

    def start(self) -> None:
        """Connect to the router and start to send load reports."""
        self._simulation.bench.router.handle(links.Opened(self.link))
        self._report()

    def stop(self) -> None:
        """Close the link; requests in progress are lost."""
        self._running.clear()
        self._queued.clear()
        self._simulation.bench.close(self.link)

    def _receive(self, message: Any) -> None:
        if self.link.closed_reason:
            raise links.LinkError(self.link.closed_reason)
        if isinstance(message, messages.Dispatch):
            self._queued.append(message.request_id)
            self._simulation.schedule(0.0, self._start_queued)
        elif isinstance(message, messages.Cancel):
            self._running.pop(message.request_id, None)
            if message.request_id in self._queued:
                self._queued.remove(message.request_id)
            self._simulation.schedule(0.0, self._start_queued)

    def _start_queued(self) -> None:
        while self._queued and len(self._running) < self.slots:
            request_id = self._queued.pop(0)
            ctx = self._simulation.requests[request_id]
            self._running[request_id] = ctx
            duration = self.unit_s * admission.cost_of(ctx)
            self._simulation.schedule(
                duration, functools.partial(self._finish, ctx)
            )

    def _finish(self, ctx: RequestContext) -> None:
        if self._running.pop(ctx.request_id, None) is None:
            return
        self.finished_count += 1
        self.work_done += admission.cost_of(ctx)
        end = messages.AnswerEnd(
            ctx.request_id,
            1,
            200,
            'x',
            'd1',
            '',
            '',
            False,
            self._running_or_queued(),
        )
        part = messages.AnswerPart(ctx.request_id, 0, b'{}')
        self._simulation.bench.receive(self.link, part)
        self._simulation.bench.receive(self.link, end)
        self._start_queued()

    def _running_or_queued(self) -> int:
        return len(self._running) + len(self._queued)

    def _report(self) -> None:
        if self.link.closed_reason:
            return
        self._simulation.bench.report(
            self.link,
            slots=self.slots,
            running=self._running_or_queued(),
        )
        self._simulation.schedule(REPORT_INTERVAL_S, self._report)


class LoadSimulation:
    """One run; `bench.finished` collects the outcomes of all requests."""

    def __init__(self, table: Table) -> None:
        self.bench = routing.RouterTestBench(table)
        self.requests: dict[str, RequestContext] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def add_upstream(
        self, name: str, slots: int, unit_s: float
    ) -> SimulatedUpstream:
        """Add an instance that accepts requests at once."""
        upstream = SimulatedUpstream(self, name, slots, unit_s)
        upstream.start()
        return upstream

    def schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        """Call `act` after a delay."""
        due = self.bench.now + delay_s
        heapq.heappush(self._events, (due, next(self._order), act))

    def schedule_request(self, delay_s: float, ctx: RequestContext) -> None:
        """Submit a request after a delay; its deadline counts from then."""
        self.requests[ctx.request_id] = ctx
        self.schedule(delay_s, lambda: self._submit(ctx))

    def run(self, seconds: float) -> None:
        """Advance the time, with a tick of the router every 0.1 seconds."""
        until = self.bench.now + seconds
        next_tick = self.bench.now
        while next_tick <= until:
            while self._events and self._events[0][0] <= next_tick:
                due, _order, act = heapq.heappop(self._events)
                self.bench.now = max(self.bench.now, due)
                act()
            self.bench.now = next_tick
            self.bench.router.tick()
            next_tick += 0.1

    def _submit(self, ctx: RequestContext) -> None:
        self.bench.submit(ctx)


class LatencySummary(NamedTuple):
    """Counts and latencies of a set of requests.

    Latencies are in seconds, and 0 if nothing was answered.
    """

    sent: int
    answered: int
    p50_s: float
    p95_s: float


def summarize(
    finished: Iterable[RequestSummary],
    matches: Callable[[RequestContext], bool] = lambda ctx: True,
) -> LatencySummary:
    """Return answer counts and latencies of the requests that match."""
    selected = [
        request_summary
        for request_summary in finished
        if matches(request_summary.ctx)
    ]
    times = sorted(
        request_summary.total_s
        for request_summary in selected
        if isinstance(request_summary.outcome, Answered)
    )
    return LatencySummary(
        len(selected), len(times), quantile(times, 0.5), quantile(times, 0.95)
    )


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
