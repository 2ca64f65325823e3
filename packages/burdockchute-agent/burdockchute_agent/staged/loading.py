"""Stages a complete copy and orders the engine to load it.

Chunks in the staging area can become corrupt, and an engine loads them
unchecked. Answers computed with one corrupt chunk are worthless but look
valid, so every chunk is read back and verified in the seconds before the
order, and again after it was accepted (`decisions/load_verification.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import logs
from burdockchute.adapters import Engine
from burdockchute.decisions.load_verification import EngineLoads
from burdockchute.model.engines import LoadOrder
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute.weights.manifest import Manifest

# A check that took longer than this is too old for an order. The platform
# tolerates chunks that became corrupt in the last three seconds before one.
MAX_CHECK_S = 2.0

# Rounds of staging and checking before the load is left to a later attempt.
MAX_ROUNDS = 4


class ChunksStaged(NamedTuple):
    """Chunks of a copy were staged before it is complete.

    `reason` says why some were not; it is empty if all were.
    """

    model: str
    version: int
    chunks: list[int]
    reason: str = ''


class LoadEnded(NamedTuple):
    """An order to load has ended; `end` is None if none was sent.

    `started_ms` and `sequence` are those of the engine right before the
    order, in a report that was requested at `reported_at`. `check_age_s` is
    the time from the first read of the check to the answer.
    """

    model: str
    version: int
    end: OrderOutcome | None
    reason: str
    started_ms: int | None = None
    sequence: int | None = None
    reported_at: float = 0.0
    check_age_s: float | None = None


class LoadChecked(NamedTuple):
    """The staging area was read after a load of the version was accepted.

    `sequence` identifies the load, and `invalid` has the chunks that are
    missing, corrupt or of another version; None if the engine didn't answer.
    """

    model: str
    version: int
    started_ms: int | None
    sequence: int
    invalid: list[int] | None
    ms: int


def stage_chunks(
    engine: Engine, copy: Copy, model: str, version: int, chunks: list[int]
) -> ChunksStaged:
    """Stage chunks as they arrive; return those that are staged now.

    Staged chunks survive this process and a crash of the engine, unlike those
    in memory. An agent that is killed, or loses power, just before its copy
    is complete would otherwise copy everything again, while no engine may
    serve: five seconds on a link that carries a copy in four.
    """
    staged: list[int] = []
    for index in chunks:
        data = copy.chunk(index)
        if data is None:
            # The copy was released meanwhile.
            break
        result = engine.stage(model, index, data)
        if isinstance(result, Failure):
            reason = result.failure().reason
            return ChunksStaged(model, version, staged, reason)
        staged.append(index)
    return ChunksStaged(model, version, staged)


def load(
    engine: Engine,
    copy: Copy,
    model: str,
    version: int,
    now: Callable[[], float],
    may_write: bool = True,
) -> LoadEnded:
    """Stage and verify a copy, order the load and return its outcome.

    Without `may_write`, an earlier order may still be executed, and it would
    load chunks that are written now.
    """
    for _round in range(MAX_ROUNDS):
        started_at = now()
        replaced = _replace_invalid(engine, copy, model, may_write)
        if isinstance(replaced, Failure):
            return LoadEnded(model, version, None, replaced.failure())
        logs.event(
            'chunks_staged',
            model=model,
            version=version,
            replaced=replaced.unwrap(),
            ms=int((now() - started_at) * 1000),
        )
        if not replaced.unwrap() and now() - started_at < MAX_CHECK_S:
            ended = _order(engine, model, version, started_at, now)
            if ended is not None:
                return ended
    return LoadEnded(
        model, version, None, 'staged chunks keep becoming corrupt'
    )


def check_load(
    engine: Engine,
    manifest: Manifest,
    model: str,
    version: int,
    loads: EngineLoads,
    now: Callable[[], float],
) -> LoadChecked:
    """Read the staging area after the last load was accepted."""
    started_at = now()
    invalid = _invalid_chunks(engine, manifest, model)
    return LoadChecked(
        model,
        version,
        loads.started_ms,
        loads.sequence,
        invalid,
        int((now() - started_at) * 1000),
    )


def _invalid_chunks(
    engine: Engine, manifest: Manifest, model: str
) -> list[int] | None:
    """Return the missing and corrupt chunks, None without an answer."""
    invalid = []
    for index in range(len(manifest.chunks)):
        is_valid = _is_staged(engine, manifest, model, index)
        if is_valid is None:
            return None
        if not is_valid:
            invalid.append(index)
    return invalid


def _is_staged(
    engine: Engine, manifest: Manifest, model: str, index: int
) -> bool | None:
    """Whether a valid chunk is staged, None without an answer."""
    staged = engine.staged(model, index)
    if isinstance(staged, Failure):
        return False if staged.failure().status else None
    return manifests.check_chunk(manifest, index, staged.unwrap())


def _replace_invalid(
    engine: Engine, copy: Copy, model: str, may_write: bool
) -> Result[int, str]:
    """Stage the missing and corrupt chunks and return their number."""
    replaced = 0
    for index in range(len(copy.manifest.chunks)):
        is_valid = _is_staged(engine, copy.manifest, model, index)
        if is_valid is None:
            return Failure('engine does not answer')
        if is_valid:
            continue
        if not may_write:
            return Failure('an earlier order may still be executed')
        data = copy.chunk(index)
        if data is None:
            return Failure('copy was released')
        replaced += 1
        if isinstance(engine.stage(model, index, data), Failure):
            return Failure('engine does not take chunks')
    return Success(replaced)


def _order(
    engine: Engine,
    model: str,
    version: int,
    checked_at: float,
    now: Callable[[], float],
) -> LoadEnded | None:
    """Order the load; None if the check has become too old."""
    reported_at = now()
    result = engine.report()
    if isinstance(result, Failure):
        return LoadEnded(model, version, None, result.failure().reason)
    report = result.unwrap()
    if report.loading:
        return LoadEnded(model, version, None, 'engine is loading already')
    if now() - checked_at >= MAX_CHECK_S:
        return None
    end = engine.load(LoadOrder(model, version, report.sequence))
    return LoadEnded(
        model,
        version,
        end,
        '',
        report.started_ms,
        report.sequence,
        reported_at,
        now() - checked_at,
    )
