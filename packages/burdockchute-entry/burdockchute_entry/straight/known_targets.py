"""The targets known to one entry, kept up to date.

Which of them may run a request is decided in `eligibility`.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import random
import re

from burdockchute import logs
from burdockchute.decisions.backpressure import EntryCount
from burdockchute.decisions.engine_speed import SpeedUse
from burdockchute.decisions.engine_speed import UsualRatio
from burdockchute.decisions.evacuation import Evacuations
from burdockchute.model.exchanges import Backpressure
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.routes import EngineCost
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.straight import cold_upstreams
from burdockchute_entry.straight.targets import Target

_VERSION = re.compile(r'\d{1,10}', re.ASCII)

# Upstreams whose restrictions are kept while the list lacks them.
MAX_DROPPED = 1024


class KnownTargets:
    """All targets, from the upstream list, agents' reports and settings.

    `entries` is the number of entries that share them, as an agent reported
    last. An agent that has just started is linked to few of them, so it may be
    too low; `max_entries` is the one that limits are divided by, and is too
    low only where both agents and the store name too few.
    `regions` maps availability zones to their regions. `state` has the routes,
    versions and evacuations in force.
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
        self.regions = regions
        self.state = KnownState()
        # Shared with all targets; the time of reading by availability zone.
        self._evacuated: dict[str, float] = {}
        self._targets: dict[str, Target] = {}
        # Upstreams that are listed no more. An entry of the list may expire
        # while the upstream still serves, and come back.
        self._dropped: dict[str, Target] = {}
        self._by_address: dict[str, list[Target]] = {}
        self._by_service: dict[str, list[Target]] = {}

    @property
    def max_entries(self) -> int:
        """The number of entries, from agents and the store."""
        return self._entry_count.value

    @property
    def services(self) -> Collection[str]:
        """The services that have targets."""
        return self._by_service.keys()

    # Updates.

    def update(self, known_state: KnownState, now: float) -> None:
        """Apply new routes, versions and upstreams."""
        self.state = known_state
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
        cold_upstreams.apply_state(
            self._targets,
            known_state,
            self.bounds,
            self._entry_count.value,
            self._rng,
            now,
        )
        self._index()

    def _index(self) -> None:
        self._by_address, self._by_service = {}, {}
        for target in self._targets.values():
            upstream = target.upstream
            address = str(upstream.endpoint)
            self._by_address.setdefault(address, []).append(target)
            self._by_service.setdefault(upstream.service, []).append(target)

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
            target.verified = dropped.verified
            target.versions = dropped.versions
            target.share_limit(
                self._entry_count.value, self._rng.random(), now
            )
        else:
            previous = [] if dropped is None else [dropped]
            cold_upstreams.record_start(
                target,
                itertools.chain(
                    self._targets.values(), self._dropped.values(), previous
                ),
                cold_upstreams.service_policy(
                    self.state.routes, upstream.service, self.bounds
                ),
                self._entry_count.value,
                self._rng,
                now,
            )
        return target

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

    def set_registered_entries(self, entries: int, now: float) -> None:
        """Apply the number of entries that have records in the store."""
        before = self._entry_count.value
        self._entry_count.registered = entries
        self._on_entries_counted(before, now)

    def _count_entries(self, now: float) -> None:
        before = self._entry_count.value
        self._entry_count.record(self.entries, now)
        self._on_entries_counted(before, now)

    def _on_entries_counted(self, before: int, now: float) -> None:
        entries = self._entry_count.value
        if entries == before:
            return
        logs.event(
            'entries_counted',
            entries=entries,
            before=before,
            reported=self._entry_count.reported,
            registered=self._entry_count.registered,
        )
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
        self._listed_now(target).record_backpressure(
            stated,
            request_id,
            sent_at,
            self._entry_count.value,
            self._rng.random(),
            now,
        )

    def record_cold_answer(
        self, target: Target, cold_s: float, now: float
    ) -> None:
        """Apply what an upstream said of itself in an answer."""
        self._listed_now(target).record_cold(
            now + cold_s, 'answer', self._rng.random(), now
        )

    def _listed_now(self, target: Target) -> Target:
        # It may have been listed again since a request was sent to it.
        current = self._targets.get(target.id)
        if current and _is_same_process(current, target.upstream):
            return current
        return target

    def _take_report(
        self, target: Target, report: messages.LoadReport, now: float
    ) -> None:
        loaded = _loaded_versions(target, report)
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

    def at_address(self, address: str) -> Sequence[Target]:
        """Return the targets at an address."""
        return self._by_address.get(address, ())

    def targets_of(self, service: str) -> Sequence[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, ())

    def all_targets(self) -> list[Target]:
        """Return all targets, sorted by id."""
        return [self._targets[name] for name in sorted(self._targets)]

    def cost(self, service: str) -> EngineCost | None:
        """Return the cost model of a service's engines, None without one."""
        routes = self.state.routes
        known = routes.services.get(service) if routes else None
        if known is None or known.cost is None:
            return None
        return known.cost if known.cost.prompt_tokens_per_s > 0 else None


def _loaded_versions(
    target: Target, report: messages.LoadReport
) -> dict[str, int]:
    """Return the versions that may be served, and record them.

    An agent that has started after a load may be unable to verify it. What
    its predecessor reported of the same load still holds.
    """
    started_ms = report.engine_started_ms
    loaded = _parse_versions(
        target, [state.digest for state in report.weights or ()]
    )
    for model, version in loaded.items():
        target.verified[model] = started_ms, version
    unverified = _parse_versions(target, report.unverified or ())
    for model, version in unverified.items():
        if target.verified.get(model) == (started_ms, version):
            loaded[model] = version
    return loaded


def _parse_versions(target: Target, digests: Iterable[str]) -> dict[str, int]:
    parsed = {}
    for digest in digests:
        model, _at, version = digest.rpartition('@')
        if _VERSION.fullmatch(version):
            parsed[model] = int(version)
        else:
            logs.warn(
                'reported_version_unreadable',
                upstream=target.id,
                version=f'{digest:.60}',
            )
    return parsed


def _is_same_process(target: Target, upstream: Upstream) -> bool:
    known = target.upstream
    return (known.endpoint, known.started_ms, known.service) == (
        upstream.endpoint,
        upstream.started_ms,
        upstream.service,
    )
