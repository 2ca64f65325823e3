"""The subset of agents that an entry keeps links to.

360 entries serve 12,000 agents. Links between all of them would be 4.3
million connections, whose heartbeats and load reports alone would take more
than a hundred times the bandwidth that a node may use for control messages.
Too few links are as bad: an agent that no entry links to serves no requests,
and an entry without a host of a model has to refuse that model's requests.

So each agent is assigned LOCAL_ENTRIES entries of its own region, in as many
zones as possible, and REMOTE_ENTRIES of another region. They are the first of
a rendezvous hash order of the names, which every entry computes alike without
coordination, so that every agent has exactly this number of links. In addition
an entry links to hosts of each model or service until it has MIN_HOSTS of
them, first those in its own region.

Local and remote entries are ranked separately, so that two regions that lose
contact keep all their internal links, and return to the same links once they
are connected again.
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

# With two, the loss of a rack with one of them would leave an agent with a
# single entry, and that one may be stale. More would only add to the load
# reports, which are sent on every link each second.
LOCAL_ENTRIES = 3

# An agent whose region has lost the log still receives edits from there.
REMOTE_ENTRIES = 1

# Without a minimum, few entries would link to the hosts of a small model.
MIN_HOSTS = 3

# With up to this many agents an entry links to all of them: at today's sizes
# the fewest hops are worth more than the few links saved.
FULL_MESH_AGENTS = 128

_MASK = 2**64 - 1
_ODD_MULTIPLIER = 0x9E3779B97F4A7C15


class Subset:
    """The agents that one entry links to, updated as the members change.

    Ranking 12,000 agents takes about a second, in which no request would be
    served. Therefore `set_members` only marks the agents to rank again, and
    each call of `step` ranks some of them; until an agent is ranked again its
    old result stays in force.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._entries: dict[str, Place] = {}
        self._agents: dict[str, Place] = {}
        self._zones: dict[str, dict[str, list[tuple[int, str]]]] = {}
        self._pending: dict[str, None] = {}
        self._assigned: set[str] = set()

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the members; leaving ones are not considered."""
        entries: dict[str, Place] = {}
        agents: dict[str, Place] = {}
        for member in members:
            if not member.leaving:
                chosen = entries if member.role == 'entry' else agents
                chosen[member.name] = member.place
        changed = (
            agents
            if entries != self._entries
            else _new_or_moved(agents, self._agents)
        )
        self._assigned.intersection_update(agents)
        self._entries = entries
        self._agents = agents
        self._zones = _by_region_and_zone(entries)
        for name in list(self._pending):
            if name not in agents:
                del self._pending[name]
        self._pending.update(dict.fromkeys(changed))

    def step(self, count: int) -> bool:
        """Rank up to `count` agents; return whether none is left to rank."""
        for name in list(self._pending)[:count]:
            del self._pending[name]
            place = self._agents[name]
            if self._own in entries_for(name, place, self._zones):
                self._assigned.add(name)
            else:
                self._assigned.discard(name)
        return not self._pending

    def wanted(
        self, table: Table, pause: Callable[[], None] = lambda: None
    ) -> set[str]:
        """Return the names of the agents to keep links to.

        `pause` is called between rows, each of which takes milliseconds on
        the largest site.
        """
        if len(self._agents) <= FULL_MESH_AGENTS:
            return set(self._agents)
        own = self._entries.get(self._own)
        region = own.region if own else ''
        chosen = set(self._assigned)
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
        own_hash = name_hash(self._own)
        order = heapq.nsmallest(
            count,
            (name for name in hosts if name not in chosen),
            key=lambda name: (
                self._agents[name].region != region,
                mix_bits(own_hash ^ name_hash(name)),
            ),
        )
        return set(order)


def entries_for(
    name: str,
    place: Place,
    zones: Mapping[str, Mapping[str, Sequence[tuple[int, str]]]],
) -> list[str]:
    """Return the names of the entries that link to an agent.

    `zones` has the entries as (hash of the name, name) by region and zone.
    """
    agent_hash = name_hash(name)
    local: list[tuple[bool, int, str]] = []
    remote: list[tuple[int, str]] = []
    for region, by_zone in zones.items():
        for entries in by_zone.values():
            scored = [
                (mix_bits(agent_hash ^ entry_hash), entry)
                for entry_hash, entry in entries
            ]
            if region != place.region:
                remote.append(min(scored))
                continue
            # The first entry of each zone goes before the second of any.
            for rank, (score, entry) in enumerate(
                heapq.nsmallest(LOCAL_ENTRIES, scored)
            ):
                local.append((rank > 0, score, entry))
    chosen = [entry for _rank, _score, entry in sorted(local)[:LOCAL_ENTRIES]]
    chosen += [entry for _score, entry in sorted(remote)[:REMOTE_ENTRIES]]
    return chosen


@functools.lru_cache(maxsize=32768)
def name_hash(name: str) -> int:
    """Return a 64-bit hash of a name."""
    return int.from_bytes(blake3.blake3(name.encode()).digest(8))


def mix_bits(value: int) -> int:
    """Return 64 bits, each of which depends on every bit of the value."""
    value = (value * _ODD_MULTIPLIER) & _MASK
    return ((value ^ (value >> 32)) * _ODD_MULTIPLIER) & _MASK


def _new_or_moved(
    agents: Mapping[str, Place], known: Mapping[str, Place]
) -> list[str]:
    return [name for name, place in agents.items() if known.get(name) != place]


def _by_region_and_zone(
    entries: Mapping[str, Place],
) -> dict[str, dict[str, list[tuple[int, str]]]]:
    zones: dict[str, dict[str, list[tuple[int, str]]]] = {}
    for name, place in entries.items():
        by_zone = zones.setdefault(place.region, {})
        by_zone.setdefault(place.zone, []).append((name_hash(name), name))
    return zones


def _by_place(agents: Mapping[str, Place]) -> dict[Place, list[str]]:
    found: dict[Place, list[str]] = {}
    for name, place in agents.items():
        found.setdefault(place, []).append(name)
    return found


def _hosts(
    row: ModelRow | ServiceRow, by_place: Mapping[Place, list[str]]
) -> list[str]:
    # Same as hosting.hosts, but matches a placement once for each place.
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
