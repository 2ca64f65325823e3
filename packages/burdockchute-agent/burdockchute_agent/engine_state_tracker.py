"""What an agent knows of its engine, and how far it can rely on it."""

from __future__ import annotations

from burdockchute.upstreams.gate import Weights
from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import Loaded

# A single lost reply is no reason to take an engine for dead.
FAILED_READS = 3


class EngineStateTracker:
    """The engine's last reported state, and since when it is the same.

    An engine that checks fencing numbers and has seen ours obeys nobody
    older, so what it reports stays. One that does not may still obey an agent
    that was paused and replaced; there a report counts only once it has
    stayed put for longer than an order can take.
    """

    def __init__(self, now: float) -> None:
        self.state: EngineState | None = None
        self.asked = now
        self._failed = 0
        self._changed_at = now
        self._doubted_at: dict[Weights, float] = {}

    def update(self, asked: float, state: EngineState | EngineError) -> None:
        """Take a report that was asked for at `asked`."""
        if isinstance(state, EngineError):
            self._failed += 1
            if self._failed >= FAILED_READS:
                self.state = None
            return
        self._failed = 0
        if self.state is None or self.state.loaded != state.loaded:
            self._changed_at = asked
        self.state = state
        self.asked = asked

    def order_sent(self, now: float) -> None:
        """Note that an order was given, whatever became of it."""
        self._changed_at = max(self._changed_at, now)

    def mark_doubtful(self, weights: Weights, now: float) -> None:
        """Note that an answer named other weights than these."""
        self._doubted_at[weights] = now

    def loaded(self, kind: str, name: str) -> frozenset[str]:
        """Give the digests that are loaded for a row."""
        items = self.state.loaded if self.state else frozenset()
        return _digests(items, kind, name)

    def loading(self, kind: str, name: str) -> frozenset[str]:
        """Give the digests that are now being loaded for a row."""
        items = self.state.loading if self.state else frozenset()
        return _digests(items, kind, name)

    def rows(self) -> set[tuple[str, str]]:
        """Give kind and name of all that is loaded."""
        items = self.state.loaded if self.state else frozenset()
        return {(item.kind, item.name) for item in items}

    def is_settled(
        self, weights: Weights, fence: int, checks: bool, settle_s: float
    ) -> bool:
        """Tell whether the report about these weights can be relied on.

        `checks` is the table's word on whether this engine checks numbers;
        the engine must say the same. `settle_s` is how long a report must
        stay the same where that doesn't help.
        """
        if self.state is None:
            return False
        since = self._changed_at
        doubted = self._doubted_at.get(weights)
        if doubted is not None:
            since = max(since, doubted)
        if self.asked - since > settle_s:
            self._doubted_at.pop(weights, None)
            return True
        fenced = checks and self.state.checks_fencing
        return fenced and self.state.fence == fence and doubted is None

    def is_superseded(self, fence: int) -> bool:
        """Tell whether the engine obeys a later agent than this one."""
        return self.state is not None and self.state.fence > fence


def _digests(items: frozenset[Loaded], kind: str, name: str) -> frozenset[str]:
    return frozenset(
        item.digest
        for item in items
        if item.kind == kind and item.name == name
    )
