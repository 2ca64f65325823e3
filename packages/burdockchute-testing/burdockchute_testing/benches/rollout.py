"""Time and origin bytes until a new version is live on N replicas.

Real agents, each next to a stand-in engine, copy weights over links with the
rates of the specified site: while the link of one machine carries two
copies, the link of the origin carries four, so the origin has twice the rate
of a link. `size / link` is the time that one copy takes over one link and
the lower bound for a rollout; the lower bound for the origin is one copy.
Requests are sent through an entry during the rollout.

    python -m burdockchute_testing.benches.rollout --agents 8,32,100

Time counts from the return of the operator's command that saves the row, or
from the start of the first copy if that is earlier.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import math  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402
from typing import NamedTuple  # noqa: E402

from burdockchute_testing import harness  # noqa: E402
from burdockchute_testing.benches import rollout_fleet  # noqa: E402
from burdockchute_testing.benches.rollout_fleet import emit  # noqa: E402
from burdockchute_testing.benches.rollout_fleet import Fleet  # noqa: E402
from burdockchute_testing.benches.rollout_load import LiveTraffic  # noqa: E402

BENCH = 'rollout'
MODEL = 'story'
MIB = 1024 * 1024
CHUNK_BYTES = 32 * 1024
ORIGIN_RATE_FACTOR = 2.0
QUIET_S = 4.0
KILLED_SHARE = 0.1
KILL_AT_SHARE = 0.5


class Case(NamedTuple):
    """One rollout. With `kills` a tenth of the agents is killed in mid-copy.

    `size_share` scales the weights down for a policy so slow that the full
    size would take minutes; times stay comparable, as they are ratios.
    """

    name: str
    policy: str = 'default'
    origin_copies: float = 1.0
    loading_share: float = 0.25
    kills: bool = False
    size_share: float = 1.0


CASES = (
    Case('sahyog'),
    Case('lindwurm', origin_copies=4.0),
    Case('tenth-killed', kills=True),
    Case('origin', 'origin', loading_share=1.0, size_share=0.125),
    Case('chain', 'chain', loading_share=1.0),
    Case('tree', 'tree', loading_share=1.0),
    Case('uniform', 'uniform', loading_share=1.0),
    Case('least-loaded', 'least-loaded', loading_share=1.0),
    Case('rarest', 'rarest', loading_share=1.0),
    Case('rarest-least-loaded', 'rarest-least-loaded', loading_share=1.0),
    Case('lottery', 'lottery', loading_share=1.0),
    Case('free-lottery', 'free-lottery', loading_share=1.0),
)

BOUNDS = {
    ('sahyog', 't100'): 1.25,
    ('sahyog', 'origin_copies'): 1.1,
    ('lindwurm', 't100'): 1.25,
    ('tenth-killed', 't100'): 1.5,
    ('sahyog', 'live_p95'): 1.2,
    ('lindwurm', 'live_p95'): 1.2,
}


class Setup(NamedTuple):
    """Parameters that all cases share."""

    size_bytes: int
    link_bytes_per_s: float
    seed: int


def main() -> None:
    """Run the chosen cases for each number of agents."""
    args = _parse_arguments()
    setup = Setup(int(args.size_mib * MIB), args.link_kib * 1024.0, args.seed)
    chosen = [
        case
        for case in CASES
        if not args.cases or case.name in args.cases.split(',')
    ]
    t100_by_case: dict[str, dict[int, float]] = {}
    for count in [int(text) for text in args.agents.split(',')]:
        for policy in dict.fromkeys(case.policy for case in chosen):
            cases = [case for case in chosen if case.policy == policy]
            for name, t100 in _run_fleet(setup, count, cases).items():
                t100_by_case.setdefault(name, {})[count] = t100
    for name, by_count in t100_by_case.items():
        _emit_slope(name, by_count)


def _run_fleet(
    setup: Setup, count: int, cases: list[Case]
) -> dict[str, float]:
    t100 = {}
    with harness.System() as system:
        fleet = Fleet(system, count, cases[0].policy, setup.seed)
        fleet.start(
            setup.link_bytes_per_s, setup.link_bytes_per_s * ORIGIN_RATE_FACTOR
        )
        fleet.set_customer()
        first = system.publish(MODEL, CHUNK_BYTES, CHUNK_BYTES, setup.seed)
        _set_row(system, cases[0], first)
        rollout_fleet.wait_for_all(fleet, first, set(fleet.names))
        for number, case in enumerate(cases):
            if case.kills and count < 1 / KILLED_SHARE:
                continue
            seed = setup.seed + 1000 + number
            t100[case.name] = _run_case(setup, fleet, case, seed)
    return t100


def _run_case(setup: Setup, fleet: Fleet, case: Case, seed: int) -> float:
    system = fleet.system
    size_bytes = int(setup.size_bytes * case.size_share)
    ideal_s = size_bytes / setup.link_bytes_per_s
    digest = system.publish(MODEL, size_bytes, CHUNK_BYTES, seed)
    traffic = LiveTraffic(fleet.entry_url, MODEL, seed)
    time.sleep(QUIET_S)
    before = fleet.usage()
    quiet_end = time.time()
    _set_row(system, case, digest)
    saved = time.time()
    names = set(fleet.names)
    if case.kills:
        time.sleep(ideal_s * KILL_AT_SHARE)
        names -= _kill_some(fleet, seed)
    rollout_fleet.wait_for_all(fleet, digest, names)
    end = time.time()
    traffic.stop()
    after = fleet.usage()

    copy_starts = [
        event.at
        for event in fleet.events('copy_began')
        if event.fields['digest'] == digest
    ]
    started_at = min(saved, *copy_starts)
    opened_at_s = fleet.opened_at(digest)
    ratios = sorted(
        (opened_at_s[name] - started_at) / ideal_s for name in names
    )
    quiet = traffic.summarize(quiet_end - QUIET_S, quiet_end)
    copying = traffic.summarize(
        started_at, max(opened_at_s[name] for name in names)
    )
    cpu = [
        after[name].cpu_s - before[name].cpu_s
        for name in names
        if name in before
    ]
    values: dict[str, tuple[float, str]] = {
        't50': (_percentile(ratios, 0.50), 'size/link'),
        't95': (_percentile(ratios, 0.95), 'size/link'),
        't100': (ratios[-1], 'size/link'),
        'origin_copies': (fleet.origin_bytes(digest) / size_bytes, 'copies'),
        'live_p95_quiet': (quiet.p95_s * 1000, 'ms'),
        'live_p95_copying': (copying.p95_s * 1000, 'ms'),
        'live_p95': (copying.p95_s / quiet.p95_s, 'ratio'),
        'live_requests': (copying.sent, 'requests'),
        'live_not_answered': (copying.failed, 'requests'),
        'cpu': (sum(cpu) / len(cpu), 's/agent'),
        'cpu_share': (
            sum(cpu) / len(cpu) / (end - quiet_end),
            'cores/agent',
        ),
        'rss': (
            sum(usage.rss for usage in after.values()) / len(after) / MIB,
            'MiB/agent',
        ),
        **_bytes_by_source(fleet, digest, size_bytes, len(names)),
    }
    for metric, (value, unit) in values.items():
        _emit(case.name, len(fleet.names), metric, value, unit)
    emit(
        bench=BENCH,
        case=f'{case.name}/N={len(fleet.names)}',
        metric='live_at',
        value=[round(ratio, 3) for ratio in ratios],
        unit='size/link',
        bound=None,
    )
    fleet.names = sorted(names)
    return ratios[-1]


def _bytes_by_source(
    fleet: Fleet, digest: str, size_bytes: int, agents: int
) -> dict[str, tuple[float, str]]:
    completed = [
        event.fields
        for event in fleet.events('copy_whole')
        if event.fields['digest'] == digest
    ]
    return {
        f'from_{source}': (
            sum(int(fields[f'{source}_bytes']) for fields in completed)
            / size_bytes
            / agents,
            'copies/agent',
        )
        for source in ('zone', 'region', 'elsewhere', 'twice')
    }


def _kill_some(fleet: Fleet, seed: int) -> set[str]:
    count = int(len(fleet.names) * KILLED_SHARE)
    killed = random.Random(seed).sample(fleet.names, count)
    for name in killed:
        fleet.system[name].kill()
    return set(killed)


def _set_row(system: harness.System, case: Case, digest: str) -> None:
    system.set_row(
        'model',
        MODEL,
        version=digest[:8],
        digest=digest,
        origin_copies=case.origin_copies,
        loading_share=case.loading_share,
    )


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[math.ceil(share * len(ordered)) - 1]


def _emit(case: str, count: int, metric: str, value: float, unit: str) -> None:
    emit(
        bench=BENCH,
        case=f'{case}/N={count}',
        metric=metric,
        value=round(value, 4),
        unit=unit,
        bound=BOUNDS.get((case, metric)),
    )


def _emit_slope(case: str, by_count: dict[int, float]) -> None:
    if len(by_count) < 2:
        return
    smallest, largest = min(by_count), max(by_count)
    doublings = math.log2(largest / smallest)
    emit(
        bench=BENCH,
        case=f'{case}/N={smallest}..{largest}',
        metric='t100_slope',
        value=round((by_count[largest] - by_count[smallest]) / doublings, 4),
        unit='size/link per doubling of N',
        bound=None,
    )


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--agents', default='8,32')
    parser.add_argument(
        '--cases', default='', help='comma-separated list; all if empty'
    )
    parser.add_argument('--size-mib', type=float, default=4.0)
    parser.add_argument('--link-kib', type=float, default=512.0)
    parser.add_argument('--seed', type=int, default=1)
    return parser.parse_args()


if __name__ == '__main__':
    main()
