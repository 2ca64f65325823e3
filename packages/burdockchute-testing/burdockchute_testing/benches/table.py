"""How fast and at what cost an edit is in force (make bench-table).

Real entries and agents on a stand-in log. An edit is appended; the time
from the log's reply to the event `table_applied` of each process is what
callers would wait for. All processes share one clock, read in milliseconds.
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
IN_FORCE_P99_S = 2.0
IN_FORCE_LARGEST_S = 8.0
CORE_SHARE = 3.5
BYTES_PER_S = 23_000

# What a start sends is over by then.
SETTLE_S = 5.0
QUIET_S = 15.0
PAUSE_S = 0.03

# The largest site: links of an entry, counted by the subset bench below.
LARGEST_ENTRIES = 360
LARGEST_AGENTS = 12_000

_APPLIED = re.compile(
    r'^at="([^"]+)" .*event=table_applied .*?offset=(\d+)', re.MULTILINE
)


class Usage(NamedTuple):
    """Processor seconds, bytes sent on links and log counters so far."""

    at: float
    entry_cpu_s: float
    agent_cpu_s: float
    entry_bytes: float
    agent_bytes: float
    log: dict[str, int]


class Slope(NamedTuple):
    """One point from which slopes with the number of agents are made.

    Of one entry: processor per change, share of a core and bytes a second,
    sent and received, while nothing changes.
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
        _spread(count, args.entries, args.changes) for count in args.agents
    ]
    links = _subset()
    _largest(points, links)
    for count in args.rows:
        table_rows.run(count)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--agents', type=_numbers, default=[8, 32, 100])
    parser.add_argument('--entries', type=int, default=2)
    parser.add_argument('--changes', type=int, default=200)
    parser.add_argument('--rows', type=_numbers, default=[100, 1000, 10_000])
    return parser.parse_args()


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(',')]


