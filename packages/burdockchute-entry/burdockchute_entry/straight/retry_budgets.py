"""Retry budgets of one entry, one for each service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from burdockchute import metrics
from burdockchute.decisions import retry_leases
from burdockchute.decisions.retry_allowance import Account
from burdockchute.decisions.retry_allowance import Policy
from burdockchute.decisions.retry_leases import OwnLeases
from burdockchute.model.machines import Bounds

# A caller waits this long for a lease that is being claimed.
MAX_LEASE_WAIT_S = 0.2
LEASE_POLL_S = 0.01

# More is leased before the last retry is taken.
FEW_LEFT = 2.0

# How long an entry that got no more leases waits before it asks again.
NONE_FREE_S = 3.0
# So much longer while it sends nothing to the service.
IDLE_NONE_FREE_S = 27.0


class RetryBudgets:
    """One budget per service: what the entry earns, and what it leases.

    `services` returns those that requests may be sent to, of which leases are
    held before the first request: the store may be away when it comes.
    `on_short` is called when a service has few retries left, and its leases
    may be raised. `is_leasing` is set until that has been tried.
    """

    def __init__(
        self,
        bounds: Callable[[], Bounds],
        services: Callable[[], Iterable[str]] = lambda: (),
    ) -> None:
        self._services = services
        self.own_leases = OwnLeases()
        self.on_short: Callable[[], None] | None = None
        self.is_leasing = False
        self._bounds = bounds
        self._accounts: dict[str, Account] = {}
        # Services that need more leases, and those that got none lately.
        self._short: set[str] = set()
        self._none_free_until: dict[str, float] = {}
        self._counts = metrics.meter().create_counter(
            'burdockchute.retries',
            description='retries that were taken from the budget or denied',
        )

    @property
    def window_s(self) -> float:
        """The window in which retries are limited, in seconds."""
        return self._bounds().retry_window_s

    def record_first_attempt(self, service: str, now: float) -> None:
        """Add a first attempt, which earns a share of a retry."""
        self._account(service).record_first(now, self._policy())
        if not self.own_leases.count(service, now):
            self._ask_for_lease(service, now)

    def take(self, service: str, now: float, resuming: bool = False) -> bool:
        """Take one retry from a service's budget; False if it has none.

        `resuming` marks the remainder of a stream, for which a part of the
        budget is reserved.
        """
        account, policy = self._account(service), self._policy()
        leased = self._leased(service, now)
        allowed = account.take(now, policy, leased, resuming)
        if account.left(now, policy, leased) < FEW_LEFT:
            self._ask_for_lease(service, now)
        if allowed:
            self._counts.add(1, {'service': service, 'outcome': 'taken'})
        return allowed

    def record_denied(self, service: str) -> None:
        """Count a retry that was wanted and not allowed."""
        self._counts.add(1, {'service': service, 'outcome': 'denied'})

    def mark_sent(self, service: str, taken_at: float, now: float) -> None:
        """Count a retry that was taken earlier from now on."""
        self._account(service).mark_sent(taken_at, now)

    def next_retry_in_s(
        self, service: str, now: float, resuming: bool = False
    ) -> float:
        """Return the seconds until a retry may be allowed, maybe inf."""
        if self.is_leasing:
            return LEASE_POLL_S
        return self._account(service).next_in_s(
            now, self._policy(), self._leased(service, now), resuming
        )

    def balance(self, service: str, now: float) -> float:
        """Return the balance of a service's budget."""
        return self._account(service).left(
            now, self._policy(), self._leased(service, now)
        )

    def balances(self, now: float) -> dict[str, float]:
        """Return the balance of each service that has sent requests."""
        return {
            service: self.balance(service, now) for service in self._accounts
        }

    # Leases.

    def leasing_services(self, now: float) -> set[str]:
        """Return the services of which leases should be held."""
        active = {
            name for name in self._accounts if self._is_active(name, now)
        }
        return active.union(self._services())

    def _is_active(self, service: str, now: float) -> bool:
        account = self._accounts.get(service)
        return account is not None and account.is_active(now, self._policy())

    def needs_lease(self, service: str, now: float) -> bool:
        """Whether leases of a service should be claimed or renewed."""
        if now < self._none_free_until.get(service, float('-inf')) + (
            0.0 if self._is_active(service, now) else IDLE_NONE_FREE_S
        ):
            return False
        valid_s = self.own_leases.valid_s(service, now)
        return valid_s < retry_leases.RENEW_S or service in self._short

    def wanted_leases(
        self, service: str, entries: int, taken: int, now: float
    ) -> int:
        """Return the leases to claim, while others have `taken` some."""
        return retry_leases.wanted_leases(
            self.own_leases.count(service, now),
            service in self._short,
            entries,
            retry_leases.lease_count(self._bounds().retry_extra) - taken,
        )

    def changes_leases(self, wanted: Mapping[str, int], now: float) -> bool:
        """Whether `wanted` differs from what is held, or is to be renewed."""
        own = self.own_leases
        return any(
            count != own.count(service, now)
            or count
            and own.valid_s(service, now) < retry_leases.RENEW_S
            for service, count in wanted.items()
        )

    def settle(self, wanted: Mapping[str, int], now: float) -> None:
        """Record that services get `wanted` leases, before they are granted.

        One that gets no more although it is short does not ask again for a
        while.
        """
        for service, count in wanted.items():
            held = self.own_leases.count(service, now)
            if count == 0 or service in self._short and count <= held:
                self._none_free_until[service] = now + NONE_FREE_S
        self._short.clear()

    def _ask_for_lease(self, service: str, now: float) -> None:
        if self.on_short is None:
            return
        if now < self._none_free_until.get(service, 0.0):
            return
        if self.own_leases.count(service, now):
            self._short.add(service)
        self.is_leasing = True
        self.on_short()

    def _leased(self, service: str, now: float) -> float:
        size = retry_leases.lease_size(self._bounds().retry_extra)
        return size * self.own_leases.count(service, now)

    def _account(self, service: str) -> Account:
        return self._accounts.setdefault(service, Account())

    def _policy(self) -> Policy:
        bounds = self._bounds()
        return Policy(bounds.retry_ratio, bounds.retry_window_s)
