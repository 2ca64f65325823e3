"""Schedules requests on upstreams, or refuses at once those it can't place.

The rules are in `burdockchute.decisions`. This module applies them to the
greenlets of the requests, each of which waits for its slot.
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
from burdockchute.decisions import backpressure
from burdockchute.decisions import engine_placement
from burdockchute.decisions import overload
from burdockchute.decisions import returning_callers
from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.fair_queue import QueuedRequest
from burdockchute.model.exchanges import Backpressure
from burdockchute.model.known_state import KnownState
from burdockchute.model.link_events import LinkEvent
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.known_targets import size_of
from burdockchute_entry.straight.placement_round import PlacementRound
from burdockchute_entry.straight.retry_budgets import RetryBudgets
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import ServiceQueue
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.slow_links import SendLinkMessage
from burdockchute_entry.straight.slow_links import SlowLinks
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.targets import UnstartedRequest

# Retry-After of a request that no upstream can run, which is refused at once.
# Upstreams restart or are listed again within about this time.
NO_UPSTREAM_RETRY_S = 1.0

# Slots freed by load reports within this time are assigned in one round. It
# is a fiftieth of the usual objective.
ASSIGN_DELAY_S = 0.01

# A request whose target has no headroom does not block those behind it. At
# most this many requests of a queue are skipped in one round.
MAX_SKIPPED = 16


class Stage(NamedTuple):
    """A queue in which a request waits, and the time limit in seconds."""

    queue: FairQueue
    wait_s: float


class Plan(NamedTuple):
    """The stages of a request's wait.

    A request that is refused after them may be retried in `retry_s` seconds.
    """

    stages: Sequence[Stage]
    retry_s: float


def no_slot_in_time(waited_s: float, plan: Plan) -> NotRun:
    """Return the refusal of a request whose waiting time is over."""
    return NotRun(
        f'no place came free in {waited_s:.2f} s',
        503,
        admission.retry_after_s(plan.retry_s),
    )


class Scheduler:
    """The queues and retry budgets of one entry.

    `region` is the entry's own, `regions` maps availability zones to their
    regions. `send_link_message` sends probes to agents and reports slow
    links to other entries.
    """

    def __init__(
        self,
        bounds: Bounds,
        now: Callable[[], float],
        rng: random.Random,
        region: str = '',
        regions: Mapping[str, str] | None = None,
        send_link_message: SendLinkMessage = lambda message: None,
    ) -> None:
        self._now = now
        self._slow_links = SlowLinks(send_link_message)
        self._known = KnownTargets(bounds, rng, region, regions or {})
        self._service_queues: dict[str, ServiceQueue] = {}
        self._waiting: dict[str, PendingRequest] = {}
        self._assignments_due: set[str] = set()
        self.retry_budgets = RetryBudgets(
            lambda: self._known.bounds, lambda: self._known.max_entries
        )

    # Updates.

    def update(self, known_state: KnownState) -> None:
        """Apply new routes, versions and upstreams."""
        self._known.update(known_state, self._now())
        for service_queue in self._service_queues.values():
            self._refuse_restricted(service_queue)
        self.assign_free_slots()

    def apply_load_report(
        self, address: str, report: messages.LoadReport
    ) -> None:
        """Apply a report of the agent at an upstream's address."""
        for service in self._known.apply_load_report(
            address, report, self._now()
        ):
            self._assign_soon(service)

    def handle_link_event(self, event: LinkEvent) -> None:
        """Process an event of the link to an agent."""
        now = self._now()
        self._slow_links.handle_event(event, now)
        for target in self._known.at_address(event.agent):
            target.is_held = self._slow_links.is_held(event.agent, now)

    def check_links(self) -> None:
        """Check which links to agents are slow."""
        self._slow_links.check(self._known.all_targets(), self._now())

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds of the machine's reloaded settings."""
        self._known.bounds = bounds

    def targets(self) -> list[Target]:
        """Return all targets, sorted by id."""
        return self._known.all_targets()

    # Requests.

    def wait_for_slot(
        self, pending: PendingRequest, deadline: float
    ) -> Slot | NotRun:
        """Wait for a slot; returns NotRun if there is none in time."""
        plan = self.plan(pending, deadline)
        return (
            self._wait_in_stages(pending, plan)
            if isinstance(plan, Plan)
            else plan
        )

    def plan(self, pending: PendingRequest, deadline: float) -> Plan | NotRun:
        """Return the stages in which a request waits, or its refusal."""
        now = self._now()
        service_queue = self._service_queue(pending.spec.service)
        spec = pending.spec
        if pending.resuming:
            if not self.is_servable(pending):
                return self._no_upstream(pending, wait_limits.NO_OPENING, now)
            return Plan((Stage(service_queue.resumed, deadline - now),), 0.0)
        opening = self._known.opening(pending, now)
        overdue_s = self._overdue_wait_s(pending, opening, now)
        eligible = self._known.eligible(pending, now)
        if not eligible:
            if not opening.slots or not overdue_s:
                return self._no_upstream(pending, opening, now)
            return Plan((Stage(service_queue.overdue, overdue_s),), overdue_s)
        on_time_s = wait_limits.on_time_wait_s(
            spec.objective_s, spec.elapsed_s, deadline - now
        )
        expected_s = max(
            self._known.wait_with_cold_s(
                eligible,
                service_queue.expected_wait_s(
                    pending, self._known.loads(spec, now), now
                ),
                service_queue.waiting_count,
                now,
            ),
            backpressure.wait_for_turn_s(
                [target.limit for target in eligible],
                service_queue.waiting_count,
                now,
            ),
        )
        if expected_s > max(on_time_s, overdue_s):
            return NotRun(
                f'the wait would be {expected_s:.2f} s',
                503,
                admission.retry_after_s(expected_s),
            )
        retry_s = self._retry_s(pending, overdue_s, now)
        return Plan(
            (
                Stage(service_queue.queue, on_time_s),
                Stage(service_queue.overdue, overdue_s),
            ),
            retry_s,
        )

    def start_stage(
        self, pending: PendingRequest, stage: Stage, retry_s: float
    ) -> float | None:
        """Let a request wait in a stage and return the seconds, or None.

        None means that it must not wait there. Its `slot` may be ready at
        once.
        """
        service_queue = self._service_queue(pending.spec.service)
        pending.is_overdue = stage.queue is service_queue.overdue
        if pending.is_new and pending.is_overdue:
            service_queue.overload.record(True, self._now())
        # A returning request has no waiting time left in the on-time queue.
        pending.is_new = (
            stage.queue is service_queue.queue and stage.wait_s > 0
        )
        if stage.wait_s <= 0:
            return None
        if pending.is_overdue and not self._may_wait_overdue(
            service_queue, pending
        ):
            return None
        self._waiting[pending.ctx.request_id] = pending
        self._enqueue(stage.queue, pending, retry_s)
        self._assign_slots(pending.spec.service)
        if not pending.is_overdue:
            return stage.wait_s
        # The time limit of the overdue stage counts from arrival.
        spent_s = self._now() - pending.ctx.arrived
        return max(0.0, stage.wait_s - spent_s)

    def stop_waiting(self, pending: PendingRequest) -> None:
        """Remove a request from all queues."""
        self._waiting.pop(pending.ctx.request_id, None)
        for queue in self._service_queue(pending.spec.service).queues:
            queue.remove(pending.ctx.request_id)

    def reserve_slot(
        self, pending: PendingRequest, within_s: float, remainder_s: float
    ) -> Slot | None:
        """Return a slot where the answer resumes in `within_s`, or None.

        The engine must stay open for the `remainder_s` that the remainder of
        the answer takes.
        """
        now = self._now()
        cost = self._known.cost(pending.spec.service)
        eligible = {
            target.id: target
            for target in self._known.eligible(pending, now)
            if target.has_capacity(now)
        }
        if cost is None or not eligible:
            return None
        views = [self._known.view(target, now) for target in eligible.values()]
        staying = [
            v for v in views if engine_placement.stays_open(v, remainder_s)
        ]
        view = engine_placement.choose_engine(
            staying, size_of(pending), cost, within_s, started=True
        )
        return (
            self._take_slot(pending, eligible[view.name], now)
            if view
            else None
        )

    def is_servable(self, pending: PendingRequest) -> bool:
        """Whether any target may run the request, now or later."""
        return self._known.is_servable(pending, self._now())

    def is_allowed(self, pending: PendingRequest, target: Target) -> bool:
        """Whether a request may run in the region of a target."""
        return self._known.is_allowed(pending, target)

    def evacuation_left_s(self, target: Target) -> float | None:
        """Return the seconds until streams should have left a target."""
        return self._known.evacuation_left_s(target, self._now())

    def rest_left_s(self, service: str) -> float:
        """Return the seconds for which all upstreams of a service rest."""
        return self._known.rest_left_s(service, self._now())

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in an event of a service's streams."""
        cost = self._known.cost(service)
        return cost.steps_per_pass if cost else 1

    def start_deadline(self, model: str, version: int) -> float | None:
        """Return until when a version may start requests, None for ever."""
        return self._known.start_deadline(model, version)

    def record_backpressure(
        self,
        target: Target,
        stated: Backpressure,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Apply what an upstream asked for in an answer to a request."""
        self._known.record_backpressure(
            target, stated, request_id, sent_at, self._now()
        )

    def record_cold_answer(self, target: Target, cold_s: float) -> None:
        """Apply for how long an upstream says that it is still cold."""
        self._known.record_cold_answer(target, cold_s, self._now())

    def mark_started(self, pending: PendingRequest, slot: Slot) -> None:
        """Record that an answer has started: its prompt was processed."""
        target, now = slot.target, self._now()
        if target.remove_unstarted(pending.ctx.request_id, True, now):
            service = pending.spec.service
            self._slow_links.record_first_event(
                service, target.last_first_event_s
            )
            if pending.is_new:
                left_s = self._objective_left_s(pending, now)
                missed = left_s is not None and left_s < 0
                self._service_queue(service).overload.record(missed, now)
        self._assign_slots(pending.spec.service)

    def release(self, pending: PendingRequest, slot: Slot) -> None:
        """Free the slot of a request that was not run there."""
        slot.target.remove_unstarted(
            pending.ctx.request_id, False, self._now()
        )
        slot.target.load.on_returned(pending.work)
        self._assign_slots(pending.spec.service)

    def mark_answered(
        self, pending: PendingRequest, slot: Slot, service_s: float
    ) -> None:
        """Free the slot of a request that was answered in `service_s`."""
        service_queue = self._service_queue(pending.spec.service)
        now = self._now()
        target = slot.target
        target.remove_unstarted(pending.ctx.request_id, True, now)
        target.load.on_answered(
            pending.work, service_s, service_queue.unit_s, now
        )
        target.record_success(now)
        service_queue.record_unit_time(service_s / pending.work.cost)
        self._assign_slots(pending.spec.service)

    def mark_failed(
        self, pending: PendingRequest, slot: Slot, service_s: float
    ) -> None:
        """Free the slot of a request that failed after `service_s`."""
        service_queue = self._service_queue(pending.spec.service)
        now = self._now()
        target = slot.target
        target.remove_unstarted(pending.ctx.request_id, False, now)
        target.load.on_failed(
            pending.work, service_s, service_queue.unit_s, now
        )
        self._assign_slots(pending.spec.service)

    def assign_free_slots(self) -> None:
        """Assign all free slots to waiting requests."""
        for service, service_queue in self._service_queues.items():
            self._refuse_unservable(service_queue)
            self._refuse_during_rest(service, service_queue)
            self._assign_slots(service)

    # Waiting times.

    def _overdue_wait_s(
        self, pending: PendingRequest, opening: wait_limits.Opening, now: float
    ) -> float:
        left_s = pending.ctx.deadline - now
        overdue_s = wait_limits.overdue_wait_s(
            pending.spec.objective_s, left_s
        )
        if opening.in_s is None:
            return overdue_s
        answer_estimate_s = self._known.answer_estimate_s(pending)
        return max(
            overdue_s,
            wait_limits.opening_wait_s(opening, answer_estimate_s, left_s),
        )

    def _retry_s(
        self, pending: PendingRequest, overdue_s: float, now: float
    ) -> float:
        # The overload is taken as of arrival; the wait until the refusal is
        # short in comparison.
        service_queue = self._service_queue(pending.spec.service)
        lasted_s = service_queue.overload.duration_s(now)
        if lasted_s is None:
            return overdue_s
        left_s = pending.ctx.deadline - now
        return overload.retry_delay_s(
            max(overdue_s, returning_callers.min_return_delay_s(left_s)),
            lasted_s,
            left_s - self._known.answer_estimate_s(pending) - overdue_s,
        )

    def _no_upstream(
        self, pending: PendingRequest, opening: wait_limits.Opening, now: float
    ) -> NotRun:
        details = self._known.explain_ineligible(pending, now)
        opens = 'nothing opens'
        retry_s = NO_UPSTREAM_RETRY_S
        if opening.in_s is not None:
            opens = f'one opens in {opening.in_s:.2f} s'
            retry_s = admission.retry_after_s(opening.in_s)
        elif rest_s := self._known.rest_left_s(pending.spec.service, now):
            opens = f'one has rested in {rest_s:.2f} s'
            retry_s = rest_s
        service = pending.spec.service
        reason = f'no upstream can run {service!r} now ({details}; {opens})'
        return NotRun(reason, 503, retry_s)

    # Assignment of slots.

    def _wait_in_stages(
        self, pending: PendingRequest, plan: Plan
    ) -> Slot | NotRun:
        pending.slot = events.AsyncResult()
        started = self._now()
        try:
            for stage in plan.stages:
                wait_s = self.start_stage(pending, stage, plan.retry_s)
                if wait_s is None:
                    continue
                try:
                    return pending.slot.get(timeout=wait_s)
                except Timeout:
                    stage.queue.remove(pending.ctx.request_id)
                    if pending.slot.ready():
                        return pending.slot.value
        except BaseException:
            # The caller disconnected. A slot that was assigned at the same
            # moment must be freed.
            assigned = pending.slot.value if pending.slot.ready() else None
            if isinstance(assigned, Slot):
                self.release(pending, assigned)
            raise
        finally:
            self.stop_waiting(pending)
        return no_slot_in_time(self._now() - started, plan)

    def _refuse_unservable(self, service_queue: ServiceQueue) -> None:
        # The version that a stream was started on may be unloaded everywhere
        # while the stream waits.
        now = self._now()
        for item in service_queue.resumed.queued_before(now):
            pending = self._waiting[item.ctx.request_id]
            if pending.slot.ready() or self.is_servable(pending):
                continue
            pending.slot.set(
                self._no_upstream(pending, wait_limits.NO_OPENING, now)
            )

    def _refuse_restricted(self, service_queue: ServiceQueue) -> None:
        # An availability zone was evacuated or the allowed regions changed,
        # and requests that wait may run nowhere else. The queue of resumed
        # streams is checked in each round of assignment.
        now = self._now()
        for queue in (service_queue.queue, service_queue.overdue):
            for item in queue.queued_before(now):
                pending = self._waiting[item.ctx.request_id]
                if pending.slot.ready() or not self._known.is_restricted(
                    pending
                ):
                    continue
                opening = self._known.opening(pending, now)
                if not opening.slots and not self.is_servable(pending):
                    pending.slot.set(self._no_upstream(pending, opening, now))

    def _refuse_during_rest(
        self, service: str, service_queue: ServiceQueue
    ) -> None:
        # Requests may wait when the last upstream of a service asks for rest.
        now = self._now()
        if service_queue.is_empty or not self._known.rest_left_s(service, now):
            return
        for queue in (service_queue.queue, service_queue.overdue):
            for item in queue.queued_before(now):
                pending = self._waiting[item.ctx.request_id]
                opening = self._known.opening(pending, now)
                if not pending.slot.ready() and not opening.slots:
                    pending.slot.set(self._no_upstream(pending, opening, now))

    def _may_wait_overdue(
        self, service_queue: ServiceQueue, pending: PendingRequest
    ) -> bool:
        now = self._now()
        return wait_limits.may_wait_overdue(
            len(service_queue.overdue),
            service_queue.overdue_served_recently(now),
            self._known.opening(pending, now).slots,
        )

    def _enqueue(
        self, queue: FairQueue, pending: PendingRequest, retry_s: float
    ) -> None:
        ctx = pending.ctx
        cost = pending.work.cost
        for item in queue.offer(ctx, cost, False, self._now()):
            victim = self._waiting[item.ctx.request_id]
            if not victim.slot.ready():
                wait_s = admission.retry_after_s(retry_s)
                victim.slot.set(NotRun('too many wait', 503, wait_s))

    def _assign_soon(self, service: str) -> None:
        # Each agent reports several times a second.
        if (
            service in self._assignments_due
            or self._service_queue(service).is_empty
        ):
            return
        self._assignments_due.add(service)
        gevent.spawn_later(ASSIGN_DELAY_S, self._assign_due, service)

    def _assign_due(self, service: str) -> None:
        self._assignments_due.discard(service)
        self._assign_slots(service)

    def _assign_slots(self, service: str) -> None:
        service_queue = self._service_queue(service)
        if service_queue.is_empty:
            return
        now = self._now()
        placement_round = self._known.start_round(service, now)
        is_engine = self._known.cost(service) is not None
        reserve = service_queue.overload.overdue_reserve(now)
        for queue in service_queue.queues:
            skipped: list[QueuedRequest] = []
            needs_slot = is_engine and queue is service_queue.overdue
            is_shared = is_engine and queue is not service_queue.resumed
            while len(queue) and len(skipped) < MAX_SKIPPED:
                if not placement_round.has_headroom(
                    needs_slot, reserve, is_shared
                ):
                    break
                item = queue.pop(now)
                if item is None:
                    break
                pending = self._waiting[item.ctx.request_id]
                if not self._assign_one(
                    service_queue, pending, placement_round, reserve, now
                ):
                    skipped.append(item)
            for item in skipped:
                queue.put_back(item)

    def _assign_one(
        self,
        service_queue: ServiceQueue,
        pending: PendingRequest,
        placement_round: PlacementRound,
        reserve: float,
        now: float,
    ) -> bool:
        if now >= pending.ctx.deadline:
            # A process that was suspended assigns slots before the time
            # limits of the waiting requests have been processed.
            return False
        left_s = self._objective_left_s(pending, now)
        if placement_round.is_unplaceable(pending, left_s):
            return False
        target = self._known.choose(
            pending,
            placement_round,
            left_s,
            service_queue.unit_s,
            reserve,
            now,
        )
        if target is None:
            placement_round.record_unplaceable(pending, left_s)
            return False
        if pending.is_overdue:
            service_queue.record_overdue_served(now)
        elif pending.is_new and not pending.spec.model:
            # With a model, this is known once the prompt is processed.
            service_queue.overload.record(False, now)
        pending.slot.set(self._take_slot(pending, target, now))
        placement_round.slot_taken(target)
        return True

    def _take_slot(
        self, pending: PendingRequest, target: Target, now: float
    ) -> Slot:
        target.record_sent(pending.work, sum(size_of(pending)), now)
        model = pending.spec.model
        if model:
            target.unstarted[pending.ctx.request_id] = UnstartedRequest(
                pending.work.prompt_tokens, now
            )
        return Slot(target, target.versions.get(model) if model else None)

    def _objective_left_s(
        self, pending: PendingRequest, now: float
    ) -> float | None:
        # None for a request that can no longer be on time.
        if pending.resuming:
            return wait_limits.RESUME_START_LIMIT_S
        if pending.is_overdue:
            return None
        spent_s = pending.spec.elapsed_s + now - pending.ctx.arrived
        return pending.spec.objective_s - spent_s

    def _service_queue(self, service: str) -> ServiceQueue:
        service_queue = self._service_queues.get(service)
        if service_queue is None:
            service_queue = self._service_queues[service] = ServiceQueue(
                service
            )
        return service_queue
