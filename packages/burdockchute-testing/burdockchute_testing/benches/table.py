"""Delay and cost until a table edit is in force (make bench-table).

Runs real entries and agents on a stand-in log and appends edits to it. The
delay of an edit is the time from the reply of the log to the event
`table_applied` of each process, since callers would wait that long. All
processes share one clock, which is read in milliseconds.
"""

from __future__ import annotations

import argparse
import datetime
import re
import time
from typing import NamedTuple

import psutil

from burdockchute.decisions import subset
from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.platform import table_log
from burdockchute.platform.log import LogClient
from burdockchute_testing import client
from burdockchute_testing.benches import results
from burdockchute_testing.benches import table_rows
from burdockchute_testing.builders import fleets
from burdockchute_testing.harness import System
from burdockchute_testing.harness import wait_until

BENCH = table_rows.BENCH
MAX_IN_FORCE_P99_S = 2.0
MAX_IN_FORCE_LARGEST_S = 8.0
MAX_CORE_PERCENT = 3.5
MAX_LINK_BYTES_PER_S = 23_000

# Startup traffic has ended by then.
SETTLE_S = 5.0
QUIET_S = 15.0
EDIT_INTERVAL_S = 0.03

# The largest site; _measure_link_choice counts the links of an entry there.
LARGEST_ENTRIES = 360
LARGEST_AGENTS = 12_000

_APPLIED = re.compile(
    r'^at="([^"]+)" .*event=table_applied .*?offset=(\d+)', re.MULTILINE
)


class Usage(NamedTuple):
    """Processor seconds, bytes sent over links and log counters so far."""

    at: float
    entry_cpu_s: float
    agent_cpu_s: float
    entry_bytes: float
    agent_bytes: float
    log: dict[str, int]


class ScalingPoint(NamedTuple):
    """One measurement for the slopes over the number of agents.

    Of one entry: processor time per change, and, while nothing changes,
    percent of a core and bytes per second, sent and received.
    """

    agents: int
    in_force_p99_s: float
    entry_cpu_ms: float
    quiet_share: float
    quiet_bytes: float


def main() -> None:
    """Run every case and print the results."""
    args = _parse()
    points = [
        _measure_propagation(count, args.entries, args.changes)
        for count in args.agents
    ]
    links = _measure_link_choice()
    _extrapolate(points, links)
    for count in args.rows:
        table_rows.measure(count)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--agents', type=_numbers, default=[8, 32, 100])
    parser.add_argument('--entries', type=int, default=2)
    parser.add_argument('--changes', type=int, default=200)
    parser.add_argument('--rows', type=_numbers, default=[100, 1000, 10_000])
    return parser.parse_args()


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(',')]


def _measure_propagation(
    agents: int, entries: int, changes: int
) -> ScalingPoint:
    """Measure the delay and cost of edits in one system."""
    case = f'{agents} agents, {entries} entries'
    with System() as system:
        _start(system, agents, entries)
        _add_service_row(system)
        names = [*system.entries, *system.agents]
        wait_until(
            lambda: (
                all(_open_links(system, e) == agents for e in system.entries)
                and _min_offset(system, names) >= 0
            ),
            'all are linked and have the table',
        )
        time.sleep(SETTLE_S)
        quiet = _usage_during(system, lambda: time.sleep(QUIET_S))
        accepted: dict[int, float] = {}
        busy = _usage_during(
            system, lambda: _append_edits(system, changes, accepted)
        )
        last = max(accepted)
        wait_until(lambda: _min_offset(system, names) >= last, 'all in force')
        _emit_usage(case, agents, entries, changes, quiet, busy)
        agent_delays = _delays(system, system.agents, accepted)
        entry_delays = _delays(system, system.entries, accepted)
    for role, delays in (('agents', agent_delays), ('entries', entry_delays)):
        for share in (0.5, 0.99):
            results.emit(
                BENCH,
                case,
                f'in force on the last of the {role}, p{share * 100:.0f}',
                results.percentile(delays, share),
                's',
                MAX_IN_FORCE_P99_S,
            )
    cpu_ms = _cpu_ms_per_change(quiet, busy, changes, 'entry_cpu_s') / entries
    span_s = quiet[1].at - quiet[0].at
    sent = _increase(quiet, 'entry_bytes') + _increase(quiet, 'agent_bytes')
    return ScalingPoint(
        agents,
        results.percentile(agent_delays, 0.99),
        cpu_ms,
        100 * _increase(quiet, 'entry_cpu_s') / entries / span_s,
        sent / entries / span_s,
    )


