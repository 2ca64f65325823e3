"""How long a request waits for a slot, and with what it is refused.

The limits of a wait are in `burdockchute.decisions.wait_limits`. This module
applies them to the targets and queues that the entry knows.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import admission
from burdockchute.decisions import backpressure
from burdockchute.decisions import cold_limits
from burdockchute.decisions import overload
from burdockchute.decisions import returning_callers
from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model.outcomes import NotRun
from burdockchute_entry.straight import eligibility
from burdockchute_entry.straight import openings
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import ServiceQueues
from burdockchute_entry.straight.targets import Target

# Retry-After of a request that no upstream can run, which is refused at once.
# Upstreams restart or are listed again within about this time.
NO_UPSTREAM_RETRY_S = 1.0


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


class WaitPlanner:
    """Plans the waits of requests and words their refusals."""

    def __init__(
        self, known: KnownTargets, service_queues: ServiceQueues
    ) -> None:
        self._known = known
        self._service_queues = service_queues

    def plan(
        self, pending: PendingRequest, deadline: float, now: float
    ) -> Plan | NotRun:
        """Return the stages in which a request waits, or its refusal."""
        service_queue = self._service_queues[pending.spec.service]
        spec = pending.spec
        if pending.resuming:
            if not self.may_resume(pending, now):
                return self.no_upstream(pending, wait_limits.NO_OPENING, now)
            return Plan((Stage(service_queue.resumed, deadline - now),), 0.0)
        service_queue.urgency.record_arrival(pending.ctx.priority, now)
        service_queue.classify(pending)
        opening = openings.next_opening(self._known, pending, now)
        overdue_s = self._overdue_wait_s(pending, opening, now)
        eligible = eligibility.eligible_targets(self._known, pending, now)
        if not eligible:
            if not opening.slots or not overdue_s:
                return self.no_upstream(pending, opening, now)
            return Plan((Stage(service_queue.overdue, overdue_s),), overdue_s)
        on_time_s = wait_limits.on_time_wait_s(
            spec.objective_s, spec.elapsed_s, deadline - now
        )
        expected_s = self._expected_wait_s(pending, eligible, now)
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

    def may_resume(self, pending: PendingRequest, now: float) -> bool:
        """Whether the remainder of a stream may start anywhere in time."""
        if eligibility.is_servable(self._known, pending, now):
            return True
        return openings.next_opening(self._known, pending, now).slots > 0

    def may_wait_overdue(self, pending: PendingRequest, now: float) -> bool:
        """Whether one more request may wait among the overdue ones."""
        service_queue = self._service_queues[pending.spec.service]
        return wait_limits.may_wait_overdue(
            len(service_queue.overdue),
            service_queue.overdue_served_recently(now),
            openings.next_opening(self._known, pending, now).slots,
        )

    def no_upstream(
        self, pending: PendingRequest, opening: wait_limits.Opening, now: float
    ) -> NotRun:
        """Return the refusal of a request that no upstream can run now."""
        details = eligibility.explain_ineligible(self._known, pending, now)
        opens = 'nothing opens'
        retry_s = NO_UPSTREAM_RETRY_S
        if opening.in_s is not None:
            opens = f'one opens in {opening.in_s:.2f} s'
            retry_s = admission.retry_after_s(opening.in_s)
        elif rest_s := openings.rest_left_s(
            self._known, pending.spec.service, now
        ):
            opens = f'one has rested in {rest_s:.2f} s'
            retry_s = rest_s
        service = pending.spec.service
        reason = f'no upstream can run {service!r} now ({details}; {opens})'
        return NotRun(reason, 503, retry_s)

    def _expected_wait_s(
        self, pending: PendingRequest, eligible: list[Target], now: float
    ) -> float:
        service_queue = self._service_queues[pending.spec.service]
        ahead = service_queue.waiting_count
        wait_s = service_queue.expected_wait_s(
            pending, self._loads(pending.spec, now), now
        )
        limits = [target.limit for target in eligible]
        return max(
            _wait_with_cold_s(eligible, wait_s, ahead, now),
            backpressure.wait_for_turn_s(limits, ahead, now),
        )

    def _loads(self, spec: RequestSpec, now: float) -> list[InstanceLoad]:
        # The slots of cold targets do not count while any other is usable.
        zones = eligibility.allowed_zones(self._known, spec)
        usable = [
            target
            for target in eligibility.usable_targets(
                self._known, spec.service, now
            )
            if (not spec.model or spec.model in target.versions)
            and (zones is None or target.upstream.zone in zones)
        ]
        warm = [target for target in usable if not target.is_cold(now)]
        return [target.load for target in warm or usable]

    def _overdue_wait_s(
        self, pending: PendingRequest, opening: wait_limits.Opening, now: float
    ) -> float:
        left_s = pending.ctx.deadline - now
        overdue_s = wait_limits.overdue_wait_s(
            pending.spec.objective_s, left_s
        )
        if opening.in_s is None:
            return overdue_s
        answer_estimate_s = openings.answer_estimate_s(self._known, pending)
        return max(
            overdue_s,
            wait_limits.opening_wait_s(opening, answer_estimate_s, left_s),
        )

    def _retry_s(
        self, pending: PendingRequest, overdue_s: float, now: float
    ) -> float:
        # The overload is taken as of arrival; the wait until the refusal is
        # short in comparison.
        service_queue = self._service_queues[pending.spec.service]
        lasted_s = service_queue.overload.duration_s(now)
        if lasted_s is None:
            return overdue_s
        left_s = pending.ctx.deadline - now
        return overload.retry_delay_s(
            max(overdue_s, returning_callers.min_return_delay_s(left_s)),
            lasted_s,
            left_s
            - openings.answer_estimate_s(self._known, pending)
            - overdue_s,
        )


def _wait_with_cold_s(
    eligible: list[Target], wait_s: float, ahead: int, now: float
) -> float:
    """Estimate the wait for a target, if some of them are cold.

    `wait_s` is the wait without regard to limits of cold targets, and `ahead`
    the number of requests that are placed before.
    """
    paces = [
        cold_limits.pace(target.cold_limit, target.cold_until, now)
        for target in eligible
        if target.cold_limit is not None and target.is_cold(now)
    ]
    if not paces:
        return wait_s
    if len(paces) < len(eligible):
        return cold_limits.wait_s(wait_s, paces, ahead, now)
    return max(wait_s, cold_limits.wait_s(None, paces, ahead, now))
