"""Which upstreams the platform's list names, through its outages.

Load: upstreams write to the list each second or so and lapse when they fall
silent. When the list's store comes back after an outage, all of them have
lapsed, although nearly all are well; for about two seconds they return one
by one. Taking the list at its word would leave no upstream for that time,
and every request would be refused. Never dropping a lapsed one would send
requests to the dead.

So what had lapsed when the store returned is kept for SETTLE_S, and dropped
if it has not come back by then. What lapses later than LAPSE_S after the
return has left since, and is dropped at once, as in calm times.

An upstream that restarts may keep its id. A record of an earlier start that
arrives late must not bring back what that start held, so records go by the
time of start first and by their position after it.

One that restarts under a new id stands at the address of the old one, which
the list names until it lapses some seconds later. Only one process can serve
at an address, so whoever was listed there last takes the other's place. After
a loss of power at all engines half of the requests went to ids that were
gone, and one in three of two seconds' callers was refused for it.

A store that comes back from a copy shows the list as it was some seconds
before. Of an upstream that is known it can only tell what never goes back:
that it leaves, a later start, a later version of weights. One that was seen
to leave stays gone until the list is read again, SETTLE_S later.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from types import MappingProxyType
from typing import NamedTuple

from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Listed
from burdockchute.model.upstreams import Unlisted
from burdockchute.model.upstreams import Upstream

# Upstreams are back about two seconds after the return, which is noticed a
# moment later. A process counts as in touch again three seconds after it, and
# must have dropped by then whoever left meanwhile.
SETTLE_S = 2.1
# The first reading after the return may come before the store has taken out
# what lapsed.
LATE_EXPIRY_S = 0.3


class KnownUpstream(NamedTuple):
    """One upstream; `expired_at` is set while it is missing from the list."""

    upstream: Upstream
    position: Position
    expired_at: float | None = None


class DroppedUpstream(NamedTuple):
    """An upstream that was dropped, and the last record of it."""

    upstream: Upstream
    position: Position


class UpstreamList(NamedTuple):
    """All known upstreams by id.

    What lapses before `expires_until` is kept to `settles_at`; `gone`
    remembers who was dropped, `ids_by_endpoint` who was listed last at each
    address.
    """

    known: dict[str, KnownUpstream]
    gone: dict[str, DroppedUpstream]
    settles_at: float = float('-inf')
    expires_until: float = float('-inf')
    ids_by_endpoint: Mapping[Endpoint, str] = MappingProxyType({})


def empty() -> UpstreamList:
    """Give a list that names nobody."""
    return UpstreamList({}, {})


def on_store_return(listed: UpstreamList, now: float) -> UpstreamList:
    """Note that the store answers again after an outage."""
    return listed._replace(
        settles_at=now + SETTLE_S, expires_until=now + LATE_EXPIRY_S
    )


def on_listed(listed: UpstreamList, entry: Listed) -> UpstreamList:
    """Take in what the list says of an upstream."""
    upstream, position = entry.upstream, entry.position
    old = listed.known.get(upstream.id)
    gone = listed.gone.get(upstream.id)
    if gone is not None and position <= gone.position:
        return listed
    if old is not None and not _follows(old, upstream, position):
        return listed
    rival = _rival(listed, upstream)
    if rival is not None:
        if not _follows(rival, upstream, position):
            return listed
        listed = _without(listed, rival.upstream.id, rival.position)
    return listed._replace(
        known={**listed.known, upstream.id: KnownUpstream(upstream, position)},
        ids_by_endpoint={
            **listed.ids_by_endpoint,
            upstream.endpoint: upstream.id,
        },
    )


def on_unlisted(
    listed: UpstreamList, entry: Unlisted, now: float
) -> UpstreamList:
    """Take in that the list no longer names an upstream."""
    old = listed.known.get(entry.id)
    if old is None or entry.position < old.position:
        return listed
    if now < listed.expires_until:
        lapsed = old._replace(position=entry.position, expired_at=now)
        return listed._replace(known={**listed.known, entry.id: lapsed})
    return _without(listed, entry.id, entry.position)


def on_complete_list(
    listed: UpstreamList, names: set[str], position: Position, now: float
) -> UpstreamList:
    """Take in that the list names these ids and no others.

    `position` is where it is read on: what stands there comes after it.
    """
    last_read = position._replace(offset=position.offset - 1)
    for name in [n for n in listed.known if n not in names]:
        missing = Unlisted(last_read, name, 'missing from the list')
        listed = on_unlisted(listed, missing, now)
    return listed


def on_restored(
    listed: UpstreamList,
    entries: Sequence[Listed],
    position: Position,
    now: float,
) -> UpstreamList:
    """Take in the whole list of a store that came back from a copy."""
    listed = on_store_return(listed, now)
    for entry in entries:
        upstream = entry.upstream
        old = listed.known.get(upstream.id)
        if old is not None and not _started_later(old.upstream, upstream):
            merged = KnownUpstream(
                _merged(old.upstream, upstream),
                max(old.position, entry.position),
            )
            known = {**listed.known, upstream.id: merged}
            listed = listed._replace(known=known)
        elif _is_newer_than_known(listed, upstream):
            listed = on_listed(listed, entry)
    names = {entry.upstream.id for entry in entries}
    return on_complete_list(listed, names, position, now)


def on_tick(listed: UpstreamList, now: float) -> UpstreamList:
    """Drop those that lapsed and have not come back in time."""
    if now < listed.settles_at:
        return listed
    overdue = [
        (name, known.position)
        for name, known in listed.known.items()
        if known.expired_at is not None
    ]
    for name, position in overdue:
        listed = _without(listed, name, position)
    return listed


def _rival(listed: UpstreamList, upstream: Upstream) -> KnownUpstream | None:
    """Give another upstream that is listed at the same address."""
    name = listed.ids_by_endpoint.get(upstream.endpoint, upstream.id)
    return listed.known.get(name) if name != upstream.id else None


def _follows(
    old: KnownUpstream, upstream: Upstream, position: Position
) -> bool:
    before, after = old.upstream.started_ms, upstream.started_ms
    if before is not None and after is not None and before != after:
        return after > before
    return position > old.position


def _started_later(old: Upstream, upstream: Upstream) -> bool:
    before, after = old.started_ms, upstream.started_ms
    return before is not None and after is not None and after > before


def _merged(known: Upstream, copied: Upstream) -> Upstream:
    """Give what is known with what a copy tells that can't be outdated."""
    if _started_later(copied, known):
        return known
    versions = {
        model: max(version, copied.versions.get(model, version))
        for model, version in known.versions.items()
    }
    return known._replace(
        draining=known.draining or copied.draining, versions=versions
    )


def _is_newer_than_known(listed: UpstreamList, upstream: Upstream) -> bool:
    """Tell whether an entry of a copy is of a start not heard of before."""
    gone = listed.gone.get(upstream.id)
    if gone is not None and not _started_later(gone.upstream, upstream):
        return False
    rival = _rival(listed, upstream)
    return rival is None or _started_later(rival.upstream, upstream)


def _without(
    listed: UpstreamList, name: str, position: Position
) -> UpstreamList:
    left = DroppedUpstream(listed.known[name].upstream, position)
    known = {n: k for n, k in listed.known.items() if n != name}
    return listed._replace(known=known, gone={**listed.gone, name: left})
