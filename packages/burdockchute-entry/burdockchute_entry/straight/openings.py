"""When targets that accept no requests now will accept them again.

Engines load weights, or copy them first, and upstreams may ask for rest.
"""

from __future__ import annotations

from burdockchute.decisions import engine_placement
from burdockchute.decisions import wait_limits
from burdockchute_entry.straight import eligibility
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.targets import Target

# An engine that has accepted no requests for longer than this is not loading
# but has failed. Finishing its requests and loading takes about two seconds.
MAX_LOADING_S = 4.0


def next_opening(
    known: KnownTargets, pending: PendingRequest, now: float
) -> wait_limits.Opening:
    """Return when and how many slots open for a request in this entry.

    Agents report when the weights of their engines will probably be loaded.
    Only slots that open early enough for a complete answer before the
    deadline are counted. The remainder of a stream may be short, and counts
    all that open before the deadline.
    """
    spec = pending.spec
    newest = known.state.history(spec.model).newest
    if not spec.model or spec.exact_version not in (None, newest):
        # Engines load the newest version.
        return wait_limits.NO_OPENING
    zones = eligibility.allowed_zones(known, spec)
    opening = [
        (opens_at, target.load.slots)
        for target in known.targets_of(spec.service)
        if (zones is None or target.upstream.zone in zones)
        and not target.is_withdrawn
        and not pending.avoids(target)
        and (opens_at := _opens_at(target, pending.resuming, now)) is not None
    ]
    if not opening:
        return wait_limits.NO_OPENING
    latest = pending.ctx.deadline
    if not pending.resuming:
        latest -= answer_estimate_s(known, pending)
    slots = sum(slots for opens_at, slots in opening if opens_at <= latest)
    first_at = min(opens_at for opens_at, _slots in opening)
    return wait_limits.Opening(max(0.0, first_at - now), slots / known.entries)


def answer_estimate_s(known: KnownTargets, pending: PendingRequest) -> float:
    """Estimate the seconds for an answer on an engine that just opened.

    Such an engine is full at once and processes all prompts at the same
    time.
    """
    service = pending.spec.service
    cost = known.cost(service)
    if cost is None:
        return 0.0
    slots = max(target.load.slots for target in known.targets_of(service))
    full = engine_placement.EngineView('', 0, 0, slots, 1, 0, unreported=slots)
    return engine_placement.last_token_s(full, pending.size, cost)


def rest_left_s(known: KnownTargets, service: str, now: float) -> float:
    """Return the seconds until the first upstream of a service has rested.

    It is 0 if any that isn't withdrawn has not asked for rest.
    """
    return min(
        (
            target.rest_left_s(now)
            for target in known.targets_of(service)
            if not target.is_withdrawn
        ),
        default=0.0,
    )


def _opens_at(target: Target, is_resuming: bool, now: float) -> float | None:
    rested_at = now + target.rest_left_s(now)
    estimate = target.opens_at
    if is_resuming:
        # Only an estimate of its agent shows that an engine loads what it is
        # to load next, and not a version that is not known here yet.
        if estimate is None or estimate + wait_limits.OPENING_GRACE_S < now:
            return None
    if estimate is not None:
        return max(estimate, rested_at)
    # Without an estimate of its agent, a target that accepts no requests is
    # loading, unless that lasts too long.
    closed_s = target.closed_for_s(now)
    is_loading = closed_s is not None and closed_s < MAX_LOADING_S
    return rested_at if is_loading else None
