"""Stages a complete copy and orders the engine to load it.

Chunks in the staging area can become corrupt, and an engine loads them
unchecked. Answers computed with one corrupt chunk are worthless but look
valid, so every chunk is read back and verified in the seconds before the
order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure

from burdockchute import logs
from burdockchute.adapters import Engine
from burdockchute.model.engines import LoadOrder
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy

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
    order. `check_age_s` is the time from the first read of the check to the
    answer.
    """

    model: str
    version: int
    end: OrderOutcome | None
    reason: str
    started_ms: int | None = None
    sequence: int | None = None
    check_age_s: float | None = None


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
) -> LoadEnded:
    """Stage and verify a copy, order the load and return its outcome."""
    for _round in range(MAX_ROUNDS):
        started_at = now()
        replaced = _replace_corrupt(engine, copy, model)
        if replaced is None:
            return LoadEnded(model, version, None, 'engine does not answer')
        logs.event(
            'chunks_staged',
            model=model,
            version=version,
            replaced=replaced,
            ms=int((now() - started_at) * 1000),
        )
        if not replaced and now() - started_at < MAX_CHECK_S:
            return _order(engine, model, version, started_at, now)
    return LoadEnded(
        model, version, None, 'staged chunks keep becoming corrupt'
    )


def _replace_corrupt(engine: Engine, copy: Copy, model: str) -> int | None:
    """Stage the missing and corrupt chunks and return their number.

    None if the engine doesn't answer or the copy was released.
    """
    replaced = 0
    for index in range(len(copy.manifest.chunks)):
        staged = engine.staged(model, index)
        if isinstance(staged, Failure):
            if not staged.failure().status:
                return None
            staged_data = b''
        else:
            staged_data = staged.unwrap()
        if manifests.check_chunk(copy.manifest, index, staged_data):
            continue
        data = copy.chunk(index)
        if data is None:
            return None
        replaced += 1
        if isinstance(engine.stage(model, index, data), Failure):
            return None
    return replaced


def _order(
    engine: Engine,
    model: str,
    version: int,
    checked_at: float,
    now: Callable[[], float],
) -> LoadEnded:
    result = engine.report()
    if isinstance(result, Failure):
        return LoadEnded(model, version, None, result.failure().reason)
    report = result.unwrap()
    if report.loading:
        return LoadEnded(model, version, None, 'engine is loading already')
    end = engine.load(LoadOrder(model, version, report.sequence))
    return LoadEnded(
        model,
        version,
        end,
        '',
        report.started_ms,
        report.sequence,
        now() - checked_at,
    )
