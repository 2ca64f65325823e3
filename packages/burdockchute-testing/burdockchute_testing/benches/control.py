"""Cost of control traffic in an idle system (make bench-control).

Measures one entry with N agents, then one agent with M entries: processor
time, bytes over links and memory of each, and their slopes over the number
of links. docs/CAPACITY.md extrapolates from these to the cost per node at
the planned size.
"""

from __future__ import annotations

import argparse
import time
from typing import NamedTuple

import psutil

from burdockchute_testing.benches import results
from burdockchute_testing.harness import System
from burdockchute_testing.harness import wait_until

BENCH = 'control'
AGENTS = (8, 32, 96)
ENTRIES = (1, 2, 4)
SETTLE_S = 3.0

MAX_CORE_SHARE = 0.035
MAX_MEMORY_MB = 128.0
MAX_LINK_BYTES_PER_S = 23_000.0


class Cost(NamedTuple):
    """Cost of one process: core share, resident MB, bytes sent per second."""

    core: float
    rss: float
    sent: float


def main() -> None:
    """Run every case and print the results."""
    args = _parse()
    entry_costs = {}
    agent_costs = {}
    for count in AGENTS:
        entry_costs[count], agent_cost = _measure(1, count, args.seconds)
        _emit_cost(f'entry, {count} agents', entry_costs[count])
        _emit_cost(f'agent, 1 entry of {count} agents', agent_cost)
    for count in ENTRIES:
        _entry_cost, agent_costs[count] = _measure(count, 4, args.seconds)
        _emit_cost(f'agent, {count} entries', agent_costs[count])
    _emit_slopes('entry, each agent more', entry_costs)
    _emit_slopes('agent, each entry more', agent_costs)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=15.0)
    return parser.parse_args()


def _measure(entries: int, agents: int, seconds: float) -> tuple[Cost, Cost]:
    with System() as system:
        system.add_platform()
        system.add_engine('engine')
        for number in range(entries):
            system.add_entry(f'entry-{number}')
        for number in range(agents):
            system.add_agent(f'agent-{number}', 'engine')
        wait_until(
            lambda: all(
                len(system.status(name)['entries']) == entries
                for name in system.agents
            ),
            'every agent has its links',
        )
        time.sleep(SETTLE_S)
        return _measure_costs(system, seconds)


def _measure_costs(system: System, seconds: float) -> tuple[Cost, Cost]:
    names = ['entry-0', *system.agents]
    before = {name: _sample(system, name) for name in names}
    started = time.monotonic()
    time.sleep(seconds)
    after = {name: _sample(system, name) for name in names}
    elapsed_s = time.monotonic() - started
    costs = {
        name: Cost(
            (after[name].core - before[name].core) / elapsed_s,
            after[name].rss,
            (after[name].sent - before[name].sent) / elapsed_s,
        )
        for name in names
    }
    agents = [costs[name] for name in system.agents]
    mean = Cost(
        *(sum(values) / len(agents) for values in zip(*agents, strict=True))
    )
    # The entry receives what the agents send.
    received = sum(cost.sent for cost in agents)
    entry = costs['entry-0']
    return entry._replace(sent=entry.sent + received), mean


def _sample(system: System, name: str) -> Cost:
    process = psutil.Process(system[name].pid)
    times = process.cpu_times()
    return Cost(
        times.user + times.system,
        process.memory_info().rss / 1e6,
        system.status(name)['links']['bytes_sent'],
    )


def _emit_cost(case: str, cost: Cost) -> None:
    results.emit(
        BENCH,
        case,
        'processor',
        cost.core * 100,
        '% of a core',
        MAX_CORE_SHARE * 100,
    )
    results.emit(BENCH, case, 'resident', cost.rss, 'MB', MAX_MEMORY_MB)
    results.emit(
        BENCH, case, 'link bytes', cost.sent, '1/s', MAX_LINK_BYTES_PER_S
    )


def _emit_slopes(case: str, costs: dict[int, Cost]) -> None:
    counts = sorted(costs)
    for field, unit in (
        ('core', '% of a core'),
        ('rss', 'MB'),
        ('sent', '1/s'),
    ):
        values = [getattr(costs[count], field) for count in counts]
        slope = _slope([float(count) for count in counts], values)
        factor = 100 if field == 'core' else 1
        results.emit(BENCH, case, field, slope * factor, unit)


def _slope(xs: list[float], ys: list[float]) -> float:
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    numerator = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    return numerator / sum((x - mean_x) ** 2 for x in xs)


if __name__ == '__main__':
    main()
