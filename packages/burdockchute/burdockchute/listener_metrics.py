"""Metrics of what clients make a process hold, and of its event loop."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from functools import partial
from operator import attrgetter
import time
from typing import Protocol

import gevent

from burdockchute import metrics
from burdockchute.callers.refusals import Refusals

# A wait of a task that took this much longer than it should: other tasks, or
# a busy machine, kept the process from running it.
LATE_TURN_S = 0.1

WATCH_PERIOD_S = 1.0


class Listener(Protocol):
    """A server with limits for its connections."""

    refusals: Refusals

    @property
    def connections(self) -> int: ...

    @property
    def max_connections(self) -> int: ...

    @property
    def held_bytes(self) -> int: ...


class LoopWatch:
    """Counts the waits that ended late."""

    def __init__(self) -> None:
        self.late_turns = 0
        self.longest_s = 0.0

    def record(self, late_s: float) -> None:
        """Record by how much a wait took longer than it should."""
        self.longest_s = max(self.longest_s, late_s)
        self.late_turns += late_s >= LATE_TURN_S

    def sleep(self, period_s: float) -> None:
        """Wait for a time, and record how late the wait ends."""
        due = time.monotonic() + period_s
        gevent.sleep(period_s)
        self.record(time.monotonic() - due)

    def run(self) -> None:
        """Watch the event loop forever."""
        while True:
            self.sleep(WATCH_PERIOD_S)


def register(listeners: Sequence[Listener], loop_watch: LoopWatch) -> None:
    """Export the connections, refusals and late turns of this process."""
    for name, unit, read in (
        ('connections', '1', attrgetter('connections')),
        ('connections_limit', '1', attrgetter('max_connections')),
        ('unparsed', 'By', attrgetter('held_bytes')),
    ):
        metrics.register_gauges(
            f'burdockchute.{name}',
            unit,
            'listener',
            partial(_by_listener, listeners, read),
        )
    metrics.register_gauges(
        'burdockchute.clients_refused',
        '1',
        'cause',
        lambda: _refused(listeners),
    )
    metrics.register_gauge(
        'burdockchute.late_turns', '1', lambda: loop_watch.late_turns
    )
    metrics.register_gauge(
        'burdockchute.longest_turn', 's', lambda: loop_watch.longest_s
    )


def _by_listener(
    listeners: Sequence[Listener], read: Callable[[Listener], float]
) -> Mapping[str, float]:
    return {
        listener.refusals.listener: read(listener) for listener in listeners
    }


def _refused(listeners: Sequence[Listener]) -> Mapping[str, float]:
    return {
        f'{listener.refusals.listener}:{cause}': count
        for listener in listeners
        for cause, count in listener.refusals.counts.items()
    }
