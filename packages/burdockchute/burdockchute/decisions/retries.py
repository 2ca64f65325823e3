"""Budget of retries: how many requests are run again.

In an outage of upstreams, every request fails. Without a budget each failed
request is sent again, the remaining instances get two or three times the load
and fail as well, and the outage lasts until the callers time out.

So each retry is taken from a balance, which first attempts and time refill. A
request that an agent certainly did not run has cost no upstream anything and
takes no retry from the balance. Each entry has such a budget of its own. Where
operators limit the retries of all entries together, `retry_allowance` decides.
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
) -> tuple[Budget, bool]:
    """Take one retry, if the balance allows it.

    >>> spend(Budget(1.0, 0.0), 0.0)
    (Budget(balance=0.0, at=0.0), True)
    """
    filled = _fill(budget, now, policy)
    if filled.balance < 1.0:
        return filled, False
    return Budget(filled.balance - 1.0, now), True


def _fill(budget: Budget, now: float, policy: BudgetPolicy) -> Budget:
    refilled = max(0.0, now - budget.at) / policy.refill_interval_s
    return Budget(min(policy.burst, budget.balance + refilled), now)
