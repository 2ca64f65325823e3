"""The instances that an entry is linked to, and what each can run."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model import table as tables
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import AdapterRow
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages

# Versions of a target that are remembered, newest first. Rollouts in quick
# succession may leave replicas more than one version behind.
MAX_VERSIONS = 8

OPEN = 'open'


class PinnedWeights(NamedTuple):
    """Weights that an answer must come from; empty for a plain service."""

    digest: str
    adapter_digest: str


NO_WEIGHTS = PinnedWeights('', '')


class Instance:
    """One instance; only its newest link is used, older ones drain."""

    def __init__(self, link: links.Link, now: float) -> None:
        self.link = link
        self.load = InstanceLoad(link.peer.name, now)
        self.leaving = False
        self.report_count = 0
        self.open_digests: dict[str, frozenset[str]] = {}
        self.services: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self.load.name

    def apply_report(
        self, msg: messages.LoadReport, service_slots: int, now: float
    ) -> None:
        """Apply a load report.

        `running` counts all requests that the agent has accepted, including
        those queued inside its upstream. A plain service reports no slots;
        its `service_slots` are taken from the rows of the table.
        """
        self.report_count += 1
        self.leaving = msg.leaving
        opened: dict[str, set[str]] = {}
        for state in msg.weights or ():
            if state.phase == OPEN:
                opened.setdefault(state.row, set()).add(state.digest)
        self.open_digests = {
            row: frozenset(found) for row, found in opened.items()
        }
        self.services = frozenset(msg.services or ())
        self.load.forget_prefixes(msg.evicted or ())
        self.load.apply_report(
            msg.running,
            msg.slots or service_slots,
            msg.entries or 1,
            float(msg.prefill_tokens_per_s or 0),
            msg.prefixes or (),
            now,
        )

    def hosts(self, key: str) -> bool:
        """Whether any version of 'model/x' or 'service/x' is open here."""
        kind, _slash, name = key.partition('/')
        return (
            name in self.services
            if kind == 'service'
            else key in self.open_digests
        )


class Fleet:
    """Linked instances by name, and the versions named by the table."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self._versions: dict[str, list[PinnedWeights]] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    def link_opened(self, link: links.Link, now: float) -> Instance:
        """Add a link; it replaces an older one to the same instance.

        The new link is used at once, before the old one is closed: an old
        link that has gone silent would block the instance until the silence
        is detected.
        """
        instance = self.instances.get(link.peer.name)
        if instance is None:
            instance = Instance(link, now)
            self.instances[link.peer.name] = instance
        else:
            instance.link = link
        return instance

    def link_closed(self, link: links.Link) -> None:
        """Remove an instance whose newest link has closed."""
        instance = self.instances.get(link.peer.name)
        if instance is not None and instance.link is link:
            del self.instances[link.peer.name]

    def by_link(self, link: links.Link) -> Instance | None:
        """Return the instance whose newest link this is, else None."""
        instance = self.instances.get(link.peer.name)
        return instance if instance and instance.link is link else None

    def members_changed(self, leaving: Iterable[str]) -> None:
        """Update which instances the platform lists as leaving."""
        self._listed_leaving = frozenset(leaving)

    def table_changed(self, table: Table) -> None:
        """Record the weights that the table names for each target."""
        for name, row in tables.models(table).items():
            self._add_version(f'model/{name}', PinnedWeights(row.digest, ''))
        models = tables.models(table)
        for name, adapter in tables.adapters(table).items():
            if adapter.base in models:
                base_digest = models[adapter.base].digest
                self._add_version(
                    f'adapter/{name}',
                    PinnedWeights(base_digest, adapter.digest),
                )

    def hosts(
        self, ctx: RequestContext, base: str
    ) -> list[tuple[PinnedWeights, list[Instance]]]:
        """Return the instances that can run a request, by version.

        The version that the row names comes first, then earlier ones, newest
        first; an instance may be listed under several. A model and an adapter
        are only combined in versions that the table named together.
        """
        available = [
            i for i in self.instances.values() if self._accepts_work(i)
        ]
        if ctx.kind == 'service':
            hosts = [i for i in available if ctx.target in i.services]
            return [(NO_WEIGHTS, hosts)] if hosts else []
        found = []
        for pinned in self._candidate_versions(ctx, base, available):
            hosts = [i for i in available if _has_open(i, ctx, base, pinned)]
            if hosts:
                found.append((pinned, hosts))
        return found

    def hosting(self, key: str) -> list[Instance]:
        """Return the instances where any version of a row is open."""
        return [
            instance
            for instance in self.instances.values()
            if instance.hosts(key) and self._accepts_work(instance)
        ]

    def _add_version(self, target: str, pinned: PinnedWeights) -> None:
        versions = self._versions.setdefault(target, [])
        if versions and versions[0] == pinned:
            return
        if pinned in versions:
            versions.remove(pinned)
        versions.insert(0, pinned)
        del versions[MAX_VERSIONS:]

    def _candidate_versions(
        self, ctx: RequestContext, base: str, available: list[Instance]
    ) -> list[PinnedWeights]:
        known = list(self._versions.get(f'{ctx.kind}/{ctx.target}', ()))
        if ctx.kind != 'model':
            return known
        # An entry that started during a rollout does not know the previous
        # version. Agents only open versions that the table named.
        others = {
            PinnedWeights(digest, '')
            for instance in available
            for digest in instance.open_digests.get(f'model/{base}', ())
        }
        return known + sorted(others.difference(known))

    def _accepts_work(self, instance: Instance) -> bool:
        return (
            not instance.leaving
            and instance.name not in self._listed_leaving
            and not instance.link.closed_reason
        )


def base_of(ctx: RequestContext, table: Table) -> str:
    """Return the model whose instances run a request, '' for a service."""
    if ctx.kind == 'model':
        return ctx.target
    if ctx.kind == 'adapter':
        adapter = tables.find_row(table, AdapterRow, ctx.target)
        return adapter.base if adapter else ''
    return ''


def dispatch_of(
    ctx: RequestContext,
    base: str,
    pinned: PinnedWeights,
    attempt_id: str,
    budget_s: float,
) -> messages.Dispatch:
    """Return the message that sends a request to an instance."""
    return messages.Dispatch(
        request_id=ctx.request_id,
        attempt_id=attempt_id,
        customer=ctx.customer,
        target=base or ctx.target,
        digest=pinned.digest,
        adapter_digest=pinned.adapter_digest,
        idempotent=ctx.idempotent,
        budget_ms=max(1, int(budget_s * 1000)),
        priority=ctx.priority,
        method=ctx.method,
        path=ctx.path,
        content_type=ctx.content_type,
        body=ctx.body,
        stream=ctx.stream,
        adapter=ctx.target if ctx.kind == 'adapter' else '',
    )


def _has_open(
    instance: Instance, ctx: RequestContext, base: str, pinned: PinnedWeights
) -> bool:
    if pinned.digest not in instance.open_digests.get(f'model/{base}', ()):
        return False
    if ctx.kind == 'model':
        return True
    opened: Any = instance.open_digests.get(f'adapter/{ctx.target}', ())
    return pinned.adapter_digest in opened
