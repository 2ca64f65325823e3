"""Time and origin bytes until a new version is live on N replicas.

Real agents, each beside a stand-in engine, copy weights over links of the
brief's shape: in the time that one machine's link carries two copies the
origin's carries four, so the origin has twice the rate of a link. `size /
link` is the time that one copy takes through one link, and the least that a
rollout can take; one copy is the least that the origin can send. Requests
flow through an entry meanwhile.

    python -m burdockchute_testing.benches.rollout --agents 8,32,100

Time is counted from when the operator's command to save the row returns, or
from the first agent that began to copy if that is earlier.
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
from burdockchute_testing.benches.rollout_load import Load  # noqa: E402

BENCH = 'rollout'
MODEL = 'story'
MIB = 1024 * 1024
CHUNK = 32 * 1024
ORIGIN_LINKS = 2.0
QUIET_S = 4.0
KILLED_SHARE = 0.1
KILL_AT = 0.5


class Case(NamedTuple):
    """One rollout. `kills` ends a tenth of the agents in mid-copy.

    `size_share` makes the weights smaller where a policy is so slow that
    the whole size would take minutes; times are ratios all the same.
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
    """What is the same for all cases; sizes in bytes, rates per second."""

    size: int
    link: float
    seed: int


def main() -> None:
    """Run the chosen cases for each number of agents."""
    args = _arguments()
    setup = Setup(int(args.size_mib * MIB), args.link_kib * 1024.0, args.seed)
    chosen = [
        case
        for case in CASES
        if not args.cases or case.name in args.cases.split(',')
    ]
    finished: dict[str, dict[int, float]] = {}
    for count in [int(text) for text in args.agents.split(',')]:
        for policy in dict.fromkeys(case.policy for case in chosen):
            cases = [case for case in chosen if case.policy == policy]
            for name, t100 in _run_fleet(setup, count, cases).items():
                finished.setdefault(name, {})[count] = t100
    for name, by_count in finished.items():
        _emit_slope(name, by_count)


def _run_fleet(
    setup: Setup, count: int, cases: list[Case]
) -> dict[str, float]:
    finished = {}
    with harness.System() as system:
        fleet = Fleet(system, count, cases[0].policy, setup.seed)
        fleet.start(setup.link, setup.link * ORIGIN_LINKS)
        fleet.set_customer()
        first = system.publish(MODEL, CHUNK, CHUNK, setup.seed)
        _set_row(system, cases[0], first)
        rollout_fleet.wait_for_all(fleet, first, set(fleet.names))
        for number, case in enumerate(cases):
            if case.kills and count < 1 / KILLED_SHARE:
                continue
            seed = setup.seed + 1000 + number
            finished[case.name] = _run_case(setup, fleet, case, seed)
    return finished


def _run_case(setup: Setup, fleet: Fleet, case: Case, seed: int) -> float:
    system = fleet.system
    size = int(setup.size * case.size_share)
    ideal_s = size / setup.link
    digest = system.publish(MODEL, size, CHUNK, seed)
    load = Load(fleet.entry_url, MODEL, seed)
    time.sleep(QUIET_S)
    before = fleet.usage()
    quiet_end = time.time()
    _set_row(system, case, digest)
    saved = time.time()
    names = set(fleet.names)
    if case.kills:
        time.sleep(ideal_s * KILL_AT)
        names -= _kill_some(fleet, seed)
    rollout_fleet.wait_for_all(fleet, digest, names)
    end = time.time()
    load.stop()
    after = fleet.usage()

    begun = [
        event.at
        for event in fleet.events('copy_began')
        if event.fields['digest'] == digest
    ]
    zero = min(saved, *begun)
    opened = fleet.open_at(digest)
    ratios = sorted((opened[name] - zero) / ideal_s for name in names)
    quiet = load.between(quiet_end - QUIET_S, quiet_end)
    busy = load.between(zero, max(opened[name] for name in names))
    cpu = [
        after[name].cpu_s - before[name].cpu_s
        for name in names
        if name in before
    ]
    values: dict[str, tuple[float, str]] = {
        't50': (_at_share(ratios, 0.50), 'size/link'),
        't95': (_at_share(ratios, 0.95), 'size/link'),
        't100': (ratios[-1], 'size/link'),
        'origin_copies': (fleet.origin_bytes(digest) / size, 'copies'),
        'live_p95_quiet': (quiet.p95_s * 1000, 'ms'),
        'live_p95_copying': (busy.p95_s * 1000, 'ms'),
        'live_p95': (busy.p95_s / quiet.p95_s, 'ratio'),
        'live_requests': (busy.asked, 'requests'),
        'live_not_answered': (busy.failed, 'requests'),
        'cpu': (sum(cpu) / len(cpu), 's/agent'),
        'cpu_share': (
            sum(cpu) / len(cpu) / (end - quiet_end),
            'cores/agent',
        ),
        'rss': (
            sum(usage.rss for usage in after.values()) / len(after) / MIB,
            'MiB/agent',
        ),
        **_sources(fleet, digest, size, len(names)),
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


def _sources(
    fleet: Fleet, digest: str, size: int, agents: int
) -> dict[str, tuple[float, str]]:
    whole = [
        event.fields
        for event in fleet.events('copy_whole')
        if event.fields['digest'] == digest
    ]
    return {
        f'from_{source}': (
            sum(int(fields[f'{source}_bytes']) for fields in whole)
            / size
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


def _at_share(ordered: list[float], share: float) -> float:
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
    few, many = min(by_count), max(by_count)
    doublings = math.log2(many / few)
    emit(
        bench=BENCH,
        case=f'{case}/N={few}..{many}',
        metric='t100_slope',
        value=round((by_count[many] - by_count[few]) / doublings, 4),
        unit='size/link per doubling of N',
        bound=None,
    )


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--agents', default='8,32')
    parser.add_argument(
        '--cases', default='', help='a comma list; all if empty'
    )
    parser.add_argument('--size-mib', type=float, default=4.0)
    parser.add_argument('--link-kib', type=float, default=512.0)
    parser.add_argument('--seed', type=int, default=1)
    return parser.parse_args()


if __name__ == '__main__':
    main()
