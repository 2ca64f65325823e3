"""Places requests on upstreams, or tells at once that they can't be.

What decides is in `burdockchute.decisions`; here it meets the greenlets of
the requests, each of which waits for its place.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import NamedTuple

import gevent
from gevent import event as events
from gevent import Timeout

from burdockchute.decisions import admission
from burdockchute.decisions import engine_placement
from burdockchute.decisions import overload
from burdockchute.decisions import returning_callers
from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import Waiting
from burdockchute.decisions.fair_queue import WaitingQueue
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.link_news import LinkEvent
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.known_targets import wanted_of
from burdockchute_entry.straight.lanes import Lane
from burdockchute_entry.straight.lanes import Place
from burdockchute_entry.straight.lanes import Placing
from burdockchute_entry.straight.retry_budgets import RetryBudgets
from burdockchute_entry.straight.slow_links import Ask
from burdockchute_entry.straight.slow_links import SlowLinks
from burdockchute_entry.straight.survey import Survey
from burdockchute_entry.straight.targets import Reading
from burdockchute_entry.straight.targets import Target

# A request whose service has nobody to run it hears so at once; upstreams
# restart or are listed again within about this time.
NOBODY_RETRY_S = 1.0

# After a report that may have freed places, those that come in this time are
# used in one round; it is a fiftieth of the usual objective.
FILL_WAIT_S = 0.01

# A request whose target has no room does not hold up those behind it; more
# than this many are not looked past in one go.
MAX_ASIDE = 16


class Stage(NamedTuple):
    """A queue in which a request waits, and for how many seconds."""

    queue: WaitingQueue
    wait_s: float


class Plan(NamedTuple):
    """How a request waits; who is refused after it comes in `retry_s`."""

    stages: Sequence[Stage]
    retry_s: float


def no_place(waited_s: float, plan: Plan) -> NotRun:
    """Refuse a request whose time to wait is over."""
    return NotRun(
        f'no place came free in {waited_s:.2f} s',
        503,
        admission.retry_after_s(plan.retry_s),
    )


class Placer:
    """The queues and the budgets of retries of one entry.

    `region` is its own, `regions` gives that of each availability zone. `ask`
    has links to agents probed, and other entries told of slow ones.
    """

    def __init__(
        self,
        bounds: Bounds,
        now: Callable[[], float],
        rng: random.Random,
        region: str = '',
        regions: Mapping[str, str] | None = None,
        ask: Ask = lambda message: None,
    ) -> None:
        self._now = now
        self._slow_links = SlowLinks(ask)
        self._known = KnownTargets(bounds, rng, region, regions or {})
        self._lanes: dict[str, Lane] = {}
        self._waiting: dict[str, Placing] = {}
        self._due: set[str] = set()
        self.retries = RetryBudgets(
            lambda: self._known.bounds, lambda: self._known.entries
        )

    # What is learnt.

    def learn(self, beliefs: Beliefs) -> None:
        """Take in new beliefs."""
        self._known.learn(beliefs, self._now())
        self.fill_all()

    def reported(self, address: str, report: messages.LoadReport) -> None:
        """Take in what the agent at an upstream's address reports."""
        for service in self._known.reported(address, report, self._now()):
            self._fill_soon(service)

    def learn_of_link(self, event: LinkEvent) -> None:
        """Take in what is heard of the link to an agent."""
        now = self._now()
        self._slow_links.learn(event, now)
        for target in self._known.at(event.agent):
            target.is_held = self._slow_links.is_held(event.agent, now)

    def look_at_links(self) -> None:
        """Find out whether requests stand before a slow link."""
        self._slow_links.look(self._known.everyone(), self._now())

    def bound_by(self, bounds: Bounds) -> None:
        """Take the machine's bounds from its settings, read again."""
        self._known.bounds = bounds

    def targets(self) -> list[Target]:
        """Give all targets, by id."""
        return self._known.everyone()

    # Requests.

    def place(self, placing: Placing, deadline: float) -> Place | NotRun:
        """Wait for a place; gives NotRun if it can't have one in time."""
        plan = self.plan(placing, deadline)
        return self._wait(placing, plan) if isinstance(plan, Plan) else plan

    def plan(self, placing: Placing, deadline: float) -> Plan | NotRun:
        """Tell where a request waits and for how long, or that it can't."""
        now = self._now()
        lane = self._lane(placing.wish.service)
        wish = placing.wish
        if placing.resuming:
            if not self.may_host(placing):
                return self._nobody(placing, wait_limits.NOTHING_OPENS, now)
            return Plan((Stage(lane.resumed, deadline - now),), 0.0)
        opening = self._known.opening(placing, now)
        late_s = self._late_wait_s(placing, opening, now)
        if not self._known.hosts(placing, now):
            if not opening.places or not late_s:
                return self._nobody(placing, opening, now)
            return Plan((Stage(lane.late, late_s),), late_s)
        fresh_s = wait_limits.fresh_wait_s(
            wish.objective_s, wish.elapsed_s, deadline - now
        )
        expected_s = lane.expected_wait_s(
            placing, self._known.loads(wish, now), now
        )
        if expected_s > max(fresh_s, late_s):
            return NotRun(
                f'the wait would be {expected_s:.2f} s',
                503,
                admission.retry_after_s(expected_s),
            )
        retry_s = self._retry_s(placing, late_s, now)
        return Plan(
            (Stage(lane.queue, fresh_s), Stage(lane.late, late_s)), retry_s
        )

    def begin_stage(
        self, placing: Placing, stage: Stage, retry_s: float
    ) -> float | None:
        """Let a request wait in a stage; gives for how long, None for not.

        Its `place` may be ready at once.
        """
        lane = self._lane(placing.wish.service)
        placing.is_late = stage.queue is lane.late
        if placing.is_new and placing.is_late:
            lane.overload.note(True, self._now())
        # One that has come back has no time to wait among the new ones.
        placing.is_new = stage.queue is lane.queue and stage.wait_s > 0
        if stage.wait_s <= 0:
            return None
        if placing.is_late and not self._may_wait_late(lane, placing):
            return None
        self._waiting[placing.ctx.request_id] = placing
        self._offer(stage.queue, placing, retry_s)
        self._fill(placing.wish.service)
        if not placing.is_late:
            return stage.wait_s
        # The late stage counts from arrival.
        spent_s = self._now() - placing.ctx.arrived
        return max(0.0, stage.wait_s - spent_s)

    def end_wait(self, placing: Placing) -> None:
        """Take a request out of all queues."""
        self._waiting.pop(placing.ctx.request_id, None)
        for queue in self._lane(placing.wish.service).queues:
            queue.remove(placing.ctx.request_id)

    def place_now(
        self, placing: Placing, within_s: float, rest_s: float
    ) -> Place | None:
        """Give a place where the answer goes on within a time, or None.

        The engine must stay open for the rest of the answer.
        """
        now = self._now()
        cost = self._known.cost(placing.wish.service)
        hosts = {
            target.id: target for target in self._known.hosts(placing, now)
        }
        if cost is None or not hosts:
            return None
        views = [self._known.view(target, now) for target in hosts.values()]
        staying = [v for v in views if engine_placement.stays_open(v, rest_s)]
        view = engine_placement.choose(
            staying, wanted_of(placing), cost, within_s, begun=True
        )
        return self._taken(placing, hosts[view.name], now) if view else None

    def may_host(self, placing: Placing) -> bool:
        """Tell whether any target may run it, now or after a while."""
        return self._known.may_host(placing, self._now())

    def tokens_an_event(self, service: str) -> int:
        """Give how many tokens an event of a service's streams holds."""
        cost = self._known.cost(service)
        return cost.steps_a_pass if cost else 1

    def ends_at(self, model: str, version: int) -> float | None:
        """Give when a version may begin nothing any more, None for never."""
        return self._known.ends_at(model, version)

    def began(self, placing: Placing, place: Place) -> None:
        """Note that an answer has begun: its prompt was read."""
        target, now = place.target, self._now()
        if target.read(placing.ctx.request_id, True, now):
            service = placing.wish.service
            self._slow_links.note_begun(service, target.began_in_s)
            if placing.is_new:
                left_s = self._left_s(placing, now)
                missed = left_s is not None and left_s < 0
                self._lane(service).overload.note(missed, now)
        self._fill(placing.wish.service)

    def release(self, placing: Placing, place: Place) -> None:
        """Free the place of a request that was not run there."""
        place.target.read(placing.ctx.request_id, False, self._now())
        place.target.load.returned(placing.work)
        self._fill(placing.wish.service)

    def answered(
        self, placing: Placing, place: Place, service_s: float
    ) -> None:
        """Free the place of a request that was answered in so long."""
        lane = self._lane(placing.wish.service)
        now = self._now()
        target = place.target
        target.read(placing.ctx.request_id, True, now)
        target.load.answered(placing.work, service_s, lane.unit_s, now)
        target.answered(now)
        lane.answered(service_s / placing.work.cost)
        self._fill(placing.wish.service)

    def failed(self, placing: Placing, place: Place, service_s: float) -> None:
        """Free the place of a request that failed there after so long."""
        lane = self._lane(placing.wish.service)
        now = self._now()
        target = place.target
        target.read(placing.ctx.request_id, False, now)
        target.load.failed(placing.work, service_s, lane.unit_s, now)
        self._fill(placing.wish.service)

    def fill_all(self) -> None:
        """Use what room there is."""
        for service, lane in self._lanes.items():
            self._refuse_hopeless(lane)
            self._fill(service)

    # What opens.

    def _late_wait_s(
        self, placing: Placing, opening: wait_limits.Opening, now: float
    ) -> float:
        left_s = placing.ctx.deadline - now
        late_s = wait_limits.late_wait_s(placing.wish.objective_s, left_s)
        if opening.in_s is None:
            return late_s
        answer_s = self._known.answer_s(placing)
        return max(
            late_s, wait_limits.opening_wait_s(opening, answer_s, left_s)
        )

    def _retry_s(self, placing: Placing, late_s: float, now: float) -> float:
        # The overload as it is on arrival; the wait until the refusal is
        # short against it.
        lane = self._lane(placing.wish.service)
        lasted_s = lane.overload.lasted_s(now)
        if lasted_s is None:
            return late_s
        left_s = placing.ctx.deadline - now
        return overload.retry_in_s(
            max(late_s, returning_callers.least_s(left_s)),
            lasted_s,
            left_s - self._known.answer_s(placing) - late_s,
        )

    def _nobody(
        self, placing: Placing, opening: wait_limits.Opening, now: float
    ) -> NotRun:
        why = self._known.why_nobody(placing, now)
        opens = 'nothing opens'
        retry_s = NOBODY_RETRY_S
        if opening.in_s is not None:
            opens = f'one opens in {opening.in_s:.2f} s'
            retry_s = admission.retry_after_s(opening.in_s)
        service = placing.wish.service
        reason = f'no upstream can run {service!r} now ({why}; {opens})'
        return NotRun(reason, 503, retry_s)

    # How places are found.

    def _wait(self, placing: Placing, plan: Plan) -> Place | NotRun:
        placing.place = events.AsyncResult()
        began = self._now()
        try:
            for stage in plan.stages:
                wait_s = self.begin_stage(placing, stage, plan.retry_s)
                if wait_s is None:
                    continue
                try:
                    return placing.place.get(timeout=wait_s)
                except Timeout:
                    stage.queue.remove(placing.ctx.request_id)
                    if placing.place.ready():
                        return placing.place.value
        except BaseException:
            # The caller has gone: what it was given in this moment is free.
            given = placing.place.value if placing.place.ready() else None
            if isinstance(given, Place):
                self.release(placing, given)
            raise
        finally:
            self.end_wait(placing)
        return no_place(self._now() - began, plan)

    def _refuse_hopeless(self, lane: Lane) -> None:
        # The weights that a stream was begun on may go while it waits.
        now = self._now()
        for item in lane.resumed.since_before(now):
            placing = self._waiting[item.ctx.request_id]
            if placing.place.ready() or self.may_host(placing):
                continue
            placing.place.set(
                self._nobody(placing, wait_limits.NOTHING_OPENS, now)
            )

    def _may_wait_late(self, lane: Lane, placing: Placing) -> bool:
        now = self._now()
        return wait_limits.may_wait_late(
            len(lane.late),
            lane.late_served_lately(now),
            self._known.opening(placing, now).places,
        )

    def _offer(
        self, queue: WaitingQueue, placing: Placing, retry_s: float
    ) -> None:
        ctx = placing.ctx
        cost = placing.work.cost
        for item in queue.offer(ctx, cost, False, self._now()):
            victim = self._waiting[item.ctx.request_id]
            if not victim.place.ready():
                wait_s = admission.retry_after_s(retry_s)
                victim.place.set(NotRun('too many wait', 503, wait_s))

    def _fill_soon(self, service: str) -> None:
        # Reports come from each agent several times a second.
        if service in self._due or self._lane(service).is_empty:
            return
        self._due.add(service)
        gevent.spawn_later(FILL_WAIT_S, self._fill_due, service)

    def _fill_due(self, service: str) -> None:
        self._due.discard(service)
        self._fill(service)

    def _fill(self, service: str) -> None:
        lane = self._lane(service)
        if lane.is_empty:
            return
        now = self._now()
        survey = self._known.survey(service, now)
        is_engine = self._known.cost(service) is not None
        reserve = lane.overload.late_reserve(now)
        for queue in lane.queues:
            aside: list[Waiting] = []
            needs_slot = is_engine and queue is lane.late
            is_shared = is_engine and queue is not lane.resumed
            while len(queue) and len(aside) < MAX_ASIDE:
                if not survey.has_room(needs_slot, reserve, is_shared):
                    break
                item = queue.pop(now)
                if item is None:
                    break
                placing = self._waiting[item.ctx.request_id]
                if not self._give(lane, placing, survey, reserve, now):
                    aside.append(item)
            for item in aside:
                queue.put_back(item)

    def _give(
        self,
        lane: Lane,
        placing: Placing,
        survey: Survey,
        reserve: float,
        now: float,
    ) -> bool:
        left_s = self._left_s(placing, now)
        if survey.is_hopeless(placing, left_s):
            return False
        target = self._known.choose(
            placing, survey, left_s, lane.unit_s, reserve, now
        )
        if target is None:
            survey.found_nothing(placing, left_s)
            return False
        if placing.is_late:
            lane.note_late_served(now)
        elif placing.is_new and not placing.wish.model:
            # Others are on time or not once their prompt is read.
            lane.overload.note(False, now)
        placing.place.set(self._taken(placing, target, now))
        survey.taken(target)
        return True

    def _taken(self, placing: Placing, target: Target, now: float) -> Place:
        target.load.sent(placing.work, now)
        target.share -= 1
        model = placing.wish.model
        if model:
            target.reading[placing.ctx.request_id] = Reading(
                placing.work.prompt_tokens, now
            )
        return Place(target, target.versions.get(model) if model else None)

    def _left_s(self, placing: Placing, now: float) -> float | None:
        # None for a request that can't be on time.
        if placing.resuming:
            return wait_limits.RESUME_BEGIN_S
        if placing.is_late:
            return None
        spent_s = placing.wish.elapsed_s + now - placing.ctx.arrived
        return placing.wish.objective_s - spent_s

    def _lane(self, service: str) -> Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = Lane(service)
        return lane
