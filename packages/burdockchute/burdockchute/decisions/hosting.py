"""Which rows of the table an instance hosts.

Rows name pools, zones, regions or instances, and may limit how many of the
matching instances host them; instances join and leave all day. Every process
has to compute the same hosts: otherwise entries would send requests to
instances that hold other weights, or two agents would each assume that the
other one hosts a row. The choice is a rendezvous hash of row and instance, so
that an instance that leaves moves only its own rows.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

import blake3

from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import adapters
from burdockchute.model.table import models
from burdockchute.model.table import services
from burdockchute.model.table import Table


def score(key: str, name: str) -> bytes:
    """Return the rendezvous score of a name under a key; the lowest wins."""
    return blake3.blake3(f'{key}\0{name}'.encode()).digest(8)


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous order under a key, the same everywhere.

    Removing a name leaves the order of the others unchanged.
    """
    return sorted(names, key=lambda name: (score(key, name), name))


def matches(placement: str, name: str, place: Place) -> bool:
    """Whether an instance matches a placement.

    >>> matches('zone:z-1,zone:z-2', 'a', Place('z-1', 'north', 'p'))
    True
    >>> matches('zone:z-1,pool:q', 'a', Place('z-1', 'north', 'p'))
    False
    """
    terms = [term.strip() for term in placement.split(',') if term.strip()]
    if '*' in terms:
        return True
    own = {
        'pool': place.pool,
        'zone': place.zone,
        'region': place.region,
        'instance': name,
    }
    allowed: dict[str, set[str]] = {}
    for term in terms:
        kind, _, value = term.partition(':')
        allowed.setdefault(kind, set()).add(value)
    if not allowed:
        return False
    return all(own.get(kind) in values for kind, values in allowed.items())


def hosts(
    row: ModelRow | ServiceRow, members: Sequence[Member]
) -> tuple[str, ...]:
    """Return the names of the agents that host a row.

    Members that are leaving don't count towards `replicas`, so that a
    successor copies the weights while the leaving member still serves.
    """
    names = [
        member.name
        for member in members
        if member.role == 'agent'
        and not member.leaving
        and matches(row.placement, member.name, member.place)
    ]
    replicas = row.replicas if isinstance(row, ModelRow) else 0
    if not replicas:
        return tuple(sorted(names))
    return tuple(ranked(f'model/{row.name}', names)[:replicas])


def hosted_models(
    table: Table, members: Sequence[Member], own: Member
) -> list[ModelRow]:
    """Return the model rows that an instance hosts, by name."""
    known = _including_own(members, own)
    return [
        row
        for _name, row in sorted(models(table).items())
        if own.name in hosts(row, known)
    ]


def hosted_adapters(
    table: Table, members: Sequence[Member], own: Member
) -> list[AdapterRow]:
    """Return the adapter rows that an instance hosts: those of its models."""
    bases = {row.name for row in hosted_models(table, members, own)}
    return [
        row
        for _name, row in sorted(adapters(table).items())
        if row.base in bases
    ]


def hosted_services(
    table: Table, members: Sequence[Member], own: Member
) -> list[ServiceRow]:
    """Return the service rows that an instance hosts, by name."""
    known = _including_own(members, own)
    return [
        row
        for _name, row in sorted(services(table).items())
        if own.name in hosts(row, known)
    ]


def _including_own(members: Sequence[Member], own: Member) -> list[Member]:
    # The platform's list lags, so an instance may not be on it yet; it always
    # knows itself. An instance that is leaving keeps its rows until it has
    # stopped.
    others = [member for member in members if member.name != own.name]
    return [*others, own._replace(leaving=False)]
