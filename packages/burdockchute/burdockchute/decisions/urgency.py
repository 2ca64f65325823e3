"""How requests of one service with different priorities share its engines.

Each entry orders its own queue by priority, but free slots are divided among
the entries by random shares, whatever waits there. With full engines, urgent
work then waits at one entry for a slot that another entry has given to less
urgent work.

So urgent work may be sent to an engine beyond its free slots: the engine
admits the most urgent of the requests that wait there first. The number of
these places follows from how fast slots become free and from the objective,
and the entries share it. Less urgent new work leaves a part of each engine's
slots free while more urgent work recently needed them.

Less urgent work is not starved. While a priority has received less than
GUARANTEED_SHARE of the slots that this entry assigned, its work is placed like
the most urgent.

Nothing of this applies while all recent requests of a service have the same
priority.
"""

from __future__ import annotations

from collections import deque

# Time over which arrivals, assigned slots and misses are counted. An entry of
# a large site gets some dozens of urgent requests in this time.
WINDOW_S = 3.0

# A priority counts as in use for this time after its last request.
PRIORITY_VALID_S = 10.0

# Share of the more urgent requests that missed their objective or found no
# free slot at which the whole reserve is kept; with fewer, it is smaller. A
# whole reserve for one miss leaves slots empty that nothing needs.
FULL_PRESSURE = 0.05

# Share of the slots assigned by an entry that each priority below the most
# urgent gets while its requests wait.
GUARANTEED_SHARE = 0.1

# Reserve as a multiple of the share of slots that more urgent work occupies,
# and its maximum as a share of an engine's slots. With 0.7 and 0.5, two in a
# hundred more of the most urgent requests were on time in a replay at 1.2
# times the capacity, but fewer answers in all.
RESERVE_FACTOR = 0.5
MAX_RESERVE = 0.4

# Number of engines in its region that are compared for an urgent request. With
# two, as for other requests, some got several urgent prompts in one pass.
URGENT_SAMPLE = 4

# Places beyond an engine's slots for work that has got less than its share. It
# is placed like the most urgent work, and more of it would hold that up.
LENT_PLACES = 1.0

# Maximum number of places beyond an engine's slots, for all entries together.
MAX_PLACES = 4.0

# Requests are sent beyond the slots only to engines with a report of at most
# this age. Agents report every 0.15 s; an entry that was suspended, or gets no
# reports, does not know how many requests wait there.
MAX_REPORT_AGE_S = 1.0


def slot_wait_s(in_flight: int, slots: int, service_s: float) -> float:
    """Estimate how long one more request waits for a slot of an engine.

    `in_flight` are the requests there, each of which takes `service_s`. Those
    without a slot are as urgent as the new one.

    >>> slot_wait_s(9, 10, 1.5), slot_wait_s(11, 10, 1.5)
    (0.0, 0.3)
    """
    ahead = max(0, in_flight + 1 - slots)
    return ahead * service_s / max(1, slots)


def places(spare_s: float, slots: int, service_s: float) -> float:
    """Return how many requests may wait at an engine for a slot.

    `spare_s` is what the objective leaves for the wait; slots become free
    every `service_s` / `slots`.

    >>> places(0.25, 12, 1.5), places(-0.1, 12, 1.5), places(5.0, 12, 1.5)
    (2.0, 0.0, 4.0)
    """
    if service_s <= 0:
        return 0.0
    return max(0.0, min(MAX_PLACES, spare_s * slots / service_s))


def reserved_share(
    rate: float, service_s: float, slots_of_entry: float
) -> float:
    """Return the share of slots that less urgent work leaves free.

    More urgent work arrives at `rate` per second and takes `service_s`;
    `slots_of_entry` is the entry's share of all slots.

    >>> reserved_share(5.0, 1.5, 15.0)
    0.25
    >>> reserved_share(50.0, 1.5, 15.0) == MAX_RESERVE
    True
    """
    occupied = rate * service_s / max(1.0, slots_of_entry)
    return min(MAX_RESERVE, RESERVE_FACTOR * occupied)


class UrgencyState:
    """The recent requests of a service at one entry, by priority.

    The higher priority is the more urgent, as in `RequestContext`.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, int]] = deque()
        self._starts: deque[tuple[float, int]] = deque()
        self._arrival_counts: dict[int, int] = {}
        self._start_counts: dict[int, int] = {}
        self._seen_at: dict[int, float] = {}
        self._pressed: deque[tuple[float, int]] = deque()
        self._pressed_counts: dict[int, int] = {}

    def record_arrival(self, priority: int, now: float) -> None:
        """Record a new request."""
        self._seen_at[priority] = now
        self._forget(now)
        _add(self._arrivals, self._arrival_counts, priority, now)

    def record_start(self, priority: int, now: float) -> None:
        """Record that a request on time got a slot."""
        _add(self._starts, self._start_counts, priority, now)

    def record_pressure(self, priority: int, now: float) -> None:
        """Record that a request missed its objective, or found no slot."""
        _add(self._pressed, self._pressed_counts, priority, now)

    def is_pressed(self, now: float) -> bool:
        """Whether any request missed its objective or found no slot."""
        _expire(self._pressed, self._pressed_counts, now)
        return bool(self._pressed)

    @property
    def is_mixed(self) -> bool:
        """Whether the requests of the service differ in priority."""
        return len(self._seen_at) > 1

    def is_urgent(self, priority: int) -> bool:
        """Whether requests of a lower priority were seen recently."""
        return priority > min(self._seen_at, default=priority)

    def highest(self) -> int:
        """Return the highest priority in use."""
        return max(self._seen_at)

    def in_use(self) -> list[int]:
        """Return the priorities in use."""
        return list(self._seen_at)

    def lowest(self) -> int:
        """Return the lowest priority in use."""
        return min(self._seen_at)

    def is_due(self, priority: int, now: float) -> bool:
        """Whether work below the most urgent has got less than its share."""
        if priority >= self.highest():
            return False
        _expire(self._starts, self._start_counts, now)
        own = self._start_counts.get(priority, 0)
        return own < GUARANTEED_SHARE * len(self._starts)

    def rate_above(self, priority: int, now: float) -> float:
        """Return the arrivals per second for which slots are reserved.

        These are requests above a priority, and fewer than arrive where few
        of them miss their objective.
        """
        _expire(self._arrivals, self._arrival_counts, now)
        _expire(self._pressed, self._pressed_counts, now)
        arrived = _count_above(self._arrival_counts, priority)
        pressed = _count_above(self._pressed_counts, priority)
        return min(arrived, pressed / FULL_PRESSURE) / WINDOW_S

    def _forget(self, now: float) -> None:
        for priority, at in list(self._seen_at.items()):
            if now - at > PRIORITY_VALID_S:
                del self._seen_at[priority]


def _add(
    recent: deque[tuple[float, int]],
    counts: dict[int, int],
    priority: int,
    now: float,
) -> None:
    recent.append((now, priority))
    counts[priority] = counts.get(priority, 0) + 1
    _expire(recent, counts, now)


def _count_above(counts: dict[int, int], priority: int) -> int:
    return sum(n for other, n in counts.items() if other > priority)


def _expire(
    recent: deque[tuple[float, int]], counts: dict[int, int], now: float
) -> None:
    while recent and now - recent[0][0] > WINDOW_S:
        counts[recent.popleft()[1]] -= 1
