"""State of the rollout of one model's versions on the local engine.

The decisions themselves are in `decisions/staging.py`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

from burdockchute import logs
from burdockchute.decisions import staging
from burdockchute.decisions import versions
from burdockchute.decisions.staging import CopyProgress
from burdockchute.decisions.staging import StagingState
from burdockchute.decisions.versions import History
from burdockchute.weights.copies import Copy
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
        is staged while a complete copy waits to be loaded, or while the
        engine may still act on an order.
        """
        if (
            self.load_in_progress
            or self.is_staging
            or engine.loading
            or not self.wanted
        ):
            return None
        loaded = engine.version or 0
        if self.ready is not None and loaded < self.ready:
            return None
        version = self.wanted[0]
        copy = copies.copy_of(self.copy_name_of(version))
        if copy is None or version == self.ready:
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
