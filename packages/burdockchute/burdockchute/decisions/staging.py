"""What an agent does next so that its engine holds the version wanted.

Load: a version is named for all engines at once, a second one a few seconds
later, while copies are under way; engines crash and come back with nothing.
Were each new name to stop the copy before it, two quick releases would leave
every engine on a version that may no longer answer, for as long as a whole
copy takes. Were each copy always finished first, the newest would be late
everywhere by the rest of a copy.

So both are copied at once, one before the other. A copy of which FINISH_SHARE
is held goes first and is loaded while the newer one follows, if it can be
loaded before the version that serves now may begin nothing any more. So does
one that the agents hold between them, where engines serve for longer with it.
One that has less goes after the newer and takes what the link has left: the
origin may fail just when a version is named, and then the older one is all
that can be had. One that would come too late is given up; it would serve for
a moment between two loads.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FINISH_SHARE = 0.5

# A copy of which the agents hold less between them says too little of when it
# will be whole.
MIN_KNOWN_SHARE = 0.25
# Time of a copy over an idle link, as a multiple of that of its bytes alone;
# the last chunks come one after the other.
COPY_SLACK = 1.2
# The same for a copy of which nobody holds anything: it waits for the origin.
FRESH_COPY_SLACK = 1.3
# Turning to another copy for less than this would be undone by the next look.
MIN_GAIN_S = 0.5
# The origin gives out a share of FEW_KNOWN within this time, or is away.
ORIGIN_SILENT_S = 1.5

# After the first half has loaded the second one follows; a load with what
# ran before it takes about this long.
TURN_S = 1.0

# While an engine loads it takes nothing new and finishes what it runs. If
# all did so at once, a model would be away for seconds on each release; with
# a half at a time the other half serves on, and two halves fit between the
# end of the copies and the time by which a version has to be in force.
LOADING_SHARE = 0.5

# From this long before an older version may begin nothing any more, waiting
# for one's turn saves nothing: requests go there no longer.
FINAL_LOAD_S = 1.0

# An engine that refused an order may be busy with what it runs; asking again
# at once would only cost an order.
ORDER_RETRY_S = 0.25
# After an order the engine's own word is waited for; if it neither loads nor
# holds the version by then, the order was lost.
ORDER_TIMEOUT_S = 1.0


class CopyProgress(NamedTuple):
    """The copy under way: its version and which share of it is held.

    It has been under way for `copying_s`. After `serving_left_s` the version
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

    `ready` is the newest version of which there is a whole copy and `loaded`
    the version that the engine holds, None for none. `ordered_at` is when it
    was last ordered to load `ready`.
    """

    ready: int | None
    loaded: int | None
    loading: bool
    ordered_at: float | None


def versions_to_copy(
    newest: int, under_way: Sequence[CopyProgress]
) -> tuple[int, ...]:
    """Give the versions to copy now, the first before the others.

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
        goes_first = older.share >= FINISH_SHARE
    else:
        gain_s = _closed_s_without(older, copy) - _closed_s(older, copy)
        goes_first = gain_s > MIN_GAIN_S
    return (older.version, newest) if goes_first else (newest, older.version)


def _is_useful(older: CopyProgress, newest: CopyProgress | None) -> bool:
    """Tell whether an older version would serve for longer than a moment.

    It does where it replaces the one that serves, or where nothing serves by
    then and the newest can't be here.
    """
    older_s = _fleet_rest_s(older) + TURN_S
    if older_s <= older.serving_left_s:
        return True
    if newest is None:
        return False
    newest_s = _newest_rest_s(older, newest) + TURN_S
    return older_s + TURN_S <= min(newest.serving_left_s, newest_s)


def _fleet_rest_s(progress: CopyProgress) -> float:
    """Estimate the rest of a copy that peers can feed."""
    rest_s = _rest_s(progress.share, progress.copying_s)
    if progress.known < MIN_KNOWN_SHARE:
        return rest_s
    by_link_s = (1 - progress.share) * progress.full_copy_s * COPY_SLACK
    return min(rest_s, by_link_s)


