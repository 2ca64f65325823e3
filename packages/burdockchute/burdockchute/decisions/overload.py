"""Whether a service is overloaded, and what is given up while it is.

Load: more requests than the engines can carry, for seconds or minutes. A
request that can't be on time any more takes as much of an engine as one that
can, so each one served late makes another one late; queues stay full and
nobody is on time, though the engines work all the time.

So while new requests miss their objective, a part of each engine is kept free
of those past theirs. It stands empty only when the overload is over, which is
when they get it.
"""

from __future__ import annotations

from collections import deque

# Requests of the last so many seconds tell.
WINDOW_S = 1.5

# More of them than this miss their objective in an overload.
MISSED_SHARE = 0.15

# Of fewer, chance decides.
LEAST_COUNT = 6

# The part of an engine's slots that is kept free of late work.
OVERDUE_RESERVE = 0.5


def is_overloaded(count: int, missed: int) -> bool:
    """Tell whether so many that missed are more than chance.

    >>> is_overloaded(20, 2), is_overloaded(20, 4), is_overloaded(3, 3)
    (False, True, False)
    """
    return count >= LEAST_COUNT and missed > MISSED_SHARE * count


def retry_delay_s(least_s: float, lasted_s: float, left_s: float) -> float:
    """Give when a caller who is sent away may come back.

    An overload that has lasted for so long is likely to last as long again.
    `left_s` is the time that the caller then needs to be there for its
    answer; one without that time hears the least.

    >>> retry_delay_s(0.5, 0.0, 4.0), retry_delay_s(0.5, 2.0, 4.0)
    (0.5, 2.5)
    >>> retry_delay_s(0.5, 9.0, 4.0), retry_delay_s(0.5, 9.0, 0.1)
    (4.0, 0.5)
    """
    return max(least_s, min(least_s + lasted_s, left_s))


class OverloadDetector:
    """What became of the new requests of one service lately."""

    def __init__(self) -> None:
        self._ended: deque[tuple[float, bool]] = deque()
        self._missed = 0
        self._since: float | None = None

    def record(self, missed: bool, now: float) -> None:
        """Note that a new request was on time, or missed its objective."""
        self._ended.append((now, missed))
        self._missed += missed
        self._look(now)

    def duration_s(self, now: float) -> float | None:
        """Give how long the service is overloaded, None if it is not."""
        self._look(now)
        return None if self._since is None else now - self._since

    def overdue_reserve(self, now: float) -> float:
        """Give the part of an engine's slots that late work leaves free."""
        return 0.0 if self.duration_s(now) is None else OVERDUE_RESERVE

    def _look(self, now: float) -> None:
        while self._ended and now - self._ended[0][0] > WINDOW_S:
            self._missed -= self._ended.popleft()[1]
        if not is_overloaded(len(self._ended), self._missed):
            self._since = None
        elif self._since is None:
            self._since = now
