"""One row's weights on this instance: what is wanted and what was ordered."""

from __future__ import annotations

from burdockchute.decisions.switching import Load
from burdockchute.decisions.switching import order_deadline_s
from burdockchute.decisions.switching import Unload
from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import Order
from burdockchute.upstreams.orders import OrderRefused
from burdockchute_agent.hosting_plan import Target

# A load that failed is tried again, but not so fast that a broken engine or
# a broken copy keeps its instance busy.
RETRY_S = 1.0
MAX_RETRY_S = 30.0
# A taken order shows as loading at once; this covers a report that was made
# just before.
GRACE_S = 0.5
# An engine short of memory for a second version says so. A load that fails
# for any other reason may never work, and the old version is all there is.
NO_ROOM_STATUS = (409, 507)


class RowSwitch:
    """Keeps the orders of one row apart from each other in time."""

    def __init__(self, kind: str, name: str) -> None:
        self.kind = kind
        self.name = name
        self.target: Target | None = None
        self.predecessor: str | None = None
        self.fits_two_versions = True
        self._ordered: Order | None = None
        self._ended_at: float | None = None
        self._not_before = 0.0
        self._failures = 0

    def set_target(
        self, target: Target | None, predecessor: str | None
    ) -> None:
        """Take what the row names now; None when it is gone.

        `before` names whose turn to load comes before ours.
        """
        self.predecessor = predecessor
        if self.target and target and self.target.digest == target.digest:
            self.target = target
            return
        self.target = target
        self.fits_two_versions = True
        self._failures = 0
        self._not_before = 0.0

    def may_order(self, now: float) -> bool:
        """Tell whether no order is pending and none failed just now."""
        return self._ordered is None and now >= self._not_before

    def make_order(
        self, step: Load | Unload, fence: int, size: int, source: str
    ) -> Order:
        """Make the order for a step.

        `size` is that of the weights in bytes, `source` the base URL from
        which the engine fetches them.
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
        """Note an order that is on its way."""
        self._ordered = order
        self._ended_at = None

    def order_ended(
        self, outcome: str | OrderRefused | EngineError, now: float
    ) -> None:
        """Note the engine's reply; the effect is yet to be seen."""
        self._ended_at = now
        if isinstance(outcome, EngineError):
            if outcome.status in NO_ROOM_STATUS:
                self.fits_two_versions = False

    def observe(
        self,
        loaded: frozenset[str],
        loading: frozenset[str],
        asked: float,
        now: float,
    ) -> bool:
        """Compare a report with the pending order; True if it failed.

        Only a report asked for after the engine's reply tells anything.
        """
        order = self._ordered
        if order is None or self._ended_at is None or asked <= self._ended_at:
            return False
        done = (order.digest in loaded) == (order.order == 'load')
        if done:
            self._ordered = None
            self._failures = 0
            return False
        busy = order.digest in loading
        if busy or asked - self._ended_at < GRACE_S:
            return False
        self._ordered = None
        self._failures += 1
        wait = min(RETRY_S * 2 ** (self._failures - 1), MAX_RETRY_S)
        self._not_before = now + wait
        return True
