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
"""

from __future__ import annotations

from typing import NamedTuple

EARNED = 0.05
MIN_BURST = 4.0
TRICKLE_S = 10.0

MAX_ATTEMPTS = 3
MAX_PLACEMENTS = 8


class Budget(NamedTuple):
    """Retries in hand as of the time `at`."""

    balance: float
    at: float


def full_budget(now: float, burst: float = MIN_BURST) -> Budget:
    """Give the budget of an entry that has just started."""
    return Budget(burst, now)


def earn(budget: Budget, now: float, burst: float = MIN_BURST) -> Budget:
    """Count a first attempt."""
    filled = _fill(budget, now, burst)
    return Budget(min(burst, filled.balance + EARNED), now)


def spend(
    budget: Budget, now: float, burst: float = MIN_BURST
) -> tuple[Budget, bool]:
    """Take one retry out of the budget, if it has one.

    >>> spend(Budget(1.0, 0.0), 0.0)
    (Budget(balance=0.0, at=0.0), True)
    """
    filled = _fill(budget, now, burst)
    if filled.balance < 1.0:
        return filled, False
    return Budget(filled.balance - 1.0, now), True


def _fill(budget: Budget, now: float, burst: float) -> Budget:
    earned = max(0.0, now - budget.at) / TRICKLE_S
    return Budget(min(burst, budget.balance + earned), now)
