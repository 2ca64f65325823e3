"""Replays bursts of urgent and less urgent work, with and without urgency.

Prints one line for each load, kind of request and variant: the shares of its
requests that were on time, late and refused.

    python -m burdockchute_testing.benches.urgent_load --loads 0.8,1.2,2.5
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
import contextlib
import functools
from typing import NamedTuple
from unittest import mock

from burdockchute import logs
from burdockchute.decisions.urgency import UrgencyState
from burdockchute_testing.emulator import deployments
from burdockchute_testing.emulator.site import Result
from burdockchute_testing.emulator.site import Site

# Requests per second that an engine carries, of the usual mix.
ENGINE_CAPACITY = 7.8

FIRST_S = 2.0


class Replay(NamedTuple):
    """The results of one run, by priority, and all together."""

    load: float
    is_by_urgency: bool
    seconds: float
    by_priority: tuple[Result, ...]
    total: Result

    @property
    def on_time_per_s(self) -> float:
        """Return the answers on time per second."""
        return self.total.on_time / self.seconds

    def on_time_share(self, priority: int) -> float:
        """Return the share of the requests of a priority on time."""
        result = self.by_priority[priority]
        return result.on_time / max(1, result.total)

    def lines(self) -> Iterator[str]:
        """Yield one line for each kind of request."""
        name = 'after' if self.is_by_urgency else 'before'
        kinds = [*enumerate(self.by_priority), ('all', self.total)]
        for priority, result in kinds:
            count = max(1, result.total)
            refused = (result.refused + result.refused_twice) / count
            yield (
                f'load {self.load} {name:6} priority {priority}: '
                f'{result.total} requests, on time '
                f'{result.on_time / count:.3f}, late '
                f'{result.late / count:.3f}, refused {refused:.3f}'
            )
        yield f'load {self.load} {name:6} on time {self.on_time_per_s:.1f}/s'


def replay(
    load: float,
    is_by_urgency: bool,
    entries: int = 13,
    engines: int = 23,
    until_s: float = 12.0,
    seed: int = 1,
) -> Replay:
    """Run bursts at a multiple of the capacity of the engines."""
    deployment = deployments.prioritized(entries, engines)
    shapes = functools.partial(deployments.in_bursts, deployment)
    usual = sum(shape.share for shape in deployment.shapes)

    def rate(now: float) -> float:
        burst = sum(shape.share for shape in shapes(now)) / usual
        return load * ENGINE_CAPACITY * engines * burst

    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(logs, 'event', autospec=True))
        if not is_by_urgency:
            stack.enter_context(
                mock.patch.object(UrgencyState, 'is_mixed', False)
            )
        site = Site(deployment, rate, seed, shapes)
        site.open_engines(range(engines))
        site.run(until_s + 5.0)
    return Replay(
        load,
        is_by_urgency,
        until_s - FIRST_S,
        tuple(
            site.result(FIRST_S, until_s, priority)
            for priority in range(len(deployment.shapes))
        ),
        site.result(FIRST_S, until_s),
    )


def main() -> None:
    """Replay each load in both variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--loads', default='0.8,1.2,2.5')
    parser.add_argument('--entries', type=int, default=13)
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    for load in map(float, args.loads.split(',')):
        for is_by_urgency in (False, True):
            result = replay(load, is_by_urgency, args.entries, seed=args.seed)
            print('\n'.join(result.lines()), flush=True)


if __name__ == '__main__':
    main()
