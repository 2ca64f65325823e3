"""Which agents an entry keeps links to.

Load: 360 entries before 12,000 agents. Links between all of them would be
4.3 million connections; heartbeats and load reports alone would take more
than a hundred times what a node may spend on control. Too few links are as
bad: an agent without an entry serves nobody, and an entry without a host of
a model has to refuse that model's callers.

So each agent is given LOCAL entries of its own region, in as many zones as
can be, and REMOTE of another; they are the first of a rendezvous order over
the names, which every entry computes alike without asking. That gives every
agent exactly so many links. On top of it an entry takes hosts of each model
or service until it has MIN_HOSTS of it, first in its own region, since a
small model's hosts would else be known to few entries only.

Local and remote are ranked apart so that two regions which lose each other
keep all links inside, and come back to the same links when they meet again.
With up to ALL_AGENTS agents an entry links to all: at the sizes of today
the fewest hops are worth more than the few links saved.

Three local entries: with two, a rack that takes one of them leaves an agent
on one entry, and that one may be stale. One remote: an agent whose region
has lost the log still hears of edits from there. More would only add to the
load reports, which are sent on every link each second.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import heapq

import blake3

from burdockchute.decisions import hosting
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import models
from burdockchute.model.table import services
from burdockchute.model.table import Table

LOCAL_ENTRIES = 3
REMOTE_ENTRIES = 1
MIN_HOSTS = 3
FULL_MESH_AGENTS = 128

_MASK = 2**64 - 1
_ODD = 0x9E3779B97F4A7C15


class Subset:
    """The choice of one entry, kept up as members come and go.

    Ranking every agent takes about a second for 12,000, in which no request
    would be served. `set_members` therefore only notes what has to be ranked
    anew, and `step` does a part of it; until an agent's turn comes its old
    rank holds.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._entries: dict[str, Place] = {}
        self._agents: dict[str, Place] = {}
        self._zones: dict[str, dict[str, list[tuple[int, str]]]] = {}
        self._pending: dict[str, None] = {}
        self._mine: set[str] = set()

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the members; those that leave are not counted."""
        entries: dict[str, Place] = {}
        agents: dict[str, Place] = {}
        for member in members:
            if not member.leaving:
                chosen = entries if member.role == 'entry' else agents
                chosen[member.name] = member.place
        changed = (
            agents if entries != self._entries else _new(agents, self._agents)
        )
        self._mine.intersection_update(agents)
        self._entries = entries
        self._agents = agents
        self._zones = _by_region_and_zone(entries)
        for name in list(self._pending):
            if name not in agents:
                del self._pending[name]
        self._pending.update(dict.fromkeys(changed))

    def step(self, count: int) -> bool:
        """Rank up to `count` agents; True when none is left."""
        for name in list(self._pending)[:count]:
            del self._pending[name]
            place = self._agents[name]
            if self._own in entries_of(name, place, self._zones):
                self._mine.add(name)
            else:
                self._mine.discard(name)
        return not self._pending

    def wanted(
        self, table: Table, pause: Callable[[], None] = lambda: None
    ) -> set[str]:
        """Give the names of the agents to keep links to.

        `pause` is called between rows, each of which takes milliseconds on
        the largest site.
        """
        if len(self._agents) <= FULL_MESH_AGENTS:
            return set(self._agents)
        own = self._entries.get(self._own)
        region = own.region if own else ''
        chosen = set(self._mine)
        by_place = _by_place(self._agents)
        rows: list[ModelRow | ServiceRow] = [
            *models(table).values(),
            *services(table).values(),
        ]
        for row in rows:
            pause()
            hosts = _hosts(row, by_place)
            missing = MIN_HOSTS - len(chosen.intersection(hosts))
            if missing > 0:
                chosen |= self._nearest(hosts, region, missing, chosen)
        return chosen

    def _nearest(
        self, hosts: list[str], region: str, count: int, chosen: set[str]
    ) -> set[str]:
        own = number(self._own)
        order = heapq.nsmallest(
            count,
            (name for name in hosts if name not in chosen),
            key=lambda name: (
                self._agents[name].region != region,
                mixed(own ^ number(name)),
            ),
        )
        return set(order)


def entries_of(
    name: str,
    place: Place,
    zones: Mapping[str, Mapping[str, Sequence[tuple[int, str]]]],
) -> list[str]:
    """Give the entries that link to an agent.

    `zones` has the entries as (number, name) by region and zone.
    """
    agent = number(name)
    local: list[tuple[bool, int, str]] = []
    remote: list[tuple[int, str]] = []
    for region, by_zone in zones.items():
        for entries in by_zone.values():
            scored = [(mixed(agent ^ n), entry) for n, entry in entries]
            if region != place.region:
                remote.append(min(scored))
                continue
            # The first of each zone goes before the second of any.
            for rank, (score, entry) in enumerate(
                heapq.nsmallest(LOCAL_ENTRIES, scored)
            ):
                local.append((rank > 0, score, entry))
    chosen = [entry for _rank, _score, entry in sorted(local)[:LOCAL_ENTRIES]]
    chosen += [entry for _score, entry in sorted(remote)[:REMOTE_ENTRIES]]
    return chosen


@functools.lru_cache(maxsize=32768)
def number(name: str) -> int:
    """Give 64 bits that stand for a name."""
    return int.from_bytes(blake3.blake3(name.encode()).digest(8))


def mixed(value: int) -> int:
    """Give 64 bits in which every bit of the value counts."""
    value = (value * _ODD) & _MASK
    return ((value ^ (value >> 32)) * _ODD) & _MASK


def _new(agents: Mapping[str, Place], known: Mapping[str, Place]) -> list[str]:
    return [name for name, place in agents.items() if known.get(name) != place]


def _by_region_and_zone(
    entries: Mapping[str, Place],
) -> dict[str, dict[str, list[tuple[int, str]]]]:
    zones: dict[str, dict[str, list[tuple[int, str]]]] = {}
    for name, place in entries.items():
        by_zone = zones.setdefault(place.region, {})
        by_zone.setdefault(place.zone, []).append((number(name), name))
    return zones


def _by_place(agents: Mapping[str, Place]) -> dict[Place, list[str]]:
    found: dict[Place, list[str]] = {}
    for name, place in agents.items():
        found.setdefault(place, []).append(name)
    return found


def _hosts(
    row: ModelRow | ServiceRow, by_place: Mapping[Place, list[str]]
) -> list[str]:
    # As hosting.hosts, but a placement is matched once for each place.
    if 'instance:' in row.placement:
        names = [
            name
            for place, group in by_place.items()
            for name in group
            if hosting.matches(row.placement, name, place)
        ]
    else:
        names = [
            name
            for place, group in by_place.items()
            if hosting.matches(row.placement, '', place)
            for name in group
        ]
    replicas = row.replicas if isinstance(row, ModelRow) else 0
    if not replicas:
        return names
    return hosting.ranked(f'model/{row.name}', names)[:replicas]
