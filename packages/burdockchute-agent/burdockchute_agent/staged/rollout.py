"""State of the rollout of one model's versions on the local engine.

The decisions themselves are in `decisions/staging.py`.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple
from typing import Protocol

from burdockchute import logs
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.load_verification import EngineLoads
from burdockchute.decisions.load_verification import MAX_ORDER_DELAY_S
from burdockchute.decisions.load_verification import OrderSent
from burdockchute.decisions.staging import CopyProgress
from burdockchute.decisions.staging import StagingState
from burdockchute.decisions.versions import History
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest
from burdockchute_agent.staged.loading import LoadEnded
from burdockchute_agent.staged.origins import copy_name


class Copies(Protocol):
    """The copies of this instance, as far as a rollout queries them."""

    def progress(self, digest: str) -> tuple[int, int]:
        """Return the number of chunks held, and of all chunks."""

    def known(self, digest: str) -> int:
        """Return the number of chunks held by this instance or a peer."""

    def full_copy_s(self, digest: str) -> float:
        """Return the least time, in seconds, to copy it over our link."""

    def complete_copy(self, digest: str) -> object | None:
        """Return a copy if it is complete."""

    def copy_of(self, digest: str) -> Copy | None:
        """Return a copy, complete or not, once its size is known."""


class EngineLoadState(NamedTuple):
    """The version that the engine has loaded and whether it is loading."""

    version: int | None
    loading: bool


class ChunksToStage(NamedTuple):
    """Chunks to put into the staging area before their copy is complete."""

    version: int
    copy: Copy
    chunks: list[int]


class Rollout:
    """The rollout of one model.

    `wanted` are the versions to copy, in order of priority. `ready` is the
    newest version with a complete copy. `load_in_progress` is set while that
    copy is staged and its load is ordered.
    """

    def __init__(self, model: str) -> None:
        self.model = model
        self.wanted: tuple[int, ...] = ()
        self.ready: int | None = None
        self.ordered_at: float | None = None
        self.load_in_progress = False
        self.retry_load_at = 0.0
        # Whether chunks are being staged before the order to load.
        self.is_staging = False
        self.retry_staging_at = 0.0
        # The last order that was sent, and the manifest of its version.
        self.order: OrderSent | None = None
        self.ordered_manifest: Manifest | None = None
        # Until when an order without an answer may be executed.
        self.order_pending_until = 0.0
        # The start and sequence of the engine at which it was sent.
        self._order_pending_at: tuple[int | None, int] | None = None
        # Whether the staging area is read to verify the last load.
        self.is_checking = False
        self.retry_check_at = 0.0
        self._staged: set[tuple[int, int]] = set()
        self._copying_since: dict[int, float] = {}

    def record_staged(self, version: int, chunks: Iterable[int]) -> None:
        """Record chunks that are in the staging area now."""
        self._staged = {
            (each, chunk) for each, chunk in self._staged if each == version
        }
        self._staged.update((version, chunk) for chunk in chunks)

    def clear_staged(self) -> None:
        """Record that the content of the staging area is unknown."""
        self._staged.clear()

    def chunks_to_stage(
        self, engine: EngineLoadState, copies: Copies
    ) -> ChunksToStage | None:
        """Return the chunks to stage now, None if there are none.

        An order loads the staging area as it is at that moment. So nothing
        is staged while a complete copy waits to be loaded. What the engine
        has loaded isn't staged again: that would repair the chunks which show
        that its load was wrong.
        """
        if (
            self.load_in_progress
            or self.is_staging
            or self.is_checking
            or engine.loading
            or not self.wanted
        ):
            return None
        loaded = engine.version or 0
        if self.ready is not None and loaded < self.ready:
            return None
        version = self.wanted[0]
        copy = copies.copy_of(self.copy_name_of(version))
        if copy is None or version in (self.ready, engine.version):
            return None
        chunks = [
            chunk
            for chunk in range(len(copy.manifest.chunks))
            if copy.has_chunk(chunk) and (version, chunk) not in self._staged
        ]
        return ChunksToStage(version, copy, chunks) if chunks else None

    def copy_name_of(self, version: int) -> str:
        """Return the name of the copy of a version."""
        return copy_name(self.model, version)

    def update_ready(self, copies: Copies) -> None:
        """Set `ready` to the newest version whose copy is complete."""
        for version in self.wanted:
            is_newer = self.ready is None or version > self.ready
            if is_newer and copies.complete_copy(self.copy_name_of(version)):
                self.ready = version
                self.ordered_at = None

    def choose_versions(
        self, history: History, copies: Copies, limit_s: float, now: float
    ) -> None:
        """Set `wanted` to the versions to copy now.

        `limit_s` is how long the previous version may be served after a new
        one was named.
        """
        candidates = [
            self._progress(version, history, copies, limit_s, now)
            for version in {*self.wanted, history.newest}
            if self.ready is None or version > self.ready
        ]
        wanted = staging.versions_to_copy(history.newest, candidates)
        if wanted == self.wanted:
            return
        logs.event(
            'target_changed',
            model=self.model,
            target=wanted[0],
            wanted=','.join(str(version) for version in wanted),
            newest=history.newest,
            shares=','.join(f'{p.version}:{p.share:.2f}' for p in candidates),
            known=','.join(f'{p.version}:{p.known:.2f}' for p in candidates),
        )
        self.wanted = wanted
        for version in wanted:
            self._copying_since.setdefault(version, now)

    def held_versions(self) -> list[int]:
        """Return the versions whose copies are kept, by priority."""
        held = list(self.wanted)
        if self.ready is not None and self.ready not in held:
            held.append(self.ready)
        return held

    def record_order(
        self, ended: LoadEnded, manifest: Manifest | None, now: float
    ) -> None:
        """Record an order that was sent, unless the engine refused it."""
        if ended.sequence is None or ended.end == OrderOutcome.REFUSED:
            return
        started = ended.end == OrderOutcome.STARTED
        self.order = OrderSent(
            ended.version,
            ended.started_ms,
            ended.sequence,
            ended.reported_at,
            ended.check_age_s if started else None,
        )
        self.ordered_manifest = manifest
        if ended.end == OrderOutcome.UNKNOWN:
            self.order_pending_until = now + MAX_ORDER_DELAY_S
            self._order_pending_at = ended.started_ms, ended.sequence

    def expect_earlier_order(self) -> None:
        """Record that an earlier agent may have sent an order.

        It may be executed until a while after the engine's first report.
        """
        self.order_pending_until = math.inf
        self._order_pending_at = None

    def update_pending_order(
        self, loads: EngineLoads | None, now: float
    ) -> None:
        """Update until when an order without an answer may be executed.

        It is void once the engine has accepted another one or started again.
        `loads` is None while the engine doesn't answer.
        """
        if now >= self.order_pending_until:
            return
        if loads is None:
            self.order_pending_until = now + MAX_ORDER_DELAY_S
            return
        reported = loads.started_ms, loads.sequence
        if self._order_pending_at is None:
            self._order_pending_at = reported
            self.order_pending_until = now + MAX_ORDER_DELAY_S
        elif reported != self._order_pending_at:
            self.order_pending_until = 0.0

    def staging_state(self, engine: EngineLoadState) -> StagingState:
        """Return the state on which the decision to order a load depends."""
        return StagingState(
            self.ready, engine.version, engine.loading, self.ordered_at
        )

    def next_load(self, loaded: int, copies: Copies) -> CopyProgress | None:
        """Return the progress of the version that the engine loads next.

        None if it isn't to load another one.
        """
        if self.ready is not None and loaded < self.ready:
            return CopyProgress(self.ready, 1.0)
        if not self.wanted or self.wanted[0] <= loaded:
            return None
        version = self.wanted[0]
        return CopyProgress(
            version, _held_share(copies, self.copy_name_of(version))
        )

    def copying_s(self, version: int, now: float) -> float:
        """Return the seconds for which a version has been copied."""
        return now - self._copying_since.get(version, now)

    def _progress(
        self,
        version: int,
        history: History,
        copies: Copies,
        limit_s: float,
        now: float,
    ) -> CopyProgress:
        named_at = versions.named_at(history, version)
        serving_left_s = 0.0
        if named_at is not None:
            serving_left_s = named_at + limit_s - versions.MARGIN_S - now
        name = self.copy_name_of(version)
        _held, count = copies.progress(name)
        return CopyProgress(
            version,
            _held_share(copies, name),
            self.copying_s(version, now),
            serving_left_s,
            copies.known(name) / count if count else 0.0,
            copies.full_copy_s(name),
        )


def _held_share(copies: Copies, name: str) -> float:
    held, count = copies.progress(name)
    return held / count if count else 0.0
