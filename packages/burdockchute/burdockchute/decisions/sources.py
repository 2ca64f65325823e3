"""When to read the origin, how long to wait for a source, when to drop it.

Load: the origin's link carries about four copies in the time in which every
instance should have one, and for some users it is thin and paid for. If each
agent that lacks a chunk read it there, the origin would carry hundreds of
copies. If only one agent were to read each chunk, its death would stop all
others. So the agents have an order for each chunk, the same everywhere; the
first ones, as many as the row allows copies, read it at once unless a
neighbour has it, and each later one only after a longer wait in which nothing
new has turned up anywhere near.

While new chunks still turn up, the first readers are at work, however slow
the store is; that is why the wait counts from the last new chunk and grows
with the usual gap between two. A store that refuses a reader tells it that
the store is the trouble and not the readers before it, so its wait begins
again; when the store comes back the first readers, who try again within
MAX_BACKOFF_S, have a start over the rest and the origin is not overrun.
"""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import NamedTuple

from burdockchute.decisions.hosting import ranked

# So many agents share the reading of one set of weights. More would spread
# it no better, and the order for each chunk costs one hash for each reader.
READERS_PER_GROUP = 64
# A thin origin that serves all its readers at once ends all their reads late,
# and where it fails none has come. So few chunks are read at a time, in their
# order; with fewer than this the origin idles until news of a chunk is there.
CHUNKS_AT_ONCE = 12
# A chunk that is read in its order is taken over from its reader after this
# many times what a read takes.
TAKEOVER_READS = 3.0
# While no new chunk turns up, as many more may be read each time this passes.
STALLED_S = 0.6
# If so many readers in a row are silent the whole group is taken for dead
# and the next group begins.
GROUP_STEPS = 6

# A neighbour's news of what it holds takes a link's delay; a late joiner
# that read at once would fetch from the origin what all others have.
GRACE_S = 0.5
# Above the time for a chunk to go from its reader through a few neighbours.
MIN_WAIT_S = 1.0
MAX_WAIT_S = 20.0
STALL_INTERVALS = 4.0

# Bytes between regions are dear and their links narrow, so each chunk comes
# over once for all agents of a region. Those that are not first in its order
# wait so long for each before them. With two agents in a region the first one
# brings half of a copy over, which takes 2 s on the links in use.
IMPORT_WAIT_S = 2.0

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Where a version has to be in force within seconds, and few agents read the
# origin for each region, its return is looked for more often.
URGENT_BACKOFF_S = 0.5

# A request to a peer is overdue after so many times the usual latency.
DEADLINE_FACTOR = 4.0
SECOND_SOURCE_FACTOR = 2.0
MIN_DEADLINE_S = 1.0
MAX_DEADLINE_S = 15.0
MIN_SECOND_SOURCE_S = 0.2

# One flipped bit is bad luck; a peer that sends the second corrupt chunk has
# bad memory or a bad link, and each further one costs the time of a chunk.
CORRUPT_LIMIT = 2
MIN_AVOID_S = 1.0
MAX_AVOID_S = 30.0


class ReaderGroup(NamedTuple):
    """The order in which agents may read from the origin.

    `names` are the members of the own agent's group in their order and
    `group_index` is the position of the group among all groups. Members in
    `unreachable` are skipped; the others keep their turns.
    """

    own: str
    names: tuple[str, ...]
    group_index: int
    unreachable: frozenset[str] = frozenset()


class ChunkArrivals(NamedTuple):
    """How new chunks turn up near here.

    `last` is when the last one did, or when waiting began; `interval_s` is the
    usual time between two, 0 while it is not known.
    """

    last: float
    interval_s: float


def reader_group(digest: str, own: str, hosts: Sequence[str]) -> ReaderGroup:
    """Give the own agent's group of readers for a digest."""
    order = ranked(digest, hosts)
    group_index = order.index(own) // READERS_PER_GROUP if own in order else 0
    start = group_index * READERS_PER_GROUP
    return ReaderGroup(
        own, tuple(order[start : start + READERS_PER_GROUP]), group_index
    )


def reader_rank(known: ReaderGroup, chunk: int) -> int:
    """Give how many of the own group come before the own agent.

    Chunks are dealt out in turn, so that nobody has more to read than others.

    >>> group = ReaderGroup('b', ('a', 'b', 'c'), 0)
    >>> [reader_rank(group, chunk) for chunk in range(4)]
    [1, 0, 2, 1]
    >>> reader_rank(group._replace(unreachable=frozenset('a')), 0)
    0
    """
    names = known.names
    if known.own not in names:
        return len(names)
    first = chunk % len(names)
    own = names.index(known.own)
    before = names[first:own] if first <= own else names[first:] + names[:own]
    return sum(1 for name in before if name not in known.unreachable)


