"""What an agent copies and loads next to bring its engine to a version.

A version is named for all engines at once, and a second one a few seconds
later, while copies are in progress; engines crash and restart without
weights. If each new version cancelled the copy of the one before, two quick
releases would leave every engine on a version that may no longer answer, for
the duration of a full copy. If each copy were always completed first, the
newest version would be late everywhere by the remainder of a copy.

So both versions are copied at once, with one taking precedence. A copy of
which FINISH_SHARE is held takes precedence and is loaded while the newer one
follows, if it can be loaded before the version that serves now may start no
more requests. So does a copy that the agents together hold, if engines serve
for longer that way. A copy of which less is held comes second and uses
the remaining bandwidth: the origin may fail just when a version is named, and
then the older version is the only one available. A copy that would complete
too late is cancelled, as it would serve for a moment between two loads.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FINISH_SHARE = 0.5

# If the agents together hold less of a copy, the time of its completion can't
# be estimated.
MIN_KNOWN_SHARE = 0.25
# Duration of a copy over an idle link, as a multiple of the transfer time of
# its bytes; the last chunks arrive one after the other.
COPY_SLACK = 1.2
# The same for a copy of which no agent holds a chunk: it waits for the origin.
FRESH_COPY_SLACK = 1.3
# A copy takes precedence only for a larger gain, as the next evaluation could
# reverse a smaller one.
MIN_GAIN_S = 0.5
# An origin that has not sent MIN_KNOWN_SHARE of a copy within this time counts
# as unavailable.
ORIGIN_SILENT_S = 1.5

# The second half of the engines loads after the first one; a load, including
# the requests that run before it, takes about this long.
LOAD_TURN_S = 1.0

# An engine that loads takes no new requests and finishes the running ones. If
# all did so at once, a model would be unavailable for seconds on each release.
# With half of them at a time the other half serves, and two halves fit between
# the end of the copies and the time by which a version has to be in force.
LOADING_SHARE = 0.5

# Time before the end of an older version from which waiting for a turn is
# useless: no requests are sent to that version any more.
FINAL_LOAD_S = 1.0

# An engine that refused an order may be busy with its requests; to retry at
# once would only cost another order.
ORDER_RETRY_S = 0.25
# After an order the agent waits for the engine's report; if the engine neither
# loads nor holds the version by then, the order was lost.
ORDER_TIMEOUT_S = 1.0


class CopyProgress(NamedTuple):
    """A copy in progress: its version and the share of it that is held.

    It has been in progress for `copying_s`. After `serving_left_s` the version
    that serves now may start no more requests. `known` is the share of chunks
    that this instance and its peers hold together, `full_copy_s` the least
    time that a complete copy takes over this instance's link.
    """

    version: int
    share: float
    copying_s: float = 0.0
    serving_left_s: float = float('inf')
    known: float = 0.0
    full_copy_s: float = float('inf')


class StagingState(NamedTuple):
    """What is known of the engine and of the copies.

    `ready` is the newest version with a complete copy and `loaded` the
    version that the engine holds, None if there is none. `ordered_at` is when
    the engine was last ordered to load `ready`.
    """

    ready: int | None
    loaded: int | None
    loading: bool
    ordered_at: float | None


def versions_to_copy(
    newest: int, under_way: Sequence[CopyProgress]
) -> tuple[int, ...]:
    """Return the versions to copy now, in order of precedence.

    >>> versions_to_copy(3, [CopyProgress(2, 0.7)])
    (2, 3)
    >>> versions_to_copy(3, [CopyProgress(2, 0.2)])
    (3, 2)
    >>> versions_to_copy(3, [CopyProgress(2, 1.0)])
    (3,)
    >>> versions_to_copy(3, [CopyProgress(2, 0.6, 4.0, 3.0)])
    (3,)
    """
    older = max(
        (p for p in under_way if p.version < newest and 0 < p.share < 1),
        default=None,
        key=lambda p: p.share,
    )
    if older is None:
        return (newest,)
    copy = next((p for p in under_way if p.version == newest), None)
    if not _is_useful(older, copy):
        return (newest,)
    if copy is None or older.known < MIN_KNOWN_SHARE:
        older_first = older.share >= FINISH_SHARE
    else:
        gain_s = _gap_s_newest_first(older, copy) - _gap_s_older_first(
            older, copy
        )
        older_first = gain_s > MIN_GAIN_S
    return (older.version, newest) if older_first else (newest, older.version)


def _is_useful(older: CopyProgress, newest: CopyProgress | None) -> bool:
    """Whether an older version would serve for longer than a moment.

    It would if it is loaded before the version that serves now ends, or if
    by then no version serves and the newest can't be loaded yet.
    """
    older_s = _fleet_remaining_s(older) + LOAD_TURN_S
    if older_s <= older.serving_left_s:
        return True
    if newest is None:
        return False
    newest_s = _newest_remaining_s(older, newest) + LOAD_TURN_S
    return older_s + LOAD_TURN_S <= min(newest.serving_left_s, newest_s)


def _fleet_remaining_s(progress: CopyProgress) -> float:
    """Estimate the remaining seconds of a copy that peers can supply."""
    remaining_s = _remaining_s(progress.share, progress.copying_s)
    if progress.known < MIN_KNOWN_SHARE:
        return remaining_s
    by_link_s = (1 - progress.share) * progress.full_copy_s * COPY_SLACK
    return min(remaining_s, by_link_s)


def _gap_s_older_first(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate the seconds without service if the older copy goes first."""
    older_s = _fleet_remaining_s(older) + LOAD_TURN_S
    newest_s = older_s + (1 - newest.share) * older.full_copy_s * COPY_SLACK
    return max(0.0, older_s - older.serving_left_s) + max(
        0.0, newest_s - newest.serving_left_s
    )


