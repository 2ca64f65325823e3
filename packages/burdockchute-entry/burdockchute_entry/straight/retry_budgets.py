"""Retry budgets of one entry, one for each service."""

from __future__ import annotations

from collections.abc import Callable

from burdockchute import metrics
from burdockchute.decisions import retries
from burdockchute.model.machines import Bounds


class RetryBudgets:
    """One budget per service.

    The entries divide the retries that operators allow among themselves.
    """

    def __init__(
        self, bounds: Callable[[], Bounds], entries: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._budgets: dict[str, retries.Budget] = {}
        self._counts = metrics.meter().create_counter(
            'burdockchute.retries',
            description='retries that were taken from the budget or denied',
        )

    def record_first_attempt(self, service: str, now: float) -> None:
        """Add a first attempt, which earns a share of a retry."""
        policy = self._policy()
        budget = self._budget(service, now, policy)
        self._budgets[service] = retries.earn(budget, now, policy)

    def take(self, service: str, now: float, resuming: bool = False) -> bool:
        """Take one retry from a service's budget; False if it has none.

        `resuming` marks the remainder of a stream, for which a part of the
        budget is reserved.
        """
        policy = self._policy()
        budget = self._budget(service, now, policy)
        self._budgets[service], allowed = retries.spend(
            budget, now, policy, _reserved(policy, resuming)
        )
        outcome = 'taken' if allowed else 'denied'
        self._counts.add(1, {'service': service, 'outcome': outcome})
        return allowed

    def next_retry_in_s(
        self, service: str, now: float, resuming: bool = False
    ) -> float:
        """Return the seconds until elapsed time alone earns a retry."""
        policy = self._policy()
        budget = self._budget(service, now, policy)
        return retries.next_retry_in_s(
            budget, now, policy, _reserved(policy, resuming)
        )

    def balance(self, service: str, now: float) -> float:
        """Return the balance of a service's budget."""
        return self._budget(service, now, self._policy()).balance

    def balances(self, now: float) -> dict[str, float]:
        """Return the balance of each service that has sent requests."""
        return {
            service: self.balance(service, now) for service in self._budgets
        }

    def _policy(self) -> retries.BudgetPolicy:
        bounds = self._bounds()
        return retries.shared_policy(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_s,
            self._entries(),
        )

    def _budget(
        self, service: str, now: float, policy: retries.BudgetPolicy
    ) -> retries.Budget:
        return self._budgets.get(service) or retries.full_budget(now, policy)


def _reserved(policy: retries.BudgetPolicy, resuming: bool) -> float:
    return 0.0 if resuming else retries.reserved_for_started(policy)
