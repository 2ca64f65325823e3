"""Policies for distributing weights that the rollout benchmark compares.

`rarest-least-loaded` and the other chunk policies use the agent's own
neighbours and origin readers. The baselines replace these: `origin` has no
peers, in `chain` each agent copies from the one before it, and in `tree`
two agents copy from each one.
"""

from __future__ import annotations

from collections.abc import Sequence

from burdockchute.decisions import chunks
from burdockchute.decisions.hosting import ranked
from burdockchute.decisions.sources import ReaderGroup
from burdockchute.model.members import Member
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.policy import Policy

# Group index of an agent that must not read the origin: its turn never comes.
_NEVER_READS = 100_000


def _no_peers(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    return ()


def _all_read_origin(
    digest: str, own: str, hosts: Sequence[str]
) -> ReaderGroup:
    return ReaderGroup(own, (own,), 0)


def _chain_parent(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    order = _ranking([host.name for host in hosts])
    position = order.index(own.name)
    return (order[position - 1],) if position else ()


def _tree_parent(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    order = _ranking([host.name for host in hosts])
    position = order.index(own.name)
    return (order[(position - 1) // 2],) if position else ()


def _head_reads_origin(
    digest: str, own: str, hosts: Sequence[str]
) -> ReaderGroup:
    is_head = _ranking(hosts)[:1] == [own]
    return ReaderGroup(own, (own,), 0 if is_head else _NEVER_READS)


def _ranking(names: Sequence[str]) -> list[str]:
    return ranked('baseline', names)


BASELINES: dict[str, Policy] = {
    'origin': DEFAULT_POLICY._replace(
        neighbours=_no_peers, readers=_all_read_origin
    ),
    'chain': DEFAULT_POLICY._replace(
        neighbours=_chain_parent, readers=_head_reads_origin
    ),
    'tree': DEFAULT_POLICY._replace(
        neighbours=_tree_parent, readers=_head_reads_origin
    ),
}

POLICIES: dict[str, Policy] = {
    'default': DEFAULT_POLICY,
    **BASELINES,
    **{
        name: DEFAULT_POLICY._replace(choose=choose)
        for name, choose in chunks.CHUNK_POLICIES.items()
    },
}
