"""Schedules requests on upstreams, or refuses at once those it can't place.

The rules are in `burdockchute.decisions`. This module applies them to the
greenlets of the requests, each of which waits for its slot.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import random

from gevent import event as events
from gevent import Timeout

from burdockchute import logs
from burdockchute.callers.environment import SHUTDOWN_RETRY_S
from burdockchute.decisions import confirmation
from burdockchute.decisions import engine_placement
from burdockchute.decisions.engine_speed import SpeedUse
from burdockchute.model.exchanges import Backpressure
from burdockchute.model.known_state import KnownState
from burdockchute.model.link_events import LinkEvent
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.wire import messages
from burdockchute_entry.straight import eligibility
from burdockchute_entry.straight import openings
from burdockchute_entry.straight.confirmation_task import ConfirmationTask
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.retry_budgets import RetryBudgets
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import ServiceQueues
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.slot_assignment import SlotAssigner
from burdockchute_entry.straight.slow_links import SendLinkMessage
from burdockchute_entry.straight.slow_links import SlowLinks
from burdockchute_entry.straight.target_choice import TargetChooser
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.wait_planning import no_slot_in_time
from burdockchute_entry.straight.wait_planning import Plan
from burdockchute_entry.straight.wait_planning import Stage
from burdockchute_entry.straight.wait_planning import WaitPlanner

# How long a request is expected to run: a multiple of the mean time of its
# service, but no less than the minimum.
RUN_MEANS = 1.5
MIN_RUN_S = 1.2

LEAVING = NotRun('this entry is leaving', 503, SHUTDOWN_RETRY_S)


class Scheduler:
    """The queues and retry budgets of one entry.

    `region` is the entry's own, `regions` maps availability zones to their
    regions. `send_link_message` sends probes to agents and reports slow
    links to other entries. Requests that are restricted to some regions run
    only while `confirmation` holds; without one, it always does.
    """

    def __init__(
        self,
        bounds: Bounds,
        now: Callable[[], float],
        rng: random.Random,
        region: str = '',
        regions: Mapping[str, str] | None = None,
        send_link_message: SendLinkMessage = lambda message: None,
        speed_use: SpeedUse = SpeedUse.REPORTED,
        confirmation_task: ConfirmationTask | None = None,
    ) -> None:
        self._confirmation = confirmation_task
        self.hedges = speed_use is SpeedUse.HEDGED
        self.hedged_count = 0
        self._now = now
        self._slow_links = SlowLinks(send_link_message)
        self._known = KnownTargets(bounds, rng, regions or {}, speed_use)
        self._chooser = TargetChooser(self._known, rng, region, regions or {})
        self._service_queues = ServiceQueues()
        # When this entry exits; None unless it shuts down.
        self.exit_at: float | None = None
        self._planner = WaitPlanner(self._known, self._service_queues)
        self._assigner = SlotAssigner(
            self._known,
            self._chooser,
            self._service_queues,
            self._planner,
            now,
            rng,
        )
        self._waiting = self._assigner.waiting
        self.retry_budgets = RetryBudgets(
            lambda: self._known.bounds, lambda: self._known.services
        )

    @property
    def entries(self) -> int:
        """The number of entries that share limits, as known here."""
        return self._known.max_entries

    def set_registered_entries(self, entries: int) -> None:
        """Apply the number of entries that have records in the store."""
        self._known.set_registered_entries(entries, self._now())

    # Updates.

    def update(self, known_state: KnownState) -> None:
        """Apply new routes, versions and upstreams."""
        self._known.update(known_state, self._now())
        self._assigner.refuse_restricted()
        self.assign_free_slots()

    def apply_load_report(
        self, address: str, report: messages.LoadReport
    ) -> None:
        """Apply a report of the agent at an upstream's address."""
        for service in self._known.apply_load_report(
            address, report, self._now()
        ):
            self._assigner.assign_soon(service)

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
        if self._is_too_late(pending):
            return LEAVING
        if not self._wait_until_confirmed(pending, deadline):
            return NotRun(
                "its allowed regions can't be confirmed",
                503,
                confirmation.RETRY_S,
            )
        if pending.isolated_s:
            slot = self._assigner.take_isolated_slot(pending, self._now())
            if slot is not None:
                return slot
        plan = self.plan(pending, deadline)
        return (
            self._wait_in_stages(pending, plan)
            if isinstance(plan, Plan)
            else plan
        )

    def plan(self, pending: PendingRequest, deadline: float) -> Plan | NotRun:
        """Return the stages in which a request waits, or its refusal."""
        plan = self._planner.plan(pending, deadline, self._now())
        if isinstance(plan, NotRun):
            self._service_queues[pending.spec.service].record_outcome(
                pending, False
            )
        return plan

    def start_stage(
        self, pending: PendingRequest, stage: Stage, retry_s: float
    ) -> float | None:
        """Let a request wait in a stage and return the seconds, or None.

        None means that it must not wait there. Its `slot` may be ready at
        once.
        """
        service_queue = self._service_queues[pending.spec.service]
        pending.is_overdue = stage.queue is service_queue.overdue
        if pending.is_new and pending.is_overdue:
            service_queue.overload.record(True, self._now())
            service_queue.urgency.record_pressure(
                pending.ctx.priority, self._now()
            )
        # A returning request has no waiting time left in the on-time queue.
        pending.is_new = (
            stage.queue is service_queue.queue and stage.wait_s > 0
        )
        if stage.wait_s <= 0:
            return None
        if pending.is_overdue and not self._planner.may_wait_overdue(
            pending, self._now()
        ):
            return None
        self._assigner.enqueue(stage.queue, pending, retry_s)
        self._assigner.assign(pending.spec.service)
        if not pending.is_overdue:
            return stage.wait_s
        # The time limit of the overdue stage counts from arrival.
        spent_s = self._now() - pending.ctx.arrived
        return max(0.0, stage.wait_s - spent_s)

    def refuse_late(self) -> None:
        """Refuse the requests that can't run before this entry exits.

        They have not been sent, so their callers may send them again.
        """
        self._assigner.refuse_if(self._is_too_late, LEAVING)

    def time_to_run_s(self, service: str) -> float:
        """Return the time that a request for a service is expected to need."""
        mean_s = self._service_queues[service].service_s
        return max(MIN_RUN_S, RUN_MEANS * mean_s)

    def _is_too_late(self, pending: PendingRequest) -> bool:
        if self.exit_at is None or pending.resuming:
            return False
        # How long a stream runs does not decide whether it may begin.
        needed_s = MIN_RUN_S
        if not pending.ctx.stream:
            needed_s = self.time_to_run_s(pending.spec.service)
        return self._now() + needed_s > self.exit_at

    def stop_waiting(self, pending: PendingRequest) -> None:
        """Remove a request from all queues; it got a slot, or gets none."""
        self._assigner.remove(pending)
        self._service_queues[pending.spec.service].record_outcome(
            pending, False
        )

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
            for target in eligibility.eligible_targets(
                self._known, pending, now
            )
            if target.has_capacity(now)
        }
        if cost is None or not eligible:
            return None
        views = [
            self._chooser.view(target, now) for target in eligible.values()
        ]
        staying = [
            v for v in views if engine_placement.stays_open(v, remainder_s)
        ]
        view = engine_placement.choose_engine(
            staying, pending.size, cost, within_s, started=True
        )
        return (
            self._assigner.take_slot(pending, eligible[view.name], now)
            if view
            else None
        )

    def reserve_hedge_slot(
        self, pending: PendingRequest, sent_at: float
    ) -> Slot | None:
        """Return a slot for a request that waits elsewhere, or None."""
        now = self._now()
        target = self._chooser.choose_hedge(pending, sent_at, now)
        return (
            self._assigner.take_slot(pending, target, now) if target else None
        )

    def is_servable(self, pending: PendingRequest) -> bool:
        """Whether any target may run the request, now or later."""
        return eligibility.is_servable(self._known, pending, self._now())

    def is_allowed(self, pending: PendingRequest, target: Target) -> bool:
        """Whether a request may run in the region of a target.

        One that is restricted needs a confirmed configuration.
        """
        is_allowed = eligibility.is_allowed(self._known, pending, target)
        if self._confirmation is None or not eligibility.is_region_restricted(
            self._known, pending
        ):
            return is_allowed
        is_confirmed = self._confirmation.is_confirmed()
        logs.event(
            'allowed_regions_checked',
            request_id=pending.ctx.request_id,
            upstream=target.id,
            zone=target.upstream.zone,
            configuration=self._confirmation.version(),
            confirmed_ms=int(self._confirmation.age_s() * 1000),
            allowed=is_allowed,
            confirmed=is_confirmed,
        )
        return is_allowed and is_confirmed

    def evacuation_left_s(self, target: Target) -> float | None:
        """Return the seconds until streams should have left a target."""
        return eligibility.evacuation_left_s(self._known, target, self._now())

    def rest_left_s(self, service: str) -> float:
        """Return the seconds for which all upstreams of a service rest."""
        return openings.rest_left_s(self._known, service, self._now())

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in an event of a service's streams."""
        cost = self._known.cost(service)
        return cost.steps_per_pass if cost else 1

    def start_deadline(self, model: str, version: int) -> float | None:
        """Return until when a version may start requests, None for ever."""
        return eligibility.start_deadline(self._known, model, version)

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
        """Record an event of an answer: its prompt was processed."""
        target, now = slot.target, self._now()
        service = pending.spec.service
        if not target.remove_unstarted(pending.ctx.request_id, True, now):
            # Only the first event changes what is known of the target. A
            # round for each event would be hundreds per second.
            self._assigner.assign_soon(service)
            return
        self._slow_links.record_first_event(service, target.last_first_event_s)
        if pending.is_new:
            left_s = pending.objective_left_s(now)
            missed = left_s is not None and left_s < 0
            self._service_queues[service].overload.record(missed, now)
            if missed:
                self._service_queues[service].urgency.record_pressure(
                    pending.ctx.priority, now
                )
        self._assigner.assign(service)

    def release(self, pending: PendingRequest, slot: Slot) -> None:
        """Free the slot of a request that was not run there."""
        slot.target.remove_unstarted(
            pending.ctx.request_id, False, self._now()
        )
        slot.target.load.on_returned(pending.work)
        self._assigner.end_isolation(pending, slot.target)
        self._assigner.assign(pending.spec.service)

    def mark_answered(
        self, pending: PendingRequest, slot: Slot, service_s: float
    ) -> None:
        """Free the slot of a request that was answered in `service_s`."""
        service_queue = self._service_queues[pending.spec.service]
        now = self._now()
        target = slot.target
        target.remove_unstarted(pending.ctx.request_id, True, now)
        target.load.on_answered(
            pending.work, service_s, service_queue.unit_s, now
        )
        target.record_success(now)
        self._assigner.end_isolation(pending, target)
        service_queue.record_unit_time(service_s / pending.work.cost)
        service_queue.record_service_time(service_s)
        self._assigner.assign(pending.spec.service)

    def mark_failed(
        self, pending: PendingRequest, slot: Slot, service_s: float
    ) -> None:
        """Free the slot of a request that failed after `service_s`."""
        service_queue = self._service_queues[pending.spec.service]
        now = self._now()
        target = slot.target
        target.remove_unstarted(pending.ctx.request_id, False, now)
        target.load.on_failed(
            pending.work, service_s, service_queue.unit_s, now
        )
        self._assigner.end_isolation(pending, target)
        self._assigner.assign(pending.spec.service)

    def assign_free_slots(self) -> None:
        """Assign all free slots to waiting requests."""
        self._assigner.assign_all()

    # Waiting times.

    def _wait_until_confirmed(
        self, pending: PendingRequest, deadline: float
    ) -> bool:
        if self._confirmation is None or not eligibility.is_region_restricted(
            self._known, pending
        ):
            return True
        # A caller that is refused needs time to come again.
        left_s = deadline - self._now()
        return self._confirmation.wait_until_confirmed(deadline - left_s / 2)

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
