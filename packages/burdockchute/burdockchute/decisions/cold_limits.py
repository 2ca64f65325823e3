"""How much a cold upstream may get, and this entry's share of it.

A server that has just started, or whose caches were emptied, is slow for some
seconds. If it gets its full load at once, every request on it is late, and it
warms up more slowly. So all entries together may send it only so many requests
in any second: `rate` * `overage` + `slack`.

The entries can't agree on every request. Each takes an equal share, computed
from the highest number of entries that any agent reported lately, and uses
USED_SHARE of it, as that number lags when others join.

A share of one or more per second is a hard limit on the sends in any second.
A smaller share is used as turns at a regular interval, as the rate limits that
upstreams name (`backpressure`). An entry never sends twice within a second in
that case, so with no more entries than allowed requests the limit holds
whatever the turns. With more entries, the number of turns in a second varies
by chance, and the turns of half a second that have not lapsed may be used at
once when callers come to all entries at the same time. So many entries use a
smaller share, such that the limit is DEVIATIONS standard deviations away even
then.

An upstream says that it is cold in the list and in its answers. One that has
started anew while this entry sends requests is taken as cold for `start_s`.
The period that ends last applies.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

from burdockchute.decisions import backpressure
from burdockchute.decisions.backpressure import RateLimit

USED_SHARE = 0.8

# The limit holds in any second. Sends that are further apart than this at an
# entry are more than a second apart at the upstream, although one may take
# some milliseconds longer on its way.
WINDOW_S = 1.05

# With three deviations, a burst at all entries exceeds the limit once in
# several hundred.
DEVIATIONS = 3.0

# Turns that may be used within a second of a burst, in seconds of turns.
BURST_S = 1.0 + backpressure.TURN_VALID_S


class ColdPolicy(NamedTuple):
    """What operators allow for the cold upstreams of a service.

    An upstream is cold for `start_s` after a start. A warm-up takes `rate`
    requests per second; `overage` and `slack` are the tolerance.
    """

    start_s: float
    rate: float
    overage: float
    slack: float

    @property
    def per_second(self) -> float:
        """The requests that all entries may send in any second."""
        return self.rate * self.overage + self.slack


class ColdLimit(NamedTuple):
    """This entry's limit of sends to one cold upstream.

    `per_second` is the number of sends in any second, 0 if there are `turns`
    instead. `sent` has the times of the last sends, the newest last.
    """

    policy: ColdPolicy
    entries: int
    per_second: int
    turns: RateLimit | None
    sent: tuple[float, ...] = ()


class Pace(NamedTuple):
    """When an upstream may get requests: at `next_at`, then regularly.

    It accepts any number from `until` on.
    """

    next_at: float
    interval_s: float
    until: float


def entry_limit(
    policy: ColdPolicy,
    entries: int,
    chance: float,
    now: float,
    sent: tuple[float, ...] = (),
) -> ColdLimit:
    """Return the limit of one of the entries.

    `chance` is a random number from 0 to 1 that decides the first turn.

    >>> policy = ColdPolicy(8.0, 12.0, 1.5, 5.0)
    >>> entry_limit(policy, 13, 0.5, 1.0).per_second
    1
    >>> entry_limit(policy, 23, 0.5, 1.0).turns.next_at
    1.625
    """
    per_second = int(USED_SHARE * policy.per_second / max(1, entries))
    if per_second:
        return ColdLimit(policy, entries, per_second, None, sent)
    rate = _turns_per_second(policy.per_second, entries)
    turns = RateLimit(
        rate / backpressure.used_share(entries), entries, now, now
    )
    turns = turns._replace(next_at=now + chance * turns.interval_s)
    return ColdLimit(policy, entries, 0, turns, sent)


def shared_among(
    limit: ColdLimit, entries: int, chance: float, now: float
) -> ColdLimit:
    """Return the limit as it is shared by another number of entries."""
    if entries == limit.entries:
        return limit
    return entry_limit(limit.policy, entries, chance, now, limit.sent)


def next_send_at(limit: ColdLimit, now: float) -> float:
    """Return when the next request may be sent; `now` if it may be at once.

    >>> limit = entry_limit(ColdPolicy(8.0, 12.0, 1.5, 5.0), 8, 0.5, 1.0)
    >>> limit = after_send(after_send(limit, 1.0), 1.5)
    >>> next_send_at(limit, 1.6), next_send_at(limit, 2.1)
    (2.05, 2.1)
    """
    if limit.turns is not None:
        # The number of entries may have changed since the last send.
        earliest = limit.sent[-1] + WINDOW_S if limit.sent else now
        return max(earliest, backpressure.next_turn_at(limit.turns, now))
    if len(limit.sent) < limit.per_second:
        return now
    return max(now, limit.sent[-limit.per_second] + WINDOW_S)


def after_send(limit: ColdLimit, now: float) -> ColdLimit:
    """Return the limit after a request was sent.

    >>> limit = entry_limit(ColdPolicy(8.0, 12.0, 1.5, 5.0), 23, 0.0, 1.0)
    >>> round(after_send(limit, 1.4).turns.next_at, 3)
    3.5
    """
    sent = (*limit.sent, now)[-max(1, limit.per_second) :]
    if limit.turns is None:
        return limit._replace(sent=sent)
    turns = backpressure.take_turn(limit.turns, now)
    # After a late send, the next turn may be less than a second away.
    early_s = now + WINDOW_S - turns.next_at
    if early_s > 0:
        skipped = math.ceil(early_s / turns.interval_s)
        next_at = turns.next_at + skipped * turns.interval_s
        turns = turns._replace(next_at=next_at)
    return limit._replace(sent=sent, turns=turns)


def pace(limit: ColdLimit, until: float, now: float) -> Pace:
    """Return when an upstream that is cold until a time gets requests."""
    interval_s = (
        limit.turns.interval_s if limit.turns else WINDOW_S / limit.per_second
    )
    return Pace(next_send_at(limit, now), interval_s, until)


def wait_s(
    warm_wait_s: float | None,
    paces: Iterable[Pace],
    ahead: int,
    now: float,
) -> float:
    """Estimate how long a request waits at warm and cold upstreams.

    `warm_wait_s` is the wait if it had only the warm ones, None if there are
    none. `ahead` is the number of requests that are sent before it.

    >>> paces = [Pace(1.5, 1.0, 9.0), Pace(1.8, 1.0, 9.0)]
    >>> [round(wait_s(None, paces, ahead, 1.0), 1) for ahead in (0, 1, 2)]
    [0.5, 0.8, 1.5]
    >>> wait_s(0.5, paces, 0, 1.0), wait_s(0.0, paces, 2, 1.0)
    (0.25, 0.0)
    >>> round(wait_s(None, [Pace(1.5, 1.0, 2.1)], 8, 1.0), 1)
    1.1
    """
    paces = list(paces)
    cold_s = backpressure.nth_turn_in_s(
        [(item.next_at, item.interval_s) for item in paces], ahead, now
    )
    cold_s = min([cold_s, *(max(0.0, item.until - now) for item in paces)])
    if warm_wait_s is None:
        return cold_s
    if not warm_wait_s or not cold_s:
        return 0.0
    # Both work off the queue at the same time.
    return 1 / (1 / warm_wait_s + 1 / cold_s)


def _turns_per_second(allowed: float, entries: int) -> float:
    used = USED_SHARE * allowed
    if entries <= allowed:
        return used
    # Solves turns + DEVIATIONS * deviation = allowed for the turns that may be
    # used within a second of a burst, where each entry has at most one.
    square = DEVIATIONS**2
    half = allowed + square / 2
    factor = 1 + square / entries
    turns = (half - math.sqrt(half**2 - factor * allowed**2)) / factor
    return min(used, turns / BURST_S)
