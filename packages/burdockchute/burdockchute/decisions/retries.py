"""Budget of retries: how many requests are run again.

In an outage of upstreams, every request fails. Without a budget each failed
request is sent again, the remaining instances get two or three times the load
and fail as well, and the outage lasts until the callers time out.

So each retry is taken from a balance, which first attempts and time refill. A
request that an agent certainly did not run has cost no upstream anything and
takes no retry from the balance.
"""

from __future__ import annotations

from typing import NamedTuple

# Retries earned by a first attempt. Together with the balance that is spent
# first, they increase the load by less than a tenth in an outage that lasts
# longer than a few seconds.
EARNED_PER_REQUEST = 0.05

# The maximum balance pays for the other requests on a crashed instance, which
# fail all at once.
DEFAULT_BURST = 4.0

# Time that refills one retry. With little traffic the balance would not
# recover by first attempts alone.
REFILL_INTERVAL_S = 10.0

# Retries reserved for started streams: a crash breaks off streams and fails
# new requests at the same moment, and the new requests that retry first would
# take every retry.
MAX_RESERVED = 1.0

MAX_ATTEMPTS = 3

# Bounds the attempts of a request in a pool where no instance accepts it.
MAX_PLACEMENTS = 8

# How often the remainder of a stream may be rejected. Each rejection takes a
# retry, and one stream must not use up all of them.
MAX_REJECTIONS = 3


class BudgetPolicy(NamedTuple):
    """How retries are earned: by first attempts, and over time."""

    earned: float = EARNED_PER_REQUEST
    burst: float = DEFAULT_BURST
    refill_interval_s: float = REFILL_INTERVAL_S


DEFAULT_POLICY = BudgetPolicy()

# Share of the allowance that is used: the number of entries that an entry
# knows lags when others join or leave.
USED_SHARE = 0.6


def shared_policy(
    ratio: float, extra: float, window_s: float, entries: int
) -> BudgetPolicy:
    """Return the policy of one entry, where all entries share an allowance.

    In each window all entries together may make `extra` retries and `ratio` of
    the requests. A burst and the refill over the window each get half of the
    entry's share of `extra`, so that no window exceeds that share.

    >>> shared_policy(0.2, 100.0, 10.0, 5)
    BudgetPolicy(earned=0.12, burst=6.0, refill_interval_s=1.6666666666666667)
    """
    share = USED_SHARE * extra / max(1, entries)
    burst = max(1.0, share / 2)
    return BudgetPolicy(USED_SHARE * ratio, burst, window_s / burst)


class Budget(NamedTuple):
    """The balance of retries as of the time `at`."""

    balance: float
    at: float


def full_budget(now: float, policy: BudgetPolicy = DEFAULT_POLICY) -> Budget:
    """Return the budget of an entry that has just started."""
    return Budget(policy.burst, now)


def earn(
    budget: Budget, now: float, policy: BudgetPolicy = DEFAULT_POLICY
) -> Budget:
    """Count a first attempt."""
    filled = _fill(budget, now, policy)
    return Budget(min(policy.burst, filled.balance + policy.earned), now)


def spend(
    budget: Budget,
    now: float,
    policy: BudgetPolicy = DEFAULT_POLICY,
    reserved: float = 0.0,
) -> tuple[Budget, bool]:
    """Take one retry, if the balance allows it beyond what is reserved.

    >>> spend(Budget(1.0, 0.0), 0.0)
    (Budget(balance=0.0, at=0.0), True)
    >>> spend(Budget(1.5, 0.0), 0.0, reserved=1.0)
    (Budget(balance=1.5, at=0.0), False)
    """
    filled = _fill(budget, now, policy)
    if filled.balance < 1.0 + reserved:
        return filled, False
    return Budget(filled.balance - 1.0, now), True


def reserved_for_started(policy: BudgetPolicy) -> float:
    """Return the retries that are reserved for started streams.

    At least one retry remains for new requests.

    >>> reserved_for_started(BudgetPolicy(burst=6.0))
    1.0
    >>> reserved_for_started(BudgetPolicy(burst=1.5))
    0.5
    """
    return min(MAX_RESERVED, policy.burst - 1.0)


def next_retry_in_s(
    budget: Budget, now: float, policy: BudgetPolicy, reserved: float = 0.0
) -> float:
    """Return the seconds until time alone refills a retry beyond `reserved`.

    >>> policy = BudgetPolicy(refill_interval_s=2.0)
    >>> next_retry_in_s(Budget(0.5, 0.0), 0.0, policy)
    1.0
    """
    missing = 1.0 + reserved - _fill(budget, now, policy).balance
    return max(0.0, missing) * policy.refill_interval_s


def _fill(budget: Budget, now: float, policy: BudgetPolicy) -> Budget:
    refilled = max(0.0, now - budget.at) / policy.refill_interval_s
    return Budget(min(policy.burst, budget.balance + refilled), now)
