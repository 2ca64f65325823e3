"""How far the own engine is with the versions of one model.

It decides nothing by itself; see `decisions/staging.py`.
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
    """What is asked of the copies that this instance makes."""

    def progress(self, digest: str) -> tuple[int, int]:
        """Give how many chunks are held, and of how many."""

    def known(self, digest: str) -> int:
        """Give how many chunks are held here or by a peer."""

    def full_copy_s(self, digest: str) -> float:
        """Give what a whole copy takes over the own link at the least."""

    def complete_copy(self, digest: str) -> object | None:
        """Give a copy if it is whole."""

    def copy_of(self, digest: str) -> Copy | None:
        """Give a copy, whole or not, once its size is known."""


class EngineLoadState(NamedTuple):
    """What the engine says: the version it holds and whether it loads."""

    version: int | None
    loading: bool


class ChunksToStage(NamedTuple):
    """Chunks of a copy to put into the staging area before it is whole."""

    version: int
    copy: Copy
    chunks: list[int]


class Rollout:
    """One model.

    `wanted` are the versions that are copied, the first before the others;
    `ready` is the newest of which there is a whole copy; `busy` while that
    is staged and ordered.
    """

    def __init__(self, model: str) -> None:
        self.model = model
        self.wanted: tuple[int, ...] = ()
        self.ready: int | None = None
        self.ordered_at: float | None = None
        self.busy = False
        self.pause_until = 0.0
        # Chunks are being staged ahead of the order to load.
        self.is_staging = False
        self.stage_after = 0.0
        self._staged: set[tuple[int, int]] = set()
        self._began: dict[int, float] = {}

    def record_staged(self, version: int, chunks: Iterable[int]) -> None:
        """Note chunks that lie in the staging area now."""
        self._staged = {
            (each, chunk) for each, chunk in self._staged if each == version
        }
        self._staged.update((version, chunk) for chunk in chunks)

    def clear_staged(self) -> None:
        """Note that nothing is known of the staging area any more."""
        self._staged.clear()

    def chunks_to_stage(
        self, engine: EngineLoadState, copies: Copies
    ) -> ChunksToStage | None:
        """Give what to stage ahead, None for nothing now.

        What lies there is loaded as it is at the moment of an order. So
        nothing is put there while a whole copy waits to be loaded, or while
        the engine may still take an order.
        """
        if self.busy or self.is_staging or engine.loading or not self.wanted:
            return None
        loaded = engine.version or 0
        if self.ready is not None and loaded < self.ready:
            return None
        version = self.wanted[0]
        copy = copies.copy_of(self.name(version))
        if copy is None or version == self.ready:
            return None
        chunks = [
            chunk
            for chunk in range(len(copy.manifest.chunks))
            if copy.holds(chunk) and (version, chunk) not in self._staged
        ]
        return ChunksToStage(version, copy, chunks) if chunks else None

    def name(self, version: int) -> str:
        """Give the name of a version's copy."""
        return copy_name(self.model, version)

    def update_ready(self, copies: Copies) -> None:
        """Take up a copy that has become whole."""
        for version in self.wanted:
            newer = self.ready is None or version > self.ready
            if newer and copies.complete_copy(self.name(version)):
                self.ready = version
                self.ordered_at = None

    def choose_versions(
        self, history: History, copies: Copies, limit_s: float, now: float
    ) -> None:
        """Choose which versions to copy now."""
        under_way = [
            self._progress(version, history, copies, limit_s, now)
            for version in {*self.wanted, history.newest}
            if self.ready is None or version > self.ready
        ]
        wanted = staging.versions_to_copy(history.newest, under_way)
        if wanted == self.wanted:
            return
        logs.event(
            'target_changed',
            model=self.model,
            target=wanted[0],
            wanted=','.join(str(version) for version in wanted),
            newest=history.newest,
            shares=','.join(f'{p.version}:{p.share:.2f}' for p in under_way),
            known=','.join(f'{p.version}:{p.known:.2f}' for p in under_way),
        )
        self.wanted = wanted
        for version in wanted:
            self._began.setdefault(version, now)

    def held_versions(self) -> list[int]:
        """Give the versions of which copies are kept, the first first."""
        held = list(self.wanted)
        if self.ready is not None and self.ready not in held:
            held.append(self.ready)
        return held

    def standing(self, engine: EngineLoadState) -> StagingState:
        """Give what is known for the decision to order a load."""
        return StagingState(
            self.ready, engine.version, engine.loading, self.ordered_at
        )

    def next_load(self, loaded: int, copies: Copies) -> CopyProgress | None:
        """Give the progress of what the engine loads next, if anything."""
        if self.ready is not None and loaded < self.ready:
            return CopyProgress(self.ready, 1.0)
        if not self.wanted or self.wanted[0] <= loaded:
            return None
        version = self.wanted[0]
        return CopyProgress(version, _share(copies, self.name(version)))

    def copying_s(self, version: int, now: float) -> float:
        """Give for how long a version has been copied."""
        return now - self._began.get(version, now)

    def _progress(
        self,
        version: int,
        history: History,
        copies: Copies,
        limit_s: float,
        now: float,
    ) -> CopyProgress:
        named_at = versions.named_at(history, version)
        useful_s = 0.0
        if named_at is not None:
            useful_s = named_at + limit_s - versions.MARGIN_S - now
        name = self.name(version)
        _held, count = copies.progress(name)
        return CopyProgress(
            version,
            _share(copies, name),
            self.copying_s(version, now),
            useful_s,
            copies.known(name) / count if count else 0.0,
            copies.full_copy_s(name),
        )


def _share(copies: Copies, name: str) -> float:
    held, count = copies.progress(name)
    return held / count if count else 0.0
