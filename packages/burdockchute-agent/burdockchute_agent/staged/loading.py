"""Puts a whole copy into the staging area and has the engine load it.

What lies in the staging area can spoil, and an engine loads it as it lies
there. An answer made with one spoilt chunk is worthless and looks sound, so
every chunk is read back and checked in the seconds before the order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure

from burdockchute import logs
from burdockchute.adapters import Engine
from burdockchute.model.engines import Load
from burdockchute.model.engines import OrderEnd
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy

# A check that took longer than this is too old for an order: chunks that
# spoilt in the last three seconds before an order are not held against it.
MAX_CHECK_S = 2.0

# Rounds of staging and checking before it is left to the next look.
MAX_ROUNDS = 4


class ChunksStaged(NamedTuple):
    """Chunks of a copy were staged before it is whole.

    `reason` says why some were not, empty where all were.
    """

    model: str
    version: int
    chunks: list[int]
    reason: str = ''


class LoadEnded(NamedTuple):
    """An order to load has ended; `end` is None where none was given."""

    model: str
    version: int
    end: OrderEnd | None
    reason: str


def stage_chunks(
    engine: Engine, copy: Copy, model: str, version: int, chunks: list[int]
) -> ChunksStaged:
    """Stage chunks as they come; gives those that lie there now.

    What is staged outlives this process and a crash of the engine, and what
    is in memory does not. An agent that is killed, or loses power, just
    before its copy is whole would otherwise copy all of it again, while no
    engine may serve: five seconds on a link that carries a copy in four.
    """
    staged: list[int] = []
    for index in chunks:
        data = copy.chunk(index)
        if data is None:
            # The copy was given up meanwhile.
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
    """Stage, check and order; gives how it ended."""
    for _round in range(MAX_ROUNDS):
        began = now()
        spoilt = _replace_spoilt(engine, copy, model)
        if spoilt is None:
            return LoadEnded(model, version, None, 'engine does not answer')
        logs.event(
            'chunks_staged',
            model=model,
            version=version,
            replaced=spoilt,
            ms=int((now() - began) * 1000),
        )
        if not spoilt and now() - began < MAX_CHECK_S:
            return _order(engine, model, version)
    return LoadEnded(model, version, None, 'chunks spoil while staged')


def _replace_spoilt(engine: Engine, copy: Copy, model: str) -> int | None:
    """Give how many chunks had to be staged; None without an answer."""
    replaced = 0
    for index in range(len(copy.manifest.chunks)):
        lying = engine.staged(model, index)
        if isinstance(lying, Failure):
            if not lying.failure().status:
                return None
            lying_data = b''
        else:
            lying_data = lying.unwrap()
        if manifests.check_chunk(copy.manifest, index, lying_data):
            continue
        data = copy.chunk(index)
        if data is None:
            return None
        replaced += 1
        if isinstance(engine.stage(model, index, data), Failure):
            return None
    return replaced


def _order(engine: Engine, model: str, version: int) -> LoadEnded:
    seen = engine.report()
    if isinstance(seen, Failure):
        return LoadEnded(model, version, None, seen.failure().reason)
    report = seen.unwrap()
    if report.loading:
        return LoadEnded(model, version, None, 'engine is loading already')
    end = engine.load(Load(model, version, report.sequence))
    return LoadEnded(model, version, end, '')
