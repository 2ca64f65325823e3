"""Retries: how many requests are run again.

Load it answers: an outage of upstreams, in which every request fails.

Without it each failed request comes again, the instances that are left get
two or three times the load, fail as well, and the outage lasts until the
callers give up.

Thresholds: retries may be EARNED of the first attempts, so that with the
balance that is spent first load grows by less than a tenth in an outage that
lasts longer than a few seconds. A balance of at most `burst`, by
default MIN_BURST, pays for the bystanders of one crashed instance, which
come all at once; a site with little traffic gets one retry for each
TRICKLE_S, or its balance would never come back. A request that an agent
certainly did not run has cost no upstream anything and draws on no budget;
MAX_PLACEMENTS ends its way through a pool in which nobody will have it.

The last retry is kept for streams that have begun: a crash breaks off streams
and fails new requests in the same moment, and the first of them to ask would
take all.
"""

from __future__ import annotations

from typing import NamedTuple

EARNED = 0.05
MIN_BURST = 4.0
REFILL_INTERVAL_S = 10.0

KEPT = 1.0

MAX_ATTEMPTS = 3
MAX_PLACEMENTS = 8

# How often the rest of a stream may be rejected. Each time takes a retry, and
# one stream must not use up those of all.
MAX_REJECTIONS = 3


class BudgetPolicy(NamedTuple):
    """How retries are earned: by first attempts, and by time alone."""

    earned: float = EARNED
    burst: float = MIN_BURST
    trickle_s: float = REFILL_INTERVAL_S


DEFAULT_POLICY = BudgetPolicy()

# Part of what operators allow that is used: what an entry counts as its
# share is a moment old when others come or go.
USED_SHARE = 0.6


def shared_policy(
    ratio: float, extra: float, window_s: float, entries: int
) -> BudgetPolicy:
    """Give the terms of one of so many entries that share an allowance.

    In each window all may make `extra` retries and `ratio` of the requests.
    A burst and what trickles in during the window have each half of the
    entry's share of `extra`, so that no window sees more than all of it.

    >>> shared_policy(0.2, 100.0, 10.0, 5)
    BudgetPolicy(earned=0.12, burst=6.0, trickle_s=1.6666666666666667)
    """
    share = USED_SHARE * extra / max(1, entries)
    burst = max(1.0, share / 2)
    return BudgetPolicy(USED_SHARE * ratio, burst, window_s / burst)


class Budget(NamedTuple):
    """Retries in hand as of the time `at`."""

    balance: float
    at: float


def full_budget(now: float, policy: BudgetPolicy = DEFAULT_POLICY) -> Budget:
    """Give the budget of an entry that has just started."""
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
    kept: float = 0.0,
) -> tuple[Budget, bool]:
    """Take one retry out of the budget, if it has one beyond what is kept.

    >>> spend(Budget(1.0, 0.0), 0.0)
    (Budget(balance=0.0, at=0.0), True)
    >>> spend(Budget(1.5, 0.0), 0.0, kept=1.0)
    (Budget(balance=1.5, at=0.0), False)
    """
    filled = _fill(budget, now, policy)
    if filled.balance < 1.0 + kept:
        return filled, False
    return Budget(filled.balance - 1.0, now), True


def reserved_for_started(policy: BudgetPolicy) -> float:
    """Give the retries that are kept for streams that have begun.

    New requests have one as well.

    >>> reserved_for_started(BudgetPolicy(burst=6.0))
    1.0
    >>> reserved_for_started(BudgetPolicy(burst=1.5))
    0.5
    """
    return min(KEPT, policy.burst - 1.0)


def next_retry_in_s(
    budget: Budget, now: float, policy: BudgetPolicy, kept: float = 0.0
) -> float:
    """Give when time alone brings a retry beyond what is kept.

    >>> next_retry_in_s(Budget(0.5, 0.0), 0.0, BudgetPolicy(trickle_s=2.0))
    1.0
    """
    missing = 1.0 + kept - _fill(budget, now, policy).balance
    return max(0.0, missing) * policy.trickle_s


def _fill(budget: Budget, now: float, policy: BudgetPolicy) -> Budget:
    earned = max(0.0, now - budget.at) / policy.trickle_s
    return Budget(min(policy.burst, budget.balance + earned), now)