def _closed_s(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate how long nothing serves if an older copy goes first."""
    older_s = _fleet_rest_s(older) + TURN_S
    newest_s = older_s + (1 - newest.share) * older.full_copy_s * COPY_SLACK
    return max(0.0, older_s - older.serving_left_s) + max(
        0.0, newest_s - newest.serving_left_s
    )


def _closed_s_without(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate how long nothing serves if the newest copy goes first."""
    newest_s = _newest_rest_s(older, newest) + TURN_S
    return max(0.0, newest_s - older.serving_left_s)


def _newest_rest_s(older: CopyProgress, newest: CopyProgress) -> float:
    """Estimate the rest of the newest copy if it goes first."""
    if newest.copying_s > ORIGIN_SILENT_S and newest.known < MIN_KNOWN_SHARE:
        return float('inf')
    return max(
        (1 - newest.share) * older.full_copy_s * COPY_SLACK,
        older.full_copy_s * FRESH_COPY_SLACK - newest.copying_s,
    )


def _rest_s(share: float, copying_s: float) -> float:
    """Estimate what the rest of a copy takes, at the pace it had so far."""
    return copying_s * (1 - share) / share


# An engine with nothing to finish loads what is staged within this time, the
# staging and the report of it included.
LOAD_S = 0.5
# One that loads has to finish what it runs; most of that ends so soon.
DRAIN_S = 1.0

# Less of a copy than this says too little of when it will be whole.
MIN_ESTIMATE_SHARE = 0.25


def closes_in_s(
    share: float, copying_s: float, waits_for_other: bool, limit_in_s: float
) -> float | None:
    """Estimate when the engine takes nothing new, as it is to load.

    Entries keep what lasts longer away from it by then, so that it need not
    work for seconds on the last few requests that it holds. `share` is that
    of the copy, which has been under way for `copying_s`; `limit_in_s` is
    until a load can wait no longer. None for a time too far off to tell.

    >>> closes_in_s(0.5, 2.0, False, 5.0), closes_in_s(0.5, 2.0, True, 5.0)
    (2.0, 3.0)
    """
    if share < MIN_ESTIMATE_SHARE:
        return None
    copy_s = _rest_s(share, copying_s)
    turn_s = TURN_S if waits_for_other else 0.0
    return max(0.0, min(copy_s + turn_s, limit_in_s))


def opens_in_s(share: float, copying_s: float, rest_by_link_s: float) -> float:
    """Estimate when an engine that serves nothing takes requests again.

    Callers who can wait that long are let in to wait, and the others are
    told when to come back. `share` is that of the copy, which has been under
    way for `copying_s`; `rest_by_link_s` is what the rest takes at the most
    that the link carries, for as long as too little has come to tell.

    >>> opens_in_s(0.5, 2.0, 1.5), opens_in_s(0.1, 0.5, 4.0)
    (2.5, 4.5)
    """
    if share < MIN_ESTIMATE_SHARE:
        return rest_by_link_s + LOAD_S
    return _rest_s(share, copying_s) + LOAD_S


def must_load(named_at: float | None, limit_s: float, now: float) -> bool:
    """Tell whether a load can wait for its turn no longer.

    `named_at` is when the version was named, None for long ago, `limit_s`
    how long the one before may be served after that.
    """
    return named_at is None or now >= named_at + limit_s - FINAL_LOAD_S


def may_order(standing: StagingState, now: float) -> bool:
    """Tell whether the engine is to be ordered to load now."""
    if standing.ready is None or standing.loading:
        return False
    if standing.loaded is not None and standing.loaded >= standing.ready:
        return False
    ordered_at = standing.ordered_at
    return ordered_at is None or now - ordered_at > ORDER_TIMEOUT_S
