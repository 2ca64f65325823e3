"""What a process believes of its platform, and since when."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

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
from burdockchute.model.feeds import UnreadableRecord
from burdockchute.model.feeds import VersionRead
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import Upstream
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted


class KnownState(NamedTuple):
    """Routes, named versions and upstreams; replaced as a whole.

    `histories` is by model. `upstreams_listed` is true once the list was
    read. `reported_requirements` is what others say an agent needs of the
    routes, where it has not read them. `held_back_configuration` is a
    configuration that neighbours know to be outdated.
    """

    routes: RouteTable | None = None
    histories: Mapping[str, versions.History] = {}
    upstreams: UpstreamList = listing.empty()
    upstreams_listed: bool = False
    reported_requirements: AgentRequirements | None = None
    held_back_configuration: Configuration | None = None

    @property
    def complete(self) -> bool:
        """Whether there is enough to serve callers."""
        return self.routes is not None and self.upstreams_listed

    def present_upstreams(self) -> list[Upstream]:
        """Give the upstreams, also those that leave."""
        return [known.upstream for known in self.upstreams.known.values()]

    def agent_requirements(self, service: str) -> AgentRequirements | None:
        """Give the newest that is known of what an agent needs."""
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
        """Give the newest configuration heard of, 0 for none."""
        read = self.routes.configuration.version if self.routes else 0
        return max(
            read,
            self.reported_requirements.configuration
            if self.reported_requirements
            else 0,
        )

    def history(self, model: str) -> versions.History:
        """Give the versions of a model that were named."""
        return self.histories.get(model, versions.History())


class StateChange(NamedTuple):
    """One change of belief, for the log: what, about whom, and from what."""

    event: str
    fields: Mapping[str, object]


def apply_desired_state(
    known_state: KnownState,
    batch: Batch,
    first: bool,
    now: float,
    least_configuration: int = 0,
) -> tuple[KnownState, list[StateChange]]:
    """Take in what operators want.

    `first` marks the first reading of a process, which can't tell when a
    version was named. A process without a configuration holds back one that
    is older than `least_configuration`, which its neighbours know.
    """
    learnt: list[StateChange] = []
    for change in batch.changes:
        if (
            isinstance(change, ConfigurationRead)
            and known_state.routes is None
            and change.configuration.version < least_configuration
        ):
            known_state = known_state._replace(
                held_back_configuration=change.configuration
            )
            learnt.append(
                StateChange(
                    'configuration_held_back',
                    {
                        'version': change.configuration.version,
                        'neighbours': least_configuration,
                    },
                )
            )
            continue
        known_state = _take_wish(
            known_state, change, None if first else now, learnt
        )
    return known_state, learnt


def apply_held_back(
    known_state: KnownState,
) -> tuple[KnownState, list[StateChange]]:
    """Take in the configuration that was held back, if none has come since."""
    learnt: list[StateChange] = []
    if known_state.held_back_configuration is not None:
        read = ConfigurationRead(known_state.held_back_configuration)
        known_state = _take_wish(known_state, read, None, learnt)
    return known_state, learnt


class PeerReport(NamedTuple):
    """What another process tells: when it learnt of a named version.

    `at` is in monotonic seconds of this process, None if the other could not
    tell.
    """

    model: str
    version: int
    at: float | None


def apply_peer_reports(
    known_state: KnownState, told: Sequence[PeerReport], now: float
) -> tuple[KnownState, list[StateChange]]:
    """Take in when others learnt of versions.

    One that starts can't tell when a version was named. A process that has
    read the wishes before then takes it as named now, as if it had read of
    it by itself. Without this, an entry that restarts while the store is
    away would end the version that all engines hold for everybody.
    """
    learnt = []
    histories = dict(known_state.histories)
    for item in told:
        before = histories.get(item.model, versions.History())
        if item.at is None:
            at = now if known_state.routes is not None else None
            after = versions.add_version(before, item.version, at)
        else:
            after = versions.add_report(before, item.version, item.at)
        if after == before:
            continue
        histories[item.model] = after
        age_s = None if item.at is None else now - item.at
        learnt.append(
            StateChange(
                'version_heard',
                {
                    'model': item.model,
                    'version': item.version,
                    'before': before.newest,
                    'age_ms': None if age_s is None else int(age_s * 1000),
                },
            )
        )
    return known_state._replace(histories=histories), learnt


def apply_reported_requirements(
    known_state: KnownState, told: AgentRequirements
) -> tuple[KnownState, list[StateChange]]:
    """Take in what an entry says that an agent needs; never goes back."""
    before = known_state.reported_requirements
    if before is not None and told.configuration <= before.configuration:
        return known_state, []
    learnt = StateChange(
        'needs_heard',
        {
            'version': told.configuration,
            'before': before.configuration if before else None,
            'models': ','.join(told.models),
            'slots': told.slots,
            'origin': told.origin,
        },
    )
    return known_state._replace(reported_requirements=told), [learnt]


def apply_restored_upstreams(
    known_state: KnownState, batch: Batch, now: float
) -> tuple[KnownState, list[StateChange]]:
    """Take in the whole list of a store that came back from a copy."""
    before = known_state.upstreams
    listed = [c for c in batch.changes if isinstance(c, UpstreamListed)]
    after = listing.on_restored(before, listed, batch.position, now)
    learnt = _compared(before, after)
    return known_state._replace(upstreams=after, upstreams_listed=True), learnt


def apply_upstreams(
    known_state: KnownState, batch: Batch, now: float
) -> tuple[KnownState, list[StateChange]]:
    """Take in what the list says of upstreams."""
    before = known_state.upstreams
    after = before
    for change in batch.changes:
        if isinstance(change, UpstreamListed):
            after = listing.on_listed(after, change)
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
    learnt = [] if after is before else _compared(before, after)
    return known_state._replace(upstreams=after, upstreams_listed=True), learnt


def _take_wish(
    known_state: KnownState,
    change: Change,
    at: float | None,
    learnt: list[StateChange],
) -> KnownState:
    if isinstance(change, ConfigurationRead):
        new = change.configuration
        old = known_state.routes.configuration if known_state.routes else None
        if old is not None and new.version <= old.version:
            return known_state
        learnt.append(
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
        learnt.append(
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
        learnt.append(
            StateChange(
                'record_unreadable',
                {'key': change.key, 'reason': change.reason},
            )
        )
    return known_state


def _compared(before: UpstreamList, after: UpstreamList) -> list[StateChange]:
    learnt = []
    for name in before.known.keys() - after.known.keys():
        learnt.append(StateChange('upstream_gone', {'upstream': name}))
    for name, known in after.known.items():
        old = before.known.get(name)
        if old is not None and _said(old.upstream) == _said(known.upstream):
            continue
        upstream = known.upstream
        learnt.append(
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
                    'era': known.position.era,
                    'position': known.position.offset,
                },
            )
        )
    return learnt


def _said(upstream: Upstream) -> Upstream:
    # How long it stays slow counts down with every record.
    return upstream._replace(warm_in_s=0.0)
