"""How fast weights are copied over a link that live requests share.

New weights arrive on hundreds of instances while these answer requests over
the same links. A copy without a limit fills the queues of the link, and each
token of a live answer then waits behind megabytes. So the rate of all copies
is limited below that of the link, and further by what live requests use.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# At this utilisation the queue before a link stays a few packets long, and the
# time to copy grows by no more than a ninth.
CAP_SHARE = 0.9
# Copies always get this share, so that they complete even under the heaviest
# live traffic.
MIN_SHARE = 0.1
# Time over which live traffic is averaged: longer than the interval between
# two tokens, shorter than an operator would notice.
LIVE_WINDOW_S = 1.0
# Time of its rate that a full bucket holds. It absorbs delays of the process
# without a burst that the link would queue.
BURST_S = 0.1
# The same where slices are paced one by one: the process is never that late
# there, and a live answer waits behind whatever is sent at once.
PACED_BURST_S = 0.01


class Bucket(NamedTuple):
    """Bytes that may be sent now; a negative level has to refill first."""

    level: float
    at: float


class Meter(NamedTuple):
    """A smoothed rate in bytes per second."""

    rate: float
    at: float


def max_copy_rate(link_rate: float, live_rate: float) -> float:
    """Return the rate of all copies on a link, in bytes per second.

    >>> [max_copy_rate(100.0, live) for live in (0.0, 30.0, 500.0)]
    [90.0, 60.0, 10.0]
    """
    return max(CAP_SHARE * link_rate - live_rate, MIN_SHARE * link_rate)


def refill(
    bucket: Bucket, rate: float, now: float, burst_s: float = BURST_S
) -> Bucket:
    """Return the bucket at a later time."""
    refilled = max(0.0, now - bucket.at) * rate
    level = min(rate * burst_s, bucket.level + refilled)
    return Bucket(max(level, bucket.level), now)


def take(bucket: Bucket, size: float) -> Bucket:
    """Take bytes out; the level may become negative."""
    return bucket._replace(level=bucket.level - size)


def wait_s(bucket: Bucket, rate: float) -> float:
    """Return the seconds until something may be sent, 0 for now."""
    return 0.0 if bucket.level > 0 else -bucket.level / rate + 0.0005


def measure(meter: Meter, size: float, now: float) -> Meter:
    """Count bytes into a rate that decays within LIVE_WINDOW_S."""
    decayed = meter.rate * math.exp((meter.at - now) / LIVE_WINDOW_S)
    return Meter(decayed + size / LIVE_WINDOW_S, now)
