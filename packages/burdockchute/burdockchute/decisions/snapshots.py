"""When a process that follows the table writes a snapshot to the log.

Snapshots are rare but must never stop: the log drops a record after its
retention, and a reader that starts after that needs a snapshot that is still
retained. Without one, every process that starts after the retention would
have a table that lacks rows, or an empty one. And if each of 360 entries
wrote a snapshot whenever one is due, the log would get 360 copies of the
complete table at once, and every entry would read each of them.

So a snapshot is due a quarter of the retention after the newest one was
read, which leaves three quarters for outages of the log. Each process delays
its own by a random time of up to half of that quarter; the first process
writes, and the others read its snapshot and restart their delay. MAX_EDITS
bounds the edits that a starting reader has to apply. Two processes may still
write at the same moment; their snapshots agree, as the table at an offset is
the same everywhere.
"""

from __future__ import annotations

import random
from typing import NamedTuple

PERIOD_SHARE = 0.25
SPREAD_SHARE = 0.5

# A reader applies this many edits in well under a second.
MAX_EDITS = 2000

# Much longer than the other processes take to read a snapshot.
MAX_EDITS_SPREAD_S = 5.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 5.0


class SnapshotState(NamedTuple):
    """What a process knows of the snapshots in the log.

    `as_of` is the highest table offset of a snapshot, -1 if there is none;
    `edits` counts the records after it; `due_at` is in seconds of the
    monotonic clock.
    """

    as_of: int
    edits: int
    due_at: float


def initial_state(
    as_of: int, edits: int, now: float, retention_s: float, rng: random.Random
) -> SnapshotState:
    """Return the state after a start.

    The age of the newest snapshot is unknown then, so it is renewed soon. The
    delay is random up to an eighth of the retention, so that a restart of all
    entries at once still causes few snapshots.
    """
    if as_of < 0:
        return SnapshotState(as_of, edits, now + _edits_delay(rng))
    spread = PERIOD_SHARE * SPREAD_SHARE * retention_s
    due_at = now + rng.uniform(0, spread)
    return _limit_edits(SnapshotState(as_of, edits, due_at), now, rng)


def on_snapshot(
    state: SnapshotState,
    as_of: int,
    now: float,
    retention_s: float,
    rng: random.Random,
) -> SnapshotState:
    """Return the state after a snapshot was read or written.

    One that is not newer changes nothing: its writer may have been paused
    between building and appending it.
    """
    if as_of <= state.as_of:
        return state
    period = PERIOD_SHARE * retention_s
    due_at = now + period * (1 + rng.uniform(0, SPREAD_SHARE))
    return SnapshotState(as_of, 0, due_at)


def on_edits(
    state: SnapshotState, count: int, now: float, rng: random.Random
) -> SnapshotState:
    """Return the state after `count` more records were read."""
    updated = state._replace(edits=state.edits + count)
    if state.as_of < 0 and state.edits == 0:
        return updated._replace(due_at=now + _edits_delay(rng))
    if state.edits >= MAX_EDITS:
        return updated
    return _limit_edits(updated, now, rng)


def on_failure(
    state: SnapshotState, now: float, rng: random.Random
) -> SnapshotState:
    """Return the state after the log rejected this process's snapshot."""
    return state._replace(due_at=now + rng.uniform(RETRY_MIN_S, RETRY_MAX_S))


def is_due(state: SnapshotState, table_offset: int, now: float) -> bool:
    """Whether to write a snapshot of the table at `table_offset` now."""
    return table_offset > state.as_of and now >= state.due_at


def _limit_edits(
    state: SnapshotState, now: float, rng: random.Random
) -> SnapshotState:
    if state.edits < MAX_EDITS:
        return state
    due_at = min(state.due_at, now + _edits_delay(rng))
    return state._replace(due_at=due_at)


def _edits_delay(rng: random.Random) -> float:
    return rng.uniform(0, MAX_EDITS_SPREAD_S)
