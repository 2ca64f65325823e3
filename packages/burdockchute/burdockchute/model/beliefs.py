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
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import Change
from burdockchute.model.feeds import ConfigurationRead
from burdockchute.model.feeds import Unreadable
from burdockchute.model.feeds import VersionRead
from burdockchute.model.needs import Needs
from burdockchute.model.needs import needs_of
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import Listed
from burdockchute.model.upstreams import Unlisted
from burdockchute.model.upstreams import Upstream


class Beliefs(NamedTuple):
    """Routes, named versions and upstreams; replaced as a whole.

    `histories` is by model. `listed` is true once the list was read. `told`
    is what others say an agent needs of the routes, where it has not read
    them. `held_back` is a configuration that neighbours know to be outdated.
    """

    routes: RouteTable | None = None
    histories: Mapping[str, versions.History] = {}
    upstreams: UpstreamList = listing.empty()
    listed: bool = False
    told: Needs | None = None
    held_back: Configuration | None = None

    @property
    def complete(self) -> bool:
        """Whether there is enough to serve callers."""
        return self.routes is not None and self.listed

    def present(self) -> list[Upstream]:
        """Give the upstreams, also those that leave."""
        return [known.upstream for known in self.upstreams.known.values()]

    def needs(self, service: str) -> Needs | None:
        """Give the newest that is known of what an agent needs."""
        if self.routes is None:
            return self.told
        version = self.routes.configuration.version
        if self.told is not None and self.told.configuration > version:
            return self.told
        return needs_of(version, self.routes.services, service)

    def newest_configuration(self) -> int:
        """Give the newest configuration heard of, 0 for none."""
        read = self.routes.configuration.version if self.routes else 0
        return max(read, self.told.configuration if self.told else 0)

    def history(self, model: str) -> versions.History:
        """Give the versions of a model that were named."""
        return self.histories.get(model, versions.History())


class Learnt(NamedTuple):
    """One change of belief, for the log: what, about whom, and from what."""

    event: str
    fields: Mapping[str, object]


def take_wishes(
    beliefs: Beliefs,
    batch: Batch,
    first: bool,
    now: float,
    least_configuration: int = 0,
) -> tuple[Beliefs, list[Learnt]]:
    """Take in what operators want.

    `first` marks the first reading of a process, which can't tell when a
    version was named. A process without a configuration holds back one that
    is older than `least_configuration`, which its neighbours know.
    """
    learnt: list[Learnt] = []
    for change in batch.changes:
        if (
            isinstance(change, ConfigurationRead)
            and beliefs.routes is None
            and change.configuration.version < least_configuration
        ):
            beliefs = beliefs._replace(held_back=change.configuration)
            learnt.append(
                Learnt(
                    'configuration_held_back',
                    {
                        'version': change.configuration.version,
                        'neighbours': least_configuration,
                    },
                )
            )
            continue
        beliefs = _take_wish(beliefs, change, None if first else now, learnt)
    return beliefs, learnt


def take_held_back(beliefs: Beliefs) -> tuple[Beliefs, list[Learnt]]:
    """Take in the configuration that was held back, if none has come since."""
    learnt: list[Learnt] = []
    if beliefs.held_back is not None:
        read = ConfigurationRead(beliefs.held_back)
        beliefs = _take_wish(beliefs, read, None, learnt)
    return beliefs, learnt


class Hearsay(NamedTuple):
    """What another process tells: when it learnt of a named version.

    `at` is in monotonic seconds of this process, None if the other could not
    tell.
    """

    model: str
    version: int
    at: float | None


