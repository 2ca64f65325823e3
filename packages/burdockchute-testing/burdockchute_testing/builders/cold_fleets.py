"""Entries that share upstreams of which some are cold, without a network."""

from __future__ import annotations

from collections import Counter
from collections import deque
import heapq
import random
from typing import NamedTuple

from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.placement import Work
from burdockchute.decisions.routing import route_table
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.positions import Position
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration
from burdockchute.model.routes import Service
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.targets import Target
from burdockchute_testing.builders import upstreams

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
COLD_RATE = 6.0
ALLOWED = COLD_RATE * BOUNDS.cold_overage + BOUNDS.cold_slack
SLOTS = 12
WORK = Work(1.0, False, 900, ())

STEP_S = 0.02
SERVICE_TIME_S = 0.5
# Requests that have waited longer are refused.
MAX_WAIT_S = 1.0


def known_state(
    listed: list[Upstream], read_at: float, cold_rate: float = COLD_RATE
) -> KnownState:
    """Return a list of upstreams, read at a time, of a service that warms up.

    `cold_rate` is 0 for a service that does not.
    """
    service = Service('drafts', 64, cold_s=8.0, cold_rate=cold_rate)
    limits = CallerLimits(16384, 65536, 3.0, 15.0)
    configuration = Configuration(1, (), (service,), None, limits)
    position = Position(0, 0)
    known = {
        item.id: KnownUpstream(item, position, read_at=read_at)
        for item in listed
    }
    return KnownState(
        routes=route_table(configuration), upstreams=UpstreamList(known, {})
    )


def fleet(count: int, cold: int = 0, cold_s: float = 0.0) -> list[Upstream]:
    """Return upstreams of which the first `cold` are cold for `cold_s`."""
    return [
        upstreams.upstream(
            id=f'i-{number}',
            endpoint=Endpoint('127.0.0.1', 1 + number),
            slots=SLOTS,
            versions={},
            warm_in_s=cold_s if number < cold else 0.0,
        )
        for number in range(count)
    ]


class Send(NamedTuple):
    """A request that was sent, and when it had arrived."""

    at: float
    upstream: str
    arrived: float


class SimulatedEntry:
    """One entry's targets and the requests that wait there.

    `in_flight` counts the requests at each upstream from all entries, as
    agents would report them.
    """

    def __init__(
        self, state: KnownState, seed: int, in_flight: Counter[str]
    ) -> None:
        self._in_flight = in_flight
        self.rng = random.Random(seed)
        self.known = KnownTargets(BOUNDS, self.rng, {})
        self.known.update(state, 0.0)
        self.waiting: deque[float] = deque()
        self.running: list[tuple[float, int, Target]] = []
        self.sends: list[Send] = []
        self.refused: list[float] = []

    def report_entries(self, entries: int, now: float) -> None:
        """Receive the agents' reports of the number of entries."""
        report = messages.LoadReport(running=0, slots=SLOTS, entries=entries)
        for target in self.known.all_targets():
            address = str(target.upstream.endpoint)
            self.known.apply_load_report(address, report, now)

    def step(self, now: float) -> None:
        """End requests that are done, and send those that wait."""
        while self.running and self.running[0][0] <= now:
            target = heapq.heappop(self.running)[2]
            self._in_flight[target.id] -= 1
            target.load.on_answered(WORK, SERVICE_TIME_S, SERVICE_TIME_S, now)
        while self.waiting and self.waiting[0] < now - MAX_WAIT_S:
            self.refused.append(self.waiting.popleft())
        targets = self.known.all_targets()
        self.rng.shuffle(targets)
        for target in targets:
            target.load.update_in_flight(self._in_flight[target.id], now)
            while self.waiting and target.has_capacity(now):
                target.record_sent(WORK, 0, now)
                self._in_flight[target.id] += 1
                self.sends.append(Send(now, target.id, self.waiting.popleft()))
                ends = now + SERVICE_TIME_S
                entry = (ends, len(self.sends), target)
                heapq.heappush(self.running, entry)


def run(
    entries: list[SimulatedEntry],
    rate: float,
    seconds: float,
    rng: random.Random,
    since: float = 0.0,
) -> None:
    """Let callers send `rate` requests per second to random entries."""
    next_at = since + rng.expovariate(rate)
    for step in range(round(seconds / STEP_S)):
        now = since + step * STEP_S
        while next_at <= now:
            rng.choice(entries).waiting.append(next_at)
            next_at += rng.expovariate(rate)
        for entry in entries:
            entry.step(now)


def most_in_a_second(
    entries: list[SimulatedEntry], until: float
) -> dict[str, int]:
    """Return the most sends to each upstream in any second up to a time."""
    times: dict[str, list[float]] = {}
    for entry in entries:
        for send in entry.sends:
            if send.at < until:
                times.setdefault(send.upstream, []).append(send.at)
    most = {}
    for name, sent_at in times.items():
        sent_at.sort()
        begin, most[name] = 0, 0
        for number, at in enumerate(sent_at):
            while at - sent_at[begin] > 1.0:
                begin += 1
            most[name] = max(most[name], number - begin + 1)
    return most
