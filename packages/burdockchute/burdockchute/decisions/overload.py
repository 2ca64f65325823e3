"""Detection of overload, and how much capacity is reserved while it lasts.

For seconds or minutes there may be more requests than the engines can carry. A
request that is already past its objective takes as much of an engine as one
that can still meet it, so each one served late makes another one late. Queues
then stay full and no answer is on time, though the engines work all the time.

So while new requests miss their objective, a part of each engine's slots is
kept free of overdue requests. The reserve is idle only once the overload is
over, and overdue requests may then use it.
"""

from __future__ import annotations

from collections import deque

# Age up to which requests are counted.
WINDOW_S = 1.5

# Share of missed objectives above which a service is overloaded.
MISSED_SHARE = 0.15

# Of fewer requests, the share that missed depends on chance.
MIN_COUNT = 6

# Share of an engine's slots that is kept free of overdue requests.
OVERDUE_RESERVE = 0.5


def is_overloaded(count: int, missed: int) -> bool:
    """Whether the share of requests that missed is more than chance.

    >>> is_overloaded(20, 2), is_overloaded(20, 4), is_overloaded(3, 3)
    (False, True, False)
    """
    return count >= MIN_COUNT and missed > MISSED_SHARE * count


def retry_delay_s(
    min_delay_s: float, duration_s: float, left_s: float
) -> float:
    """Return the delay after which a refused caller may retry, in seconds.

    An overload that has lasted for `duration_s` is likely to last for the same
    time again. `left_s` is the latest time at which a retry still leaves time
    for its answer; where it is below `min_delay_s`, that minimum is returned.

    >>> retry_delay_s(0.5, 0.0, 4.0), retry_delay_s(0.5, 2.0, 4.0)
    (0.5, 2.5)
    >>> retry_delay_s(0.5, 9.0, 4.0), retry_delay_s(0.5, 9.0, 0.1)
    (4.0, 0.5)
    """
    return max(min_delay_s, min(min_delay_s + duration_s, left_s))


class OverloadDetector:
    """Counts which recent new requests of a service missed their objective."""

    def __init__(self) -> None:
        self._recent: deque[tuple[float, bool]] = deque()
        self._missed = 0
        self._overloaded_since: float | None = None

    def record(self, missed: bool, now: float) -> None:
        """Record whether a new request missed its objective."""
        self._recent.append((now, missed))
        self._missed += missed
        self._update(now)

    def duration_s(self, now: float) -> float | None:
        """Return for how long the service has been overloaded, or None."""
        self._update(now)
        return (
            None
            if self._overloaded_since is None
            else now - self._overloaded_since
        )

    def overdue_reserve(self, now: float) -> float:
        """Return the share of slots that overdue requests must leave free."""
        return 0.0 if self.duration_s(now) is None else OVERDUE_RESERVE

    def _update(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > WINDOW_S:
            self._missed -= self._recent.popleft()[1]
        if not is_overloaded(len(self._recent), self._missed):
            self._overloaded_since = None
        elif self._overloaded_since is None:
            self._overloaded_since = now
