"""Assigns free slots to waiting requests, in rounds over the queues.

A round takes the requests of a service in the order of its queues and gives
each a slot where the rules in `burdockchute.decisions` allow one.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import gevent

from burdockchute.decisions import admission
from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.fair_queue import QueuedRequest
from burdockchute.decisions.size_classes import USUAL_RATIO
from burdockchute.model.outcomes import NotRun
from burdockchute_entry.straight import eligibility
from burdockchute_entry.straight import openings
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.placement_round import PlacementRound
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import ServiceQueue
from burdockchute_entry.straight.service_queues import ServiceQueues
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.target_choice import TargetChooser
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.targets import UnstartedRequest
from burdockchute_entry.straight.urgency_round import UrgencyRound
from burdockchute_entry.straight.wait_planning import WaitPlanner

# Slots freed by load reports within this time are assigned in one round. It
# is a fiftieth of the usual objective.
ASSIGN_DELAY_S = 0.01

# A request whose target has no headroom does not block those behind it. At
# most this many requests of a queue are skipped in one round.
MAX_SKIPPED = 16


class SlotAssigner:
    """Assigns slots to the requests in the queues of an entry.

    `waiting` are the requests in the queues, by id.
    """

    def __init__(
        self,
        known: KnownTargets,
        chooser: TargetChooser,
        service_queues: ServiceQueues,
        planner: WaitPlanner,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.waiting: dict[str, PendingRequest] = {}
        self._known = known
        self._chooser = chooser
        self._service_queues = service_queues
        self._planner = planner
        self._now = now
        self._rng = rng
        self._assignments_due: set[str] = set()

    def enqueue(
        self, queue: FairQueue, pending: PendingRequest, retry_s: float
    ) -> None:
        """Queue a request, and refuse those that it displaces."""
        self.waiting[pending.ctx.request_id] = pending
        ctx = pending.ctx
        cost = pending.work.cost
        service_queue = self._service_queues[pending.spec.service]
        goes_first = service_queue.size_ratio(pending) < 1.0
        for item in queue.offer(
            ctx, cost, False, self._now(), goes_first=goes_first
        ):
            victim = self.waiting[item.ctx.request_id]
            if not victim.slot.ready():
                wait_s = admission.retry_after_s(retry_s)
                victim.slot.set(NotRun('too many wait', 503, wait_s))

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from all queues."""
        self.waiting.pop(pending.ctx.request_id, None)
        for queue in self._service_queues[pending.spec.service].queues:
            queue.remove(pending.ctx.request_id)

    def refuse_if(
        self, is_refused: Callable[[PendingRequest], bool], refusal: NotRun
    ) -> None:
        """Refuse the requests that wait and for which the function is true."""
        for pending in self.waiting.values():
            if pending.slot.ready() or not is_refused(pending):
                continue
            for queue in self._service_queues[pending.spec.service].queues:
                queue.remove(pending.ctx.request_id)
            pending.slot.set(refusal)

    def assign_soon(self, service: str) -> None:
        """Assign the free slots of a service within ASSIGN_DELAY_S."""
        # Each agent reports several times a second.
        if (
            service in self._assignments_due
            or self._service_queues[service].is_empty
        ):
            return
        self._assignments_due.add(service)
        gevent.spawn_later(ASSIGN_DELAY_S, self._assign_due, service)

    def refuse_restricted(self) -> None:
        """Refuse the waiting requests that may run on no upstream any more.

        An availability zone was evacuated or the allowed regions changed. The
        queues of resumed streams are checked in each round of assignment.
        """
        now = self._now()
        for service_queue in self._service_queues.values():
            for queue in (service_queue.queue, service_queue.overdue):
                for item in queue.queued_before(now):
                    self._refuse_if_restricted(
                        self.waiting[item.ctx.request_id], now
                    )

    def assign_all(self) -> None:
        """Refuse what became unservable and assign all free slots."""
        for service, service_queue in self._service_queues.items():
            self._refuse_unservable(service_queue)
            self._refuse_during_rest(service, service_queue)
            self.assign(service)

    def assign(self, service: str) -> None:
        """Assign the free slots of a service to its waiting requests."""
        service_queue = self._service_queues[service]
        if service_queue.is_empty:
            return
        now = self._now()
        is_engine = self._known.cost(service) is not None
        placement_round = self._chooser.start_round(
            service, now, is_engine and service_queue.urgency.is_mixed
        )
        reserve = service_queue.overload.overdue_reserve(now)
        by_urgency = self._chooser.urgency_round(
            service, service_queue, placement_round, now
        )
        for queue in service_queue.queues:
            skipped: list[QueuedRequest] = []
            needs_slot = is_engine and queue is service_queue.overdue
            is_shared = is_engine and queue is not service_queue.resumed
            # Urgent work may get a place where nothing is free.
            needs_headroom = (
                by_urgency is None or queue is not service_queue.queue
            )
            while len(queue) and len(skipped) < MAX_SKIPPED:
                if needs_headroom and not placement_round.has_headroom(
                    needs_slot, reserve, is_shared
                ):
                    break
                item = queue.pop(now)
                if item is None:
                    break
                pending = self.waiting[item.ctx.request_id]
                if self._assign_one(
                    service_queue,
                    pending,
                    placement_round,
                    by_urgency,
                    reserve,
                    now,
                ):
                    self._record_overtaken(skipped, item)
                else:
                    skipped.append(item)
                    if not needs_headroom and not self._may_go_on(
                        pending, placement_round, by_urgency
                    ):
                        break
            for item in skipped:
                queue.put_back(item)

    def _record_overtaken(
        self, skipped: list[QueuedRequest], placed: QueuedRequest
    ) -> None:
        for item in skipped:
            if item.sequence < placed.sequence:
                self.waiting[item.ctx.request_id].overtaken_by += 1

    def take_slot(
        self, pending: PendingRequest, target: Target, now: float
    ) -> Slot:
        """Return a slot on a target, which is taken from then on."""
        estimate_s = self._chooser.estimate_s(target, pending, now)
        target.record_sent(pending.work, sum(pending.size), now)
        model = pending.spec.model
        if model:
            target.unstarted[pending.ctx.request_id] = UnstartedRequest(
                pending.work.prompt_tokens, now, estimate_s
            )
        return Slot(target, target.versions.get(model) if model else None)

    def take_isolated_slot(
        self, pending: PendingRequest, now: float
    ) -> Slot | None:
        """Return a slot on the emptiest target, where no other begins.

        Returns None if no target has headroom.
        """
        free = [
            target
            for target in eligibility.eligible_targets(
                self._known, pending, now
            )
            if target.has_capacity(now)
        ]
        if not free:
            return None
        # Upstreams that have failed may be gone, and keep the request waiting.
        target = min(
            free,
            key=lambda target: (
                target.health.failures > 0,
                target.load.in_flight(now),
                self._rng.random(),
            ),
        )
        slot = self.take_slot(pending, target, now)
        target.load.reserved_for = pending.ctx.request_id
        gevent.spawn_later(
            pending.isolated_s, self.end_isolation, pending, target
        )
        return slot

    def end_isolation(self, pending: PendingRequest, target: Target) -> None:
        """Let others begin again where an isolated request does."""
        if target.load.reserved_for == pending.ctx.request_id:
            target.load.reserved_for = ''

    def _assign_due(self, service: str) -> None:
        self._assignments_due.discard(service)
        self.assign(service)

    def _assign_one(
        self,
        service_queue: ServiceQueue,
        pending: PendingRequest,
        placement_round: PlacementRound,
        by_urgency: UrgencyRound | None,
        reserve: float,
        now: float,
    ) -> bool:
        if now >= pending.ctx.deadline:
            # A process that was suspended assigns slots before the time
            # limits of the waiting requests have been processed.
            return False
        if by_urgency is None:
            target = self._choose(
                service_queue, pending, placement_round, reserve, now
            )
        else:
            target = self._choose_by_urgency(
                service_queue,
                pending,
                placement_round,
                by_urgency,
                reserve,
                now,
            )
        if target is None:
            return False
        if pending.is_overdue:
            service_queue.record_overdue_served(now)
        elif pending.is_new and not pending.spec.model:
            # With a model, this is known once the prompt is processed.
            service_queue.overload.record(False, now)
        service_queue.record_outcome(pending, True)
        pending.slot.set(self.take_slot(pending, target, now))
        placement_round.slot_taken(target)
        return True

    def _choose(
        self,
        service_queue: ServiceQueue,
        pending: PendingRequest,
        placement_round: PlacementRound,
        reserve: float,
        now: float,
        extra: float = 0.0,
    ) -> Target | None:
        left_s = pending.objective_left_s(now)
        as_usual = service_queue.size_ratio(pending) < USUAL_RATIO
        if not as_usual and placement_round.is_unplaceable(
            pending, left_s, extra
        ):
            return None
        target = self._chooser.choose(
            pending,
            placement_round,
            left_s,
            service_queue.unit_s,
            reserve,
            now,
            extra,
            as_usual,
        )
        if target is None and not as_usual:
            placement_round.record_unplaceable(pending, left_s, extra)
        return target

    def _choose_by_urgency(
        self,
        service_queue: ServiceQueue,
        pending: PendingRequest,
        placement_round: PlacementRound,
        by_urgency: UrgencyRound,
        reserve: float,
        now: float,
    ) -> Target | None:
        if by_urgency.is_passed_over(pending):
            return None
        extra = 0.0 if pending.resuming else by_urgency.extra(pending)
        target = None
        if placement_round.has_headroom(
            pending.is_overdue, reserve, not pending.resuming, extra
        ):
            target = self._choose(
                service_queue, pending, placement_round, reserve, now, extra
            )
        is_beyond = target is None
        left_s = pending.objective_left_s(now)
        if target is None and extra > 0 and left_s is not None:
            target = self._chooser.choose_beyond(
                pending,
                placement_round,
                left_s,
                by_urgency.service_s,
                extra,
                now,
            )
        if target is None:
            by_urgency.record_no_slot(pending)
        else:
            by_urgency.record_slot(pending, is_beyond)
        return target

    def _may_go_on(
        self,
        pending: PendingRequest,
        placement_round: PlacementRound,
        by_urgency: UrgencyRound | None,
    ) -> bool:
        return (
            by_urgency is None
            or by_urgency.may_follow(pending)
            or placement_round.has_headroom(
                False, 0.0, True, by_urgency.extra(pending)
            )
        )

    def _refuse_unservable(self, service_queue: ServiceQueue) -> None:
        # The version that a stream was started on may be unloaded everywhere
        # while the stream waits.
        now = self._now()
        for item in service_queue.resumed.queued_before(now):
            pending = self.waiting[item.ctx.request_id]
            if pending.slot.ready() or self._planner.may_resume(pending, now):
                continue
            pending.slot.set(
                self._planner.no_upstream(pending, wait_limits.NO_OPENING, now)
            )

    def _refuse_if_restricted(
        self, pending: PendingRequest, now: float
    ) -> None:
        if pending.slot.ready() or not eligibility.is_restricted(
            self._known, pending
        ):
            return
        opening = openings.next_opening(self._known, pending, now)
        if not opening.slots and not eligibility.is_servable(
            self._known, pending, now
        ):
            pending.slot.set(self._planner.no_upstream(pending, opening, now))

    def _refuse_during_rest(
        self, service: str, service_queue: ServiceQueue
    ) -> None:
        # Requests may wait when the last upstream of a service asks for rest.
        now = self._now()
        if service_queue.is_empty or not openings.rest_left_s(
            self._known, service, now
        ):
            return
        for queue in (service_queue.queue, service_queue.overdue):
            for item in queue.queued_before(now):
                pending = self.waiting[item.ctx.request_id]
                opening = openings.next_opening(self._known, pending, now)
                if not pending.slot.ready() and not opening.slots:
                    pending.slot.set(
                        self._planner.no_upstream(pending, opening, now)
                    )
