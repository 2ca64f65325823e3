"""When a stream goes on elsewhere so that its engine can load.

Load: a version is to be loaded on all engines within seconds. An engine that
loads takes nothing new and first finishes what it runs. Most of that ends
within half a second, but one answer in ten lasts two seconds more, and for
that time the whole engine works on one or two streams while callers wait.

So what still runs MOVE_AFTER_S after the engine has closed is resumed on
another engine with the same weights, if one can go on within the pause that
the caller's route allows, and if the rest of the answer is likely to take
longer than LEAST_REST_S; a shorter one ends sooner where it is. It runs on
where it is until its rest has begun, as the other engine may reject it. A
stream is moved once, as a second engine may be lost as well.
"""

from __future__ import annotations

MOVE_AFTER_S = 0.4
LEAST_REST_S = 0.35

# An answer that has outgrown its estimate goes on for about this part of
# what it has made so far.
OVERDUE_REST = 0.3

# Of the pause that a route allows, what the estimate for going on elsewhere
# may fill.
GAP_SHARE = 0.8


def remainder_s(made_s: float, made_share: float) -> float:
    """Estimate how long an answer still takes.

    `made_s` is the time since its first event and `made_share` how much of
    the expected length it has made.

    >>> remainder_s(1.0, 0.5), remainder_s(2.0, 1.5)
    (1.0, 0.6)
    """
    if made_share <= 0:
        return 0.0
    left = max(made_s * (1 - made_share) / made_share, 0.0)
    return left if made_share < 1 else OVERDUE_REST * made_s


def should_move(
    closed_for_s: float | None, rest: float, gap_s: float, runs: int
) -> bool:
    """Tell whether a stream is to go on elsewhere.

    `closed_for_s` is how long its engine takes nothing new, None if it does
    not load; `gap_s` the pause that its route allows, 0 for no such bound.
    """
    if closed_for_s is None or closed_for_s < MOVE_AFTER_S:
        return False
    return runs == 1 and gap_s > 0 and rest > LEAST_REST_S
