"""What upstreams ask of their clients, and when a request may be sent there.

An upstream that is leaving says so in its answers. It gets nothing new from
then on until its process ends, whatever the list of upstreams shows: the list
is late, or does not change while its store is away.

An upstream that turns a request away may ask for rest: it gets nothing from
this entry until that time is over. A later answer to a request that was under
way does not end the rest, and a shorter rest does not shorten it.

An upstream that is short of capacity names in its answers how many requests
per second it accepts from all entries together. Entries can't agree on every
request, so each uses an equal share of the rate, as turns at a regular
interval. The first turn is at a random time within the interval: with many
entries and a low rate, each entry has a turn only every few seconds, and
turns at the same time would add up to a burst.

A turn that is not used within TURN_VALID_S lapses. If entries kept their
turns while they have no requests, a burst of callers would find one at each
of them, and the upstream would get as many requests at once as there are
entries, whatever its limit.

A limit holds until the upstream states another one or none, or ends. Answers
overtake each other: one that was under way when the limit was lowered says
the old one. So a lower limit applies at once, and a higher one or none only
if the answer is to a request that was sent after the present limit was
stated. An upstream that named a limit of almost zero still gets a request now
and then, as only an answer can tell that it accepts more.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq
from typing import NamedTuple

from burdockchute.model.exchanges import Backpressure

TURN_VALID_S = 0.5

# Share of a named limit that is used: the number of entries that an entry
# knows lags when others join.
USED_SHARE = 0.8

# With more entries than this, the turns in a few seconds are mostly those of
# different entries. Their number varies by chance, so a smaller share is used.
FEW_ENTRIES = 12
USED_SHARE_OF_MANY = 0.6

# Requests per second from all entries that ask whether a limit still holds.
MIN_RATE = 0.25


# Number of entries until an agent has reported one.
ASSUMED_ENTRIES = 8

# Entries that an agent has reported count for this time at least.
ENTRIES_HOLD_S = 10.0


class EntryCount:
    """The number of entries that share the upstreams.

    Each agent reports how many entries are linked to it. An agent that has
    just started, or is cut off from some entries, reports fewer than there
    are. Those that it lacks still send to upstreams, so the highest number
    that any agent reported lately counts. `registered` is the number that the
    store names, 0 before it was read: it outlives the start of an entry and
    the loss of agents. The higher of the two counts.
    """

    def __init__(self) -> None:
        self.registered = 0
        self._earlier_max = 0
        self._max = 0
        self._since = float('-inf')

    @property
    def value(self) -> int:
        """The number of entries."""
        if not self.reported and self.registered <= 1:
            # One that has just started may be the first that is registered.
            return ASSUMED_ENTRIES
        return max(self.reported, self.registered)

    @property
    def reported(self) -> int:
        """The number that agents have reported; 0 before any report."""
        return max(self._earlier_max, self._max)

    def record(self, entries: int, now: float) -> None:
        """Record an agent's report."""
        if now - self._since >= ENTRIES_HOLD_S:
            self._earlier_max, self._max, self._since = self._max, 0, now
        self._max = max(self._max, entries)


def used_share(entries: int) -> float:
    """Return the share of a limit that the entries together use."""
    return USED_SHARE if entries <= FEW_ENTRIES else USED_SHARE_OF_MANY


class RateLimit(NamedTuple):
    """The limit of an upstream, and this entry's share of it.

    `rate` is in requests per second from all `entries`. `next_at` is the
    entry's next unused turn; it may have passed. `stated_at` is when an
    answer last stated the limit.
    """

    rate: float
    entries: int
    next_at: float
    stated_at: float

    @property
    def interval_s(self) -> float:
        """The seconds between two turns of this entry."""
        share = used_share(self.entries)
        return self.entries / (share * max(MIN_RATE, self.rate))


class Restrictions(NamedTuple):
    """What one run of an upstream has asked for that is still in force."""

    limit: RateLimit | None = None
    leaving: bool = False
    rests_until: float = float('-inf')


def rest_left_s(restrictions: Restrictions, now: float) -> float:
    """Return the seconds until the upstream accepts requests again.

    >>> rest_left_s(Restrictions(rests_until=4.0), 1.5)
    2.5
    """
    return max(0.0, restrictions.rests_until - now)


def after_answer(
    restrictions: Restrictions,
    stated: Backpressure,
    sent_at: float,
    entries: int,
    chance: float,
    now: float,
) -> Restrictions:
    """Return the restrictions after an answer to a request.

    The request had been sent at `sent_at`; `chance` is a random number from
    0 to 1.

    >>> stated = Backpressure(leaving=True, rest_s=2.0)
    >>> after_answer(Restrictions(), stated, 0.0, 4, 0.5, 1.0)
    Restrictions(limit=None, leaving=True, rests_until=3.0)
    """
    rests_until = restrictions.rests_until
    if stated.rest_s is not None:
        rests_until = max(rests_until, now + stated.rest_s)
    return Restrictions(
        limit=limit_after_answer(
            restrictions.limit, stated, sent_at, entries, chance, now
        ),
        leaving=restrictions.leaving or stated.leaving,
        rests_until=rests_until,
    )


