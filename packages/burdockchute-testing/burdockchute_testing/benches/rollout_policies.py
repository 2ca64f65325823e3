"""Ways to spread weights that the rollout bench compares.

`rarest-least-loaded` and the other peer choices use the agent's own
neighbours and origin readers. The baselines replace these: `origin` has no
peers, `chain` passes chunks from one to the next, `tree` from each to two.
"""

from __future__ import annotations

from collections.abc import Sequence

from burdockchute.decisions import chunks
from burdockchute.decisions.hosting import ranked
from burdockchute.decisions.sources import ReaderGroup
from burdockchute.model.members import Member
from burdockchute_agent.policy import DEFAULT_POLICY
from burdockchute_agent.policy import Policy

# Steps before one that must not read the origin at all.
_NEVER = 100_000


def _no_peers(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    return ()


def _everyone_reads(
    digest: str, own: str, hosts: Sequence[str]
) -> ReaderGroup:
    return ReaderGroup(own, (own,), 0)


def _chain_parent(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    order = _order([host.name for host in hosts])
    at = order.index(own.name)
    return (order[at - 1],) if at else ()


def _tree_parent(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    order = _order([host.name for host in hosts])
    at = order.index(own.name)
    return (order[(at - 1) // 2],) if at else ()


def _head_reads(digest: str, own: str, hosts: Sequence[str]) -> ReaderGroup:
    is_head = _order(hosts)[:1] == [own]
    return ReaderGroup(own, (own,), 0 if is_head else _NEVER)


def _order(names: Sequence[str]) -> list[str]:
    return ranked('baseline', names)


BASELINES: dict[str, Policy] = {
    'origin': DEFAULT_POLICY._replace(
        neighbours=_no_peers, readers=_everyone_reads
    ),
    'chain': DEFAULT_POLICY._replace(
        neighbours=_chain_parent, readers=_head_reads
    ),
    'tree': DEFAULT_POLICY._replace(
        neighbours=_tree_parent, readers=_head_reads
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
