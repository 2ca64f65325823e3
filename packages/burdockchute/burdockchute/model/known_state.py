"""What a process knows of the platform's state, and since when.

Functions return the next state and the changes to log. A configuration and a
model's newest version never go back to an older one, in whatever order they
are read or reported.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import evacuation
from burdockchute.decisions import listing
from burdockchute.decisions import versions
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.routing import route_table
from burdockchute.decisions.routing import RouteTable
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.agent_requirements import requirements_of
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import Change
from burdockchute.model.feeds import ConfigurationRead
from burdockchute.model.feeds import EvacuationRequested
from burdockchute.model.feeds import EvacuationRevoked
from burdockchute.model.feeds import UnreadableRecord
from burdockchute.model.feeds import VersionRead
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import Upstream
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted


class KnownState(NamedTuple):
    """Routes, named versions and upstreams; immutable, replaced on a change.

    `histories` is by model. `upstreams_listed` is true once the list was
    read. `reported_requirements` is what entries report that an agent needs
    of the configuration, where it has not read it. `held_back_configuration`
    is a configuration that neighbours know to be outdated. `evacuated` maps
    each evacuated availability zone to the monotonic time at which this
    process read of it.
    """

    routes: RouteTable | None = None
    histories: Mapping[str, versions.History] = {}
    upstreams: UpstreamList = listing.empty()
    upstreams_listed: bool = False
    reported_requirements: AgentRequirements | None = None
    held_back_configuration: Configuration | None = None
    evacuated: evacuation.Evacuations = {}

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve callers."""
        return self.routes is not None and self.upstreams_listed

    def present_upstreams(self) -> list[Upstream]:
        """Return the listed upstreams, including those that drain."""
        return [known.upstream for known in self.upstreams.known.values()]

    def health_path(self, service: str) -> str:
        """Return the path of a service's health checks, empty if unknown."""
        known = self.routes.services.get(service) if self.routes else None
        return known.health_path if known else ''

    def agent_requirements(self, service: str) -> AgentRequirements | None:
        """Return the newest known requirements of an agent of a service."""
        if self.routes is None:
            return self.reported_requirements
        version = self.routes.configuration.version
        if (
            self.reported_requirements is not None
            and self.reported_requirements.configuration > version
        ):
            return self.reported_requirements
        return requirements_of(version, self.routes.services, service)

    def newest_configuration_version(self) -> int:
        """Return the newest version read or reported, 0 for none."""
        read = self.routes.configuration.version if self.routes else 0
        return max(
            read,
            self.reported_requirements.configuration
            if self.reported_requirements
            else 0,
        )

    def history(self, model: str) -> versions.History:
        """Return the versions of a model that were named."""
        return self.histories.get(model, versions.History())


class StateChange(NamedTuple):
    """One change of the known state: the event to log and its fields."""

    event: str
    fields: Mapping[str, object]


def apply_desired_state(
    known_state: KnownState,
    batch: Batch,
    first: bool,
    now: float,
    min_configuration: int = 0,
) -> tuple[KnownState, list[StateChange]]:
    """Apply configurations and versions that operators have saved.

    `first` marks the first read of a process, which can't tell when a
    version was named. A process without a configuration holds back one that
    is older than `min_configuration`, the newest that its neighbours know.
    """
    state_changes: list[StateChange] = []
    for change in batch.changes:
        if (
            isinstance(change, ConfigurationRead)
            and known_state.routes is None
            and change.configuration.version < min_configuration
        ):
            known_state = known_state._replace(
                held_back_configuration=change.configuration
            )
            state_changes.append(
                StateChange(
                    'configuration_held_back',
                    {
                        'version': change.configuration.version,
                        'neighbours': min_configuration,
                    },
                )
            )
            continue
        known_state = _apply_change(
            known_state, change, None if first else now, state_changes
        )
    return _apply_evacuations(known_state, batch, now, state_changes)


def apply_held_back(
    known_state: KnownState,
) -> tuple[KnownState, list[StateChange]]:
    """Apply the held-back configuration, if none has replaced it since."""
    state_changes: list[StateChange] = []
    if known_state.held_back_configuration is not None:
        read = ConfigurationRead(known_state.held_back_configuration)
        known_state = _apply_change(known_state, read, None, state_changes)
    return known_state, state_changes


class PeerReport(NamedTuple):
    """Another process's report of when it read of a named version.

    `at` is in monotonic seconds of this process, None if the other process
    does not know.
    """

    model: str
    version: int
    at: float | None


def apply_peer_reports(
    known_state: KnownState, reports: Sequence[PeerReport], now: float
) -> tuple[KnownState, list[StateChange]]:
    """Apply other processes' reports of when versions were named.

    A process that has just started can't tell when a version was named. A
    process that has read the desired state before takes such a version as
    named now, as if it had read of it itself. Otherwise an entry that
    restarts while the store is unreachable would make all processes stop
    using the version that all engines still hold.
    """
    state_changes = []
    histories = dict(known_state.histories)
    for report in reports:
        before = histories.get(report.model, versions.History())
        if report.at is None:
            at = now if known_state.routes is not None else None
            after = versions.add_version(before, report.version, at)
        else:
            after = versions.add_report(before, report.version, report.at)
        if after == before:
            continue
        histories[report.model] = after
        age_s = None if report.at is None else now - report.at
        state_changes.append(
            StateChange(
                'version_heard',
                {
                    'model': report.model,
                    'version': report.version,
                    'before': before.newest,
                    'age_ms': None if age_s is None else int(age_s * 1000),
                },
            )
        )
    return known_state._replace(histories=histories), state_changes


