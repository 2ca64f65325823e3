"""How long a request may wait at an entry for a slot.

For a second or for many, requests may exceed what the engines can take.
With one queue for all, it grows until every request waits for most of its
deadline: all answers are late, though the engines work all the time. If the
queue refuses every request that would have to wait, a burst of a second leads
to refusals of requests that could all have been served a moment later.

So a request waits in two stages. While its answer can still start within the
objective, it waits with the requests that are on time. After that it is
overdue: it waits behind all of these and takes only the slots that they leave,
for at most OVERDUE_WAIT_SHARE of the time that its caller has left, and never
longer than MAX_OVERDUE_OBJECTIVES times the objective from its arrival on. A
request that would wait longer, judged by the work ahead of it, is refused on
arrival with a retry delay. The slots left for overdue requests are
estimated from the slots they got recently: when requests on time take every
slot, almost none is queued as overdue, and the others need not wait for a
refusal.

Sometimes no engine at all may start anything: all were restarted and copy
their weights, or a version expired before the next one has arrived. The agents
know when such a shortage ends, some seconds later, and most callers have the
time to wait for it. If they were refused with a retry delay of a second, each
would retry once, be refused again and be lost. So as many requests wait as the
engines can take when they open, each only while enough time is left for its
answer, and the others are refused with a retry delay (`opening_wait_s`).

The remainder of a started stream comes before all of these and waits for as
long as its caller does, unless no engine holds its weights any more.
"""

from __future__ import annotations

from typing import NamedTuple

# Share of the objective that may be spent waiting: an engine with a free slot
# starts an answer within about half of it.
ON_TIME_WAIT_SHARE = 0.5
OVERDUE_WAIT_SHARE = 0.4

# Overdue requests that wait for long keep every engine full after a shortage
# is over, and the requests on time wait behind them until they are overdue as
# well: with waits of up to 2 s, a site that carries 1.3 times its load was on
# time again 4, 8 and 4 s after three losses of power, with this limit 4 s
# after each. With shorter waits, callers are refused that the next half second
# could have served.
MAX_OVERDUE_OBJECTIVES = 1.5
# An objective may be shorter than the time until a slot becomes free.
MIN_OVERDUE_WAIT_S = 0.25
# As many overdue requests may wait as got a slot in this time.
RECENT_WINDOW_S = 0.6
# Overdue requests that may wait though none got a slot recently, or nothing
# would show that there are free slots again.
MIN_OVERDUE_WAITING = 2

# Engines open one after the other, and the estimated time of the opening may
# be wrong by as much.
OPENING_GRACE_S = 0.6

# An upstream that rejected the remainder of a stream is tried again after this
# time. Each rejection takes a retry of the entry.
REJECTION_BACKOFF_S = 0.5

# A caller that learns at once that its stream has ended may send the request
# again itself, so the stream does not wait longer than this for the next retry
# of the entry.
MAX_RETRY_WAIT_S = 0.5

# The remainder of a stream is sent only where it is expected to start within
# this time.
RESUME_START_LIMIT_S = 1.2

# Longest wait on a route without an objective.
DEFAULT_WAIT_S = 1.0


class Opening(NamedTuple):
    """When closed engines open, and how many slots they then offer.

    `in_s` is the time until the first of them opens, None if none is known to;
    `slots` is the share of one entry.
    """

    in_s: float | None
    slots: float


NO_OPENING = Opening(None, 0.0)


def opening_wait_s(opening: Opening, answer_s: float, left_s: float) -> float:
    """Return how long a request may wait for engines that open, in seconds.

    `answer_s` is the time that its answer takes then and `left_s` the time
    until its deadline. The wait is 0 for a request whose answer could not be
    complete in time. A request that has got no slot OPENING_GRACE_S after the
    opening is refused, though it has time left.

    >>> opening_wait_s(Opening(3.0, 8.0), 1.5, 6.0)
    3.6
    >>> opening_wait_s(Opening(4.2, 8.0), 1.5, 6.0)
    4.5
    >>> opening_wait_s(Opening(5.0, 8.0), 1.5, 6.0)
    0.0
    """
    spare_s = left_s - answer_s
    if opening.in_s is None or opening.in_s > spare_s:
        return 0.0
    return min(spare_s, opening.in_s + OPENING_GRACE_S)


def on_time_wait_s(
    objective_s: float, elapsed_s: float, left_s: float
) -> float:
    """Return how long a request may wait among those on time, in seconds.

    `elapsed_s` is what its caller has spent on it before, in an earlier
    attempt that was refused; `left_s` is the time until its deadline.

    >>> on_time_wait_s(0.4, 0.0, 6.0), on_time_wait_s(0.4, 0.5, 5.5)
    (0.2, 0.0)
    """
    if not objective_s:
        return max(0.0, min(DEFAULT_WAIT_S, left_s))
    wait_s = ON_TIME_WAIT_SHARE * objective_s - elapsed_s
    return max(0.0, min(wait_s, left_s))


def overdue_wait_s(objective_s: float, left_s: float) -> float:
    """Return how long an overdue request may wait in all, in seconds.

    >>> overdue_wait_s(0.5, 6.0), overdue_wait_s(0.5, 1.0)
    (0.75, 0.4)
    >>> overdue_wait_s(0.1, 6.0)
    0.25
    """
    wait_s = MAX_OVERDUE_OBJECTIVES * objective_s or DEFAULT_WAIT_S
    wait_s = max(wait_s, MIN_OVERDUE_WAIT_S)
    return max(0.0, min(wait_s, OVERDUE_WAIT_SHARE * left_s))


def may_wait_overdue(
    waiting: int, served_recently: int, opening_slots: float
) -> bool:
    """Whether one more request may wait among the overdue ones.

    `served_recently` of them got a slot in the last RECENT_WINDOW_S,
    `opening_slots` are those of engines that are about to open.

    >>> may_wait_overdue(3, 0, 0.0), may_wait_overdue(3, 9, 0.0)
    (False, True)
    """
    return waiting < max(MIN_OVERDUE_WAITING, served_recently, opening_slots)
