"""Places requests on upstreams, or tells at once that they can't be.

What decides is in `burdockchute.decisions`; here it meets the greenlets of
the requests, each of which waits for its place.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import random

import gevent
from gevent import event as events
from gevent import Timeout

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import engine_room
from burdockchute.decisions import patience
from burdockchute.decisions import placement
from burdockchute.decisions import versions
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.waiting import Waiting
from burdockchute.decisions.waiting import WaitingQueue
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.model.routes import EngineCost
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.straight.lanes import Lane
from burdockchute_entry.straight.lanes import Place
from burdockchute_entry.straight.lanes import Placing
from burdockchute_entry.straight.lanes import Wish
from burdockchute_entry.straight.retry_budgets import RetryBudgets
from burdockchute_entry.straight.survey import Survey
from burdockchute_entry.straight.targets import Target

# A request whose service has nobody to run it hears so at once; upstreams
# restart or are listed again within about this time.
NOBODY_RETRY_S = 1.0

# An engine that has taken nothing new for longer than this does not load but
# has failed; a load and what ran before it takes some two seconds.
LOADS_S = 4.0

# After a report that may have freed places, those that come in this time are
# used in one round; it is a fiftieth of the usual objective.
FILL_WAIT_S = 0.01

# A request whose target has no room does not hold up those behind it; more
# than this many are not looked past in one go.
MAX_ASIDE = 16


class Placer:
    """The targets, the queues and the budgets of retries of one entry.

    `region` is its own, `regions` gives that of each availability zone.
    """

    def __init__(
        self,
        bounds: Bounds,
        now: Callable[[], float],
        rng: random.Random,
        region: str = '',
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.entries = 1
        self._region = region
        self._regions = regions or {}
        self.bounds = bounds
        self._now = now
        self._rng = rng
        self._beliefs = Beliefs()
        self._targets: dict[str, Target] = {}
        self._lanes: dict[str, Lane] = {}
        self._at_address: dict[str, list[str]] = {}
        self._waiting: dict[str, Placing] = {}
        self._due: set[str] = set()
        self.retries = RetryBudgets(lambda: self.bounds, lambda: self.entries)

    # What is learnt.

    def learn(self, beliefs: Beliefs) -> None:
        """Take in new beliefs."""
        self._beliefs = beliefs
        present = {upstream.id: upstream for upstream in beliefs.present()}
        for name in self._targets.keys() - present.keys():
            self._targets.pop(name).close_idle()
        for name, upstream in present.items():
            target = self._targets.get(name)
            if target is not None and _same_start(target, upstream):
                target.relisted(upstream)
                continue
            if target is not None:
                target.close_idle()
            self._targets[name] = Target(upstream, self._now())
        self._at_address = {}
        for name, target in self._targets.items():
            address = str(target.upstream.endpoint)
            self._at_address.setdefault(address, []).append(name)
        self.fill_all()

    def reported(self, address: str, report: messages.LoadReport) -> None:
        """Take in what the agent at an upstream's address reports."""
        now = self._now()
        self.entries = max(1, report.entries or 1)
        for name in self._at_address.get(address, ()):
            self._take_report(self._targets[name], report, now)

    def targets(self) -> list[Target]:
        """Give all targets, by id."""
        return [self._targets[name] for name in sorted(self._targets)]

    # Requests.

    def place(self, placing: Placing, deadline: float) -> Place | NotRun:
        """Wait for a place; gives NotRun if it can't have one in time."""
        now = self._now()
        lane = self._lane(placing.wish.service)
        wish = placing.wish
        if placing.resuming:
            left_s = min(patience.RESUME_WAIT_S, deadline - now)
            return self._wait(lane, placing, left_s, 0.0)
        late_s = patience.late_wait_s(deadline - now)
        if not self._hosts(placing, now):
            if not self._opening_places(placing, now):
                reason = f'no upstream can run {wish.service!r} now'
                return NotRun(reason, 503, NOBODY_RETRY_S)
            return self._wait(lane, placing, 0.0, late_s)
        fresh_s = patience.fresh_wait_s(
            wish.objective_s, wish.elapsed_s, deadline - now
        )
        expected_s = lane.expected_wait_s(placing, self._loads(wish, now), now)
        if expected_s > max(fresh_s, late_s):
            return NotRun(
                f'the wait would be {expected_s:.2f} s',
                503,
                admission.retry_after_s(expected_s),
            )
        return self._wait(lane, placing, fresh_s, late_s)

    def place_now(
        self, placing: Placing, within_s: float, rest_s: float
    ) -> Place | None:
        """Give a place where the answer goes on within a time, or None.

        The engine must stay open for the rest of the answer.
        """
        now = self._now()
        cost = self._cost(placing.wish.service)
        hosts = {target.id: target for target in self._hosts(placing, now)}
        if cost is None or not hosts:
            return None
        views = [self._view(target, now) for target in hosts.values()]
        wanted = engine_room.Wanted(
            placing.ctx.prompt_tokens, placing.ctx.max_tokens
        )
        staying = [v for v in views if engine_room.stays_open(v, rest_s)]
        view = engine_room.choose(staying, wanted, cost, within_s)
        return self._taken(placing, hosts[view.name], now) if view else None

    def tokens_an_event(self, service: str) -> int:
        """Give how many tokens an event of a service's streams holds."""
        cost = self._cost(service)
        return cost.steps_a_pass if cost else 1

    def ends_at(self, model: str, version: int) -> float | None:
        """Give when a version may begin nothing any more, None for never."""
        return versions.ends_at(
            self._beliefs.history(model), version, self.bounds.version_s
        )

    def began(self, placing: Placing, place: Place) -> None:
        """Note that an answer has begun: its prompt was read."""
        place.target.reading.pop(placing.ctx.request_id, None)
        self._fill(placing.wish.service)

    def release(self, placing: Placing, place: Place) -> None:
        """Free the place of a request that was not run there."""
        place.target.reading.pop(placing.ctx.request_id, None)
        place.target.load.returned(placing.work)
        self._fill(placing.wish.service)

    def answered(
        self, placing: Placing, place: Place, service_s: float
    ) -> None:
        """Free the place of a request that was answered in so long."""
        lane = self._lane(placing.wish.service)
        now = self._now()
        target = place.target
        target.reading.pop(placing.ctx.request_id, None)
        target.load.answered(placing.work, service_s, lane.unit_s, now)
        target.answered(now)
        lane.answered(service_s / placing.work.cost)
        self._fill(placing.wish.service)

    def failed(self, placing: Placing, place: Place, service_s: float) -> None:
        """Free the place of a request that failed there after so long."""
        lane = self._lane(placing.wish.service)
        now = self._now()
        target = place.target
        target.reading.pop(placing.ctx.request_id, None)
        target.load.failed(placing.work, service_s, lane.unit_s, now)
        self._fill(placing.wish.service)

    def fill_all(self) -> None:
        """Use what room there is."""
        for service in self._lanes:
            self._fill(service)

    # How places are found.

    def _wait(
        self, lane: Lane, placing: Placing, fresh_s: float, late_s: float
    ) -> Place | NotRun:
        placing.place = events.AsyncResult()
        self._waiting[placing.ctx.request_id] = placing
        try:
            for queue, wait_s in ((lane.queue, fresh_s), (lane.late, late_s)):
                placing.is_late = queue is lane.late
                if wait_s <= 0:
                    continue
                if placing.is_late and not self._may_wait_late(lane, placing):
                    break
                self._offer(queue, placing, late_s)
                self._fill(placing.wish.service)
                # The late stage counts from arrival.
                if placing.is_late:
                    wait_s -= self._now() - placing.ctx.arrived
                try:
                    return placing.place.get(timeout=max(0.0, wait_s))
                except Timeout:
                    queue.remove(placing.ctx.request_id)
        except BaseException:
            # The caller has gone: what it was given in this moment is free.
            given = placing.place.value if placing.place.ready() else None
            if isinstance(given, Place):
                self.release(placing, given)
            raise
        finally:
            self._waiting.pop(placing.ctx.request_id, None)
            lane.queue.remove(placing.ctx.request_id)
            lane.late.remove(placing.ctx.request_id)
        waited_s = self._now() - placing.ctx.arrived
        retry_s = admission.retry_after_s(late_s)
        return NotRun(f'no place came free in {waited_s:.2f} s', 503, retry_s)

    def _may_wait_late(self, lane: Lane, placing: Placing) -> bool:
        now = self._now()
        return patience.may_wait_late(
            len(lane.late),
            lane.late_served_lately(now),
            self._opening_places(placing, now),
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
        lane = self._lane(service)
        if service in self._due or not (len(lane.queue) or len(lane.late)):
            return
        self._due.add(service)
        gevent.spawn_later(FILL_WAIT_S, self._fill_due, service)

    def _fill_due(self, service: str) -> None:
        self._due.discard(service)
        self._fill(service)

    def _fill(self, service: str) -> None:
        lane = self._lane(service)
        if not len(lane.queue) and not len(lane.late):
            return
        now = self._now()
        survey = self._survey(service, now)
        for queue in (lane.queue, lane.late):
            aside: list[Waiting] = []
            is_late = queue is lane.late
            while len(queue) and len(aside) < MAX_ASIDE:
                if not survey.has_room(is_late and self._is_engine(service)):
                    break
                item = queue.pop(now)
                if item is None:
                    break
                placing = self._waiting[item.ctx.request_id]
                if not self._give(lane, placing, survey, now):
                    aside.append(item)
            for item in aside:
                queue.put_back(item)

    def _survey(self, service: str, now: float) -> Survey:
        targets = [
            target
            for target in self._targets.values()
            if target.upstream.service == service and target.is_usable(now)
        ]
        # Entries with the same reports must not all choose the same engine
        # among equals.
        self._rng.shuffle(targets)
        return Survey(targets, lambda target: self._view(target, now), now)

    def _give(
        self, lane: Lane, placing: Placing, survey: Survey, now: float
    ) -> bool:
        left_s = self._left_s(placing, now)
        if survey.is_hopeless(placing, left_s):
            return False
        target = self._choose(lane, placing, survey, left_s, now)
        if target is None:
            survey.found_nothing(placing, left_s)
            return False
        if placing.is_late:
            lane.note_late_served(now)
        placing.place.set(self._taken(placing, target, now))
        survey.taken(target)
        return True

    def _taken(self, placing: Placing, target: Target, now: float) -> Place:
        target.load.sent(placing.work, now)
        target.sent_since_report += 1
        target.reading[placing.ctx.request_id] = placing.work.prompt_tokens
        model = placing.wish.model
        return Place(target, target.versions.get(model) if model else None)

    def _left_s(self, placing: Placing, now: float) -> float | None:
        # None for a request that can't be on time.
        if placing.resuming:
            return patience.RESUME_WAIT_S
        if placing.is_late:
            return None
        spent_s = placing.wish.elapsed_s + now - placing.ctx.arrived
        return placing.wish.objective_s - spent_s

    def _choose(
        self,
        lane: Lane,
        placing: Placing,
        survey: Survey,
        left_s: float | None,
        now: float,
    ) -> Target | None:
        least = self._least_version(placing.wish, now)
        found = survey.open_to(
            lambda target: (
                not placing.avoids(target)
                and _may_run(target, placing.wish, least)
            )
        )
        cost = self._cost(placing.wish.service)
        if cost is None:
            load = placement.choose(
                [target.load for target, _view in found.values()],
                placing.work,
                lane.unit_s,
                now,
                self._rng,
            )
            return found[load.name][0] if load else None
        wanted = engine_room.Wanted(
            placing.ctx.prompt_tokens, placing.ctx.max_tokens
        )
        views = [view for _target, view in found.values()]
        view = engine_room.choose(views, wanted, cost, left_s)
        return found[view.name][0] if view else None

    def _is_engine(self, service: str) -> bool:
        return self._cost(service) is not None

    def _least_version(self, wish: Wish, now: float) -> int:
        if not wish.model:
            return 0
        history = self._beliefs.history(wish.model)
        return versions.least_allowed(history, self.bounds.version_s, now)

    def _view(self, target: Target, now: float) -> engine_room.EngineView:
        region = self._regions.get(target.upstream.zone)
        is_far = region is not None and region != self._region
        return target.view(self.entries, is_far, now)

    def _cost(self, service: str) -> EngineCost | None:
        routes = self._beliefs.routes
        known = routes.services.get(service) if routes else None
        if known is None or known.cost is None:
            return None
        return known.cost if known.cost.prompt_tokens_per_s > 0 else None

    def _hosts(self, placing: Placing, now: float) -> list[Target]:
        wish = placing.wish
        least = self._least_version(wish, now)
        return [
            target
            for target in self._targets.values()
            if target.upstream.service == wish.service
            and target.is_usable(now)
            and not placing.avoids(target)
            and _may_run(target, wish, least)
        ]

    def _opening_places(self, placing: Placing, now: float) -> float:
        """Give this entry's part of the places on engines that load now.

        Between two versions there may be a second in which all engines
        load. Callers who were refused then would come back into it; as many
        as the engines can take when they open again wait for that.
        """
        wish = placing.wish
        if not wish.model or wish.exact is not None:
            return 0
        slots = sum(
            target.load.slots
            for target in self._targets.values()
            if target.upstream.service == wish.service
            and not target.upstream.draining
            and (target.closed_for_s(now) or LOADS_S) < LOADS_S
        )
        return engine_room.SPARE_SHARE * slots / self.entries

    def _loads(self, wish: Wish, now: float) -> list[InstanceLoad]:
        return [
            target.load
            for target in self._targets.values()
            if target.upstream.service == wish.service
            and target.is_usable(now)
            and (not wish.model or wish.model in target.versions)
        ]

    def _lane(self, service: str) -> Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = Lane(service)
        return lane

    def _take_report(
        self, target: Target, report: messages.LoadReport, now: float
    ) -> None:
        loaded = {}
        for state in report.weights or ():
            model, _at, version = state.digest.rpartition('@')
            loaded[model] = int(version)
        if dict(target.versions) != loaded:
            logs.event(
                'upstream_versions_reported',
                upstream=target.id,
                versions=','.join(f'{m}@{v}' for m, v in loaded.items()),
            )
        if loaded:
            target.closed_at = None
        elif target.closed_at is None:
            target.closed_at = now
        target.versions = loaded
        target.sent_since_report = 0
        target.closes_at = None
        if report.closes_in_ms is not None and report.closes_in_ms >= 0:
            target.closes_at = now + report.closes_in_ms / 1000
        slots = report.slots or target.upstream.slots
        target.load.report(report.running, slots, self.entries, 0.0, (), now)
        self._fill_soon(target.upstream.service)


def _may_run(target: Target, wish: Wish, least: int) -> bool:
    if not wish.model:
        return True
    version = target.versions.get(wish.model)
    if version is None or version < least:
        return False
    return wish.exact in (None, version)


def _same_start(target: Target, upstream: Upstream) -> bool:
    known = target.upstream
    return (known.endpoint, known.started_ms, known.service) == (
        upstream.endpoint,
        upstream.started_ms,
        upstream.service,
    )