def apply_reported_requirements(
    known_state: KnownState, reported: AgentRequirements
) -> tuple[KnownState, list[StateChange]]:
    """Apply requirements that an entry reports, unless they are older."""
    before = known_state.reported_requirements
    if before is not None and reported.configuration <= before.configuration:
        return known_state, []
    state_change = StateChange(
        'needs_heard',
        {
            'version': reported.configuration,
            'before': before.configuration if before else None,
            'models': ','.join(reported.models),
            'slots': reported.slots,
            'origin': reported.origin,
        },
    )
    return known_state._replace(reported_requirements=reported), [state_change]


def apply_restored_upstreams(
    known_state: KnownState, batch: Batch, now: float
) -> tuple[KnownState, list[StateChange]]:
    """Apply the complete list of a store that was restored from a copy."""
    before = known_state.upstreams
    listed = [c for c in batch.changes if isinstance(c, UpstreamListed)]
    after = listing.on_restored(before, listed, batch.position, now)
    state_changes = _upstream_changes(before, after)
    return known_state._replace(
        upstreams=after, upstreams_listed=True
    ), state_changes


def apply_upstreams(
    known_state: KnownState, batch: Batch, now: float
) -> tuple[KnownState, list[StateChange]]:
    """Apply changes of the list of upstreams."""
    before = known_state.upstreams
    after = before
    for change in batch.changes:
        if isinstance(change, UpstreamListed):
            after = listing.on_listed(after, change, now)
        elif isinstance(change, UpstreamUnlisted):
            after = listing.on_unlisted(after, change, now)
    if batch.complete:
        names = {
            c.upstream.id
            for c in batch.changes
            if isinstance(c, UpstreamListed)
        }
        after = listing.on_complete_list(after, names, batch.position, now)
    after = listing.on_tick(after, now)
    state_changes = [] if after is before else _upstream_changes(before, after)
    return known_state._replace(
        upstreams=after, upstreams_listed=True
    ), state_changes


def _apply_change(
    known_state: KnownState,
    change: Change,
    at: float | None,
    state_changes: list[StateChange],
) -> KnownState:
    if isinstance(change, ConfigurationRead):
        new = change.configuration
        old = known_state.routes.configuration if known_state.routes else None
        if old is not None and new.version <= old.version:
            return known_state
        state_changes.append(
            StateChange(
                'configuration_learnt',
                {
                    'version': new.version,
                    'before': old.version if old else None,
                    'routes': len(new.routes),
                },
            )
        )
        return known_state._replace(
            routes=route_table(new), held_back_configuration=None
        )
    if isinstance(change, VersionRead):
        old_history = known_state.history(change.model)
        history = versions.add_version(old_history, change.version, at)
        if history == old_history:
            return known_state
        state_changes.append(
            StateChange(
                'version_named',
                {
                    'model': change.model,
                    'version': change.version,
                    'before': old_history.newest,
                },
            )
        )
        histories = {**known_state.histories, change.model: history}
        return known_state._replace(histories=histories)
    if isinstance(change, UnreadableRecord):
        state_changes.append(
            StateChange(
                'record_unreadable',
                {'key': change.key, 'reason': change.reason},
            )
        )
    return known_state


def _apply_evacuations(
    known_state: KnownState,
    batch: Batch,
    now: float,
    state_changes: list[StateChange],
) -> tuple[KnownState, list[StateChange]]:
    before = after = known_state.evacuated
    if batch.complete and before:
        named = {_evacuation_zone(change) for change in batch.changes}
        after = evacuation.after_full_read(after, named)
    for change in batch.changes:
        if isinstance(change, EvacuationRequested):
            after = evacuation.after_request(after, change.zone, now)
        elif isinstance(change, EvacuationRevoked):
            after = evacuation.after_revocation(after, change.zone)
    if after is before:
        return known_state, state_changes
    for zone in after.keys() - before.keys():
        # No upstream there is the sign of a misspelt zone.
        upstreams = known_state.present_upstreams()
        count = sum(upstream.zone == zone for upstream in upstreams)
        state_changes.append(
            StateChange('zone_evacuated', {'zone': zone, 'upstreams': count})
        )
    for zone in before.keys() - after.keys():
        state_changes.append(
            StateChange(
                'zone_evacuation_revoked',
                {'zone': zone, 'lasted_s': round(now - before[zone], 2)},
            )
        )
    return known_state._replace(evacuated=after), state_changes


def _evacuation_zone(change: Change) -> str:
    if isinstance(change, EvacuationRequested):
        return change.zone
    if isinstance(change, UnreadableRecord):
        return change.evacuation_zone
    return ''


def _upstream_changes(
    before: UpstreamList, after: UpstreamList
) -> list[StateChange]:
    state_changes = []
    for name in before.known.keys() - after.known.keys():
        state_changes.append(StateChange('upstream_gone', {'upstream': name}))
    for name, known in after.known.items():
        old = before.known.get(name)
        if old is not None and _is_unchanged(old.upstream, known.upstream):
            continue
        upstream = known.upstream
        state_changes.append(
            StateChange(
                'upstream_learnt',
                {
                    'upstream': name,
                    'service': upstream.service,
                    'address': upstream.endpoint,
                    'draining': upstream.draining,
                    'versions': ','.join(
                        f'{m}@{v}' for m, v in upstream.versions.items()
                    ),
                    'started_ms': upstream.started_ms,
                    'cold_ms': int(upstream.warm_in_s * 1000),
                    'era': known.position.era,
                    'position': known.position.offset,
                },
            )
        )
    return state_changes


def _is_unchanged(before: Upstream, after: Upstream) -> bool:
    # `warm_in_s`, the time for which an upstream is still cold, decreases with
    # every record; that is no change to log. It is one if it has become cold
    # again.
    if after.warm_in_s > before.warm_in_s:
        return False
    return before == after._replace(warm_in_s=before.warm_in_s)
