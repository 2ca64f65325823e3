"""Patience: how long a request may wait at an entry for its place.

Load: more requests than the engines can take, for seconds on end. Without a
bound, the queue grows until every request waits for most of its deadline;
all answers are then late, though the engines work all the time, and a caller
who could have tried elsewhere hears of it only at the end.

So a request waits no longer than leaves time for its answer to begin within
the objective of its route, and one whose expected wait is longer is refused
on arrival. WAIT_SHARE is what of the objective may be spent waiting: an
engine with a free place begins an answer within about half of it.
"""

from __future__ import annotations

WAIT_SHARE = 0.5

# A route without an objective lets its requests wait this long.
DEFAULT_WAIT_S = 1.0


def longest_wait_s(objective_s: float, left_s: float) -> float:
    """Give how long a request may wait; `left_s` is until its deadline.

    >>> longest_wait_s(0.4, 6.0), longest_wait_s(0.4, 0.1)
    (0.2, 0.1)
    """
    wanted_s = WAIT_SHARE * objective_s if objective_s else DEFAULT_WAIT_S
    return max(0.0, min(wanted_s, left_s))
