"""Goodput and latency under load, against two baselines (make bench-load).

The baselines send directly to the engines, round robin and to the engine
with the fewest outstanding calls. They have no admission control, ignore
shared prefixes, and need two hops fewer than the system. All policies are
measured in the same run, with the same seeds, on the same engines.
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

from burdockchute.decisions import size_classes  # noqa: E402
from burdockchute_testing import client  # noqa: E402
from burdockchute_testing.benches import load_traffic  # noqa: E402
from burdockchute_testing.benches import results  # noqa: E402
from burdockchute_testing.benches.load_traffic import Sample  # noqa: E402
from burdockchute_testing.benches.load_traffic import Target  # noqa: E402
from burdockchute_testing.benches.load_traffic import Workload  # noqa: E402
from burdockchute_testing.harness import System  # noqa: E402
from burdockchute_testing.harness import wait_until  # noqa: E402
from burdockchute_testing.token_counts import draw_token_count  # noqa: E402

_emit = results.emitter('load')
SEED = 1

ENGINES = 4
SLOTS = 4
TOKEN_INTERVAL_S = 0.02
TOKENS = 24
TOKEN_SPREAD = 16
PREFILL_TOKENS_PER_S = 20_000
CACHE_BLOCKS = 128
CAPACITY_PER_S = ENGINES * SLOTS / (TOKENS * TOKEN_INTERVAL_S)

CUSTOMERS = ('school', 'flood')
LONG_TOKENS = 100

# Prompts of letters and stories start with a shared template; the prefix
# cache of one instance holds half of the templates.
TEMPLATES = 12
TEMPLATE_WORDS = 1280

SYSTEM = 'burdockchute'
LOAD_FACTORS = (0.5, 1.0, 1.5, 3.0)

# Requests of very different sizes; prompts have MEAN_PROMPT_WORDS on average,
# most of them fewer and a few several times as many.
OVERLOAD_FACTORS = (1.2, 2.5)
MEAN_PROMPT_WORDS = 900
SIZES_DEADLINE_S = 8.0
# Queues are full after about a deadline.
MIN_SIZES_S = 5 * SIZES_DEADLINE_S

MIN_GOODPUT_KEPT = 0.9
MAX_FLOOD_P95_RATIO = 1.3
MAX_RETRY_RATIO = 0.1
MIN_PREFILL_SAVED = 0.5
MAX_CLAIM_DELAY_MS = 100.0
MIN_SIZE_RATIO = 0.8

SETTLE_S = 1.0


class Policy(NamedTuple):
    """A way to place requests; `make` creates a new target for each run."""

    name: str
    make: Callable[[], Target]


class Bench:
    """The running system and the duration of each case."""

    def __init__(self, system: System, seconds: float) -> None:
        self.system = system
        self.seconds = seconds
        self.digest = ''
        self.engines: list[str] = []

    def policies(self) -> list[Policy]:
        """Return the system and both baselines."""
        return [
            Policy(SYSTEM, self.through_entries),
            Policy('round robin', self.round_robin),
            Policy('least outstanding', self.least_outstanding),
        ]

    def run(
        self,
        policy: Policy,
        *workloads: Workload,
        seconds: float | None = None,
    ) -> list[Sample]:
        """Run workloads under one policy and return their samples."""
        samples = load_traffic.run(
            policy.make(), workloads, seconds or self.seconds, SEED
        )
        # An engine works on for a while on requests whose callers have
        # disconnected; this must not slow the next policy.
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
        """Send to the entries in turn, as their load balancer does."""
        urls = itertools.cycle(
            [self.system.url(n, 'http_port') for n in self.system.entries]
        )

        def choose(workload: Workload) -> tuple[str, dict[str, str], dict]:
            headers = {
                'Authorization': f'Bearer {workload.customer}',
                'Content-Type': 'application/json',
                'Burdockchute-Deadline-Ms': str(
                    int(workload.deadline_s * 1000)
                ),
            }
            if workload.key is not None:
                headers['Burdockchute-Idempotent'] = 'no'
                headers['Idempotency-Key'] = workload.key()
            return next(urls) + '/v1/completions', headers, {}

        return Target(choose, lambda url: None)

    def round_robin(self) -> Target:
        """Send to the engines in turn."""
        urls = itertools.cycle(self._engine_urls())
        return self._direct(lambda: next(urls), lambda url: None)

    def least_outstanding(self) -> Target:
        """Send to the engine with the fewest outstanding calls."""
        outstanding = dict.fromkeys(self._engine_urls(), 0)

        def choose() -> str:
            url = min(outstanding, key=lambda url: outstanding[url])
            outstanding[url] += 1
            return url

        def on_end(url: str) -> None:
            outstanding[url] -= 1

        return self._direct(choose, on_end)

    def _direct(
        self, pick: Callable[[], str], on_end: Callable[[str], None]
    ) -> Target:
        ids = itertools.count()
        run_id = random.getrandbits(32)

        def choose(workload: Workload) -> tuple[str, dict[str, str], dict]:
            extra_members = {
                'request_id': f'{run_id}-{next(ids)}',
                'digest': self.digest,
            }
            headers = {'Content-Type': 'application/json'}
            return pick(), headers, extra_members

        return Target(choose, on_end)

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
        'sizes': measure_sizes,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument(
        '--cases',
        default=','.join(cases),
        help='comma-separated list of cases',
    )
    args = parser.parse_args()
    with System() as system:
        bench = Bench(system, args.seconds)
        _start(bench)
        bench.run(bench.policies()[0], _short_workload(0.5))
        for name in args.cases.split(','):
            cases[name](bench)


def measure_saturation(bench: Bench) -> None:
    """Measure goodput at half to three times the capacity."""
    for policy in bench.policies():
        goodput = {}
        for load in LOAD_FACTORS:
            samples = bench.run(policy, _short_workload(load))
            case = f'{load:g} x capacity, {policy.name}'
            goodput[load] = _count_good(samples) / bench.seconds
            _emit(case, 'goodput', goodput[load], '1/s')
            _emit_times(case, samples)
        kept = goodput[LOAD_FACTORS[-1]] / max(goodput.values())
        bound = MIN_GOODPUT_KEPT if policy.name == SYSTEM else None
        _emit(f'saturation, {policy.name}', 'goodput kept', kept, '1', bound)


def measure_slow_upstream(bench: Bench) -> None:
    """Measure with one engine five times slower than the others."""
    bench.system.set_faults('engine-0', slow=5.0)
    for policy in bench.policies():
        samples = bench.run(policy, _short_workload(0.5))
        case = f'slow upstream, {policy.name}'
        _emit(case, 'good', _count_good(samples) / len(samples), '1')
        _emit_times(case, samples)
    bench.system.set_faults('engine-0')


def measure_flood(bench: Bench) -> None:
    """Measure a light customer while another sends three times capacity."""
    light = _short_workload(0.25)
    flood = _short_workload(3.0, name='flood', customer='flood')
    for policy in bench.policies():
        quiet = _samples_of(bench.run(policy, light), 'school')
        during_flood = _samples_of(bench.run(policy, light, flood), 'school')
        case = f'beside a flood, {policy.name}'
        _emit(case, 'good', _count_good(during_flood) / len(during_flood), '1')
        ratio = _p95_s(during_flood) / _p95_s(quiet)
        bound = MAX_FLOOD_P95_RATIO if policy.name == SYSTEM else None
        _emit(case, 'p95 quiet', _p95_s(quiet) * 1e3, 'ms')
        _emit(case, 'p95 beside', _p95_s(during_flood) * 1e3, 'ms')
        _emit(case, 'p95 ratio', ratio, '1', bound)


def measure_long_among_short(bench: Bench) -> None:
    """Measure with long requests that would take 3/4 of the slots."""
    long = Workload('long', 'flood', 4.0, max_tokens=150, deadline_s=8.0)
    for policy in bench.policies():
        samples = bench.run(policy, _short_workload(0.4), long)
        case = f'long among short, {policy.name}'
        for name in ('school', 'long'):
            own = _samples_of(samples, name)
            _emit(case, f'{name} good', _count_good(own) / len(own), '1')
        _emit_times(case, _samples_of(samples, 'school'))


def measure_retries(bench: Bench) -> None:
    """Measure retries while all engines fail before the first token."""
    before = {run['request_id'] for run in bench.system.runs()}
    for name in bench.engines:
        bench.system.set_faults(name, break_after=0)
    bench.run(bench.policies()[0], _short_workload(1.0))
    for name in bench.engines:
        bench.system.set_faults(name)
    runs = [
        run['request_id']
        for run in bench.system.runs()
        if run['request_id'] not in before
    ]
    first_attempts = len(set(runs))
    retry_ratio = (len(runs) - first_attempts) / max(1, first_attempts)
    _emit('outage', 'first attempts', first_attempts, '1')
    _emit(
        'outage',
        'retries over first attempts',
        retry_ratio,
        '1',
        MAX_RETRY_RATIO,
    )
    # Reopens the concurrency windows that the outage closed, before the next
    # case.
    bench.run(bench.policies()[0], _short_workload(0.5))


def measure_prefixes(bench: Bench) -> None:
    """Measure prompts with more shared templates than one cache holds."""
    rng = random.Random(SEED)
    templates = [
        ' '.join(f't{number}-{rng.random()}' for _ in range(TEMPLATE_WORDS))
        for number in range(TEMPLATES)
    ]

    def prompt(rng: random.Random) -> str:
        return f'{rng.choice(templates)} for {rng.random()}'

    for policy in bench.policies():
        workload = _short_workload(0.6)._replace(prompt=prompt)
        # The first run warms the caches under this policy.
        bench.run(policy, workload)
        samples = bench.run(policy, workload)
        answered = [s for s in samples if s.outcome == 'answered']
        cached = sum(sample.cached_tokens for sample in answered)
        saved = cached / max(1, len(answered) * (TEMPLATE_WORDS + 2))
        case = f'shared prefixes, {policy.name}'
        bound = MIN_PREFILL_SAVED if policy.name == SYSTEM else None
        _emit(case, 'prefill saved', saved, '1', bound)
        _emit_times(case, samples)


def measure_claims(bench: Bench) -> None:
    """Measure the delay of first tokens of at-most-once requests."""
    numbers = itertools.count()

    def key() -> str:
        return f'{int(time.time())}-{next(numbers)}'

    system = bench.policies()[0]
    plain = bench.run(system, _short_workload(0.5))
    claimed = bench.run(system, _short_workload(0.5)._replace(key=key))
    for share in (0.5, 0.95):
        added = _first_token_s(claimed, share) - _first_token_s(plain, share)
        bound = MAX_CLAIM_DELAY_MS if share == 0.95 else None
        _emit('claims', f'added p{share * 100:g}', added * 1e3, 'ms', bound)
    for name, samples in (('plain', plain), ('claimed', claimed)):
        _emit(
            'claims', f'{name} good', _count_good(samples) / len(samples), '1'
        )


def measure_sizes(bench: Bench) -> None:
    """Measure how often the largest requests are served in overload.

    All of them could be complete by their deadlines.
    """

    def prompt(rng: random.Random) -> str:
        words = draw_token_count(rng, MEAN_PROMPT_WORDS, 16)
        return ' '.join(f'w{rng.random()}' for _ in range(words))

    for load in OVERLOAD_FACTORS:
        workload = _short_workload(load)._replace(
            prompt=prompt, deadline_s=SIZES_DEADLINE_S
        )
        samples = bench.run(
            bench.policies()[0],
            workload,
            seconds=max(bench.seconds, MIN_SIZES_S),
        )
        case = f'sizes at {load:g} x capacity'
        shares = size_classes.served_shares(
            [(sample.sizes, sample.good) for sample in samples]
        )
        for measure, served in shares.items():
            for name, share in (
                ('tenth', served.tenth),
                ('fifth', served.fifth),
            ):
                ratio = share / served.all if served.all else 0.0
                metric = f'largest {name} by {measure} over all'
                _emit(case, metric, ratio, '1', MIN_SIZE_RATIO)
        _emit(case, 'good', _count_good(samples) / len(samples), '1')


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


def _short_workload(
    load: float, name: str = 'school', customer: str = 'school'
) -> Workload:
    return Workload(
        name, customer, load * CAPACITY_PER_S, TOKENS, TOKEN_SPREAD
    )


def _samples_of(samples: Iterable[Sample], workload: str) -> list[Sample]:
    return [sample for sample in samples if sample.workload == workload]


def _count_good(samples: Iterable[Sample]) -> int:
    return sum(sample.good for sample in samples)


def _p95_s(samples: Iterable[Sample]) -> float:
    # An unanswered call counts as slower than any answer; otherwise a policy
    # that loses calls would look fast.
    times = [
        sample.total_s if sample.outcome == 'answered' else float('inf')
        for sample in samples
    ]
    return min(results.percentile(times, 0.95), 1e3)


def _first_token_s(samples: Iterable[Sample], share: float) -> float:
    delays_s = [
        s.first_token_s for s in samples if s.first_token_s is not None
    ]
    return results.percentile(delays_s, share) if delays_s else 1e3


def _emit_times(case: str, samples: Iterable[Sample]) -> None:
    samples = list(samples)
    intervals = [
        interval for sample in samples for interval in sample.intervals
    ]
    for share in (0.95, 0.99):
        name = f'p{share * 100:g}'
        first_ms = _first_token_s(samples, share) * 1e3
        _emit(case, f'first token {name}', first_ms, 'ms')
        if intervals:
            interval_ms = results.percentile(intervals, share) * 1e3
            _emit(case, f'token interval {name}', interval_ms, 'ms')


if __name__ == '__main__':
    main()