def limit_after_answer(
    limit: RateLimit | None,
    stated: Backpressure,
    sent_at: float,
    entries: int,
    chance: float,
    now: float,
) -> RateLimit | None:
    """Return the limit after an answer to a request sent at `sent_at`.

    `chance` is a random number from 0 to 1.

    >>> limit = limit_after_answer(None, Backpressure(2.0), 0.0, 4, 0.5, 1.0)
    >>> limit
    RateLimit(rate=2.0, entries=4, next_at=2.25, stated_at=1.0)
    >>> limit_after_answer(limit, Backpressure(), 0.9, 4, 0.5, 1.1) == limit
    True
    >>> limit_after_answer(limit, Backpressure(), 1.05, 4, 0.5, 1.1) is None
    True
    """
    if limit is None:
        if stated.max_rate is None:
            return None
        named = RateLimit(stated.max_rate, entries, now, now)
        return named._replace(next_at=now + chance * named.interval_s)
    if stated.max_rate is None:
        lifted = sent_at >= limit.stated_at and not stated.unreadable
        return None if lifted else limit
    if stated.max_rate > limit.rate and sent_at < limit.stated_at:
        return limit
    changed = _rescaled(limit, limit._replace(rate=stated.max_rate), now)
    return changed._replace(stated_at=now)


def shared_among(limit: RateLimit, entries: int, now: float) -> RateLimit:
    """Return the limit as it is shared by another number of entries.

    >>> limit = RateLimit(2.0, 4, 2.25, 1.0)
    >>> shared_among(limit, 8, 1.0).next_at
    3.5
    """
    if entries == limit.entries:
        return limit
    return _rescaled(limit, limit._replace(entries=entries), now)


def next_turn_at(limit: RateLimit | None, now: float) -> float:
    """Return when the next request may be sent; `now` if it may be at once.

    >>> limit = RateLimit(2.0, 4, 2.25, 1.0)
    >>> [next_turn_at(limit, now) for now in (1.0, 2.5, 3.0)]
    [2.25, 2.5, 4.75]
    """
    return now if limit is None else max(now, _unlapsed(limit, now).next_at)


def take_turn(limit: RateLimit, now: float) -> RateLimit:
    """Return the limit after a request was sent.

    >>> take_turn(RateLimit(2.0, 4, 2.25, 1.0), 2.5).next_at
    4.75
    """
    limit = _unlapsed(limit, now)
    return limit._replace(next_at=limit.next_at + limit.interval_s)


def wait_for_turn_s(
    limits: Iterable[RateLimit | None], ahead: int, now: float
) -> float:
    """Return how long a request waits for a turn at any of the upstreams.

    `ahead` is the number of requests that get a turn before it.

    >>> limits = [RateLimit(2.0, 4, 2.25, 1.0), RateLimit(2.0, 4, 3.0, 1.0)]
    >>> [wait_for_turn_s(limits, ahead, 2.0) for ahead in (0, 1, 2)]
    [0.25, 1.0, 2.75]
    >>> wait_for_turn_s([*limits, None], 9, 2.0)
    0.0
    """
    turns = []
    for limit in limits:
        if limit is None:
            return 0.0
        turns.append((_unlapsed(limit, now).next_at, limit.interval_s))
    return nth_turn_in_s(turns, ahead, now)


def nth_turn_in_s(
    turns: list[tuple[float, float]], ahead: int, now: float
) -> float:
    """Return the seconds until the turn after `ahead` others.

    `turns` has the next turn of each upstream and the interval of its turns.

    >>> nth_turn_in_s([(2.5, 1.0), (3.0, 1.0)], 2, 2.0)
    1.5
    """
    if not turns:
        return 0.0
    turns = list(turns)
    heapq.heapify(turns)
    for _request in range(ahead):
        at, interval_s = turns[0]
        heapq.heapreplace(turns, (at + interval_s, interval_s))
    return max(0.0, turns[0][0] - now)


def _rescaled(before: RateLimit, after: RateLimit, now: float) -> RateLimit:
    """Scale the time to the next turn to another interval.

    A time that is random within the old interval stays so within the new one.
    """
    next_at = _unlapsed(before, now).next_at
    if next_at > now:
        scale = after.interval_s / before.interval_s
        next_at = now + (next_at - now) * scale
    return after._replace(next_at=next_at)


def _unlapsed(limit: RateLimit, now: float) -> RateLimit:
    """Skip the turns that were not used in time."""
    late_s = now - TURN_VALID_S - limit.next_at
    if late_s <= 0:
        return limit
    lapsed = int(late_s / limit.interval_s) + 1
    return limit._replace(next_at=limit.next_at + lapsed * limit.interval_s)