def _start(system: System, agents: int, entries: int) -> None:
    system.add_platform(log={'gap_share': 0})
    system.add_service('proofs', 'proofs')
    for number in range(entries):
        system.add_entry(f'e{number}')
    for number in range(agents):
        system.add_agent(f'a{number}', 'proofs', services='proofs')
    system.wait_ready(*system.entries)


def _add_service_row(system: System) -> None:
    system.set_row('service', 'proofs', slots=1)


def _append_edits(
    system: System, changes: int, accepted: dict[int, float]
) -> None:
    log = LogClient(system.url('log'))
    table = table_log.load(log).unwrap().table
    for number in range(changes):
        text = _serialize_edit(table, number)
        offset = log.append(table_log.STREAM, text).unwrap()
        accepted[offset] = time.time()
        table, _findings = reducer.apply_record(table, offset, text)
        time.sleep(EDIT_INTERVAL_S)


def _serialize_edit(table: Table, number: int) -> str:
    key = rows.RowKey('service', 'proofs')
    current = table.rows[key]
    row = rows.ServiceRow('proofs', slots=2 + number)
    edit = records.RowEdit(key, current.revision, row)
    record = records.EditRecord(f'edit-{number}', table.offset, (edit,))
    return records.serialize(record)


def _open_links(system: System, entry: str) -> int:
    return system.status(entry)['links']['open']


def _min_offset(system: System, names: list[str]) -> int:
    return min(_offset(system.status(name)) for name in names)


def _offset(status: dict) -> int:
    if 'table' in status:
        return status['table']['offset']
    return status['table_offset']


def _usage_during(system: System, run) -> tuple[Usage, Usage]:
    before = _usage(system)
    run()
    return before, _usage(system)


def _usage(system: System) -> Usage:
    # The status pages are read before the processor times, so that the cost
    # of reading them falls on both ends of a span alike.
    sent = {
        name: system.status(name)['links']['bytes_sent']
        for name in [*system.entries, *system.agents]
    }
    log = client.get(f'{system.url("log")}/stats').json()
    return Usage(
        time.monotonic(),
        sum(_cpu_s(system, name) for name in system.entries),
        sum(_cpu_s(system, name) for name in system.agents),
        sum(sent[name] for name in system.entries),
        sum(sent[name] for name in system.agents),
        log,
    )


def _cpu_s(system: System, name: str) -> float:
    times = psutil.Process(system[name].pid).cpu_times()
    return times.user + times.system


def _emit_usage(
    case: str,
    agents: int,
    entries: int,
    changes: int,
    quiet: tuple[Usage, Usage],
    busy: tuple[Usage, Usage],
) -> None:
    span_s = quiet[1].at - quiet[0].at
    for role, count in (('entry', entries), ('agent', agents)):
        cpu_s = _increase(quiet, f'{role}_cpu_s') / count
        share = 100 * cpu_s / span_s
        results.emit(
            BENCH,
            case,
            f'quiet {role} processor',
            share,
            '%',
            MAX_CORE_PERCENT,
        )
        sent = _increase(quiet, f'{role}_bytes') / count / span_s
        results.emit(
            BENCH,
            case,
            f'quiet {role} sends',
            sent,
            'B/s',
            MAX_LINK_BYTES_PER_S,
        )
        cpu_ms = (
            _cpu_ms_per_change(quiet, busy, changes, f'{role}_cpu_s') / count
        )
        results.emit(BENCH, case, f'{role} processor a change', cpu_ms, 'ms')
        rate = _increase(quiet, f'{role}_bytes') / span_s
        extra = _increase(busy, f'{role}_bytes') - rate * (
            busy[1].at - busy[0].at
        )
        results.emit(
            BENCH, case, f'{role} sends a change', extra / count / changes, 'B'
        )
    for counter in ('reads', 'appends'):
        grown = quiet[1].log[counter] - quiet[0].log[counter]
        results.emit(
            BENCH, case, f'quiet log {counter}', grown / span_s, '1/s'
        )


