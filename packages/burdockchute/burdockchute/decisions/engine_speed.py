"""How much slower an engine is than others of its kind.

An engine may be slow for some tenths of a second, or for seconds, while its
health checks succeed. Its agent reads the engine's own statement and passes it
on with its load report, rounded so that the report stays the same while the
value changes only a little. The usual speed and plenty of free memory are
omitted, as older agents omit them, and keep the report small.

The choice of an engine multiplies its expected time to the first token by the
slowness.
"""

from __future__ import annotations

from typing import NamedTuple

# Reported slowness is rounded to multiples of this.
SLOWNESS_STEP = 0.25

# Reported free memory is rounded down to this share of the total.
MEMORY_STEP_SHARE = 0.05

# With more than this share of its memory free, an engine has room for any
# usual request.
PLENTY_SHARE = 0.5

# An engine that is slower than this is avoided by its unstarted requests, and
# a wrong value does not keep it from getting requests for ever.
MAX_SLOWNESS = 8.0

# A report that is older says nothing about the engine any more. Agents send
# one every second or two.
REPORT_VALID_S = 5.0

USUAL = 1.0


class Speed(NamedTuple):
    """The slowness of an engine by its last report, 1 for the usual speed."""

    reported: float = USUAL
    reported_at: float = float('-inf')


def slowness_to_report(slowness: float) -> float | None:
    """Return the slowness for a load report, None for the usual speed.

    >>> [slowness_to_report(value) for value in (2.6, 1.1, 0.7)]
    [2.5, None, None]
    """
    rounded = round(slowness / SLOWNESS_STEP) * SLOWNESS_STEP
    return rounded if rounded > USUAL else None


def free_memory_to_report(used: float, total: float) -> int | None:
    """Return the free memory for a load report, None for plenty.

    Memory is in tokens.

    >>> free_memory_to_report(280_000.0, 317_000.0)
    31700
    >>> free_memory_to_report(100_000.0, 317_000.0) is None
    True
    >>> free_memory_to_report(0.0, 0.0) is None
    True
    """
    free = max(0.0, total - used)
    if free >= PLENTY_SHARE * total:
        return None
    step = MEMORY_STEP_SHARE * total
    return int(free // step * step)


def after_report(speed: Speed, slowness: float | None, now: float) -> Speed:
    """Return the speed after a report; `slowness` is None if unset.

    >>> after_report(Speed(), 2.5, 4.0)
    Speed(reported=2.5, reported_at=4.0)
    >>> after_report(Speed(), None, 4.0)
    Speed(reported=1.0, reported_at=-inf)
    """
    if slowness is None and speed.reported == USUAL:
        # An older agent, which says nothing of the speed.
        return speed
    reported = min(MAX_SLOWNESS, max(USUAL, slowness or USUAL))
    return Speed(reported, now)


def slowness(speed: Speed, now: float) -> float:
    """Return the slowness to expect of an engine.

    >>> speed = Speed(2.5, 4.0)
    >>> slowness(speed, 6.0), slowness(speed, 9.5)
    (2.5, 1.0)
    """
    is_current = now - speed.reported_at <= REPORT_VALID_S
    return speed.reported if is_current else USUAL
