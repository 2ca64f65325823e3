"""Tracks an engine's reported state and whether it can be relied on."""

from __future__ import annotations

from burdockchute.upstreams.gate import Weights
from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import LoadedWeights

# Failed reads in a row after which the engine counts as gone. One lost reply
# is not enough.
MAX_FAILED_READS = 3


class EngineStateTracker:
    """The engine's last reported state and the time of its last change.

    An engine that checks fencing numbers and has received ours refuses
    orders of older agents, so its reported state is stable. An engine that
    doesn't check them may still obey an agent that was paused and replaced;
    its report counts only once it has stayed the same for longer than an
    order can take.
    """

    def __init__(self, now: float) -> None:
        self.state: EngineState | None = None
        self.requested_at = now
        self._failed_reads = 0
        self._changed_at = now
        self._doubted_at: dict[Weights, float] = {}

    def update(
        self, requested_at: float, state: EngineState | EngineError
    ) -> None:
        """Apply a report, or a failed read, requested at `requested_at`."""
        if isinstance(state, EngineError):
            self._failed_reads += 1
            if self._failed_reads >= MAX_FAILED_READS:
                self.state = None
            return
        self._failed_reads = 0
        if self.state is None or self.state.loaded != state.loaded:
            self._changed_at = requested_at
        self.state = state
        self.requested_at = requested_at

    def order_sent(self, now: float) -> None:
        """Record that an order was sent, whatever its outcome."""
        self._changed_at = max(self._changed_at, now)

    def mark_doubtful(self, weights: Weights, now: float) -> None:
        """Record an answer from other weights than the pinned `weights`."""
        self._doubted_at[weights] = now

    def loaded(self, kind: str, name: str) -> frozenset[str]:
        """Return the digests loaded for a row."""
        items = self.state.loaded if self.state else frozenset()
        return _digests(items, kind, name)

    def loading(self, kind: str, name: str) -> frozenset[str]:
        """Return the digests being loaded for a row."""
        items = self.state.loading if self.state else frozenset()
        return _digests(items, kind, name)

    def rows(self) -> set[tuple[str, str]]:
        """Return kind and name of each row with loaded weights."""
        items = self.state.loaded if self.state else frozenset()
        return {(item.kind, item.name) for item in items}

    def is_settled(
        self, weights: Weights, fence: int, checks: bool, settle_s: float
    ) -> bool:
        """Whether the report about these weights can be relied on.

        `checks` is whether the table says that this engine checks fencing
        numbers; the engine must report the same. Otherwise the report must
        stay the same for `settle_s`.
        """
        if self.state is None:
            return False
        stable_since = self._changed_at
        doubted_at = self._doubted_at.get(weights)
        if doubted_at is not None:
            stable_since = max(stable_since, doubted_at)
        if self.requested_at - stable_since > settle_s:
            self._doubted_at.pop(weights, None)
            return True
        fenced = checks and self.state.checks_fencing
        return fenced and self.state.fence == fence and doubted_at is None

    def is_superseded(self, fence: int) -> bool:
        """Whether the engine has accepted a later agent than this one."""
        return self.state is not None and self.state.fence > fence


def _digests(
    items: frozenset[LoadedWeights], kind: str, name: str
) -> frozenset[str]:
    return frozenset(
        item.digest
        for item in items
        if item.kind == kind and item.name == name
    )
