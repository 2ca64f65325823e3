"""Simulated time with a queue of events."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools


class Clock:
    """Runs scheduled events; `now` is in seconds from the start of the run."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Call `act` after `delay_s` seconds, at once if that is negative."""
        when = self.now + max(0.0, delay_s)
        heapq.heappush(self._due, (when, next(self._order), act))

    def run_until(self, until_s: float) -> None:
        """Run all events up to a time, in order, and set the clock to it."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _order, act = heapq.heappop(self._due)
            act()
        self.now = until_s