def _spread(agents: int, entries: int, changes: int) -> Slope:
    """Measure edits on a system of that many agents."""
    case = f'{agents} agents, {entries} entries'
    with System() as system:
        _start(system, agents, entries)
        _edit_first(system)
        names = [*system.entries, *system.agents]
        wait_until(
            lambda: (
                all(_links_of(system, e) == agents for e in system.entries)
                and _least_offset(system, names) >= 0
            ),
            'all are linked and have the table',
        )
        time.sleep(SETTLE_S)
        quiet = _between(system, lambda: time.sleep(QUIET_S))
        accepted: dict[int, float] = {}
        busy = _between(system, lambda: _edit(system, changes, accepted))
        last = max(accepted)
        wait_until(
            lambda: _least_offset(system, names) >= last, 'all in force'
        )
        _emit_usage(case, agents, entries, changes, quiet, busy)
        on_agents = _delays(system, system.agents, accepted)
        on_entries = _delays(system, system.entries, accepted)
    for role, delays in (('agents', on_agents), ('entries', on_entries)):
        for share in (0.5, 0.99):
            results.emit(
                BENCH,
                case,
                f'in force on the last of the {role}, p{share * 100:.0f}',
                results.percentile(delays, share),
                's',
                IN_FORCE_P99_S,
            )
    cpu_ms = _cpu_a_change(quiet, busy, changes, 'entry_cpu_s') / entries
    span_s = quiet[1].at - quiet[0].at
    sent = _grown(quiet, 'entry_bytes') + _grown(quiet, 'agent_bytes')
    return Slope(
        agents,
        results.percentile(on_agents, 0.99),
        cpu_ms,
        100 * _grown(quiet, 'entry_cpu_s') / entries / span_s,
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


def _edit_first(system: System) -> None:
    system.set_row('service', 'proofs', slots=1)


def _edit(system: System, changes: int, accepted: dict[int, float]) -> None:
    log = LogClient(system.url('log'))
    table = table_log.load(log).unwrap().table
    for number in range(changes):
        text = _change(table, number)
        offset = log.append(table_log.STREAM, text).unwrap()
        accepted[offset] = time.time()
        table, _findings = reducer.apply_record(table, offset, text)
        time.sleep(PAUSE_S)


def _change(table: Table, number: int) -> str:
    key = rows.RowKey('service', 'proofs')
    held = table.rows[key]
    row = rows.ServiceRow('proofs', slots=2 + number)
    edit = records.RowEdit(key, held.revision, row)
    record = records.EditRecord(f'edit-{number}', table.offset, (edit,))
    return records.serialize(record)


def _links_of(system: System, entry: str) -> int:
    return system.status(entry)['links']['open']


def _least_offset(system: System, names: list[str]) -> int:
    return min(_offset(system.status(name)) for name in names)


def _offset(status: dict) -> int:
    if 'table' in status:
        return status['table']['offset']
    return status['table_offset']


def _between(system: System, run) -> tuple[Usage, Usage]:
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
        cpu_s = _grown(quiet, f'{role}_cpu_s') / count
        share = 100 * cpu_s / span_s
        results.emit(
            BENCH, case, f'quiet {role} processor', share, '%', CORE_SHARE
        )
        sent = _grown(quiet, f'{role}_bytes') / count / span_s
        results.emit(
            BENCH, case, f'quiet {role} sends', sent, 'B/s', BYTES_PER_S
        )
        cpu_ms = _cpu_a_change(quiet, busy, changes, f'{role}_cpu_s') / count
        results.emit(BENCH, case, f'{role} processor a change', cpu_ms, 'ms')
        rate = _grown(quiet, f'{role}_bytes') / span_s
        extra = _grown(busy, f'{role}_bytes') - rate * (
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


def _grown(span: tuple[Usage, Usage], name: str) -> float:
    return getattr(span[1], name) - getattr(span[0], name)


def _cpu_a_change(
    quiet: tuple[Usage, Usage],
    busy: tuple[Usage, Usage],
    changes: int,
    name: str,
) -> float:
    """Give the processor milliseconds of all processes of a role."""
    rate = _grown(quiet, name) / (quiet[1].at - quiet[0].at)
    extra_s = _grown(busy, name) - rate * (busy[1].at - busy[0].at)
    return 1000 * extra_s / changes


def _delays(
    system: System, names: list[str], accepted: dict[int, float]
) -> list[float]:
    """Give for each edit the seconds until it was in force on the last."""
    last = dict.fromkeys(accepted, 0.0)
    for name in names:
        applied = [
            (int(offset), _unix(at))
            for at, offset in _APPLIED.findall(system[name].log())
        ]
        for offset, since in accepted.items():
            # A process may take several edits in one step.
            at = min(at for reached, at in applied if reached >= offset)
            last[offset] = max(last[offset], at - since)
    return list(last.values())


def _unix(at: str) -> float:
    parsed = datetime.datetime.strptime(at, '%Y-%m-%d %H:%M:%S,%f')
    return parsed.timestamp()


def _subset() -> int:
    """Measure the choice of links on the largest site; give their number."""
    case = f'{LARGEST_ENTRIES} entries, {LARGEST_AGENTS} agents'
    choice = subset.Subset('entry-0')
    started = time.process_time()
    choice.set_members(fleets.fleet(LARGEST_ENTRIES, LARGEST_AGENTS))
    while not choice.step(25):
        pass
    wanted = choice.wanted(EMPTY_TABLE)
    results.emit(
        BENCH,
        case,
        'processor to choose the links of one entry',
        time.process_time() - started,
        's',
    )
    results.emit(BENCH, case, 'links of one entry', len(wanted), 'links')
    return len(wanted)


def _largest(points: list[Slope], links: int) -> None:
    """Work out the largest site from the slopes with links per entry."""
    case = f'worked out for {LARGEST_AGENTS} agents'
    if len(points) < 2:
        return
    for metric, unit, bound, values in (
        (
            'in force on the last of the agents, p99',
            's',
            IN_FORCE_LARGEST_S,
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
            CORE_SHARE,
            [point.quiet_share for point in points],
        ),
        (
            'quiet entry sends and receives',
            'B/s',
            BYTES_PER_S,
            [point.quiet_bytes for point in points],
        ),
    ):
        slope, start = _fit([point.agents for point in points], values)
        results.emit(BENCH, case, f'{metric}, slope a link', slope, unit)
        # Never less than was measured: between small numbers of agents the
        # slope of a time of milliseconds may be lost in its scatter.
        value = max(*values, start + slope * links)
        results.emit(BENCH, case, metric, value, unit, bound)


def _fit(xs: list[int], ys: list[float]) -> tuple[float, float]:
    """Give slope and start of the line of least squares."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
        / spread
    )
    return slope, mean_y - slope * mean_x


if __name__ == '__main__':
    main()
