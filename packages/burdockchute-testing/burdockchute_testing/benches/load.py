"""What callers get under load, against two baselines (make bench-load).

The baselines send straight to the engines, round robin and to the one with
the fewest calls outstanding, let everything in and know nothing of prefixes.
They have two hops less than the system. All run in the same run, with the
same seeds, on the same engines.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
from collections.abc import Callable  # noqa: E402
from collections.abc import Iterable  # noqa: E402
import functools  # noqa: E402
import itertools  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402
from typing import NamedTuple  # noqa: E402

import blake3  # noqa: E402

from burdockchute_testing import client  # noqa: E402
from burdockchute_testing.benches import load_traffic  # noqa: E402
from burdockchute_testing.benches import results  # noqa: E402
from burdockchute_testing.benches.load_traffic import Sample  # noqa: E402
from burdockchute_testing.benches.load_traffic import Shape  # noqa: E402
from burdockchute_testing.benches.load_traffic import Target  # noqa: E402
from burdockchute_testing.harness import System  # noqa: E402
from burdockchute_testing.harness import wait_until  # noqa: E402

_emit = results.emitter('load')
SEED = 1

ENGINES = 4
SLOTS = 4
TOKEN_INTERVAL_S = 0.02
TOKENS = 24
SPREAD = 16
PREFILL_TOKENS_PER_S = 20_000
CACHE_BLOCKS = 128
CAPACITY_PER_S = ENGINES * SLOTS / (TOKENS * TOKEN_INTERVAL_S)

CUSTOMERS = ('school', 'flood')
LONG_TOKENS = 100

# Letters and stories start from templates; each machine's cache holds half
# of them.
TEMPLATES = 12
TEMPLATE_WORDS = 1280

SYSTEM = 'burdockchute'
LOADS = (0.5, 1.0, 1.5, 3.0)

GOODPUT_KEPT = 0.9
BESIDE_FLOOD = 1.3
RETRIES = 0.1
PREFILL_SAVED = 0.5
CLAIM_MS = 100.0

SETTLE_S = 1.0


class Policy(NamedTuple):
    """A way to place requests, made anew for each run."""

    name: str
    make: Callable[[], Target]


class Bench:
    """The running system and how long each case lasts."""

    def __init__(self, system: System, seconds: float) -> None:
        self.system = system
        self.seconds = seconds
        self.digest = ''
        self.engines: list[str] = []

    def policies(self) -> list[Policy]:
        """Give the system and both baselines."""
        return [
            Policy(SYSTEM, self.through_entries),
            Policy('round robin', self.round_robin),
            Policy('least outstanding', self.least_outstanding),
        ]

    def run(self, policy: Policy, *shapes: Shape) -> list[Sample]:
        """Run one load under one policy."""
        samples = load_traffic.run(policy.make(), shapes, self.seconds, SEED)
        # An engine goes on for a while with what its caller has left, which
        # must not burden the next policy.
        for name in self.engines:
            wait_until(
                functools.partial(self._is_idle, name), f'{name} is idle'
            )
        time.sleep(SETTLE_S)
        return samples

    def _is_idle(self, engine: str) -> bool:
        load = client.get(f'{self.system.url(engine)}/load').json()
        return not load['running'] and not load['waiting']

    def through_entries(self) -> Target:
        """Send to the entries in turn, as their balancer does."""
        urls = itertools.cycle(
            [self.system.url(n, 'http_port') for n in self.system.entries]
        )

        def choose(shape: Shape) -> tuple[str, dict[str, str], dict]:
            headers = {
                'Authorization': f'Bearer {shape.customer}',
                'Content-Type': 'application/json',
                'Burdockchute-Deadline-Ms': str(int(shape.deadline_s * 1000)),
            }
            if shape.key is not None:
                headers['Burdockchute-Idempotent'] = 'no'
                headers['Idempotency-Key'] = shape.key()
            return next(urls) + '/v1/completions', headers, {}

        return Target(choose, lambda url: None)

    def round_robin(self) -> Target:
        """Send to the engines in turn."""
        urls = itertools.cycle(self._engine_urls())
        return self._direct(lambda: next(urls), lambda url: None)

    def least_outstanding(self) -> Target:
        """Send to the engine with the fewest calls under way."""
        under_way = dict.fromkeys(self._engine_urls(), 0)

        def choose() -> str:
            url = min(under_way, key=lambda url: under_way[url])
            under_way[url] += 1
            return url

        def done(url: str) -> None:
            under_way[url] -= 1

        return self._direct(choose, done)

    def _direct(
        self, pick: Callable[[], str], done: Callable[[str], None]
    ) -> Target:
        ids = itertools.count()
        run = random.getrandbits(32)

        def choose(shape: Shape) -> tuple[str, dict[str, str], dict]:
            more = {
                'request_id': f'{run}-{next(ids)}',
                'digest': self.digest,
            }
            headers = {'Content-Type': 'application/json'}
            return pick(), headers, more

        return Target(choose, done)

    def _engine_urls(self) -> list[str]:
        return [self.system.url(n) + '/v1/completions' for n in self.engines]


def main() -> None:
    """Run every case and print the results."""
    cases = {
        'saturation': measure_saturation,
        'slow': measure_slow_upstream,
        'flood': measure_flood,
        'long': measure_long_among_short,
        'outage': measure_retries,
        'prefix': measure_prefixes,
        'claims': measure_claims,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument(
        '--cases', default=','.join(cases), help='comma list of cases'
    )
    args = parser.parse_args()
    with System() as system:
        bench = Bench(system, args.seconds)
        _start(bench)
        bench.run(bench.policies()[0], _short(0.5))
        for name in args.cases.split(','):
            cases[name](bench)


def measure_saturation(bench: Bench) -> None:
    """Good answers a second from half to three times the capacity."""
    for policy in bench.policies():
        goodput = {}
        for load in LOADS:
            samples = bench.run(policy, _short(load))
            case = f'{load:g} x capacity, {policy.name}'
            goodput[load] = _good(samples) / bench.seconds
            _emit(case, 'goodput', goodput[load], '1/s')
            _emit_times(case, samples)
        kept = goodput[LOADS[-1]] / max(goodput.values())
        bound = GOODPUT_KEPT if policy.name == SYSTEM else None
        _emit(f'saturation, {policy.name}', 'goodput kept', kept, '1', bound)


def measure_slow_upstream(bench: Bench) -> None:
    """One of the engines is five times slower than the others."""
    bench.system.set_faults('engine-0', slow=5.0)
    for policy in bench.policies():
        samples = bench.run(policy, _short(0.5))
        case = f'slow upstream, {policy.name}'
        _emit(case, 'good', _good(samples) / len(samples), '1')
        _emit_times(case, samples)
    bench.system.set_faults('engine-0')


def measure_flood(bench: Bench) -> None:
    """A customer sends three times the capacity beside a quiet one."""
    school = _short(0.25)
    flood = _short(3.0, name='flood', customer='flood')
    for policy in bench.policies():
        quiet = _of(bench.run(policy, school), 'school')
        beside = _of(bench.run(policy, school, flood), 'school')
        case = f'beside a flood, {policy.name}'
        _emit(case, 'good', _good(beside) / len(beside), '1')
        ratio = _p95_s(beside) / _p95_s(quiet)
        bound = BESIDE_FLOOD if policy.name == SYSTEM else None
        _emit(case, 'p95 quiet', _p95_s(quiet) * 1e3, 'ms')
        _emit(case, 'p95 beside', _p95_s(beside) * 1e3, 'ms')
        _emit(case, 'p95 ratio', ratio, '1', bound)


def measure_long_among_short(bench: Bench) -> None:
    """Long work that would take three quarters of the slots."""
    long = Shape('long', 'flood', 4.0, max_tokens=150, deadline_s=8.0)
    for policy in bench.policies():
        samples = bench.run(policy, _short(0.4), long)
        case = f'long among short, {policy.name}'
        for name in ('school', 'long'):
            own = _of(samples, name)
            _emit(case, f'{name} good', _good(own) / len(own), '1')
        _emit_times(case, _of(samples, 'school'))


def measure_retries(bench: Bench) -> None:
    """All engines break off each answer before its first token."""
    before = {run['request_id'] for run in bench.system.runs()}
    for name in bench.engines:
        bench.system.set_faults(name, break_after=0)
    bench.run(bench.policies()[0], _short(1.0))
    for name in bench.engines:
        bench.system.set_faults(name)
    runs = [
        run['request_id']
        for run in bench.system.runs()
        if run['request_id'] not in before
    ]
    first = len(set(runs))
    again = (len(runs) - first) / max(1, first)
    _emit('outage', 'first attempts', first, '1')
    _emit('outage', 'retries over first attempts', again, '1', RETRIES)
    # Windows that the outage has closed open again before the next case.
    bench.run(bench.policies()[0], _short(0.5))


def measure_prefixes(bench: Bench) -> None:
    """Prompts that start from templates, more than one cache holds."""
    rng = random.Random(SEED)
    templates = [
        ' '.join(f't{number}-{rng.random()}' for _ in range(TEMPLATE_WORDS))
        for number in range(TEMPLATES)
    ]

    def prompt(rng: random.Random) -> str:
        return f'{rng.choice(templates)} for {rng.random()}'

    for policy in bench.policies():
        shape = _short(0.6)._replace(prompt=prompt)
        # The first run fills the caches as this policy fills them.
        bench.run(policy, shape)
        samples = bench.run(policy, shape)
        answered = [s for s in samples if s.outcome == 'answered']
        cached = sum(sample.cached_tokens for sample in answered)
        saved = cached / max(1, len(answered) * (TEMPLATE_WORDS + 2))
        case = f'shared prefixes, {policy.name}'
        bound = PREFILL_SAVED if policy.name == SYSTEM else None
        _emit(case, 'prefill saved', saved, '1', bound)
        _emit_times(case, samples)


def measure_claims(bench: Bench) -> None:
    """First tokens of requests that run at most once, beside others."""
    numbers = itertools.count()

    def key() -> str:
        return f'{int(time.time())}-{next(numbers)}'

    system = bench.policies()[0]
    plain = bench.run(system, _short(0.5))
    claimed = bench.run(system, _short(0.5)._replace(key=key))
    for share in (0.5, 0.95):
        added = _first_s(claimed, share) - _first_s(plain, share)
        bound = CLAIM_MS if share == 0.95 else None
        _emit('claims', f'added p{share * 100:g}', added * 1e3, 'ms', bound)
    for name, samples in (('plain', plain), ('claimed', claimed)):
        _emit('claims', f'{name} good', _good(samples) / len(samples), '1')


def _start(bench: Bench) -> None:
    system = bench.system
    system.add_platform()
    for number in range(ENGINES):
        name = f'engine-{number}'
        system.add_engine(
            name,
            slots=SLOTS,
            token_interval_s=TOKEN_INTERVAL_S,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            cache_blocks=CACHE_BLOCKS,
            seed=number,
        )
        bench.engines.append(name)
        system.add_agent(f'agent-{number}', name)
    system.add_entry('entry-1')
    system.add_entry('entry-2')
    bench.digest = system.publish('story', 1_000_000, 250_000, SEED)
    for name in CUSTOMERS:
        system.set_row(
            'customer',
            name,
            key_digests=blake3.blake3(name.encode()).hexdigest(),
            requests_per_s=100_000,
            tokens_per_s=10_000_000,
        )
    system.set_row(
        'model',
        'story',
        version='v1',
        digest=bench.digest,
        loading_share=1,
        long_tokens=LONG_TOKENS,
    )
    agents = list(system.agents)
    wait_until(
        lambda: all(
            bench.digest in system.open_digests(name) for name in agents
        ),
        'weights are open on all agents',
    )
    system.wait_ready('entry-1', 'entry-2')


def _short(
    load: float, name: str = 'school', customer: str = 'school'
) -> Shape:
    return Shape(name, customer, load * CAPACITY_PER_S, TOKENS, SPREAD)


def _of(samples: Iterable[Sample], shape: str) -> list[Sample]:
    return [sample for sample in samples if sample.shape == shape]


def _good(samples: Iterable[Sample]) -> int:
    return sum(sample.good for sample in samples)


def _p95_s(samples: Iterable[Sample]) -> float:
    # A call without answer counts as slower than any answer, or losing
    # calls would make a policy look fast.
    times = [
        sample.total_s if sample.outcome == 'answered' else float('inf')
        for sample in samples
    ]
    return min(results.percentile(times, 0.95), 1e3)


def _first_s(samples: Iterable[Sample], share: float) -> float:
    firsts = [s.first_s for s in samples if s.first_s is not None]
    return results.percentile(firsts, share) if firsts else 1e3


def _emit_times(case: str, samples: Iterable[Sample]) -> None:
    samples = list(samples)
    gaps = [gap for sample in samples for gap in sample.intervals]
    for share in (0.95, 0.99):
        name = f'p{share * 100:g}'
        first_ms = _first_s(samples, share) * 1e3
        _emit(case, f'first token {name}', first_ms, 'ms')
        if gaps:
            gap_ms = results.percentile(gaps, share) * 1e3
            _emit(case, f'token interval {name}', gap_ms, 'ms')


if __name__ == '__main__':
    main()
