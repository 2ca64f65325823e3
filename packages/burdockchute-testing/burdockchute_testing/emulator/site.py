"""A site of callers, engines, and entries that don't share their state."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import functools
import itertools
import random
from typing import NamedTuple

from burdockchute.decisions import admission
from burdockchute.decisions import returning_callers
from burdockchute.decisions import size_classes
from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.placement import Work
from burdockchute.decisions.routing import route_table
from burdockchute.decisions.size_classes import ServedShares
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.model.positions import Position
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration
from burdockchute.model.routes import EngineCost
from burdockchute.model.routes import Model
from burdockchute.model.routes import Service
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.wait_planning import no_slot_in_time
from burdockchute_entry.straight.wait_planning import Plan
from burdockchute_testing.builders import requests
from burdockchute_testing.emulator.clock import Clock
from burdockchute_testing.emulator.engines import Engine
from burdockchute_testing.emulator.engines import Job
from burdockchute_testing.emulator.engines import NETWORK_DELAY_S
from burdockchute_testing.token_counts import draw_token_count

SERVICE = 'drafts'
MODEL = 'story'
BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
ASSIGN_INTERVAL_S = 0.1
DEADLINE_S = 6.0
# Deadlines are shorter than `DEADLINE_S` by a random share up to this.
DEADLINE_SPREAD = 0.15


class Shape(NamedTuple):
    """A kind of request: mean token counts, objective and relative frequency.

    `objective_s` is the time in which the first event has to come. The lower
    `priority` is the more urgent, as in configurations. Callers announce the
    mean length for each answer, or, with a `hint_spread`, its length times a
    log-normal error of that spread.
    """

    prompt_tokens: float
    answer_tokens: float
    objective_s: float
    share: float
    priority: int = 0
    hint_spread: float | None = None


class Deployment(NamedTuple):
    """The parts of a site; up to `queue` requests wait at each engine."""

    entries: int
    engines: int
    slots: int
    cost: EngineCost
    shapes: tuple[Shape, ...]
    queue: int = 16


class Result(NamedTuple):
    """Numbers of requests by outcome.

    Requests that still wait are counted in `total` only. `refused_twice`
    counts those that were refused and, after the wait that they were given,
    refused once more.
    """

    total: int
    on_time: int
    late: int
    refused: int
    refused_twice: int


class _Call:
    """One caller's request, across all its attempts."""

    def __init__(self, site: Site, shape: Shape) -> None:
        rng = site.rng
        self.shape = shape
        self.started_at = site.clock.now
        deadline_share = 1.0 - DEADLINE_SPREAD * rng.random()
        self.deadline = self.started_at + DEADLINE_S * deadline_share
        self.prompt_tokens = draw_token_count(rng, shape.prompt_tokens, 16)
        self.answer_tokens = draw_token_count(rng, shape.answer_tokens, 5)
        self.likely_tokens = int(shape.answer_tokens)
        if shape.hint_spread is not None:
            error = rng.lognormvariate(0.0, shape.hint_spread)
            self.likely_tokens = max(1, round(self.answer_tokens * error))
        self.attempts = 0
        self.outcome = ''
        self.name = ''


