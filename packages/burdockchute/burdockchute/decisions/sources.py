"""When to read a chunk from the origin, and when to time out or avoid a peer.

The origin's link carries about four copies in the time in which every
instance should have one, and for some users it is slow and metered. If each
agent that lacks a chunk read it there, the origin would send hundreds of
copies. If only one agent read each chunk, its failure would block all
others. So the agents have an order for each chunk, which is the same
everywhere. The first ones, as many as the row allows copies, read the chunk
at once unless a neighbour has it. Each later one reads it only after a
longer wait in which no new chunk has appeared at any neighbour.

While new chunks appear, the first readers are working, however slow the
store is. Hence the wait counts from the last new chunk and grows with the
usual interval between two. A store that refuses a reader shows that the
store is the problem and not the preceding readers, so the wait starts again.
When the store returns, the first readers, which retry within MAX_BACKOFF_S,
are ahead of the others, and the origin is not overloaded.
"""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.decisions.hosting import ranked

# Agents that share the reads of one set of weights. More would not spread the
# load better, and the order of a chunk costs one hash for each reader.
READERS_PER_GROUP = 64
# A slow origin that serves many reads at once completes all of them late, and
# if it fails, none is complete. So only this many chunks are read at a time,
# in order; with fewer, the origin idles until a chunk is announced.
CHUNKS_AT_ONCE = 12
# A chunk that is read in order is taken over from its reader after this many
# times the duration of a read.
TAKEOVER_READS = 3.0
# For each period of this length without a new chunk, CHUNKS_AT_ONCE more
# chunks may be read.
STALLED_S = 0.6
# If this many readers in a row yield no chunk, the whole group counts as
# failed and the next group starts.
GROUP_STEPS = 6

# A neighbour's announcement of its chunks takes the delay of a link. An agent
# that joins late and does not wait for it would read from the origin chunks
# that all others already have.
GRACE_S = 0.5
# Longer than a chunk takes from its reader through a few neighbours.
MIN_WAIT_S = 1.0
MAX_WAIT_S = 20.0
STALL_INTERVALS = 4.0

# Traffic between regions is expensive and its links are slow, so each chunk is
# imported once for all agents of a region. Agents that are not first in its
# order wait this long for each one before them. With two agents in a region
# the first one imports half of a copy, which takes 2 s on the links in use.
IMPORT_WAIT_S = 2.0

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Where a version has to be in force within seconds, and few agents of each
# region read the origin, they retry more often.
URGENT_BACKOFF_S = 0.5

# A request to a peer times out after this multiple of the usual latency.
DEADLINE_FACTOR = 4.0
SECOND_SOURCE_FACTOR = 2.0
MIN_DEADLINE_S = 1.0
MAX_DEADLINE_S = 15.0
MIN_SECOND_SOURCE_S = 0.2

# A single bit error may be accidental; a peer that sends a second corrupt
# chunk has faulty memory or a faulty link, and each further one costs the time
# of a chunk.
CORRUPT_LIMIT = 2
MIN_AVOID_S = 1.0
MAX_AVOID_S = 30.0


class ReaderGroup(NamedTuple):
    """The group of the own agent in the order of origin readers.

    `names` are the members of the own agent's group in their order and
    `group_index` is the position of the group among all groups. Members in
    `unreachable` are skipped; the others keep their positions.
    """

    own: str
    names: tuple[str, ...]
    group_index: int
    unreachable: frozenset[str] = frozenset()


class ChunkArrivals(NamedTuple):
    """How new chunks appear at the neighbours.

    `last` is when the last one appeared, or when waiting started;
    `interval_s` is the usual time between two, 0 while it is unknown.
    """

    last: float
    interval_s: float


def reader_group(digest: str, own: str, hosts: Sequence[str]) -> ReaderGroup:
    """Return the own agent's group of readers for a digest."""
    order = ranked(digest, hosts)
    group_index = order.index(own) // READERS_PER_GROUP if own in order else 0
    start = group_index * READERS_PER_GROUP
    return ReaderGroup(
        own, tuple(order[start : start + READERS_PER_GROUP]), group_index
    )


def reader_rank(group: ReaderGroup, chunk: int) -> int:
    """Return how many agents of its group read a chunk before the own one.

    The order rotates by one for each chunk, so that the reads are distributed
    evenly.

    >>> group = ReaderGroup('b', ('a', 'b', 'c'), 0)
    >>> [reader_rank(group, chunk) for chunk in range(4)]
    [1, 0, 2, 1]
    >>> reader_rank(group._replace(unreachable=frozenset('a')), 0)
    0
    """
    names = group.names
    if group.own not in names:
        return len(names)
    first = chunk % len(names)
    own_position = names.index(group.own)
    before = (
        names[first:own_position]
        if first <= own_position
        else names[first:] + names[:own_position]
    )
    return sum(1 for name in before if name not in group.unreachable)


