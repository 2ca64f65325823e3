"""How fast requests use up what a service-level objective allows to fail.

Answers slow decay and sudden outage alike. With one window, an alert is
either late (a long window) or goes off for each hiccup (a short one); the
operator then learns to ignore it. Each alert here therefore asks two windows:
the long one shows that it matters, the short one that it still goes on.

A burn rate of 1 uses up exactly what the objective allows over its period.
The thresholds are those of common practice for a period of 30 days: 14.4
over 1 h uses 2% of the period's allowance, 6 over 6 h uses 5%, 1 over 3 days
10%.

>>> counts = Counts()
>>> key = Key('evening', 'library', 'story', 'availability')
>>> counts.add(60.0, key, total=1000, bad=20)
>>> round(counts.rate(120.0, key, window_s=300.0, target=0.999), 3)
20.0
"""

from __future__ import annotations

from typing import NamedTuple

MINUTE_S = 60.0
HOUR_S = 3600.0

# Minutes are kept for the 6 h window, hours for the 3 day one.
_KEPT_MINUTES = 361
_KEPT_HOURS = 73

# A single bad request out of three must not wake anybody.
MIN_EVENTS = 20


class Key(NamedTuple):
    """What is counted; `indicator` is one of INDICATORS."""

    objective: str
    customer: str
    model: str
    indicator: str


INDICATORS = ('availability', 'first_token', 'token_interval')


class Alert(NamedTuple):
    """Two windows in seconds and the burn rate that both must exceed."""

    name: str
    short_s: float
    long_s: float
    rate: float


ALERTS = (
    Alert('page', 300.0, HOUR_S, 14.4),
    Alert('page', 1800.0, 6 * HOUR_S, 6.0),
    Alert('ticket', 6 * HOUR_S, 72 * HOUR_S, 1.0),
)


class Sum(NamedTuple):
    """Events of a window."""

    total: int
    bad: int


class Counts:
    """Events by minute and by hour; times are seconds of any clock."""

    def __init__(self) -> None:
        self._minutes: dict[Key, dict[int, Sum]] = {}
        self._hours: dict[Key, dict[int, Sum]] = {}

    def keys(self) -> list[Key]:
        """Give every key that has events."""
        return sorted(self._hours)

    def add(self, now: float, key: Key, total: int, bad: int) -> None:
        """Count events of this moment."""
        _add(self._minutes, key, int(now // MINUTE_S), total, bad)
        _add(self._hours, key, int(now // HOUR_S), total, bad)
        _prune(self._minutes[key], _KEPT_MINUTES)
        _prune(self._hours[key], _KEPT_HOURS)

    def sum(self, now: float, key: Key, window_s: float) -> Sum:
        """Give the events of the last `window_s` seconds."""
        if window_s <= 6 * HOUR_S:
            return _sum(self._minutes, key, now, window_s, MINUTE_S)
        return _sum(self._hours, key, now, window_s, HOUR_S)

    def rate(
        self, now: float, key: Key, window_s: float, target: float
    ) -> float:
        """Give the burn rate of one window; `target` is a share below 1."""
        return burn_rate(self.sum(now, key, window_s), target)


def burn_rate(events: Sum, target: float) -> float:
    """Give the share of bad events over the share that may be bad."""
    if not events.total:
        return 0.0
    return events.bad / events.total / max(1.0 - target, 1e-9)


def alert_for(sums: dict[float, Sum], target: float) -> str:
    """Give the name of the most urgent alert that is due, or ''.

    `sums` has the events of each window that ALERTS name.
    """
    for alert in ALERTS:
        long, short = sums[alert.long_s], sums[alert.short_s]
        if long.total < MIN_EVENTS:
            continue
        both = min(burn_rate(long, target), burn_rate(short, target))
        if both >= alert.rate:
            return alert.name
    return ''


def windows() -> list[float]:
    """Give every window that the alerts look at, shortest first."""
    found = {alert.short_s for alert in ALERTS}
    found.update(alert.long_s for alert in ALERTS)
    return sorted(found)


def _add(
    buckets: dict[Key, dict[int, Sum]],
    key: Key,
    number: int,
    total: int,
    bad: int,
) -> None:
    of_key = buckets.setdefault(key, {})
    old = of_key.get(number, Sum(0, 0))
    of_key[number] = Sum(old.total + total, old.bad + bad)


def _prune(of_key: dict[int, Sum], kept: int) -> None:
    newest = max(of_key)
    for number in [n for n in of_key if n <= newest - kept]:
        del of_key[number]


def _sum(
    buckets: dict[Key, dict[int, Sum]],
    key: Key,
    now: float,
    window_s: float,
    bucket_s: float,
) -> Sum:
    first = (now - window_s) // bucket_s
    chosen = [
        events
        for number, events in buckets.get(key, {}).items()
        if number > first
    ]
    return Sum(
        sum(events.total for events in chosen),
        sum(events.bad for events in chosen),
    )
