"""Known upstreams, from the platform's list and across its outages.

Upstreams renew their entry in the list each second or so, and it expires
when they stop. When the list's store returns from an outage, all entries
have expired, although nearly all upstreams are healthy; they are listed
again one by one within about two seconds. Following the list strictly would
leave no upstream for that time, and every request would be refused. Never
dropping an expired upstream would send requests to dead ones.

So entries that had expired when the store returned are kept for SETTLE_S,
and dropped if they are not listed again by then. An upstream whose entry
expires later than LATE_EXPIRY_S after the return has left since, and is
dropped at once, as without an outage. So is one whose entry can't be read: it
has not expired, and nothing says where the upstream is now.

An upstream that restarts may keep its id. A late record of an earlier start
must not restore the state of that start, so records are ordered by the time
of start first and by their position second.

An upstream that restarts under a new id has the address of the old one,
which stays in the list until it expires some seconds later. Only one process
can serve at an address, so the upstream that was listed there last replaces
the other. Without this rule, after a loss of power at all engines half of the
requests went to ids that no longer existed, and for two seconds one in three
callers was refused.

A store that is restored from a copy shows the list of some seconds before.
Of a known upstream it can only add what never goes back: that it is
draining, a later start, a later version of weights. An upstream that was
seen to leave stays dropped until the list is read again, SETTLE_S later.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from types import MappingProxyType
from typing import NamedTuple

from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Upstream
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted

# Upstreams are listed again about two seconds after the return, which is
# noticed a moment later. A process counts as up to date three seconds after
# the return, and must have dropped by then every upstream that has left.
SETTLE_S = 2.1
# The first read after the return may come before the store has removed the
# expired entries.
LATE_EXPIRY_S = 0.3


class KnownUpstream(NamedTuple):
    """A known upstream, as its entry was read at `read_at`.

    `expired_at` is set while the list lacks it.
    """

    upstream: Upstream
    position: Position
    expired_at: float | None = None
    read_at: float = float('-inf')

    @property
    def cold_until(self) -> float:
        """Until when it is cold, by its entry."""
        return self.read_at + self.upstream.warm_in_s


class DroppedUpstream(NamedTuple):
    """An upstream that was dropped, and the position of its last record."""

    upstream: Upstream
    position: Position


class UpstreamList(NamedTuple):
    """All known upstreams by id.

    Entries that expire before `expires_until` are kept until `settles_at`.
    `gone` holds the dropped upstreams by id, `ids_by_endpoint` the id that
    was listed last at each address.
    """

    known: dict[str, KnownUpstream]
    gone: dict[str, DroppedUpstream]
    settles_at: float = float('-inf')
    expires_until: float = float('-inf')
    ids_by_endpoint: Mapping[Endpoint, str] = MappingProxyType({})


def empty() -> UpstreamList:
    """Return a list without upstreams."""
    return UpstreamList({}, {})


def on_store_return(listed: UpstreamList, now: float) -> UpstreamList:
    """Return the list after the store has answered again after an outage."""
    return listed._replace(
        settles_at=now + SETTLE_S, expires_until=now + LATE_EXPIRY_S
    )


def on_listed(
    listed: UpstreamList, entry: UpstreamListed, now: float = float('-inf')
) -> UpstreamList:
    """Return the list after an upstream was listed."""
    upstream, position = entry.upstream, entry.position
    old = listed.known.get(upstream.id)
    gone = listed.gone.get(upstream.id)
    if gone is not None and position <= gone.position:
        return listed
    if old is not None and not _follows(old, upstream, position):
        return listed
    previous = _same_address(listed, upstream)
    if previous is not None:
        if not _follows(previous, upstream, position):
            return listed
        listed = _without(listed, previous.upstream.id, previous.position)
    return listed._replace(
        known={
            **listed.known,
            upstream.id: KnownUpstream(upstream, position, read_at=now),
        },
        ids_by_endpoint={
            **listed.ids_by_endpoint,
            upstream.endpoint: upstream.id,
        },
    )


def on_unlisted(
    listed: UpstreamList, entry: UpstreamUnlisted, now: float
) -> UpstreamList:
    """Return the list after an entry was removed."""
    old = listed.known.get(entry.id)
    if old is None or entry.position < old.position:
        return listed
    if now < listed.expires_until and not entry.is_unreadable:
        expired = old._replace(position=entry.position, expired_at=now)
        return listed._replace(known={**listed.known, entry.id: expired})
    return _without(listed, entry.id, entry.position)


def on_complete_list(
    listed: UpstreamList, names: set[str], position: Position, now: float
) -> UpstreamList:
    """Return the list after a complete read that gave exactly these ids.

    `position` is where reading continues: the record there is newer than the
    complete read.
    """
    last_read = position._replace(offset=position.offset - 1)
    for name in [n for n in listed.known if n not in names]:
        missing = UpstreamUnlisted(last_read, name, 'missing from the list')
        listed = on_unlisted(listed, missing, now)
    return listed


def on_restored(
    listed: UpstreamList,
    entries: Sequence[UpstreamListed],
    position: Position,
    now: float,
) -> UpstreamList:
    """Return the list after a read of a store that was restored."""
    listed = on_store_return(listed, now)
    for entry in entries:
        upstream = entry.upstream
        old = listed.known.get(upstream.id)
        if old is not None and not _started_later(old.upstream, upstream):
            merged = KnownUpstream(
                _merge(old.upstream, upstream),
                max(old.position, entry.position),
                read_at=old.read_at,
            )
            known = {**listed.known, upstream.id: merged}
            listed = listed._replace(known=known)
        elif _is_newer_than_known(listed, upstream):
            listed = on_listed(listed, entry, now)
    names = {entry.upstream.id for entry in entries}
    return on_complete_list(listed, names, position, now)


def on_tick(listed: UpstreamList, now: float) -> UpstreamList:
    """Return the list without expired upstreams whose time is over."""
    if now < listed.settles_at:
        return listed
    expired = [
        (name, known.position)
        for name, known in listed.known.items()
        if known.expired_at is not None
    ]
    for name, position in expired:
        listed = _without(listed, name, position)
    return listed


def _same_address(
    listed: UpstreamList, upstream: Upstream
) -> KnownUpstream | None:
    """Return another upstream that is listed at the same address, if any."""
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


def _merge(known: Upstream, restored: Upstream) -> Upstream:
    """Return a known upstream with the facts of a copy that never go back."""
    if _started_later(restored, known):
        return known
    versions = {
        model: max(version, restored.versions.get(model, version))
        for model, version in known.versions.items()
    }
    return known._replace(
        draining=known.draining or restored.draining, versions=versions
    )


def _is_newer_than_known(listed: UpstreamList, upstream: Upstream) -> bool:
    """Whether an entry of a copy shows a start that is not known yet."""
    gone = listed.gone.get(upstream.id)
    if gone is not None and not _started_later(gone.upstream, upstream):
        return False
    previous = _same_address(listed, upstream)
    return previous is None or _started_later(previous.upstream, upstream)


def _without(
    listed: UpstreamList, name: str, position: Position
) -> UpstreamList:
    dropped = DroppedUpstream(listed.known[name].upstream, position)
    known = {n: k for n, k in listed.known.items() if n != name}
    return listed._replace(known=known, gone={**listed.gone, name: dropped})