def take_hearsay(
    beliefs: Beliefs, told: Sequence[Hearsay], now: float
) -> tuple[Beliefs, list[Learnt]]:
    """Take in when others learnt of versions.

    One that starts can't tell when a version was named. A process that has
    read the wishes before then takes it as named now, as if it had read of
    it by itself. Without this, an entry that restarts while the store is
    away would end the version that all engines hold for everybody.
    """
    learnt = []
    histories = dict(beliefs.histories)
    for item in told:
        before = histories.get(item.model, versions.History())
        if item.at is None:
            at = now if beliefs.routes is not None else None
            after = versions.add_version(before, item.version, at)
        else:
            after = versions.add_report(before, item.version, item.at)
        if after == before:
            continue
        histories[item.model] = after
        age_s = None if item.at is None else now - item.at
        learnt.append(
            Learnt(
                'version_heard',
                {
                    'model': item.model,
                    'version': item.version,
                    'before': before.newest,
                    'age_ms': None if age_s is None else int(age_s * 1000),
                },
            )
        )
    return beliefs._replace(histories=histories), learnt


def take_told_needs(
    beliefs: Beliefs, told: Needs
) -> tuple[Beliefs, list[Learnt]]:
    """Take in what an entry says that an agent needs; never goes back."""
    before = beliefs.told
    if before is not None and told.configuration <= before.configuration:
        return beliefs, []
    learnt = Learnt(
        'needs_heard',
        {
            'version': told.configuration,
            'before': before.configuration if before else None,
            'models': ','.join(told.models),
            'slots': told.slots,
            'origin': told.origin,
        },
    )
    return beliefs._replace(told=told), [learnt]


def take_restored_upstreams(
    beliefs: Beliefs, batch: Batch, now: float
) -> tuple[Beliefs, list[Learnt]]:
    """Take in the whole list of a store that came back from a copy."""
    before = beliefs.upstreams
    listed = [c for c in batch.changes if isinstance(c, Listed)]
    after = listing.on_restored(before, listed, batch.position, now)
    learnt = _compared(before, after)
    return beliefs._replace(upstreams=after, listed=True), learnt


def take_upstreams(
    beliefs: Beliefs, batch: Batch, now: float
) -> tuple[Beliefs, list[Learnt]]:
    """Take in what the list says of upstreams."""
    before = beliefs.upstreams
    after = before
    for change in batch.changes:
        if isinstance(change, Listed):
            after = listing.on_listed(after, change)
        elif isinstance(change, Unlisted):
            after = listing.on_unlisted(after, change, now)
    if batch.whole:
        names = {c.upstream.id for c in batch.changes if isinstance(c, Listed)}
        after = listing.on_complete_list(after, names, batch.position, now)
    after = listing.on_tick(after, now)
    learnt = [] if after is before else _compared(before, after)
    return beliefs._replace(upstreams=after, listed=True), learnt


def _take_wish(
    beliefs: Beliefs, change: Change, at: float | None, learnt: list[Learnt]
) -> Beliefs:
    if isinstance(change, ConfigurationRead):
        new = change.configuration
        old = beliefs.routes.configuration if beliefs.routes else None
        if old is not None and new.version <= old.version:
            return beliefs
        learnt.append(
            Learnt(
                'configuration_learnt',
                {
                    'version': new.version,
                    'before': old.version if old else None,
                    'routes': len(new.routes),
                },
            )
        )
        return beliefs._replace(routes=route_table(new), held_back=None)
    if isinstance(change, VersionRead):
        old_history = beliefs.history(change.model)
        history = versions.add_version(old_history, change.version, at)
        if history == old_history:
            return beliefs
        learnt.append(
            Learnt(
                'version_named',
                {
                    'model': change.model,
                    'version': change.version,
                    'before': old_history.newest,
                },
            )
        )
        histories = {**beliefs.histories, change.model: history}
        return beliefs._replace(histories=histories)
    if isinstance(change, Unreadable):
        learnt.append(
            Learnt(
                'record_unreadable',
                {'key': change.key, 'reason': change.reason},
            )
        )
    return beliefs


def _compared(before: UpstreamList, after: UpstreamList) -> list[Learnt]:
    learnt = []
    for name in before.known.keys() - after.known.keys():
        learnt.append(Learnt('upstream_gone', {'upstream': name}))
    for name, known in after.known.items():
        old = before.known.get(name)
        if old is not None and _said(old.upstream) == _said(known.upstream):
            continue
        upstream = known.upstream
        learnt.append(
            Learnt(
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
