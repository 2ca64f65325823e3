"""The targets known to one entry, and which of them may run a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import random

from burdockchute import logs
from burdockchute.decisions import cold_limits
from burdockchute.decisions import engine_placement
from burdockchute.decisions import evacuation
from burdockchute.decisions import homes
from burdockchute.decisions import versions
from burdockchute.decisions import wait_limits
from burdockchute.decisions.backpressure import EntryCount
from burdockchute.decisions.cold_limits import ColdPolicy
from burdockchute.decisions.engine_speed import SpeedUse
from burdockchute.decisions.engine_speed import UsualRatio
from burdockchute.decisions.evacuation import Evacuations
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model.exchanges import Backpressure
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.routes import EngineCost
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.targets import Target

# An engine that has accepted no requests for longer than this is not loading
# but has failed. Finishing its requests and loading takes about two seconds.
MAX_LOADING_S = 4.0


# Upstreams whose restrictions are kept while the list lacks them.
MAX_DROPPED = 1024


class KnownTargets:
    """All targets, from the upstream list, agents' reports and settings.

    `entries` is the number of entries that share them, as an agent reported
    last. An agent that has just started is linked to few of them, so it may be
    too low; `max_entries` is the highest number that was reported lately.
    `regions` maps availability zones to their regions.
    """

    def __init__(
        self,
        bounds: Bounds,
        rng: random.Random,
        regions: Mapping[str, str],
        speed_use: SpeedUse = SpeedUse.REPORTED,
    ) -> None:
        self.bounds = bounds
        self._speed_use = speed_use
        self._usual_ratios: dict[str, UsualRatio] = {}
        self.entries = 1
        self._entry_count = EntryCount()
        self._rng = rng
        self._regions = regions
        self._known_state = KnownState()
        # Shared with all targets; the time of reading by availability zone.
        self._evacuated: dict[str, float] = {}
        self._targets: dict[str, Target] = {}
        # Upstreams that are listed no more. An entry of the list may expire
        # while the upstream still serves, and come back.
        self._dropped: dict[str, Target] = {}
        self._ids_by_address: dict[str, list[str]] = {}

    @property
    def max_entries(self) -> int:
        """The highest number of entries that agents reported lately."""
        return max(1, self._entry_count.reported)

    # Updates.

    def update(self, known_state: KnownState, now: float) -> None:
        """Apply new routes, versions and upstreams."""
        self._known_state = known_state
        self._update_evacuated(known_state.evacuated)
        present = {
            upstream.id: upstream
            for upstream in known_state.present_upstreams()
        }
        for name in self._targets.keys() - present.keys():
            self._drop(name)
        for name, upstream in present.items():
            target = self._targets.get(name)
            if target is not None and _is_same_process(target, upstream):
                target.update_listing(upstream)
                continue
            if target is not None:
                # Requests may hold slots of the earlier start.
                target.is_replaced = True
                self._drop(name)
            self._targets[name] = self._new_target(upstream, now)
        self._update_cold(now)
        self._ids_by_address = {}
        for name, target in self._targets.items():
            address = str(target.upstream.endpoint)
            self._ids_by_address.setdefault(address, []).append(name)

    def _update_evacuated(self, evacuated: Evacuations) -> None:
        if evacuated == self._evacuated:
            return
        before = set(self._evacuated)
        self._evacuated.clear()
        self._evacuated.update(evacuated)
        for target in self._targets.values():
            zone = target.upstream.zone
            if zone in evacuated:
                target.close_idle()
            elif zone in before:
                target.load.restart()

    def _drop(self, name: str) -> None:
        target = self._targets.pop(name)
        target.close_idle()
        self._dropped[name] = target
        while len(self._dropped) > MAX_DROPPED:
            del self._dropped[next(iter(self._dropped))]

    def _new_target(self, upstream: Upstream, now: float) -> Target:
        target = Target(upstream, now, self._evacuated)
        if self._speed_use is not SpeedUse.REPORTED:
            target.usual_ratio = self._usual_ratios.setdefault(
                upstream.service, UsualRatio()
            )
        dropped = self._dropped.pop(upstream.id, None)
        if dropped is not None and _is_same_process(dropped, upstream):
            target.restrictions = dropped.restrictions
            target.cold_until = dropped.cold_until
            target.cold_limit = dropped.cold_limit
            target.has_sent = dropped.has_sent
            target.share_limit(
                self._entry_count.value, self._rng.random(), now
            )
        else:
            self._started_cold(target, dropped, now)
        return target

    # Cold upstreams.

    def _started_cold(
        self, target: Target, previous: Target | None, now: float
    ) -> None:
        """Record that an upstream is new, if this entry has sent requests.

        Without requests, all upstreams are new to an entry that has started
        itself. Those that are cold say so.
        """
        service = target.upstream.service
        policy = self._cold_policy(service)
        if policy is None:
            return
        known = [*self._targets.values(), *self._dropped.values(), previous]
        if not any(
            other.has_sent and other.upstream.service == service
            for other in known
            if other is not None
        ):
            return
        entries, chance = self._entry_count.value, self._rng.random()
        target.set_cold_policy(policy, entries, chance, now)
        target.record_cold(now + policy.start_s, 'start', chance, now)

    def _update_cold(self, now: float) -> None:
        policies: dict[str, ColdPolicy | None] = {}
        for name, known in self._known_state.upstreams.known.items():
            target, service = self._targets[name], known.upstream.service
            if service not in policies:
                policies[service] = self._cold_policy(service)
            policy = policies[service]
            chance = self._rng.random() if policy else 0.0
            target.set_cold_policy(
                policy, self._entry_count.value, chance, now
            )
            if known.cold_until > now:
                target.record_cold(known.cold_until, 'list', chance, now)

    def _cold_policy(self, service: str) -> ColdPolicy | None:
        routes = self._known_state.routes
        known = routes.services.get(service) if routes else None
        if known is None or known.cold_rate <= 0:
            return None
        return ColdPolicy(
            known.cold_s,
            known.cold_rate,
            self.bounds.cold_overage,
            self.bounds.cold_slack,
        )

    def record_cold_answer(
        self, target: Target, cold_s: float, now: float
    ) -> None:
        """Apply what an upstream said of itself in an answer."""
        current = self._targets.get(target.id)
        if current and _is_same_process(current, target.upstream):
            target = current
        target.record_cold(now + cold_s, 'answer', self._rng.random(), now)

    def wait_with_cold_s(
        self, eligible: list[Target], wait_s: float, ahead: int, now: float
    ) -> float:
        """Estimate the wait for a target, if some of them are cold.

        `wait_s` is the wait without regard to limits of cold targets, and
        `ahead` the number of requests that are placed before.
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

    def apply_load_report(
        self, address: str, report: messages.LoadReport, now: float
    ) -> set[str]:
        """Apply a report of the agent at an address.

        Returns the services of the targets there.
        """
        self.entries = max(1, report.entries or 1)
        self._count_entries(now)
        known = self.at_address(address)
        for target in known:
            self._take_report(target, report, now)
        return {target.upstream.service for target in known}

    def _count_entries(self, now: float) -> None:
        before = self._entry_count.value
        self._entry_count.record(self.entries, now)
        entries = self._entry_count.value
        if entries == before:
            return
        for target in self._targets.values():
            target.share_limit(entries, self._rng.random(), now)

    def record_backpressure(
        self,
        target: Target,
        stated: Backpressure,
        request_id: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply what an upstream asked for in an answer to a request."""
        # It may have been listed again since the request was sent.
        current = self._targets.get(target.id)
        if current and _is_same_process(current, target.upstream):
            target = current
        target.record_backpressure(
            stated,
            request_id,
            sent_at,
            self._entry_count.value,
            self._rng.random(),
            now,
        )

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
        target.share_until = now
        target.closes_at = None
        if report.closes_in_ms is not None and report.closes_in_ms >= 0:
            target.closes_at = now + report.closes_in_ms / 1000
        target.opens_at = None
        if report.opens_in_ms is not None:
            target.opens_at = now + report.opens_in_ms / 1000
        target.record_engine_report(report.slowness, report.memory_free, now)
        slots = report.slots or target.upstream.slots
        target.load.apply_report(
            report.running, slots, self.entries, 0.0, (), now
        )

    # Queries.

    def at_address(self, address: str) -> list[Target]:
        """Return the targets at an address."""
        return [
            self._targets[n] for n in self._ids_by_address.get(address, ())
        ]

    def all_targets(self) -> list[Target]:
        """Return all targets, sorted by id."""
        return [self._targets[name] for name in sorted(self._targets)]

    def cost(self, service: str) -> EngineCost | None:
        """Return the cost model of a service's engines, None without one."""
        routes = self._known_state.routes
        known = routes.services.get(service) if routes else None
        if known is None or known.cost is None:
            return None
        return known.cost if known.cost.prompt_tokens_per_s > 0 else None

    def start_deadline(self, model: str, version: int) -> float | None:
        """Return until when a version may start requests, None for ever."""
        return versions.start_deadline(
            self._known_state.history(model), version, self.bounds.version_s
        )

    def eligible(self, pending: PendingRequest, now: float) -> list[Target]:
        """Return the targets that may run a request, with headroom or not."""
        may_run = self.eligibility(pending, now)
        return [
            target
            for target in self.usable(pending.spec.service, now)
            if may_run(target)
        ]

    def is_servable(self, pending: PendingRequest, now: float) -> bool:
        """Whether any target may run a request, now or later.

        Targets that are not used for a while after a failure, or that had no
        capacity, count as well, and those that rest until a time before the
        deadline.
        """
        fits = self._version_rule(pending, now)
        zones = self._allowed_zones(pending.spec)
        return any(
            target.upstream.service == pending.spec.service
            and (zones is None or target.upstream.zone in zones)
            and not target.is_withdrawn
            and now + target.rest_left_s(now) < pending.ctx.deadline
            and not pending.avoids(target)
            and fits(target)
            for target in self._targets.values()
        )

    def rest_left_s(self, service: str, now: float) -> float:
        """Return the seconds until the first upstream of a service has rested.

        It is 0 if any that isn't withdrawn has not asked for rest.
        """
        return min(
            (
                target.rest_left_s(now)
                for target in self._targets.values()
                if target.upstream.service == service
                and not target.is_withdrawn
            ),
            default=0.0,
        )

    def has_regions(self, pending: PendingRequest) -> bool:
        """Whether a request may run in some regions only."""
        return self._allowed_zones(pending.spec) is not None

    def is_restricted(self, pending: PendingRequest) -> bool:
        """Whether a request may not run on all upstreams of its service.

        That depends on the evacuations and allowed regions in force.
        """
        if self.has_regions(pending):
            return True
        return bool(self._evacuated) and any(
            target.upstream.service == pending.spec.service
            and target.evacuated_at is not None
            for target in self._targets.values()
        )

    def evacuation_left_s(self, target: Target, now: float) -> float | None:
        """Return the seconds until streams should have left a target.

        None if its availability zone is not evacuated.
        """
        if target.evacuated_at is None:
            return None
        return evacuation.left_s(
            target.evacuated_at, self.bounds.evacuation_s, now
        )

    def is_allowed(self, pending: PendingRequest, target: Target) -> bool:
        """Whether a request may run in the region of a target."""
        zones = self._allowed_zones(pending.spec)
        return zones is None or target.upstream.zone in zones

    def _allowed_zones(self, spec: RequestSpec) -> frozenset[str] | None:
        # Looked up for each call, as the configuration may have changed.
        allowed = homes.allowed_regions(spec.home, self._known_state.routes)
        return homes.allowed_zones(allowed, self._regions)

    def explain_ineligible(self, pending: PendingRequest, now: float) -> str:
        """Describe why no target may run a request now, for the log."""
        spec = pending.spec
        own = [
            target
            for target in self._targets.values()
            if target.upstream.service == spec.service
        ]
        usable = self.usable(spec.service, now)
        min_version = self._min_version(spec, now)
        fit = [
            target for target in usable if _may_run(target, spec, min_version)
        ]
        resting = sum(target.rest_left_s(now) > 0 for target in own)
        allowed = homes.allowed_regions(spec.home, self._known_state.routes)
        evacuated = sum(target.evacuated_at is not None for target in own)
        return (
            f'{len(own)} known, {len(usable)} usable, {len(fit)} with weights '
            f'from version {min_version}'
            + (f', {resting} asked for rest' if resting else '')
            + (f', {evacuated} evacuated' if evacuated else '')
            + ('' if allowed is None else f', allowed in {sorted(allowed)}')
        )

    def loads(self, spec: RequestSpec, now: float) -> list[InstanceLoad]:
        """Return the loads of the usable targets for a request.

        The slots of cold ones do not count while any other is usable.
        """
        zones = self._allowed_zones(spec)
        usable = [
            target
            for target in self.usable(spec.service, now)
            if (not spec.model or spec.model in target.versions)
            and (zones is None or target.upstream.zone in zones)
        ]
        warm = [target for target in usable if not target.is_cold(now)]
        return [target.load for target in warm or usable]

    def opening(
        self, pending: PendingRequest, now: float
    ) -> wait_limits.Opening:
        """Return when and how many slots open for a request in this entry.

        Engines load weights, or copy them first, and their agents report
        when that will probably be done. Only slots that open early enough
        for a complete answer before the deadline are counted.
        """
        spec = pending.spec
        if not spec.model or spec.exact_version is not None:
            return wait_limits.NO_OPENING
        zones = self._allowed_zones(spec)
        opening = [
            (opens_at, target.load.slots)
            for target in self._targets.values()
            if target.upstream.service == spec.service
            and (zones is None or target.upstream.zone in zones)
            and not target.is_withdrawn
            and (opens_at := _opens_at(target, now)) is not None
        ]
        if not opening:
            return wait_limits.NO_OPENING
        latest = pending.ctx.deadline - self.answer_estimate_s(pending)
        slots = sum(slots for opens_at, slots in opening if opens_at <= latest)
        first_at = min(opens_at for opens_at, _slots in opening)
        return wait_limits.Opening(
            max(0.0, first_at - now), slots / self.entries
        )

    def answer_estimate_s(self, pending: PendingRequest) -> float:
        """Estimate the seconds for an answer on an engine that just opened.

        Such an engine is full at once and processes all prompts at the same
        time.
        """
        cost = self.cost(pending.spec.service)
        if cost is None:
            return 0.0
        service = pending.spec.service
        slots = max(
            target.load.slots
            for target in self._targets.values()
            if target.upstream.service == service
        )
        full = engine_placement.EngineView(
            '', 0, 0, slots, 1, 0, unreported=slots
        )
        return engine_placement.last_token_s(full, size_of(pending), cost)

    def usable(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that may be sent requests."""
        return [
            target
            for target in self._targets.values()
            if target.upstream.service == service and target.is_usable(now)
        ]

    def eligibility(
        self, pending: PendingRequest, now: float
    ) -> Callable[[Target], bool]:
        """Return the rule which targets may run a request now."""
        fits = self._version_rule(pending, now)
        zones = self._allowed_zones(pending.spec)
        return lambda target: (
            (zones is None or target.upstream.zone in zones)
            and not pending.avoids(target)
            and not pending.was_rejected(target, now)
            and fits(target)
        )

    def _version_rule(
        self, pending: PendingRequest, now: float
    ) -> Callable[[Target], bool]:
        spec = pending.spec
        min_version = self._min_version(spec, now)
        # Cached, as it is the same for all targets with a version and looked
        # up for each target in every round.
        ends: dict[int, float | None] = {}

        def starts_in_time(target: Target) -> bool:
            version = target.versions.get(spec.model)
            if version is None:
                return True
            if version not in ends:
                ends[version] = self.start_deadline(spec.model, version)
            start_deadline = ends[version]
            return start_deadline is None or versions.starts_in_time(
                start_deadline, target.first_event_estimate_s(now), now
            )

        return lambda target: (
            _may_run(target, spec, min_version) and starts_in_time(target)
        )

    def _min_version(self, spec: RequestSpec, now: float) -> int:
        if not spec.model:
            return 0
        history = self._known_state.history(spec.model)
        return versions.least_allowed(history, self.bounds.version_s, now)


def size_of(pending: PendingRequest) -> engine_placement.RequestSize:
    """Return the properties of a request that placement needs."""
    return engine_placement.RequestSize(
        pending.ctx.prompt_tokens, pending.ctx.max_tokens
    )


def _may_run(target: Target, spec: RequestSpec, min_version: int) -> bool:
    if not spec.model:
        return True
    version = target.versions.get(spec.model)
    if version is None or version < min_version:
        return False
    return spec.exact_version in (None, version)


def _opens_at(target: Target, now: float) -> float | None:
    rested_at = now + target.rest_left_s(now)
    if target.opens_at is not None:
        return max(target.opens_at, rested_at)
    # Without an estimate of its agent, a target that accepts no requests is
    # loading, unless that lasts too long.
    closed_s = target.closed_for_s(now)
    is_loading = closed_s is not None and closed_s < MAX_LOADING_S
    return rested_at if is_loading else None


def _is_same_process(target: Target, upstream: Upstream) -> bool:
    known = target.upstream
    return (known.endpoint, known.started_ms, known.service) == (
        upstream.endpoint,
        upstream.started_ms,
        upstream.service,
    )