class Site:
    """One run; `rate` returns the requests per second at a time.

    `shapes` returns the kinds of requests at a time, for loads that change;
    by default they are those of the deployment.
    """

    def __init__(
        self,
        deployment: Deployment,
        rate: Callable[[float], float],
        seed: int = 1,
        shapes: Callable[[float], Sequence[Shape]] | None = None,
    ) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.calls: list[_Call] = []
        self.first_event_delays_s: list[float] = []
        self.engines = [
            Engine(
                self.clock,
                deployment.cost,
                deployment.slots,
                deployment.queue,
                functools.partial(self._on_report, number),
                self.rng.random() * 0.2,
            )
            for number in range(deployment.engines)
        ]
        self.entries = [_Entry(self) for _n in range(deployment.entries)]
        self._rate = rate
        self._shapes = shapes or (lambda now: deployment.shapes)
        self._names = itertools.count()
        self.clock.after(0.0, self._arrive)

    def open_engines(self, numbers: Sequence[int], at_s: float = 0.0) -> None:
        """Let engines accept requests from a time on."""
        for number in numbers:
            self.clock.after(at_s, self.engines[number].open)

    def run(self, until_s: float) -> None:
        """Run the simulation up to a time."""
        self.clock.run_until(until_s)

    def result(
        self, first_s: float, last_s: float, priority: int | None = None
    ) -> Result:
        """Count the outcomes of the requests that started in an interval.

        Only those of a priority count, unless it is None.
        """
        calls = [
            call
            for call in self.calls
            if first_s <= call.started_at < last_s
            and priority in (None, call.shape.priority)
        ]
        counts = [
            sum(call.outcome == name for call in calls)
            for name in ('on time', 'late', 'refused', 'again')
        ]
        return Result(len(calls), *counts)

    def served_shares(
        self, first_s: float, last_s: float
    ) -> list[dict[str, ServedShares]]:
        """Return the served shares by size for each shape of the deployment.

        Only requests that started in an interval count.
        """
        return [
            size_classes.served_shares(
                [
                    (
                        size_classes.sizes_of(
                            call.prompt_tokens, call.likely_tokens
                        ),
                        call.outcome in ('on time', 'late'),
                    )
                    for call in self.calls
                    if call.shape == shape
                    and first_s <= call.started_at < last_s
                ]
            )
            for shape in self.deployment.shapes
        ]

    def send(self, call: _Call) -> None:
        """Send a call to a random entry."""
        call.attempts += 1
        call.name = f'q-{next(self._names)}'
        self.rng.choice(self.entries).arrive(call)

    def _arrive(self) -> None:
        now = self.clock.now
        shapes = list(self._shapes(now))
        shape = self.rng.choices(shapes, [s.share for s in shapes])[0]
        call = _Call(self, shape)
        self.calls.append(call)
        self.send(call)
        self.clock.after(self.rng.expovariate(self._rate(now)), self._arrive)

    def _on_report(self, number: int, request_count: int) -> None:
        for entry in self.entries:
            entry.on_report(number, request_count)


