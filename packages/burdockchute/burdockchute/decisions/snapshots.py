"""When a process that follows the table writes a snapshot into the log.

The load is small but must never stop: the log forgets a record after its
retention, and a reader that starts after that needs a snapshot that is
still kept. Without one, every fresh process after the retention would start
with a table that lacks rows, or with none. And if each of 360 entries wrote
one whenever it was due, the log would get 360 copies of the whole table at
once; every entry reads each of them.

So a snapshot is due a quarter of the retention after the newest one was
seen, which leaves three quarters for outages of the log. Each process adds a
random part of half as much again; the first one writes, the others read that
and begin to count anew. MAX_EDITS bounds what a starting reader has to
reduce. Two processes may still write at the same moment; the snapshots then
agree, as the table at an offset is the same everywhere.
"""

from __future__ import annotations

import random
from typing import NamedTuple

PERIOD_SHARE = 0.25
SPREAD_SHARE = 0.5

# A reader reduces this many edits in well under a second.
MAX_EDITS = 2000

# Long against the time that a snapshot takes to be read by the others.
MAX_EDITS_SPREAD_S = 5.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 5.0


class SnapshotState(NamedTuple):
    """What a process knows of the snapshots in the log.

    `as_of` is the highest offset that a snapshot has, -1 without one;
    `edits` counts records after it; `due_at` is seconds of the monotonic
    clock.
    """

    as_of: int
    edits: int
    due_at: float


def initial_state(
    as_of: int, edits: int, now: float, retention_s: float, rng: random.Random
) -> SnapshotState:
    """Give the state after a start.

    How old the newest snapshot is can't be told then, so it is renewed soon.
    Spread over an eighth of the retention, a restart of all entries at once
    still ends with few.
    """
    if as_of < 0:
        return SnapshotState(as_of, edits, now + _edits_delay(rng))
    spread = PERIOD_SHARE * SPREAD_SHARE * retention_s
    due_at = now + rng.uniform(0, spread)
    return _bounded(SnapshotState(as_of, edits, due_at), now, rng)


def on_snapshot(
    state: SnapshotState,
    as_of: int,
    now: float,
    retention_s: float,
    rng: random.Random,
) -> SnapshotState:
    """Note a snapshot that was read or written.

    One that is no newer changes nothing: its writer may have been paused
    between making it and appending it.
    """
    if as_of <= state.as_of:
        return state
    period = PERIOD_SHARE * retention_s
    due_at = now + period * (1 + rng.uniform(0, SPREAD_SHARE))
    return SnapshotState(as_of, 0, due_at)


def on_edits(
    state: SnapshotState, count: int, now: float, rng: random.Random
) -> SnapshotState:
    """Note records after the newest snapshot."""
    counted = state._replace(edits=state.edits + count)
    if state.as_of < 0 and state.edits == 0:
        return counted._replace(due_at=now + _edits_delay(rng))
    if state.edits >= MAX_EDITS:
        return counted
    return _bounded(counted, now, rng)


def on_failure(
    state: SnapshotState, now: float, rng: random.Random
) -> SnapshotState:
    """Note that the log did not take ours."""
    return state._replace(due_at=now + rng.uniform(RETRY_MIN_S, RETRY_MAX_S))


def is_due(state: SnapshotState, table_offset: int, now: float) -> bool:
    """Tell whether to write one of the table at this offset now."""
    return table_offset > state.as_of and now >= state.due_at


def _bounded(
    state: SnapshotState, now: float, rng: random.Random
) -> SnapshotState:
    if state.edits < MAX_EDITS:
        return state
    due_at = min(state.due_at, now + _edits_delay(rng))
    return state._replace(due_at=due_at)


def _edits_delay(rng: random.Random) -> float:
    return rng.uniform(0, MAX_EDITS_SPREAD_S)
