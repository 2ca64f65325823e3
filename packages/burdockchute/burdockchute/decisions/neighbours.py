"""Choice of the peers with which an agent exchanges chunks.

2,700 instances fetch the same weights at the same moment. Links between all
of them would be 7 million connections, and the announcement of one chunk
would cost each instance 2,700 messages. So each agent dials a bounded number
of others, most of them near. They are chosen by a rendezvous hash of the
pair: it needs no coordinator, does not change while others are added or
removed, and gives a random graph, whose diameter grows with the logarithm of
its size. On average an agent is dialled by as many peers as it dials, so it
has about 16 links.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from burdockchute.decisions.hosting import ranked
from burdockchute.model.members import Member
from burdockchute.model.members import Place

# Peers in the own zone and in the own region keep copying inside them.
ZONE_PEERS = 4
REGION_PEERS = 2

# Peers in other regions connect the regions. With fewer, a few small zones
# could be disconnected from the others.
REMOTE_PEERS = 2

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


def distance(own: Place, other: Place) -> int:
    """Return SAME_ZONE, SAME_REGION or OTHER_REGION."""
    if own.region != other.region:
        return OTHER_REGION
    return SAME_ZONE if own.zone == other.zone else SAME_REGION


def neighbours(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    """Return the names of the instances that an agent dials for a row.

    `key` identifies the row and `hosts` are all instances that host it; the
    own instance is left out. Where a distance has too few instances, the
    next distance makes up for them.
    """
    by_distance: list[list[str]] = [[], [], []]
    for host in hosts:
        if host.name != own.name:
            by_distance[distance(own.place, host.place)].append(host.name)
    chosen: list[str] = []
    shortfall = 0
    for names, count in zip(
        by_distance, (ZONE_PEERS, REGION_PEERS, REMOTE_PEERS), strict=True
    ):
        wanted = count + shortfall
        nearest = ranked(f'{key}\0{own.name}', names)[:wanted]
        shortfall = wanted - len(nearest)
        chosen.extend(nearest)
    if shortfall:
        remaining = _not_chosen(by_distance, chosen)
        chosen.extend(ranked(f'{key}\0{own.name}', remaining)[:shortfall])
    return tuple(chosen)


def _not_chosen(
    by_distance: Iterable[Sequence[str]], chosen: Sequence[str]
) -> list[str]:
    known = set(chosen)
    return [
        name for names in by_distance for name in names if name not in known
    ]
