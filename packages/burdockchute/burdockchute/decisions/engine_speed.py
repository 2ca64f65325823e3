"""How much slower an engine is than others of its kind.

An engine may be slow for some tenths of a second, or for seconds, while its
health checks succeed. Its agent reads the engine's own statement and passes it
on with its load report, rounded so that the report stays the same while the
value changes only a little. The usual speed and plenty of free memory are
omitted, as older agents omit them, and keep the report small.

The choice of an engine multiplies its expected time to the first token by the
slowness.

An engine that says nothing of its speed is measured by the time to the first
event of this entry's own requests (SpeedUse.MEASURED). Each is compared with
the estimate that was made when it was placed. All estimates may be wrong by
the same factor, and under a general overload all engines are late, so the
ratio is divided by the usual one of the service. What remains counts if two of
the newest three requests agree; a request that waits, or has left without
having started, counts with the time so far. The measurement is forgotten after
two seconds, and a newer report replaces it.

A request that waits for HEDGE_MULTIPLE of its expected time is sent to a
second engine as well (SpeedUse.HEDGED), and the first answer is taken. The
second engine must have started a later request on time: when all engines are
slow, none has, and no request is sent twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
import enum
import statistics
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

# Measured slowness below this is noise of the estimate. Only a few requests of
# an entry start at one engine in the time for which they count.
NOTABLE = 1.5
MIN_SAMPLES = 2
MAX_SAMPLES = 3

# Engines are slow for some tenths of a second up to some seconds.
SAMPLE_VALID_S = 2.0

# First events of a service from which the usual ratio is taken, and the number
# from which on it is known. An entry sees a few dozen in a second, so a change
# at all engines is the usual state within about half a second.
MAX_RATIOS = 24
MIN_RATIOS = 8

# A request has waited for so many times its expected time. An engine that is
# 2.5 times slower for half a second still starts it sooner than a second one.
HEDGE_MULTIPLE = 3.0
# A shorter wait is not distinguished from a pause of a process.
MIN_HEDGE_S = 0.1


class SpeedUse(enum.Enum):
    """What is used of the speed of engines; each value includes the last."""

    REPORTED = 'reported'
    MEASURED = 'measured'
    HEDGED = 'hedged'


class Sample(NamedTuple):
    """The slowness that one request has shown."""

    slowness: float
    sent_at: float
    at: float


class Speed(NamedTuple):
    """What is known of the slowness of an engine, 1 for the usual speed."""

    reported: float = USUAL
    reported_at: float = float('-inf')
    samples: tuple[Sample, ...] = ()


class UsualRatio:
    """The usual ratio of measured to estimated times of a service."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=MAX_RATIOS)
        self._value: float | None = None

    @property
    def value(self) -> float | None:
        """The usual ratio, None before enough first events."""
        return self._value

    def record(self, ratio: float) -> None:
        """Record the ratio of one first event."""
        self._ratios.append(ratio)
        if len(self._ratios) >= MIN_RATIOS:
            self._value = statistics.median(self._ratios)


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
    Speed(reported=2.5, reported_at=4.0, samples=())
    >>> after_report(Speed(), None, 4.0).reported_at
    -inf
    """
    if slowness is None and speed.reported == USUAL:
        # An older agent, which says nothing of the speed.
        return speed
    reported = min(MAX_SLOWNESS, max(USUAL, slowness or USUAL))
    return Speed(reported, now)


def after_sample(speed: Speed, sample: Sample) -> Speed:
    """Return the speed after a request has started or has left."""
    samples = (*speed.samples, sample)[-MAX_SAMPLES:]
    return speed._replace(samples=samples)


def slowness(
    speed: Speed, now: float, waiting: Sequence[Sample] = ()
) -> float:
    """Return the slowness to expect of an engine.

    `waiting` are the requests that have not started there, with the slowness
    that they have shown so far.

    >>> speed = Speed(2.5, 4.0)
    >>> slowness(speed, 6.0), slowness(speed, 9.5)
    (2.5, 1.0)
    >>> speed = after_sample(Speed(), Sample(2.4, 3.0, 3.4))
    >>> slowness(speed, 3.5), slowness(speed, 3.5, [Sample(3.0, 3.1, 3.5)])
    (1.0, 2.4)
    """
    if len(speed.samples) + len(waiting) < MIN_SAMPLES:
        # Called for each engine in each round, mostly without any sample.
        return _reported(speed, now)
    measured = [
        sample.slowness
        for sample in speed.samples
        if now - sample.at <= SAMPLE_VALID_S
        and sample.sent_at > speed.reported_at
    ]
    measured += [
        sample.slowness
        for sample in waiting
        if sample.slowness >= NOTABLE and sample.sent_at > speed.reported_at
    ]
    if len(measured) < MIN_SAMPLES:
        return _reported(speed, now)
    found = statistics.median_low(measured[-MAX_SAMPLES:])
    return min(found, MAX_SLOWNESS) if found >= NOTABLE else USUAL


def _reported(speed: Speed, now: float) -> float:
    is_current = now - speed.reported_at <= REPORT_VALID_S
    return speed.reported if is_current else USUAL


def hedge_delay_s(expected_s: float) -> float:
    """Return after which wait a request is sent to a second engine.

    >>> hedge_delay_s(0.1), hedge_delay_s(0.01)
    (0.30000000000000004, 0.1)
    """
    return max(MIN_HEDGE_S, HEDGE_MULTIPLE * expected_s)
