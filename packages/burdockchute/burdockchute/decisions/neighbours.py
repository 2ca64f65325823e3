"""With whom an agent exchanges chunks.

Load: 2,700 instances want the same weights at the same moment. If each kept
links to all others, news of one chunk would cost 2,700 messages at each of
them, and 7 million links in all. So each agent dials a bounded number of
others, most of them near. The choice is a rendezvous hash of the pair: it
needs no coordinator, stays the same while others come and go, and gives a
random graph, whose diameter grows with the logarithm of its size.

NEAR and REGION peers keep copies inside zone and region; FAR peers join the
parts. An agent is dialled by as many as it dials, on average, so it has
about 16 links. With FAR under 2 a few small zones could fall off the rest.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from burdockchute.decisions.hosting import ranked
from burdockchute.model.members import Member
from burdockchute.model.members import Place

NEAR = 4
REGION = 2
FAR = 2

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


def distance(own: Place, other: Place) -> int:
    """Give SAME_ZONE, SAME_REGION or ELSEWHERE."""
    if own.region != other.region:
        return OTHER_REGION
    return SAME_ZONE if own.zone == other.zone else SAME_REGION


def neighbours(
    key: str, own: Member, hosts: Sequence[Member]
) -> tuple[str, ...]:
    """Give the names of those that an agent dials for a row.

    `hosts` are all that host the row; the own instance is left out. Slots
    that a near sort can't fill go to the next one.
    """
    sorts: list[list[str]] = [[], [], []]
    for host in hosts:
        if host.name != own.name:
            sorts[distance(own.place, host.place)].append(host.name)
    chosen: list[str] = []
    spare = 0
    for names, count in zip(sorts, (NEAR, REGION, FAR), strict=True):
        wanted = count + spare
        taken = ranked(f'{key}\0{own.name}', names)[:wanted]
        spare = wanted - len(taken)
        chosen.extend(taken)
    if spare:
        rest = _left_out(sorts, chosen)
        chosen.extend(ranked(f'{key}\0{own.name}', rest)[:spare])
    return tuple(chosen)


def _left_out(
    sorts: Iterable[Sequence[str]], chosen: Sequence[str]
) -> list[str]:
    known = set(chosen)
    return [name for names in sorts for name in names if name not in known]