class _Entry:
    """One entry: the product's scheduler and the calls that wait in it."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._clock = site.clock
        rng = random.Random(site.rng.random())
        self.scheduler = Scheduler(BOUNDS, lambda: site.clock.now, rng)
        self.scheduler.update(_known_state_of(site.deployment))
        self._waiting: dict[str, tuple[_Call, PendingRequest, Plan, int]] = {}
        self._clock.after(rng.random() * ASSIGN_INTERVAL_S, self._tick)

    def on_report(self, number: int, request_count: int) -> None:
        deployment = self._site.deployment
        report = messages.LoadReport(
            running=request_count,
            waiting=max(0, request_count - deployment.slots),
            slots=deployment.slots,
            weights=[messages.WeightsState(digest=f'{MODEL}@1')],
            entries=deployment.entries,
        )
        self.scheduler.apply_load_report(str(_address(number)), report)
        self._clock.after(0.01, self._assign)

    def arrive(self, call: _Call) -> None:
        now, deadline = self._clock.now, call.deadline
        ctx = requests.request(
            request_id=call.name,
            target=SERVICE,
            arrived=now,
            deadline=deadline,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.likely_tokens,
            priority=-call.shape.priority,
        )
        work = Work(admission.cost_of(ctx), False, ctx.prompt_tokens, ())
        elapsed_s = returning_callers.elapsed_s(DEADLINE_S, deadline - now)
        spec = RequestSpec(
            SERVICE,
            MODEL,
            call.shape.objective_s,
            elapsed_s,
            route=str(call.shape),
        )
        pending = PendingRequest(ctx, work, spec)
        plan = self.scheduler.plan(pending, deadline)
        if isinstance(plan, NotRun):
            self._refuse(call, plan)
            return
        self._next_stage(call, pending, plan, 0)

    def _next_stage(
        self, call: _Call, pending: PendingRequest, plan: Plan, number: int
    ) -> None:
        while number < len(plan.stages):
            stage = plan.stages[number]
            wait_s = self.scheduler.start_stage(pending, stage, plan.retry_s)
            if wait_s is not None:
                self._waiting[call.name] = (call, pending, plan, number)
                self._clock.after(
                    wait_s,
                    functools.partial(
                        self._stage_timed_out, call.name, number
                    ),
                )
                self._collect_slots()
                return
            number += 1
        self.scheduler.stop_waiting(pending)
        waited_s = self._clock.now - pending.ctx.arrived
        self._refuse(call, no_slot_in_time(waited_s, plan))

    def _stage_timed_out(self, name: str, number: int) -> None:
        waiting = self._waiting.get(name)
        if waiting is None or waiting[3] != number:
            return
        del self._waiting[name]
        call, pending, plan, _number = waiting
        plan.stages[number].queue.remove(name)
        self._next_stage(call, pending, plan, number + 1)

    def _collect_slots(self) -> None:
        for name, (call, pending, _plan, _n) in list(self._waiting.items()):
            if not pending.slot.ready():
                continue
            del self._waiting[name]
            self.scheduler.stop_waiting(pending)
            slot = pending.slot.value
            if isinstance(slot, Slot):
                self._dispatch(call, pending, slot)
            else:
                self._refuse(call, slot)

    def _dispatch(
        self, call: _Call, pending: PendingRequest, slot: Slot
    ) -> None:
        number = int(slot.target.id.removeprefix('i-'))
        sent_at = self._clock.now

        def started() -> None:
            now = self._clock.now
            self._site.first_event_delays_s.append(now - sent_at)
            self.scheduler.mark_started(pending, slot)
            on_time = now - call.started_at <= call.shape.objective_s
            call.outcome = 'on time' if on_time else 'late'
            self._collect_slots()

        def finished() -> None:
            self.scheduler.mark_answered(
                pending, slot, self._clock.now - sent_at
            )
            self._collect_slots()

        def arrive() -> None:
            job = Job(
                call.prompt_tokens,
                call.answer_tokens,
                started,
                finished,
                -(
                    pending.ctx.priority
                    if pending.lent_priority is None
                    else pending.lent_priority
                ),
            )
            if not self._site.engines[number].accept(job):
                self.scheduler.mark_failed(
                    pending, slot, self._clock.now - sent_at
                )
                self._refuse(call, NotRun('full', 503, 0.1))

        self._clock.after(NETWORK_DELAY_S, arrive)

    def _refuse(self, call: _Call, reply: NotRun) -> None:
        call.outcome = 'refused' if call.attempts == 1 else 'again'
        wait_s = reply.retry_after_s
        if (
            call.attempts == 1
            and self._clock.now + wait_s < call.deadline - 1.0
        ):
            self._clock.after(wait_s, lambda: self._site.send(call))

    def _assign(self) -> None:
        self.scheduler.assign_free_slots()
        self._collect_slots()

    def _tick(self) -> None:
        self._assign()
        self._clock.after(ASSIGN_INTERVAL_S, self._tick)


def _address(number: int) -> Endpoint:
    return Endpoint('10.0.0.1', 1 + number)


def _known_state_of(deployment: Deployment) -> KnownState:
    known = {
        f'i-{number}': KnownUpstream(
            Upstream(
                id=f'i-{number}',
                service=SERVICE,
                endpoint=_address(number),
                zone='',
                slots=deployment.slots,
                draining=False,
                warm_in_s=0.0,
                versions={},
                started_ms=None,
            ),
            Position(0, 0),
        )
        for number in range(deployment.engines)
    }
    service = Service(
        SERVICE,
        8,
        models=(Model(MODEL, 0.3),),
        slots=deployment.slots,
        cost=deployment.cost,
    )
    limits = CallerLimits(8192, 1_000_000, 1.0, 5.0)
    routes = route_table(Configuration(1, (), (service,), None, limits))
    return KnownState(
        routes=routes, upstreams=UpstreamList(known, {}), upstreams_listed=True
    )
