"""Admission control: which requests are accepted at all.

It limits customers that send more than their row allows, and bursts that the
instances can't work off before the deadlines expire.

Without it, work that is bound to be late is queued, run and thrown away; at
three times the capacity nearly every answer is then late although the
instances are busy all the time. Refusing on arrival costs the caller one round
trip, and it still has the rest of its deadline.

A customer's token bucket holds `burst_s` seconds of its limit, from its row,
so that a form which sends ten requests at once passes and a loop does not. A
deadline is compared with the expected wait and service time without a margin:
the estimate is a mean, and a margin would refuse requests of which half would
have been done in time. A request that turns out to be too late is refused when
it leaves the queue (`fair_queue`), before it costs an instance anything.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.requests import RequestContext

# The tokens of a prompt are computed together, generated ones one by one: on
# the engines in use, one generated token takes as long as about twenty prompt
# tokens.
PROMPT_WEIGHT = 0.05

# Constant cost of a request, so that requests without tokens (plain services)
# count as well.
REQUEST_WEIGHT = 1.0

# Bounds of the retry delay for a refused caller: less would be a busy loop,
# and most bursts end within a minute.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


class RateLimit(NamedTuple):
    """A limit per second, and how many seconds of it may come at once."""

    requests_per_s: float
    tokens_per_s: float
    burst_s: float


class Bucket(NamedTuple):
    """What a customer may still send, as of the time `at`."""

    requests: float
    tokens: float
    at: float


def full_bucket(rate: RateLimit, now: float) -> Bucket:
    """Return the bucket of a customer that has sent nothing recently."""
    requests, tokens = _capacity(rate)
    return Bucket(requests, tokens, now)


def take(
    bucket: Bucket, rate: RateLimit, tokens: int, now: float
) -> tuple[Bucket, float]:
    """Take one request with its tokens out of a bucket.

    Return the new bucket and 0.0, or the bucket refilled to `now` and the
    seconds until the request would pass.

    >>> rate = RateLimit(requests_per_s=1, tokens_per_s=100, burst_s=2)
    >>> bucket, wait_s = take(full_bucket(rate, 0.0), rate, 50, 0.0)
    >>> (bucket.requests, bucket.tokens, wait_s)
    (1.0, 150, 0.0)
    """
    filled = _fill(bucket, rate, now)
    capacity = _capacity(rate)
    # A request may be larger than the whole bucket. It passes when the bucket
    # is full, and the negative level delays the next one.
    wanted_tokens = min(float(tokens), capacity[1])
    wait_s = max(
        _seconds_until(1.0, filled.requests, rate.requests_per_s),
        _seconds_until(wanted_tokens, filled.tokens, rate.tokens_per_s),
    )
    if wait_s > 0:
        return filled, wait_s
    taken = Bucket(filled.requests - 1.0, filled.tokens - tokens, now)
    return taken, 0.0


def cost_of(ctx: RequestContext) -> float:
    """Return the work of a request, in generated tokens."""
    return REQUEST_WEIGHT + ctx.max_tokens + PROMPT_WEIGHT * ctx.prompt_tokens


def tokens_of(ctx: RequestContext) -> int:
    """Return the tokens that count against a customer's limit."""
    return ctx.prompt_tokens + ctx.max_tokens


def is_too_late(
    ctx: RequestContext, wait_s: float, service_s: float, now: float
) -> bool:
    """Whether a request can't be completed by its deadline."""
    return now + wait_s + service_s > ctx.deadline


def retry_after_s(seconds: float) -> float:
    """Return the retry delay for a refused caller, within bounds."""
    return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def _capacity(rate: RateLimit) -> tuple[float, float]:
    # At least one request, or a customer with a small limit could never send
    # any.
    return (
        max(1.0, rate.requests_per_s * rate.burst_s),
        max(1.0, rate.tokens_per_s * rate.burst_s),
    )


def _fill(bucket: Bucket, rate: RateLimit, now: float) -> Bucket:
    elapsed = max(0.0, now - bucket.at)
    requests, tokens = _capacity(rate)
    return Bucket(
        min(requests, bucket.requests + elapsed * rate.requests_per_s),
        min(tokens, bucket.tokens + elapsed * rate.tokens_per_s),
        now,
    )


def _seconds_until(wanted: float, present: float, per_s: float) -> float:
    if present >= wanted:
        return 0.0
    if per_s <= 0:
        return MAX_RETRY_AFTER_S
    return (wanted - present) / per_s
