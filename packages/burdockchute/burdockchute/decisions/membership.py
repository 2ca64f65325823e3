"""Who belongs to the system, from a lagging list and our own links.

Load: 1,800 instances are restarted and 120 fail on an ordinary day, a zone
goes now and then, and regions lose each other for an hour. The platform's
list tells it late, and during a fault may be away, empty or lack a region.
Our own links tell at once who answers, but only of those we link to, and a
broken link may be our own fault.

So the list says who belongs; a link says who can be used. An instance that
is gone from the list stays while its link is alive, as the list may be
wrong. One that is listed and does not answer stays a member too: were it
dropped on the word of one entry, a parted region would give its models to
others, and each side would copy weights that the other still holds. Leaving
is believed from either at once, as no new work must go to a leaver within
seconds.

A list that suddenly lacks more than SHRINK_SHARE of the members is not
believed before it has said so for SHRINK_CONFIRM_S: after a restart of the
list service it is empty or short for a while, and every entry would drop
its links in the same second. A lost zone is one in fourteen and a lost
region one in four, so neither has to wait.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.model.members import Member

SHRINK_SHARE = 0.5
SHRINK_CONFIRM_S = 30.0


# The list is only given whole, at about this many bytes for each instance;
# reading it must stay below half of what a node may spend on control. That
# is once in half a second at the sizes of today and once in three minutes
# with 12,000; leaving does not wait for it, as agents tell it themselves.
LIST_ITEM_BYTES = 160
LIST_BYTES_PER_S = 10_000
MIN_POLL_INTERVAL_S = 0.5


class LinkReport(NamedTuple):
    """What an open link says of the instance at its other end."""

    member: Member
    leaving: bool


class Membership(NamedTuple):
    """Members by name order; `shrunk_since` while the list is not believed."""

    members: tuple[Member, ...] = ()
    shrunk_since: float | None = None


def poll_interval_s(count: int) -> float:
    """Give how long to wait between readings of a list of that length."""
    return max(MIN_POLL_INTERVAL_S, count * LIST_ITEM_BYTES / LIST_BYTES_PER_S)


def on_list(
    known: Membership,
    listed: Sequence[Member],
    heard: Mapping[str, LinkReport],
    now: float,
) -> Membership:
    """Give the members after a reading of the list."""
    before = [member for member in known.members if member.name not in heard]
    names = {member.name for member in listed}
    missing = sum(member.name not in names for member in before)
    if missing > SHRINK_SHARE * len(known.members):
        since = known.shrunk_since if known.shrunk_since is not None else now
        if now - since < SHRINK_CONFIRM_S:
            kept = {member.name: member for member in known.members}
            kept |= {member.name: member for member in listed}
            return Membership(merge(list(kept.values()), heard), since)
    return Membership(merge(listed, heard))


def on_link_reports(
    known: Membership, heard: Mapping[str, LinkReport]
) -> Membership:
    """Give the members after links told something between two readings."""
    return known._replace(members=merge(known.members, heard))


def merge(
    listed: Sequence[Member], heard: Mapping[str, LinkReport]
) -> tuple[Member, ...]:
    """Take list and links together, by name order."""
    joined = {member.name: member for member in listed}
    for name, link in heard.items():
        member = joined.get(name, link.member)
        leaving = member.leaving or link.leaving
        joined[name] = member._replace(leaving=leaving)
    return tuple(joined[name] for name in sorted(joined))


def changes(
    old: Sequence[Member], new: Sequence[Member]
) -> tuple[list[Member], list[str]]:
    """Give the members that came or changed, and the names that went."""
    before = {member.name: member for member in old}
    came = [m for m in new if before.pop(m.name, None) != m]
    names = {member.name for member in new}
    return came, sorted(name for name in before if name not in names)