def _gap_s_newest_first(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate the seconds without service if the newest copy goes first."""
    newest_s = _newest_remaining_s(older, newest) + LOAD_TURN_S
    return max(0.0, newest_s - older.serving_left_s)


def _newest_remaining_s(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate the remaining seconds of the newest copy if it goes first."""
    if newest.copying_s > ORIGIN_SILENT_S and newest.known < MIN_KNOWN_SHARE:
        return float('inf')
    return max(
        (1 - newest.share) * older.full_copy_s * COPY_SLACK,
        older.full_copy_s * FRESH_COPY_SLACK - newest.copying_s,
    )


def _remaining_s(share: float, copying_s: float) -> float:
    """Estimate the remaining seconds of a copy from its average rate."""
    return copying_s * (1 - share) / share


# An idle engine loads staged weights within this time, including the staging
# and the report of it.
LOAD_S = 0.5
# Before a load an engine finishes its requests; most of them end within this.
DRAIN_S = 1.0

# If less of a copy is held, the time of its completion can't be estimated.
MIN_ESTIMATE_SHARE = 0.25


def closes_in_s(
    share: float, copying_s: float, waits_for_other: bool, limit_in_s: float
) -> float | None:
    """Estimate the seconds until the engine takes no new requests, to load.

    Entries send it no requests that would last longer, so that it need not
    spend seconds on its last few requests. `share` is the held share of the
    copy, which has been in progress for `copying_s`; `limit_in_s` is the time
    until the load can wait no longer. None if it is too early to estimate.

    >>> closes_in_s(0.5, 2.0, False, 5.0), closes_in_s(0.5, 2.0, True, 5.0)
    (2.0, 3.0)
    """
    if share < MIN_ESTIMATE_SHARE:
        return None
    copy_s = _remaining_s(share, copying_s)
    turn_s = LOAD_TURN_S if waits_for_other else 0.0
    return max(0.0, min(copy_s + turn_s, limit_in_s))


def opens_in_s(
    share: float, copying_s: float, remaining_by_link_s: float
) -> float:
    """Estimate the seconds until an engine without weights takes requests.

    Callers that can wait for that time are admitted to wait, and the others
    are refused with a retry delay. `share` is the held share of the copy,
    which has been in progress for `copying_s`. `remaining_by_link_s` is the
    duration of the remainder at the full bandwidth of the link; it is used
    while too little has been copied for an estimate.

    >>> opens_in_s(0.5, 2.0, 1.5), opens_in_s(0.1, 0.5, 4.0)
    (2.5, 4.5)
    """
    if share < MIN_ESTIMATE_SHARE:
        return remaining_by_link_s + LOAD_S
    return _remaining_s(share, copying_s) + LOAD_S


def must_load(named_at: float | None, limit_s: float, now: float) -> bool:
    """Whether an engine must load without waiting for its turn.

    `named_at` is when the version was named, None if long ago, and `limit_s`
    how long the previous version may be served after that.
    """
    return named_at is None or now >= named_at + limit_s - FINAL_LOAD_S


def may_order(state: StagingState, now: float) -> bool:
    """Whether to order the engine to load now."""
    if state.ready is None or state.loading:
        return False
    if state.loaded is not None and state.loaded >= state.ready:
        return False
    ordered_at = state.ordered_at
    return ordered_at is None or now - ordered_at > ORDER_TIMEOUT_S
