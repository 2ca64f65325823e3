"""Patience: how long a request may wait at an entry for its place.

Load: more requests than the engines can take, for a second or for many.
With one queue for all, it grows until every request waits for most of its
deadline: all answers are late, though the engines work all the time. With a
queue that refuses whatever waits, a burst of a second turns away callers who
could all have been served a moment later.

So a request waits for its place in two stages. As long as its answer can
still begin within the objective it stands among the fresh ones. After that
it stands behind all of these and takes only what room they leave, for at
most LATE_SHARE of the time that its caller has left and never longer than
LATE_OBJECTIVES times the objective from its arrival on. Whoever would wait
longer than that by what stands before it is refused on arrival, and told when
to come back. What is left for the late is known from what they got lately:
when fresh requests take all there is, hardly anybody is let in to wait, and
the others need not wait for a refusal.

There may be no engine at all that may begin anything: all were restarted and
copy their weights, or a version's time is over before the next one has come.
That shortage has an end that the agents can tell, some seconds off, and most
callers have the time for it. Sent away for a second at a time, each comes back
once, is refused again and is lost. So as many wait for it as the engines can
take when they open, each for as long as leaves the time for its answer, and
the others hear when to come back (`opening_wait_s`).

The rest of a stream that has begun comes before all of these and waits for
as long as its caller does, unless nobody holds its weights any more.

Thresholds: WAIT_SHARE of the objective may be spent waiting, as an engine
with a free place begins an answer within about half of it. Late work that
waits for long keeps every engine full after a shortage is over, and the fresh
wait behind it until they are late as well: with up to 2 s, a site that
carries 1.3 times its load took 4, 8 and 4 s in three runs to be on time again
after a loss of power, with LATE_OBJECTIVES 4 s in each. Below that, callers
are refused whom the next half second could have served. PROBES may wait
though none got a place lately, or nobody would find out that there is room
again.
"""

from __future__ import annotations

from typing import NamedTuple

WAIT_SHARE = 0.5
LATE_SHARE = 0.4
LATE_OBJECTIVES = 1.5
# An objective may be shorter than what a place takes to come free.
LEAST_LATE_S = 0.25
# What the late got in so long tells how many more may wait.
RECENT_WINDOW_S = 0.6
PROBES = 2

# Engines open one after the other, and the estimate of when is as wrong.
AFTER_OPENING_S = 0.6

# An upstream that had no room for the rest of a stream is asked again after
# this time. Each rejection takes a retry of the entry.
REJECTION_BACKOFF_S = 0.5

# Whoever hears at once that its stream has ended may ask anew by itself, so
# it does not wait longer than this for the next retry of the entry.
MAX_RETRY_WAIT_S = 0.5

# The rest of a stream goes where it is expected to begin within this time.
RESUME_START_LIMIT_S = 1.2

# A route without an objective lets its requests wait this long.
DEFAULT_WAIT_S = 1.0


class Opening(NamedTuple):
    """When engines open that take nothing now, and how many places that is.

    `in_s` is until the first of them opens, None where none is known to;
    `slots` is the part of one entry.
    """

    in_s: float | None
    slots: float


NO_OPENING = Opening(None, 0.0)


def opening_wait_s(opening: Opening, answer_s: float, left_s: float) -> float:
    """Give how long a request may wait for engines that open.

    `answer_s` is what its answer takes then and `left_s` until its deadline.
    It is 0 for one whose answer could not be whole in time. Who has got no
    place AFTER_OPENING_S after the opening does not wait for the rest of its
    time.

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
    return min(spare_s, opening.in_s + AFTER_OPENING_S)


def on_time_wait_s(
    objective_s: float, elapsed_s: float, left_s: float
) -> float:
    """Give how long a request may wait among the fresh ones.

    `elapsed_s` is what its caller has spent on it before, by an earlier
    sending that was refused; `left_s` is until its deadline.

    >>> on_time_wait_s(0.4, 0.0, 6.0), on_time_wait_s(0.4, 0.5, 5.5)
    (0.2, 0.0)
    """
    if not objective_s:
        return max(0.0, min(DEFAULT_WAIT_S, left_s))
    wanted_s = WAIT_SHARE * objective_s - elapsed_s
    return max(0.0, min(wanted_s, left_s))


def overdue_wait_s(objective_s: float, left_s: float) -> float:
    """Give how long it may wait in all once it can't be on time.

    >>> overdue_wait_s(0.5, 6.0), overdue_wait_s(0.5, 1.0)
    (0.75, 0.4)
    >>> overdue_wait_s(0.1, 6.0)
    0.25
    """
    wanted_s = LATE_OBJECTIVES * objective_s or DEFAULT_WAIT_S
    wanted_s = max(wanted_s, LEAST_LATE_S)
    return max(0.0, min(wanted_s, LATE_SHARE * left_s))


def may_wait_overdue(
    waiting: int, served_lately: int, opening_places: float
) -> bool:
    """Tell whether one more may wait among the late.

    `served_lately` got a place in the last LATELY_S, `opening_places` are
    those of engines that are about to take requests again.

    >>> may_wait_overdue(3, 0, 0.0), may_wait_overdue(3, 9, 0.0)
    (False, True)
    """
    return waiting < max(PROBES, served_lately, opening_places)
