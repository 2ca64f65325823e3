"""Membership of instances, from a lagging list and this process's links.

On an ordinary day 1,800 instances are restarted and 120 fail; now and then a
zone fails, and regions lose contact for an hour. The platform's list shows
such changes late, and during a fault may be unavailable, empty or lack a
region. The links of this process show at once which instances answer, but
only those that it links to, and a broken link may be this process's fault.

So the list decides which instances are members, and a link whether a member
is usable. An instance that is missing from the list stays a member while its
link is alive, as the list may be wrong. A listed instance that does not
answer stays a member too: if one entry could drop it, a region that is cut
off would have its models assigned to other instances, and each side would
copy weights that the other still holds. Leaving is taken from either source
at once, as within seconds no new work may go to a leaving instance.

A list that suddenly lacks more than SHRINK_SHARE of the members is applied
only after it has lacked them for SHRINK_CONFIRM_S.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.model.members import Member

# A lost zone is one in fourteen members and a lost region one in four, so the
# loss of either is applied at once.
SHRINK_SHARE = 0.5

# After a restart of the list service the list is empty or short for a while,
# and every entry would drop its links in the same second.
SHRINK_CONFIRM_S = 30.0

# The list can only be read completely, at about this many bytes for each
# instance, and reading it must stay below half of a node's bandwidth for
# control messages. That gives a read each half second at today's size and
# one in three minutes with 12,000 instances. The leaving of an instance is
# known without it, as agents report that themselves.
LIST_ITEM_BYTES = 160
LIST_BYTES_PER_S = 10_000
MIN_POLL_INTERVAL_S = 0.5


class LinkReport(NamedTuple):
    """What an open link reports about the instance at its other end."""

    member: Member
    leaving: bool


class Membership(NamedTuple):
    """The members, sorted by name.

    `shrunk_since` is when the list began to lack too many of them, None
    while the list is applied.
    """

    members: tuple[Member, ...] = ()
    shrunk_since: float | None = None


def poll_interval_s(count: int) -> float:
    """Return the seconds between reads of a list of `count` instances."""
    return max(MIN_POLL_INTERVAL_S, count * LIST_ITEM_BYTES / LIST_BYTES_PER_S)


def on_list(
    current: Membership,
    listed: Sequence[Member],
    link_reports: Mapping[str, LinkReport],
    now: float,
) -> Membership:
    """Return the members after a read of the list."""
    before = [
        member for member in current.members if member.name not in link_reports
    ]
    names = {member.name for member in listed}
    missing = sum(member.name not in names for member in before)
    if missing > SHRINK_SHARE * len(current.members):
        since = (
            current.shrunk_since if current.shrunk_since is not None else now
        )
        if now - since < SHRINK_CONFIRM_S:
            kept = {member.name: member for member in current.members}
            kept |= {member.name: member for member in listed}
            return Membership(merge(list(kept.values()), link_reports), since)
    return Membership(merge(listed, link_reports))


def on_link_reports(
    current: Membership, link_reports: Mapping[str, LinkReport]
) -> Membership:
    """Return the members after link reports between two reads of the list."""
    return current._replace(members=merge(current.members, link_reports))


def merge(
    listed: Sequence[Member], link_reports: Mapping[str, LinkReport]
) -> tuple[Member, ...]:
    """Return the members of list and links together, sorted by name."""
    joined = {member.name: member for member in listed}
    for name, link in link_reports.items():
        member = joined.get(name, link.member)
        leaving = member.leaving or link.leaving
        joined[name] = member._replace(leaving=leaving)
    return tuple(joined[name] for name in sorted(joined))


def changes(
    old: Sequence[Member], new: Sequence[Member]
) -> tuple[list[Member], list[str]]:
    """Return the members added or changed, and the names removed."""
    before = {member.name: member for member in old}
    changed = [m for m in new if before.pop(m.name, None) != m]
    names = {member.name for member in new}
    return changed, sorted(name for name in before if name not in names)
