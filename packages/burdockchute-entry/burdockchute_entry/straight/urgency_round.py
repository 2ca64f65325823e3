"""What each priority may use of the engines in one round of assignments."""

from __future__ import annotations

from burdockchute import logs
from burdockchute.decisions import engine_placement
from burdockchute.decisions import urgency
from burdockchute.model.routes import EngineCost
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import ServiceQueue


class UrgencyRound:
    """One round for a service whose requests differ in priority.

    `slots` is the usual number of slots of an engine, `slots_of_entry` this
    entry's even share of all slots.
    """

    def __init__(
        self,
        service: str,
        service_queue: ServiceQueue,
        cost: EngineCost,
        slots: int,
        slots_of_entry: float,
        now: float,
    ) -> None:
        self.service_s = service_queue.service_s
        self._service = service
        self._state = service_queue.urgency
        self._slots_counter = service_queue.urgent_slots
        self._slots = slots
        self._slots_of_entry = slots_of_entry
        self._now = now
        self._lowest = self._state.lowest()
        self._is_due = {
            priority: self._state.is_due(priority, now)
            for priority in self._state.in_use()
        }
        self._reserves: dict[int, float] = {}
        # The highest priority of a request on time that got no slot.
        self._passed_over: int | None = None
        full = engine_placement.EngineView('', 0, slots, slots, 1, 0)
        self._first_s = engine_placement.first_token_s(
            full, int(cost.usual_prompt_tokens), cost
        )
        self._log_pressure(service_queue)

    def extra(self, pending: PendingRequest) -> float:
        """Return how many slots beyond the free ones a request may use.

        All entries share them. Below zero, it is the number of free slots
        that the request leaves to more urgent work.
        """
        priority = pending.ctx.priority
        if pending.is_overdue:
            return -self._reserve(self._lowest)
        if self._is_lent(pending):
            return min(urgency.LENT_PLACES, self._places(pending))
        reserve = self._reserve(priority)
        if priority <= self._lowest:
            return -reserve
        return self._places(pending) - reserve

    def is_passed_over(self, pending: PendingRequest) -> bool:
        """Whether more urgent work on time waits that got no slot."""
        if self._passed_over is None or not pending.is_overdue:
            return False
        return pending.ctx.priority < self._passed_over

    def may_follow(self, pending: PendingRequest) -> bool:
        """Whether a request behind one without a slot may get one.

        Those behind are less urgent, and may use no more slots unless some
        work has got less than its share.
        """
        return any(self._is_due.values()) or self.extra(pending) > 0

    def record_no_slot(self, pending: PendingRequest) -> None:
        """Record that a request got no slot in this round."""
        if pending.is_overdue or pending.resuming:
            return
        priority = pending.ctx.priority
        if self._passed_over is None or priority > self._passed_over:
            self._passed_over = priority

    def record_slot(self, pending: PendingRequest, is_beyond: bool) -> None:
        """Record that a request got a slot, or a place beyond the slots."""
        pending.lent_priority = None
        if pending.is_overdue or pending.resuming:
            return
        priority = pending.ctx.priority
        if self._is_lent(pending):
            pending.lent_priority = self._state.highest()
            self._count('lent')
        elif is_beyond:
            self._state.record_pressure(priority, self._now)
            self._count('beyond')
        self._state.record_start(priority, self._now)
        for other in self._is_due:
            self._is_due[other] = self._state.is_due(other, self._now)

    def _is_lent(self, pending: PendingRequest) -> bool:
        return self._is_due.get(pending.ctx.priority, False)

    def _places(self, pending: PendingRequest) -> float:
        bound_s = engine_placement.OBJECTIVE_SHARE * pending.spec.objective_s
        return urgency.places(
            bound_s - self._first_s, self._slots, self.service_s
        )

    def _reserve(self, priority: int) -> float:
        reserve = self._reserves.get(priority)
        if reserve is None:
            share = urgency.reserved_share(
                self._state.rate_above(priority, self._now),
                self.service_s,
                self._slots_of_entry,
            )
            reserve = self._reserves[priority] = share * self._slots
        return reserve

    def _count(self, kind: str) -> None:
        self._slots_counter.add(1, {'service': self._service, 'kind': kind})

    def _log_pressure(self, service_queue: ServiceQueue) -> None:
        is_pressed = self._state.is_pressed(self._now)
        if is_pressed == service_queue.is_pressed:
            return
        service_queue.is_pressed = is_pressed
        logs.event(
            'urgent_work_pressed' if is_pressed else 'urgent_work_relieved',
            service=self._service,
            priority=-self._state.highest(),
            reserved=round(self._reserve(self._lowest), 1),
            service_ms=int(self.service_s * 1000),
        )