def _increase(span: tuple[Usage, Usage], name: str) -> float:
    return getattr(span[1], name) - getattr(span[0], name)


def _cpu_ms_per_change(
    quiet: tuple[Usage, Usage],
    busy: tuple[Usage, Usage],
    changes: int,
    name: str,
) -> float:
    """Return processor ms per change, above idle, of a whole role."""
    rate = _increase(quiet, name) / (quiet[1].at - quiet[0].at)
    extra_s = _increase(busy, name) - rate * (busy[1].at - busy[0].at)
    return 1000 * extra_s / changes


def _delays(
    system: System, names: list[str], accepted: dict[int, float]
) -> list[float]:
    """Return per edit the seconds until the last process applied it."""
    last = dict.fromkeys(accepted, 0.0)
    for name in names:
        applied = [
            (int(offset), _unix_s(at))
            for at, offset in _APPLIED.findall(system[name].log())
        ]
        for offset, accepted_at in accepted.items():
            # A process may apply several edits in one batch.
            at = min(
                at
                for applied_offset, at in applied
                if applied_offset >= offset
            )
            last[offset] = max(last[offset], at - accepted_at)
    return list(last.values())


def _unix_s(at: str) -> float:
    parsed = datetime.datetime.strptime(at, '%Y-%m-%d %H:%M:%S,%f')
    return parsed.timestamp()


def _measure_link_choice() -> int:
    """Measure the choice of links on the largest site; return their count."""
    case = f'{LARGEST_ENTRIES} entries, {LARGEST_AGENTS} agents'
    choice = subset.Subset('entry-0')
    started = time.process_time()
    choice.set_members(fleets.fleet(LARGEST_ENTRIES, LARGEST_AGENTS))
    while not choice.step(25):
        pass
    link_names = choice.wanted(EMPTY_TABLE)
    results.emit(
        BENCH,
        case,
        'processor to choose the links of one entry',
        time.process_time() - started,
        's',
    )
    results.emit(BENCH, case, 'links of one entry', len(link_names), 'links')
    return len(link_names)


def _extrapolate(points: list[ScalingPoint], links: int) -> None:
    """Extrapolate to the largest site with the slopes per link."""
    case = f'worked out for {LARGEST_AGENTS} agents'
    if len(points) < 2:
        return
    for metric, unit, bound, values in (
        (
            'in force on the last of the agents, p99',
            's',
            MAX_IN_FORCE_LARGEST_S,
            [point.in_force_p99_s for point in points],
        ),
        (
            'entry processor a change',
            'ms',
            None,
            [point.entry_cpu_ms for point in points],
        ),
        (
            'quiet entry processor',
            '%',
            MAX_CORE_PERCENT,
            [point.quiet_share for point in points],
        ),
        (
            'quiet entry sends and receives',
            'B/s',
            MAX_LINK_BYTES_PER_S,
            [point.quiet_bytes for point in points],
        ),
    ):
        slope, intercept = _fit_line(
            [point.agents for point in points], values
        )
        results.emit(BENCH, case, f'{metric}, slope a link', slope, unit)
        # Never less than was measured: at small numbers of agents the slope
        # of a time of milliseconds may be lost in the noise.
        value = max(*values, intercept + slope * links)
        results.emit(BENCH, case, metric, value, unit, bound)


def _fit_line(xs: list[int], ys: list[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    denominator = sum((x - mean_x) ** 2 for x in xs)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
        / denominator
    )
    return slope, mean_y - slope * mean_x


if __name__ == '__main__':
    main()
