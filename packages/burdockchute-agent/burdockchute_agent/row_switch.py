"""Target weights and pending order of one row on this instance."""

from __future__ import annotations

from burdockchute.decisions.switching import Load
from burdockchute.decisions.switching import order_deadline_s
from burdockchute.decisions.switching import Unload
from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import Order
from burdockchute.upstreams.orders import OrderRefused
from burdockchute_agent.hosting_plan import Target

# A failed load is retried with exponential backoff, so that a broken engine
# or a broken copy doesn't keep its instance busy.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
# An engine reports an accepted order as loading at once; this delay covers a
# report that was made just before.
REPORT_DELAY_S = 0.5
# Statuses with which an engine refuses an order for lack of memory for a
# second version. After any other failure the old version stays loaded: the
# new one may never load, and the old one is the only one available.
NO_MEMORY_STATUSES = (409, 507)


class RowSwitch:
    """Serialises the orders of one row, and delays retries of failed ones.

    `predecessor` is the member that loads before this one, and
    `fits_two_versions` whether the engine has memory for two versions.
    """

    def __init__(self, kind: str, name: str) -> None:
        self.kind = kind
        self.name = name
        self.target: Target | None = None
        self.predecessor: str | None = None
        self.fits_two_versions = True
        self._pending_order: Order | None = None
        self._replied_at: float | None = None
        self._retry_at = 0.0
        self._failures = 0

    def set_target(
        self, target: Target | None, predecessor: str | None
    ) -> None:
        """Set the weights that the row names now; None when it was removed.

        `predecessor` is the member that loads before this one.
        """
        self.predecessor = predecessor
        if self.target and target and self.target.digest == target.digest:
            self.target = target
            return
        self.target = target
        self.fits_two_versions = True
        self._failures = 0
        self._retry_at = 0.0

    def may_order(self, now: float) -> bool:
        """Whether no order is pending and no retry delay is running."""
        return self._pending_order is None and now >= self._retry_at

    def make_order(
        self, step: Load | Unload, fence: int, size: int, source: str
    ) -> Order:
        """Return the order for a step.

        `size` is the size of the weights in bytes, `source` the base URL
        from which the engine fetches them.
        """
        target = self.target
        return Order(
            order='load' if isinstance(step, Load) else 'unload',
            kind=self.kind,
            name=self.name,
            version=target.version if target else '',
            digest=step.digest,
            base=target.base if target else '',
            source=f'{source}/weights/{step.digest}',
            fence=fence,
            deadline_ms=int(order_deadline_s(size) * 1000),
        )

    def order_sent(self, order: Order) -> None:
        """Record an order as pending."""
        self._pending_order = order
        self._replied_at = None

    def order_ended(
        self, outcome: str | OrderRefused | EngineError, now: float
    ) -> None:
        """Record the engine's reply; only its state shows the effect."""
        self._replied_at = now
        if isinstance(outcome, EngineError):
            if outcome.status in NO_MEMORY_STATUSES:
                self.fits_two_versions = False

    def observe(
        self,
        loaded: frozenset[str],
        loading: frozenset[str],
        requested_at: float,
        now: float,
    ) -> bool:
        """Compare a report with the pending order; True if it failed.

        Only a report requested after the engine's reply to the order counts.
        """
        order = self._pending_order
        if (
            order is None
            or self._replied_at is None
            or requested_at <= self._replied_at
        ):
            return False
        succeeded = (order.digest in loaded) == (order.order == 'load')
        if succeeded:
            self._pending_order = None
            self._failures = 0
            return False
        is_loading = order.digest in loading
        if is_loading or requested_at - self._replied_at < REPORT_DELAY_S:
            return False
        self._pending_order = None
        self._failures += 1
        delay_s = min(MIN_RETRY_S * 2 ** (self._failures - 1), MAX_RETRY_S)
        self._retry_at = now + delay_s
        return True
