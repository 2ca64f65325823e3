"""When a stream moves to another engine so that the first one can load.

A version is to be loaded on all engines within seconds. An engine that loads
accepts nothing new and first completes its running requests. Most of them end
within half a second, but one answer in ten lasts two seconds longer, and for
that time the whole engine works on one or two streams while other requests
wait.

So a stream that still runs MOVE_AFTER_S after its engine has closed is resumed
on another engine with the same weights, if that one can continue it within the
pause that the route allows, and if the remainder of the answer is likely to
take longer than MIN_REMAINDER_S; a shorter one ends sooner where it is. The
stream continues on the first engine until the second, which may reject the
remainder or end, has sent an event that the caller lacks. A stream is moved
once, as the second engine may be lost as well.
"""

from __future__ import annotations

MOVE_AFTER_S = 0.4
MIN_REMAINDER_S = 0.35

# An answer that is longer than estimated is expected to continue for this
# share of the time it has taken so far.
OVERRUN_SHARE = 0.3

# Share of the pause allowed by the route that the estimated start on another
# engine may take.
GAP_SHARE = 0.8


def remainder_s(elapsed_s: float, done_share: float) -> float:
    """Estimate the time until an answer ends, in seconds.

    `elapsed_s` is the time since its first event and `done_share` the
    generated part of its expected length.

    >>> remainder_s(1.0, 0.5), remainder_s(2.0, 1.5)
    (1.0, 0.6)
    """
    if done_share <= 0:
        return 0.0
    estimate_s = max(elapsed_s * (1 - done_share) / done_share, 0.0)
    return estimate_s if done_share < 1 else OVERRUN_SHARE * elapsed_s


def should_move(
    closed_for_s: float | None, left_s: float, gap_s: float, runs: int
) -> bool:
    """Whether a stream should be resumed on another engine.

    `closed_for_s` is how long its engine has accepted nothing new, None if it
    does not load. `left_s` is the estimated remainder, `gap_s` the pause that
    the route allows, 0 for a route without such a bound. `runs` counts its
    runs so far.
    """
    if closed_for_s is None or closed_for_s < MOVE_AFTER_S:
        return False
    return runs == 1 and gap_s > 0 and left_s > MIN_REMAINDER_S
