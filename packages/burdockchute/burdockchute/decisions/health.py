"""Which upstreams get no requests for a while, judged by their answers.

An upstream crashes, stops responding or is cut off, and the platform's list
shows it only seconds later. Every request that is placed there meanwhile waits
for a connection that is not accepted, or is lost. The entry notices it by
connections that are refused, reset or silent.

After a failure an upstream is blocked for MIN_BLOCK_S. The time doubles with
each further failure up to MAX_BLOCK_S, and one answer clears the block.
An upstream with requests under way that has sent no byte for SILENT_S counts
as unresponsive.

An engine behind a slow link is not silent, as its streams still trickle. But
new requests queue in the link for seconds, and since its reports are late as
well, it looks less loaded than the others and gets the most requests. Callers
time out before their requests have arrived, and the engine then works on
requests whose callers have left. So an engine on which a request of this entry
has not started for START_TIMEOUT_S gets nothing new until that request has
started or ended.

When such a request ends without having started, as its caller left or it was
sent elsewhere, the engine looks even less loaded, and a dozen requests would
follow. So from then on MAX_PROBES requests at a time test whether requests
start there again, until one has started in time.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

# Shorter than the time in which a healthy upstream gets a handful of requests,
# so that a single stray reset costs little.
MIN_BLOCK_S = 0.2

# Shorter than the restart of an instance, so that its return is noticed soon.
MAX_BLOCK_S = 1.6

# A batch of streams brings an event every few dozen milliseconds, and callers
# time out on a stream that pauses for two seconds.
SILENT_S = 1.2

# Of 2,170 requests on a day without faults, 99 in 100 started within 0.9 s.
START_TIMEOUT_S = 1.0

# Each probe is a request that may be lost, so there is one at a time.
MAX_PROBES = 1


class Health(NamedTuple):
    """Failures in a row, and until when the upstream is blocked."""

    failures: int = 0
    blocked_until: float = float('-inf')


def after_failure(health: Health, now: float) -> Health:
    """Return the health after a failure.

    Failures that come together, as when a crash breaks all connections, count
    once.
    """
    if now < health.blocked_until:
        return health
    block_s = min(MIN_BLOCK_S * 2**health.failures, MAX_BLOCK_S)
    return Health(health.failures + 1, now + block_s)


def is_usable(health: Health, now: float) -> bool:
    """Whether the upstream may get a request."""
    return now >= health.blocked_until


def is_silent(last_received_at: float, sent_at: float, now: float) -> bool:
    """Whether an upstream with requests under way has stopped responding.

    `last_received_at` is when its last byte came, `sent_at` when the waiting
    request was sent.
    """
    return now - max(last_received_at, sent_at) > SILENT_S


def is_behind(
    was_behind: bool, sent_at: float, started: bool, now: float
) -> bool:
    """Whether an engine is behind, after a request has started or ended.

    A request that started in time shows that it is not; one that ended late
    without having started shows that it is.

    >>> is_behind(False, 7.5, False, 9.0), is_behind(True, 8.5, True, 9.0)
    (True, False)
    """
    is_late = now - sent_at > START_TIMEOUT_S
    if started:
        return was_behind and is_late
    return was_behind or is_late


def headroom(
    free: int, sent_at: Collection[float], behind: bool, now: float
) -> int:
    """Return how many of the `free` slots of an engine may be used.

    `sent_at` has the times at which the requests were sent that have not
    started there.

    >>> headroom(4, [8.5], False, 9.0), headroom(4, [7.9], False, 9.0)
    (4, 0)
    >>> headroom(4, [], True, 9.0), headroom(4, [8.5], True, 9.0)
    (1, 0)
    """
    if any(now - at > START_TIMEOUT_S for at in sent_at):
        return 0
    if behind:
        return min(free, max(0, MAX_PROBES - len(sent_at)))
    return free
