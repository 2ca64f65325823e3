"""The local engine, with a record of the writes to its staging area."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result

from burdockchute.adapters import Engine
from burdockchute.decisions.load_verification import MAX_WRITE_DELAY_S
from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import LoadOrder
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights.copies import Copy


class PendingWrite(NamedTuple):
    """A write without an answer, which may be executed until a time."""

    chunk: int
    data: bytes
    until: float


class RecordedEngine:
    """Passes calls on, and records the writes to the staging area."""

    def __init__(self, engine: Engine, now: Callable[[], float]) -> None:
        self._engine = engine
        self._now = now
        # When this process first asked it for a report.
        self.first_call_at: float | None = None
        self._answered_at: dict[str, float] = {}
        # Until when writes without an answer may be executed.
        self._pending_until: dict[str, float] = {}
        self._pending: dict[str, list[PendingWrite]] = {}

    def written_at(self, model: str) -> float | None:
        """Return until when a write may have changed, or may still change, it.

        None if this process has written no chunk of the model.
        """
        times = [
            record[model]
            for record in (self._answered_at, self._pending_until)
            if model in record
        ]
        return max(times, default=None)

    def may_stage_other_data(self, model: str, copy: Copy, now: float) -> bool:
        """Whether a write may still stage what isn't a chunk of a copy."""
        pending = [
            write
            for write in self._pending.get(model, ())
            if now < write.until
        ]
        self._pending[model] = pending
        return any(write.data != copy.chunk(write.chunk) for write in pending)

    def report(self) -> Result[EngineReport, CallFailed]:
        """Read the state of the engine."""
        if self.first_call_at is None:
            self.first_call_at = self._now()
        return self._engine.report()

    def load(self, order: LoadOrder) -> OrderOutcome:
        """Order the engine to load the staged weights."""
        return self._engine.load(order)

    def staged(self, model: str, index: int) -> Result[bytes, CallFailed]:
        """Read one staged chunk."""
        return self._engine.staged(model, index)

    def stage(
        self, model: str, index: int, data: bytes
    ) -> Result[bytes, CallFailed]:
        """Replace one staged chunk."""
        before = self._pending_until.get(model, 0.0)
        self._pending_until[model] = self._now() + MAX_WRITE_DELAY_S
        result = self._engine.stage(model, index, data)
        if isinstance(result, Failure) and not result.failure().status:
            until = self._now() + MAX_WRITE_DELAY_S
            self._pending_until[model] = until
            self._pending.setdefault(model, []).append(
                PendingWrite(index, data, until)
            )
        else:
            self._pending_until[model] = before
            self._answered_at[model] = self._now()
        return result
