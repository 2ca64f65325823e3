"""Which versions of a model's weights a request may still begin on.

Operators name a version, and from then on the instances load it one after
the other, while those that still hold the one before serve on. Without an
end to that, an instance whose copy hangs would give out pages of old weights
for ever. So a version that was replaced may begin requests for the time that
the machine's bounds give, less MARGIN_S, and none after it: a request that
is sent at the last moment may wait in its engine before it begins.

A process that starts can't tell how long ago a version was named; it lets
older ones begin nothing. While engines still load a version, an entry that
restarts would refuse all callers for seconds in which the others serve on.
So agents tell each entry that links to them when they learnt of versions, and
the earliest time that anyone tells of counts. Until somebody has told, older
versions begin nothing.

Versions never go back within a process, whoever tells of a lower one.
"""

from __future__ import annotations

from typing import NamedTuple

# What a request that was just sent may wait in its engine before its first
# token. Of 2,170 of a calm day 99 in 100 began within 0.9 s, and an engine
# that loads meanwhile takes nothing new.
MARGIN_S = 1.0

# A request that has not begun this long before the limit is stopped, which
# takes the way to its engine and up to a quarter of a second to be noticed.
CANCEL_LEAD_S = 0.5

# A link that is squeezed gets slower while what was sent before stands in it.
START_SLACK = 1.5

# So many versions may replace each other before the first one's time is up.
MAX_NAMED = 16

FIRST_VERSION = 1


class NamedVersion(NamedTuple):
    """A version and when this process learnt of it, in monotonic seconds.

    `at` is None where it was named before this process could learn of it.
    """

    version: int
    at: float | None


class History(NamedTuple):
    """The versions of one model that were named, newest first."""

    named: tuple[NamedVersion, ...] = ()

    @property
    def newest(self) -> int:
        """The version that all instances should have."""
        return self.named[0].version if self.named else FIRST_VERSION


def add_version(history: History, version: int, at: float | None) -> History:
    """Give the history after a version was named."""
    if history.named and version <= history.newest:
        return history
    kept = (NamedVersion(version, at), *history.named)
    return History(kept[:MAX_NAMED])


def add_report(history: History, version: int, at: float) -> History:
    """Give the history after another process told when it learnt of one.

    >>> add_report(add_version(History(), 3, None), 3, 8.0).named
    (NamedVersion(version=3, at=8.0),)
    >>> add_report(add_version(History(), 3, 7.0), 3, 8.0).named
    (NamedVersion(version=3, at=7.0),)
    """
    times = {named.version: named.at for named in history.named}
    known = times.get(version)
    if known is not None and known <= at:
        return history
    times[version] = at
    newest_first = sorted(times, reverse=True)
    named = tuple(NamedVersion(each, times[each]) for each in newest_first)
    return History(named[:MAX_NAMED])


def least_allowed(history: History, limit_s: float, now: float) -> int:
    """Give the lowest version on which a request may begin now.

    >>> history = add_version(add_version(History(), 1, None), 2, 10.0)
    >>> [least_allowed(history, 8.0, now) for now in (12.0, 16.0, 17.0)]
    [1, 1, 2]
    """
    for named in history.named:
        if named.at is None or now >= named.at + limit_s - MARGIN_S:
            return named.version
    return 0


def start_deadline(
    history: History, version: int, limit_s: float
) -> float | None:
    """Give when a request must have begun on a version, None for any time.

    A little before the limit, as its stop has to reach the engine.

    >>> history = add_version(add_version(History(), 1, None), 2, 10.0)
    >>> start_deadline(history, 1, 8.0)
    17.5
    """
    times = [n.at for n in history.named if n.version > version]
    known = [at for at in times if at is not None]
    return min(known) + limit_s - CANCEL_LEAD_S if known else None


def starts_in_time(deadline: float, starts_in_s: float, now: float) -> bool:
    """Tell whether a request that is sent now begins before its version ends.

    `starts_in_s` is what requests take on that engine lately. Behind a link
    that is squeezed it is over a second, and what is sent in the last moments
    would begin on weights of the past.

    >>> starts_in_time(17.5, 0.3, 16.0), starts_in_time(17.5, 1.2, 16.0)
    (True, False)
    """
    return now + START_SLACK * starts_in_s < deadline


def must_cancel(deadline: float | None, sent_at: float, now: float) -> bool:
    """Tell whether a request that has not begun is to be stopped.

    Its stop takes the way that it took, so one that has been under way for
    long is stopped by as much earlier.

    >>> must_cancel(17.5, 17.0, 17.4), must_cancel(17.5, 15.5, 16.9)
    (False, True)
    """
    if deadline is None:
        return False
    return now + max(0.0, now - sent_at - CANCEL_LEAD_S) > deadline


def named_at(history: History, version: int) -> float | None:
    """Give when a version was named, None where that isn't known."""
    for named in history.named:
        if named.version == version:
            return named.at
    return None
