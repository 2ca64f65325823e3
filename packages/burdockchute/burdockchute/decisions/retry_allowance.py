"""The retries of one entry, whose sum over all entries is limited.

Operators allow a service `extra` arrivals beyond the first of each request in
any window, and `ratio` of its requests, over all entries. An entry can't know
how many others there are: it starts before it hears of them, and in a cut each
side counts only itself. So nothing here depends on their number.

- Earned retries: an entry may send RATIO_SHARE of `ratio` of the first
  attempts that it sent itself in the last half of a window. Over all entries,
  those of any window follow from the first attempts of one and a half windows.
  With requests that wait for up to half a window, these were sent in two
  windows, of which the larger one counts. So half of `ratio` is within what is
  allowed however requests move between entries.
- Leased retries: `extra` is divided into leases (`retry_leases`). A lease
  allows LEASE_SHARE of its part in any window.

A retry counts from when it is sent. It is granted before it waits for a slot,
and its time is moved then.

>>> account, policy = Account(), Policy(ratio=0.2, window_s=10.0)
>>> for _ in range(13):
...     account.record_first(0.0, policy)
>>> account.take(1.0, policy, leased=0.0), account.take(1.0, policy, 0.0)
(True, False)
>>> account.take(1.0, policy, leased=2.0)
True
"""

from __future__ import annotations

import bisect
from typing import NamedTuple

# Share of the allowance that is used. Requests and arrivals are counted by
# servers and callers, some ms apart from the entries.
USED_SHARE = 0.8

# At least one retry is reserved for started streams: a crash breaks off
# streams and fails new requests at the same moment, and the new requests that
# retry first would take every retry.
MAX_RESERVED = 1.0


class Policy(NamedTuple):
    """What operators allow of retries in a window, as a share of requests."""

    ratio: float
    window_s: float

    @property
    def earned_per_first(self) -> float:
        """Retries that a first attempt allows within half a window."""
        return USED_SHARE * self.ratio / 2

    @property
    def earning_s(self) -> float:
        """The seconds for which a first attempt allows them."""
        return self.window_s / 2


class Account:
    """Times of first attempts and retries of one service, in seconds."""

    def __init__(self) -> None:
        self._firsts: list[float] = []
        self._earned: list[float] = []
        self._leased: list[float] = []

    def record_first(self, now: float, policy: Policy) -> None:
        """Record that a first attempt is sent."""
        self._forget(now, policy)
        self._firsts.append(now)

    def is_active(self, now: float, policy: Policy) -> bool:
        """Whether requests were sent within the last window."""
        return bool(self._firsts) and now - self._firsts[-1] < policy.window_s

    def left(self, now: float, policy: Policy, leased: float) -> float:
        """Return how many retries may be sent now."""
        earned, by_lease = self._left(now, policy, leased)
        return earned + by_lease

    def take(
        self,
        now: float,
        policy: Policy,
        leased: float,
        resuming: bool = False,
    ) -> bool:
        """Take a retry, if there is one beyond the reserved ones.

        `resuming` marks the remainder of a stream, for which some retries are
        reserved.
        """
        earned, by_lease = self._left(now, policy, leased)
        reserved = 0.0 if resuming else _reserved(policy, leased)
        if earned + by_lease < 1.0 + reserved:
            return False
        if earned >= 1.0:
            bisect.insort(self._earned, now)
            return True
        if by_lease >= 1.0:
            bisect.insort(self._leased, now)
            return True
        # Neither of two parts is a whole retry.
        return False

    def mark_sent(self, taken_at: float, now: float) -> None:
        """Count a retry that was taken earlier from now on."""
        for times in (self._earned, self._leased):
            at = bisect.bisect_left(times, taken_at)
            if at < len(times) and times[at] == taken_at:
                del times[at]
                bisect.insort(times, now)
                return
        # It has waited for longer than a window.
        bisect.insort(self._leased, now)

    def next_in_s(
        self, now: float, policy: Policy, leased: float, resuming: bool
    ) -> float:
        """Return the seconds until time alone allows a retry, maybe inf."""
        self._forget(now, policy)
        reserved = 0.0 if resuming else _reserved(policy, leased)
        allowed = int(leased - reserved)
        if allowed < 1:
            return float('inf')
        if len(self._leased) < allowed:
            return 0.0
        return max(0.0, self._leased[-allowed] + policy.window_s - now)

    def _left(
        self, now: float, policy: Policy, leased: float
    ) -> tuple[float, float]:
        self._forget(now, policy)
        since = now - policy.earning_s
        firsts = len(self._firsts) - bisect.bisect_right(self._firsts, since)
        used = len(self._earned) - bisect.bisect_right(self._earned, since)
        earned = policy.earned_per_first * firsts - used
        return max(0.0, earned), max(0.0, leased - len(self._leased))

    def _forget(self, now: float, policy: Policy) -> None:
        for times in (self._firsts, self._earned, self._leased):
            del times[: bisect.bisect_right(times, now - policy.window_s)]


def _reserved(policy: Policy, leased: float) -> float:
    return min(MAX_RESERVED, max(0.0, leased - 1.0))
