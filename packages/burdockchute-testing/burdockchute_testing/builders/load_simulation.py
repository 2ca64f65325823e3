"""Plays a pattern of load through a router, in a time of its own.

Upstreams are played by the least that shows a decision: so many slots, a
time per unit of work, a report each second. There is no network and no
clock; a minute of load takes a fraction of a second.
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

REPORT_S = 1.0


class _UpstreamLink(routing.FakeLink):
    def __init__(self, name: str, take: Callable[[Any], None]) -> None:
        super().__init__(name)
        self._take = take

    def send(self, message: Any) -> None:
        self._take(message)


class SimulatedUpstream:
    """An instance that runs `slots` requests at once, the rest in order."""

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
        self.link: Any = _UpstreamLink(name, self._take)

    def start(self) -> None:
        """Link it and let it report from now on."""
        self._simulation.bench.router.handle(links.Opened(self.link))
        self._report()

    def stop(self) -> None:
        """Close its link; what runs there is lost."""
        self._running.clear()
        self._queued.clear()
        self._simulation.bench.close(self.link)

    def _take(self, message: Any) -> None:
        if self.link.closed_reason:
            raise links.LinkError(self.link.closed_reason)
        if isinstance(message, messages.Dispatch):
            self._queued.append(message.request_id)
            self._simulation.schedule(0.0, self._fill)
        elif isinstance(message, messages.Cancel):
            self._running.pop(message.request_id, None)
            if message.request_id in self._queued:
                self._queued.remove(message.request_id)
            self._simulation.schedule(0.0, self._fill)

    def _fill(self) -> None:
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
            ctx.request_id, 1, 200, 'x', 'd1', '', '', False, self._in_hand()
        )
        part = messages.AnswerPart(ctx.request_id, 0, b'{}')
        self._simulation.bench.receive(self.link, part)
        self._simulation.bench.receive(self.link, end)
        self._fill()

    def _in_hand(self) -> int:
        return len(self._running) + len(self._queued)

    def _report(self) -> None:
        if self.link.closed_reason:
            return
        self._simulation.bench.report(
            self.link,
            slots=self.slots,
            running=self._in_hand(),
        )
        self._simulation.schedule(REPORT_S, self._report)


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
        """Add an instance that is open at once."""
        upstream = SimulatedUpstream(self, name, slots, unit_s)
        upstream.start()
        return upstream

    def schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        """Do something later."""
        due = self.bench.now + delay_s
        heapq.heappush(self._events, (due, next(self._order), act))

    def schedule_request(self, delay_s: float, ctx: RequestContext) -> None:
        """Let a request arrive later; its deadline counts from then."""
        self.requests[ctx.request_id] = ctx
        self.schedule(delay_s, lambda: self._submit(ctx))

    def run(self, seconds: float) -> None:
        """Let time pass, with a tick of the router each tenth."""
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
    """What a set of callers got; times are seconds, 0 where none."""

    sent: int
    answered: int
    p50_s: float
    p95_s: float


def summarize(
    finished: Iterable[RequestSummary],
    chosen: Callable[[RequestContext], bool] = lambda ctx: True,
) -> LatencySummary:
    """Count the answers of the chosen requests and how long they took."""
    own = [one for one in finished if chosen(one.ctx)]
    times = sorted(
        one.total_s for one in own if isinstance(one.outcome, Answered)
    )
    return LatencySummary(
        len(own), len(times), quantile(times, 0.5), quantile(times, 0.95)
    )


def quantile(ordered: list[float], share: float) -> float:
    """Give a quantile of ordered values, 0 where there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
