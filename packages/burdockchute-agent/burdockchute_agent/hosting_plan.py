"""Plans what this instance holds, its peers and the order of loads."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import hosting
from burdockchute.decisions import pacing
from burdockchute.model.members import Member
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.table import models
from burdockchute.model.table import Table
from burdockchute_agent.policy import Policy

RowId = tuple[str, str]


class Target(NamedTuple):
    """The weights named by a row; `base` is set for adapters only."""

    kind: str
    name: str
    version: str
    digest: str
    base: str
    checks_fencing: bool
    loading_share: float
    origin_copies: float


class HostingPlan(NamedTuple):
    """What an instance holds, given the current table and members.

    `targets` is by kind and name of the row. `hosts` maps each digest to the
    names of all members that want it, `peers` are the members to dial, and
    `predecessors` maps each row to the member that loads before this one.
    """

    targets: Mapping[RowId, Target]
    hosts: Mapping[str, tuple[str, ...]]
    peers: Mapping[str, Member]
    predecessors: Mapping[RowId, str | None]


def plan_hosting(
    table: Table, members: Sequence[Member], own: Member, policy: Policy
) -> HostingPlan:
    """Return what an instance holds and with which peers it exchanges."""
    targets = _targets(table, members, own)
    hosts = _hosts_by_model(table, members, own)
    predecessors = {
        row: _predecessor(target, own, hosts[target.base or target.name])
        for row, target in targets.items()
    }
    return HostingPlan(
        targets,
        {
            target.digest: tuple(hosts[target.base or target.name])
            for target in targets.values()
        },
        _peers(own, hosts, predecessors, policy),
        predecessors,
    )


def _targets(
    table: Table, members: Sequence[Member], own: Member
) -> dict[RowId, Target]:
    targets: dict[RowId, Target] = {}
    for model in hosting.hosted_models(table, members, own):
        targets['model', model.name] = _model_target(model)
    by_name = models(table)
    for adapter in hosting.hosted_adapters(table, members, own):
        base = by_name[adapter.base]
        targets['adapter', adapter.name] = _adapter_target(adapter, base)
    return targets


def _hosts_by_model(
    table: Table, members: Sequence[Member], own: Member
) -> dict[str, dict[str, Member]]:
    known = [member for member in members if member.name != own.name]
    known.append(own)
    by_name = {member.name: member for member in known}
    return {
        row.name: {name: by_name[name] for name in hosting.hosts(row, known)}
        for row in hosting.hosted_models(table, members, own)
    }


def _predecessor(
    target: Target, own: Member, hosts: Mapping[str, Member]
) -> str | None:
    key = f'{target.kind}/{target.name}/{target.digest}'
    return pacing.predecessor(
        key, own.name, tuple(hosts), target.loading_share
    )


def _peers(
    own: Member,
    hosts: Mapping[str, Mapping[str, Member]],
    predecessors: Mapping[RowId, str | None],
    policy: Policy,
) -> dict[str, Member]:
    peers: dict[str, Member] = {}
    watched = {name for name in predecessors.values() if name is not None}
    for model, members in hosts.items():
        chosen = policy.neighbours(
            f'model/{model}', own, tuple(members.values())
        )
        for name in {*chosen, *(watched & members.keys())}:
            peers[name] = members[name]
    return peers


def _model_target(row: ModelRow) -> Target:
    return Target(
        kind='model',
        name=row.name,
        version=row.version,
        digest=row.digest,
        base='',
        checks_fencing=row.checks_fencing,
        loading_share=row.loading_share,
        origin_copies=row.origin_copies,
    )


def _adapter_target(row: AdapterRow, base: ModelRow) -> Target:
    return Target(
        kind='adapter',
        name=row.name,
        version=row.version,
        digest=row.digest,
        base=row.base,
        checks_fencing=base.checks_fencing,
        loading_share=base.loading_share,
        origin_copies=row.origin_copies,
    )
