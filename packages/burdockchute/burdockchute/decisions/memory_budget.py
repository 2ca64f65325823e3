"""How many bytes a process may hold for callers and upstreams.

Bodies of requests, whole answers and events of streams that a caller has not
read yet are held until they are written. A part of the process's memory is
the budget for them. As the held bytes approach it, new requests are refused
first, then idle connections to upstreams are closed, and then streams are no
longer read ahead of their callers. An accepted answer is never given up.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import math
from typing import NamedTuple

# Share of the memory left at the start of serving that may be held. The rest
# is for connections, greenlets, copies made while bodies are encoded and
# joined, and memory that the allocator does not return.
USABLE_SHARE = 0.5

# Smallest budget. With none at all, a process whose limit is below its
# resident size would refuse each request; the limit is then a wrong setting.
MIN_BUDGET_BYTES = 1 << 20

# Shares of the budget at which the levels are reached.
REFUSE_SHARE = 0.7
CLOSE_IDLE_SHARE = 0.8
STOP_SHARE = 0.85

# A level is left below this multiple of the share at which it is reached, so
# that one request more or less does not change it.
LEAVE_RATIO = 0.85

# Share of the budget that one stream may be read ahead. Otherwise one caller
# that reads nothing could make the process refuse all others.
STREAM_SHARE = 0.125

# Part of the budget reserved for a body whose length is not known while it
# is received, if bodies may be longer.
UNKNOWN_BODY_SHARE = 0.0625

# Retry-After of a request refused for memory. Callers reach another process
# by then, since the balancer checks readiness once a second.
RETRY_S = 1.0

# A process that refuses new requests is reported as not ready after this
# time, and as ready again once it has refused none for as long. Shorter
# changes are over before the balancer has acted on them.
READINESS_DELAY_S = 1.0


class Level(enum.IntEnum):
    """What is done about the held bytes; each level includes the ones before.

    REFUSING refuses new requests, CLOSING_IDLE closes idle connections to
    upstreams, and STOPPING stops reading ahead.
    """

    NORMAL = 0
    REFUSING = 1
    CLOSING_IDLE = 2
    STOPPING = 3


_SHARES = {
    Level.REFUSING: REFUSE_SHARE,
    Level.CLOSING_IDLE: CLOSE_IDLE_SHARE,
    Level.STOPPING: STOP_SHARE,
}


class Readiness(NamedTuple):
    """Whether new requests are refused, since when, and what is reported.

    `since` is a monotonic time in seconds.
    """

    ready: bool = True
    refusing: bool = False
    since: float = float('-inf')


def budget_bytes(limit_bytes: int, resident_bytes: int) -> int:
    """Return the budget of a process that has `resident_bytes` in use.

    >>> budget_bytes(200_000_000, 60_000_000)
    70000000
    >>> budget_bytes(50_000_000, 60_000_000) == MIN_BUDGET_BYTES
    True
    """
    return share_of(limit_bytes - resident_bytes)


def share_of(left_bytes: int) -> int:
    """Return the budget of a process that may use `left_bytes` more."""
    return max(MIN_BUDGET_BYTES, int(left_bytes * USABLE_SHARE))


def next_level(level: Level, held: int, budget: int) -> Level:
    """Return the level after the number of held bytes has changed.

    >>> [next_level(Level.NORMAL, held, 100).name for held in (69, 70, 90)]
    ['NORMAL', 'REFUSING', 'STOPPING']
    >>> [next_level(Level.REFUSING, held, 100).name for held in (60, 55)]
    ['REFUSING', 'NORMAL']
    """
    while level < Level.STOPPING:
        if held < _SHARES[Level(level + 1)] * budget:
            break
        level = Level(level + 1)
    while level > Level.NORMAL:
        if held >= LEAVE_RATIO * _SHARES[level] * budget:
            break
        level = Level(level - 1)
    return level


def may_admit(level: Level, held: int, more: int, budget: int) -> bool:
    """Whether a request whose body takes `more` bytes is accepted.

    >>> [may_admit(Level.NORMAL, 30, more, 100) for more in (40, 41)]
    [True, False]
    >>> may_admit(Level.REFUSING, 55, 0, 100)
    False
    """
    return level is Level.NORMAL and held + more <= REFUSE_SHARE * budget


def reserved_bytes(
    declared: int | None, max_body_bytes: int, budget: int
) -> int:
    """Return the bytes to reserve before a body is received.

    A body of unknown length (`declared` is None) gets a part of the budget,
    or the longest that is allowed, if that is less. A longer one than
    allowed is refused before it is received.

    >>> reserved_bytes(40, 1000, 8000), reserved_bytes(2000, 1000, 8000)
    (40, 1000)
    >>> reserved_bytes(None, 1000, 8000), reserved_bytes(None, 100, 8000)
    (500, 100)
    """
    if declared is not None:
        return min(declared, max_body_bytes)
    return min(max_body_bytes, int(UNKNOWN_BODY_SHARE * budget))


def must_end_answer(
    size: int, answers_held: int, answer_count: int, held: int, budget: int
) -> bool:
    """Whether an answer is received no further.

    Once the held bytes exceed the budget, that is any answer of at least the
    mean size. `answers_held` are the bytes of all `answer_count` answers.

    >>> [must_end_answer(size, 90, 3, 101, 100) for size in (29, 30)]
    [False, True]
    >>> must_end_answer(90, 90, 1, 100, 100)
    False
    """
    return held > budget and size * answer_count >= answers_held


def next_readiness(before: Readiness, refusing: bool, now: float) -> Readiness:
    """Return the readiness as of now; a change is reported after a delay.

    >>> refused = next_readiness(Readiness(), True, 5.0)
    >>> refused.ready, next_readiness(refused, True, 6.1).ready
    (True, False)
    >>> late = next_readiness(refused, True, 6.1)
    >>> over = next_readiness(late, False, 6.2)
    >>> over.ready, next_readiness(over, False, 7.3).ready
    (False, True)
    """
    if refusing != before.refusing:
        return Readiness(before.ready, refusing, now)
    if now - before.since <= READINESS_DELAY_S:
        return before
    return before._replace(ready=not refusing)


def may_read_ahead(buffered: int, budget: int) -> bool:
    """Whether a stream with so many buffered bytes may be read further.

    >>> may_read_ahead(12, 100), may_read_ahead(13, 100)
    (True, False)
    """
    return buffered < STREAM_SHARE * budget


def must_stop_some(expected: int, budget: int) -> bool:
    """Whether some streams are no longer read ahead.

    `expected` counts, besides the held bytes, what each stream that is read
    ahead may receive at any moment.

    >>> must_stop_some(84, 100), must_stop_some(86, 100)
    (False, True)
    """
    return expected > STOP_SHARE * budget


def stop_before(read_at: Iterable[float], expected: int, budget: int) -> float:
    """Return the time that decides which streams are not read ahead.

    `read_at` has the time at which the caller of each stream that is read
    ahead last read something. Streams whose callers last read before the
    returned time are stopped. These are the more, the closer the expected
    bytes are to the budget, and all once they reach it.

    >>> stop_before([7.0, 5.0, 6.0], 84, 100)
    -inf
    >>> stop_before([7.0, 5.0, 6.0], 86, 100)
    6.0
    >>> stop_before([7.0, 5.0, 6.0], 100, 100)
    inf
    """
    excess = (expected / budget - STOP_SHARE) / (1.0 - STOP_SHARE)
    if excess <= 0:
        return float('-inf')
    if excess >= 1:
        return float('inf')
    ordered = sorted(read_at)
    stopped = math.ceil(excess * len(ordered))
    if stopped >= len(ordered):
        return float('inf')
    return ordered[stopped]
