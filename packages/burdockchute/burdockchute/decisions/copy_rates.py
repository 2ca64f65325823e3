"""How fast copies may go on a link that live requests share.

Load: new weights arrive on hundreds of instances while these answer
requests over the same links. A copy that takes what it can get fills the
queues of the link, and each token of a live answer then waits behind
megabytes. So copies have a cap below the link, and the cap sinks by what
live requests use.

CAP_SHARE is 0.9: a queue before a link that is used to 0.9 stays a few
packets long, and copying time grows by no more than a ninth. FLOOR_SHARE is
0.1, so that a copy still ends under the heaviest live traffic.
"""

from __future__ import annotations

import math
from typing import NamedTuple

CAP_SHARE = 0.9
FLOOR_SHARE = 0.1
# Time over which live traffic is averaged: longer than the gap between two
# tokens, shorter than an operator would notice.
LIVE_WINDOW_S = 1.0
# A bucket that is full holds this much time of its rate; it evens out a
# process that runs late, without a burst that the link would queue.
BURST_S = 0.1
# Where slices are paced one by one the process is never so late, and what
# goes out at once is what a live answer stands behind.
PACED_BURST_S = 0.01


class Bucket(NamedTuple):
    """Bytes that may go now; a negative level is debt to wait for."""

    level: float
    at: float


class Meter(NamedTuple):
    """A smoothed rate in bytes per second."""

    rate: float
    at: float


def max_copy_rate(link: float, live: float) -> float:
    """Give the rate of all copies on a link, in bytes per second.

    >>> [max_copy_rate(100.0, live) for live in (0.0, 30.0, 500.0)]
    [90.0, 60.0, 10.0]
    """
    return max(CAP_SHARE * link - live, FLOOR_SHARE * link)


def refill(
    bucket: Bucket, rate: float, now: float, burst_s: float = BURST_S
) -> Bucket:
    """Give the bucket at a later time."""
    earned = max(0.0, now - bucket.at) * rate
    level = min(rate * burst_s, bucket.level + earned)
    return Bucket(max(level, bucket.level), now)


def take(bucket: Bucket, size: float) -> Bucket:
    """Take bytes out; the level may become negative."""
    return bucket._replace(level=bucket.level - size)


def wait_s(bucket: Bucket, rate: float) -> float:
    """Give how long until something may go, 0 for now."""
    return 0.0 if bucket.level > 0 else -bucket.level / rate + 0.0005


def measure(meter: Meter, size: float, now: float) -> Meter:
    """Count bytes into a rate that forgets within LIVE_WINDOW_S."""
    kept = meter.rate * math.exp((meter.at - now) / LIVE_WINDOW_S)
    return Meter(kept + size / LIVE_WINDOW_S, now)
