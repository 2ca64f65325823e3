"""Burn rates of service-level objectives and the alerts on them.

The alerts detect both slow degradation and sudden outages. An alert on a
single window either fires late (long window) or on each short disturbance
(short window), until operators ignore it. Each alert therefore needs two
windows over its threshold: the long one shows that the problem is
significant, the short one that it is still going on.

A burn rate of 1 consumes exactly the error budget over the objective's
period. The thresholds are those of common practice for a period of 30 days:
14.4 over 1 h consumes 2% of the budget, 6 over 6 h consumes 5%, 1 over 3
days 10%.

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

# Minute buckets serve the windows up to 6 h, hour buckets the 3 day window.
_KEPT_MINUTES = 361
_KEPT_HOURS = 73

# One failed request out of three must not page an operator.
MIN_EVENTS = 20


class Key(NamedTuple):
    """Identifies one series of events; `indicator` is one of INDICATORS."""

    objective: str
    customer: str
    model: str
    indicator: str


INDICATORS = ('availability', 'first_token', 'token_interval')


class Alert(NamedTuple):
    """Two windows in seconds and the burn rate that both have to reach."""

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
    """Counts of all and of failed events in a window."""

    total: int
    bad: int


class Counts:
    """Event counts by minute and by hour; times are seconds of any clock."""

    def __init__(self) -> None:
        self._minutes: dict[Key, dict[int, Sum]] = {}
        self._hours: dict[Key, dict[int, Sum]] = {}

    def keys(self) -> list[Key]:
        """Return every key that has events, sorted."""
        return sorted(self._hours)

    def add(self, now: float, key: Key, total: int, bad: int) -> None:
        """Count events that happened at `now`."""
        _add(self._minutes, key, int(now // MINUTE_S), total, bad)
        _add(self._hours, key, int(now // HOUR_S), total, bad)
        _prune(self._minutes[key], _KEPT_MINUTES)
        _prune(self._hours[key], _KEPT_HOURS)

    def sum(self, now: float, key: Key, window_s: float) -> Sum:
        """Return the event counts of the last `window_s` seconds."""
        if window_s <= 6 * HOUR_S:
            return _sum(self._minutes, key, now, window_s, MINUTE_S)
        return _sum(self._hours, key, now, window_s, HOUR_S)

    def rate(
        self, now: float, key: Key, window_s: float, target: float
    ) -> float:
        """Return the burn rate of one window; `target` is a share below 1."""
        return burn_rate(self.sum(now, key, window_s), target)


def burn_rate(events: Sum, target: float) -> float:
    """Return the share of failed events over the share allowed to fail."""
    if not events.total:
        return 0.0
    return events.bad / events.total / max(1.0 - target, 1e-9)


def alert_for(sums: dict[float, Sum], target: float) -> str:
    """Return the name of the most urgent alert that fires, or ''.

    `sums` maps each window of ALERTS, in seconds, to its event counts.
    """
    for alert in ALERTS:
        long, short = sums[alert.long_s], sums[alert.short_s]
        if long.total < MIN_EVENTS:
            continue
        lower_rate = min(burn_rate(long, target), burn_rate(short, target))
        if lower_rate >= alert.rate:
            return alert.name
    return ''


def windows() -> list[float]:
    """Return every window of the alerts in seconds, shortest first."""
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
    key_buckets = buckets.setdefault(key, {})
    old = key_buckets.get(number, Sum(0, 0))
    key_buckets[number] = Sum(old.total + total, old.bad + bad)


def _prune(key_buckets: dict[int, Sum], kept: int) -> None:
    newest = max(key_buckets)
    for number in [n for n in key_buckets if n <= newest - kept]:
        del key_buckets[number]


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
