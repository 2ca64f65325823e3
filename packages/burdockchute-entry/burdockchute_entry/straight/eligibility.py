"""The rules which targets may run a request, and for how long.

They depend on the weights' versions, the allowed regions, the evacuations and
what the targets have asked for. The parts that need no targets are in
`burdockchute.decisions`.
"""

from __future__ import annotations

from collections.abc import Callable

from burdockchute.decisions import evacuation
from burdockchute.decisions import homes
from burdockchute.decisions import versions
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.targets import Target


def usable_targets(
    known: KnownTargets, service: str, now: float
) -> list[Target]:
    """Return the targets of a service that may be sent requests."""
    return [
        target for target in known.targets_of(service) if target.is_usable(now)
    ]


def eligible_targets(
    known: KnownTargets, pending: PendingRequest, now: float
) -> list[Target]:
    """Return the targets that may run a request, with headroom or not."""
    may_run = rule(known, pending, now)
    return [
        target
        for target in usable_targets(known, pending.spec.service, now)
        if may_run(target)
    ]


def rule(
    known: KnownTargets, pending: PendingRequest, now: float
) -> Callable[[Target], bool]:
    """Return the rule which usable targets may run a request now."""
    fits = _version_rule(known, pending, now)
    zones = allowed_zones(known, pending.spec)
    return lambda target: (
        (zones is None or target.upstream.zone in zones)
        and not pending.avoids(target)
        and not pending.was_rejected(target, now)
        and fits(target)
    )


def is_servable(
    known: KnownTargets, pending: PendingRequest, now: float
) -> bool:
    """Whether any target may run a request, now or later.

    Targets that are not used for a while after a failure, or that had no
    capacity, count as well, and those that rest until a time before the
    deadline.
    """
    fits = _version_rule(known, pending, now)
    zones = allowed_zones(known, pending.spec)
    return any(
        (zones is None or target.upstream.zone in zones)
        and not target.is_withdrawn
        and now + target.rest_left_s(now) < pending.ctx.deadline
        and not pending.avoids(target)
        and fits(target)
        for target in known.targets_of(pending.spec.service)
    )


def explain_ineligible(
    known: KnownTargets, pending: PendingRequest, now: float
) -> str:
    """Describe why no target may run a request now, for the log."""
    spec = pending.spec
    own = known.targets_of(spec.service)
    usable = usable_targets(known, spec.service, now)
    min_version = _min_version(known, spec, now)
    fit = [
        target for target in usable if _has_version(target, spec, min_version)
    ]
    resting = sum(target.rest_left_s(now) > 0 for target in own)
    allowed = homes.allowed_regions(spec.home, known.state.routes)
    evacuated = sum(target.evacuated_at is not None for target in own)
    return (
        f'{len(own)} known, {len(usable)} usable, {len(fit)} with weights '
        f'from version {min_version}'
        + (f', {resting} asked for rest' if resting else '')
        + (f', {evacuated} evacuated' if evacuated else '')
        + ('' if allowed is None else f', allowed in {sorted(allowed)}')
    )


# Regions and evacuations.


def allowed_zones(
    known: KnownTargets, spec: RequestSpec
) -> frozenset[str] | None:
    """Return the availability zones a request may run in, None for all."""
    # Looked up for each call, as the configuration may have changed.
    allowed = homes.allowed_regions(spec.home, known.state.routes)
    return homes.allowed_zones(allowed, known.regions)


def is_allowed(
    known: KnownTargets, pending: PendingRequest, target: Target
) -> bool:
    """Whether a request may run in the region of a target."""
    zones = allowed_zones(known, pending.spec)
    return zones is None or target.upstream.zone in zones


def has_regions(known: KnownTargets, pending: PendingRequest) -> bool:
    """Whether a request may run in some regions only."""
    return allowed_zones(known, pending.spec) is not None


def is_restricted(known: KnownTargets, pending: PendingRequest) -> bool:
    """Whether a request may not run on all upstreams of its service.

    That depends on the evacuations and allowed regions in force.
    """
    if has_regions(known, pending):
        return True
    return bool(known.state.evacuated) and any(
        target.evacuated_at is not None
        for target in known.targets_of(pending.spec.service)
    )


def evacuation_left_s(
    known: KnownTargets, target: Target, now: float
) -> float | None:
    """Return the seconds until streams should have left a target.

    None if its availability zone is not evacuated.
    """
    if target.evacuated_at is None:
        return None
    return evacuation.left_s(
        target.evacuated_at, known.bounds.evacuation_s, now
    )


# Versions.


def start_deadline(
    known: KnownTargets, model: str, version: int
) -> float | None:
    """Return until when a version may start requests, None for ever."""
    return versions.start_deadline(
        known.state.history(model), version, known.bounds.version_s
    )


def _version_rule(
    known: KnownTargets, pending: PendingRequest, now: float
) -> Callable[[Target], bool]:
    spec = pending.spec
    min_version = _min_version(known, spec, now)
    # Cached, as it is the same for all targets with a version and looked up
    # for each target in every round.
    ends: dict[int, float | None] = {}

    def starts_in_time(target: Target) -> bool:
        version = target.versions.get(spec.model)
        if version is None:
            return True
        if version not in ends:
            ends[version] = start_deadline(known, spec.model, version)
        end = ends[version]
        return end is None or versions.starts_in_time(
            end, target.first_event_estimate_s(now), now
        )

    return lambda target: (
        _has_version(target, spec, min_version) and starts_in_time(target)
    )


def _min_version(known: KnownTargets, spec: RequestSpec, now: float) -> int:
    if not spec.model:
        return 0
    history = known.state.history(spec.model)
    return versions.least_allowed(history, known.bounds.version_s, now)


def _has_version(target: Target, spec: RequestSpec, min_version: int) -> bool:
    if not spec.model:
        return True
    version = target.versions.get(spec.model)
    if version is None or version < min_version:
        return False
    return spec.exact_version in (None, version)