def chunks_at_once(progress: ChunkArrivals, now: float) -> int:
    """Give how many unknown chunks may be read at a time, in their order.

    >>> chunks_at_once(ChunkArrivals(5.0, 0.1), 5.2)
    12
    >>> chunks_at_once(ChunkArrivals(5.0, 0.1), 6.3)
    36
    """
    stalled_s = max(0.0, now - progress.last)
    return CHUNKS_AT_ONCE * (1 + int(stalled_s / STALLED_S))


def takeover_delay_s(rank: int, read_s: float) -> float:
    """Give how long a chunk may be unread before this agent reads it.

    `read_s` is what this agent's own reads take. Others take as long, so a
    chunk that does not turn up has a reader that is gone.

    >>> takeover_delay_s(0, 0.5), takeover_delay_s(2, 0.1)
    (0.0, 2.0)
    >>> takeover_delay_s(1, 2.0)
    6.0
    """
    return rank * max(MIN_WAIT_S, TAKEOVER_READS * read_s)


def readers_per_chunk(allowed: float, chunk: int) -> int:
    """Give how many agents read a chunk at once, over 0.

    A fraction allows one copy more of part of the chunks, evenly spread.

    >>> [readers_per_chunk(1.5, chunk) for chunk in range(4)]
    [1, 2, 1, 2]
    """
    whole = max(1, int(allowed))
    fraction = max(0.0, allowed - whole)
    extra = int((chunk + 1) * fraction) - int(chunk * fraction)
    return whole + extra


def earliest_read_at(
    rank: int,
    group_index: int,
    copies: int,
    began: float,
    progress: ChunkArrivals,
) -> float:
    """Give the time from which this agent may read a chunk.

    It may do so only while no neighbour has the chunk.
    """
    if group_index == 0 and rank < copies:
        return began + GRACE_S
    turn = 1 + rank - copies if group_index == 0 else rank
    waits = max(0, turn) + group_index * GROUP_STEPS + (group_index > 0)
    return max(progress.last, began + GRACE_S) + waits * stall_wait_s(progress)


def may_import(rank: int, seen_at: float, now: float) -> bool:
    """Tell whether a chunk may be brought from another region.

    `rank` is how many agents of the own region come before, `seen_at` when
    the chunk was first known to be held elsewhere.
    """
    return now >= seen_at + rank * IMPORT_WAIT_S


def stall_wait_s(progress: ChunkArrivals) -> float:
    """Give how long a missing chunk may stay away before the next reads."""
    return min(
        max(MIN_WAIT_S, STALL_INTERVALS * progress.interval_s), MAX_WAIT_S
    )


def on_new_chunk(progress: ChunkArrivals, now: float) -> ChunkArrivals:
    """Note that a chunk unknown so far is held by somebody near."""
    return ChunkArrivals(
        now, moving_average(progress.interval_s, now - progress.last)
    )


def moving_average(average: float, sample: float) -> float:
    """Give a moving average; the first sample counts whole."""
    return sample if average <= 0 else average + 0.2 * (sample - average)


def backoff_s(
    failures: int, rng: random.Random, most_s: float = MAX_BACKOFF_S
) -> float:
    """Give the wait after so many failed reads in a row, with jitter."""
    longest = min(MIN_BACKOFF_S * 2 ** (failures - 1), most_s)
    return longest * (0.5 + 0.5 * rng.random())


def deadline_s(latency: float) -> float:
    """Give how long to wait for a chunk from a peer.

    `latency` is the usual time from asking to having, 0 if not known.
    """
    usual = latency or MIN_DEADLINE_S
    return min(max(DEADLINE_FACTOR * usual, MIN_DEADLINE_S), MAX_DEADLINE_S)


def second_source_s(latency: float) -> float:
    """Give when to ask a second peer once nothing else is left to ask."""
    usual = latency or MIN_DEADLINE_S
    return max(SECOND_SOURCE_FACTOR * usual, MIN_SECOND_SOURCE_S)


def avoid_s(strikes: int) -> float:
    """Give how long to ask nothing of a peer that let deadlines pass."""
    return min(MIN_AVOID_S * 2 ** max(0, strikes - 1), MAX_AVOID_S)


def is_banned(corrupt: int) -> bool:
    """Tell whether a peer has sent too many corrupt chunks."""
    return corrupt >= CORRUPT_LIMIT