def chunks_at_once(arrivals: ChunkArrivals, now: float) -> int:
    """Return how many unknown chunks may be read at a time, in order.

    >>> chunks_at_once(ChunkArrivals(5.0, 0.1), 5.2)
    12
    >>> chunks_at_once(ChunkArrivals(5.0, 0.1), 6.3)
    36
    """
    stalled_s = max(0.0, now - arrivals.last)
    return CHUNKS_AT_ONCE * (1 + int(stalled_s / STALLED_S))


def takeover_delay_s(rank: int, read_s: float) -> float:
    """Return the seconds after which this agent reads an unread chunk.

    `read_s` is the duration of this agent's own reads. Reads of other agents
    take the same time, so if a chunk does not appear, its reader is gone.

    >>> takeover_delay_s(0, 0.5), takeover_delay_s(2, 0.1)
    (0.0, 2.0)
    >>> takeover_delay_s(1, 2.0)
    6.0
    """
    return rank * max(MIN_WAIT_S, TAKEOVER_READS * read_s)


def readers_per_chunk(allowed: float, chunk: int) -> int:
    """Return how many agents read a chunk at once, at least one.

    A fraction allows one more copy of some chunks, evenly distributed.

    >>> [readers_per_chunk(1.5, chunk) for chunk in range(4)]
    [1, 2, 1, 2]
    """
    full_copies = max(1, int(allowed))
    fraction = max(0.0, allowed - full_copies)
    extra_copies = int((chunk + 1) * fraction) - int(chunk * fraction)
    return full_copies + extra_copies


def earliest_read_at(
    rank: int,
    group_index: int,
    copies: int,
    started_at: float,
    arrivals: ChunkArrivals,
) -> float:
    """Return the time from which this agent may read a chunk.

    It may read only while no neighbour has the chunk. `copies` is the number
    of agents that read at once, `started_at` when the copy started.
    """
    if group_index == 0 and rank < copies:
        return started_at + GRACE_S
    position = 1 + rank - copies if group_index == 0 else rank
    waits = max(0, position) + group_index * GROUP_STEPS + (group_index > 0)
    return max(arrivals.last, started_at + GRACE_S) + waits * stall_wait_s(
        arrivals
    )


def may_import(rank: int, seen_at: float, now: float) -> bool:
    """Whether this agent may import a chunk from another region.

    `rank` is the number of agents of the own region that come before,
    `seen_at` when the chunk was first known to be held in another region.
    """
    return now >= seen_at + rank * IMPORT_WAIT_S


def stall_wait_s(arrivals: ChunkArrivals) -> float:
    """Return the seconds without a new chunk before the next agent reads."""
    return min(
        max(MIN_WAIT_S, STALL_INTERVALS * arrivals.interval_s), MAX_WAIT_S
    )


def on_new_chunk(arrivals: ChunkArrivals, now: float) -> ChunkArrivals:
    """Return the arrivals after a new chunk has appeared at a neighbour."""
    return ChunkArrivals(
        now, moving_average(arrivals.interval_s, now - arrivals.last)
    )


def moving_average(average: float, sample: float) -> float:
    """Return an exponential moving average; the first sample sets it."""
    return sample if average <= 0 else average + 0.2 * (sample - average)


def backoff_s(
    failures: int, rng: random.Random, max_s: float = MAX_BACKOFF_S
) -> float:
    """Return the seconds to wait after failed reads in a row, with jitter."""
    limit_s = min(MIN_BACKOFF_S * 2 ** (failures - 1), max_s)
    return limit_s * (0.5 + 0.5 * rng.random())


def deadline_s(latency: float) -> float:
    """Return the seconds after which a request for a chunk times out.

    `latency` is the usual time from request to chunk, 0 if unknown.
    """
    usual = latency or MIN_DEADLINE_S
    return min(max(DEADLINE_FACTOR * usual, MIN_DEADLINE_S), MAX_DEADLINE_S)


def second_source_s(latency: float) -> float:
    """Return the seconds until a second peer is asked for a last chunk."""
    usual = latency or MIN_DEADLINE_S
    return max(SECOND_SOURCE_FACTOR * usual, MIN_SECOND_SOURCE_S)


def avoid_s(strikes: int) -> float:
    """Return the seconds for which to avoid a peer after timeouts."""
    return min(MIN_AVOID_S * 2 ** max(0, strikes - 1), MAX_AVOID_S)


def is_banned(corrupt: int) -> bool:
    """Whether a peer has sent too many corrupt chunks."""
    return corrupt >= CORRUPT_LIMIT
