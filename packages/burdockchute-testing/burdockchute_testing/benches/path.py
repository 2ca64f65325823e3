"""Cost of the two hops through entry and agent (make bench-path).

Added latency is measured against direct calls to the stand-in engine, which
the same generator sends in the same run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from typing import NamedTuple

import blake3
import psutil

from burdockchute_testing.benches import results
from burdockchute_testing.harness import System
from burdockchute_testing.harness import wait_until

_emit = results.emitter('path')
KEY = 'bench-key'
ENGINES = 4
WEIGHTS_BYTES = 1_000_000
CHUNK_BYTES = 250_000
SEED = 1

MAX_ADDED_P95_MS = 3.0
MIN_REQUESTS_PER_S = 1000.0
MAX_RSS_MB = 100.0
RSS_AFTER_REQUESTS = 10_000
STREAMS = 32
STREAM_TOKENS = 100

ENGINE_OPTIONS = {'slots': 256, 'token_interval_s': 0.002}


class GeneratorResult(NamedTuple):
    """Latencies, errors and duration of one run; times in seconds."""

    latencies: list[float]
    errors: dict[str, int]
    seconds: float


def main() -> None:
    """Run every case and print the results."""
    args = _parse()
    with System() as system:
        digest = _start(system)
        peak_rate = _measure_peak(system, args.seconds)
        rate = args.rate or peak_rate / 2
        _measure_added_latency(system, digest, rate, args.seconds)
        _measure_streams(system, args.seconds)
        _measure_memory(system, args.seconds)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument(
        '--rate',
        type=float,
        default=0.0,
        help='requests per second of the latency case, default half the peak',
    )
    return parser.parse_args()


def _start(system: System) -> str:
    system.add_platform()
    for number in range(ENGINES):
        system.add_engine(f'engine-{number}', **ENGINE_OPTIONS)
        system.add_agent(f'agent-{number}', f'engine-{number}')
    system.add_entry('entry')
    digest = system.publish('story', WEIGHTS_BYTES, CHUNK_BYTES, SEED)
    system.set_row(
        'customer',
        'bench',
        key_digests=blake3.blake3(KEY.encode()).hexdigest(),
        requests_per_s=100_000,
        tokens_per_s=10_000_000,
    )
    system.set_row(
        'model', 'story', version='1', digest=digest, loading_share=1
    )
    agents = list(system.agents)
    wait_until(
        lambda: all(digest in system.open_digests(name) for name in agents),
        'weights are open on all agents',
    )
    system.wait_ready('entry')
    return digest


def _measure_peak(system: System, seconds: float) -> float:
    before = _cpu_seconds(system)
    result = _generate(
        system.url('entry', 'http_port'), seconds, concurrency=128
    )
    count = len(result.latencies)
    rate = count / result.seconds
    _emit('peak', 'requests', rate, '1/s', MIN_REQUESTS_PER_S)
    _emit('peak', 'errors', sum(result.errors.values()), '1', 0)
    cpu_s = {
        name: after - before[name]
        for name, after in _cpu_seconds(system).items()
    }
    agents = sum(cpu_s[name] for name in system.agents)
    _emit('peak', 'entry processor', cpu_s['entry'] / count * 1e3, 'ms')
    _emit('peak', 'agent processor', agents / count * 1e3, 'ms')
    _emit('peak', 'entry core', cpu_s['entry'] / result.seconds, 'core')
    per_core = count / cpu_s['entry']
    _emit(
        'peak', 'requests per entry core', per_core, '1/s', MIN_REQUESTS_PER_S
    )
    return rate


def _measure_added_latency(
    system: System, digest: str, rate: float, seconds: float
) -> None:
    through = _generate(system.url('entry', 'http_port'), seconds, rate=rate)
    direct = _generate(
        system.url('engine-0'), seconds, rate=rate / ENGINES, digest=digest
    )
    case = f'{rate:.0f} requests/s'
    for share, name in ((0.5, 'p50'), (0.95, 'p95'), (0.99, 'p99')):
        through_ms = results.percentile(through.latencies, share) * 1e3
        direct_ms = results.percentile(direct.latencies, share) * 1e3
        bound = MAX_ADDED_P95_MS if name == 'p95' else None
        _emit(case, f'direct {name}', direct_ms, 'ms')
        _emit(case, f'through {name}', through_ms, 'ms')
        _emit(case, f'added {name}', through_ms - direct_ms, 'ms', bound)
        _emit(case, f'ratio {name}', through_ms / direct_ms, '1')


def _measure_streams(system: System, seconds: float) -> None:
    before = _cpu_seconds(system)
    result = _generate(
        system.url('entry', 'http_port'),
        seconds,
        concurrency=STREAMS,
        tokens=STREAM_TOKENS,
    )
    cpu_s = {
        name: after - before[name]
        for name, after in _cpu_seconds(system).items()
    }
    parts = len(result.latencies) * (STREAM_TOKENS + 1)
    case = f'{STREAMS} streams of {STREAM_TOKENS} tokens'
    agents = sum(cpu_s[name] for name in system.agents)
    _emit(case, 'parts', parts / result.seconds, '1/s')
    _emit(case, 'entry processor a part', cpu_s['entry'] / parts * 1e6, 'us')
    _emit(case, 'agent processor a part', agents / parts * 1e6, 'us')


def _measure_memory(system: System, seconds: float) -> None:
    answered = 0
    while answered < RSS_AFTER_REQUESTS:
        result = _generate(
            system.url('entry', 'http_port'), seconds, concurrency=64
        )
        answered += len(result.latencies)
    case = f'after {RSS_AFTER_REQUESTS} requests and more'
    for name in ('entry', 'agent-0'):
        rss = psutil.Process(system[name].pid).memory_info().rss / 1e6
        _emit(case, f'{name} resident', rss, 'MB', MAX_RSS_MB)


def _generate(
    url: str,
    seconds: float,
    rate: float = 0.0,
    concurrency: int = 128,
    digest: str = '',
    tokens: int = 0,
) -> GeneratorResult:
    command = [
        sys.executable,
        '-m',
        'burdockchute_testing.benches.generator',
        f'--url={url}',
        f'--key={KEY}',
        f'--seconds={seconds}',
        f'--rate={rate}',
        f'--concurrency={concurrency}',
        f'--digest={digest}',
    ]
    if tokens:
        command += ['--stream', f'--max-tokens={tokens}']
    finished = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    document = json.loads(finished.stdout)
    return GeneratorResult(
        document['latencies'], document['errors'], document['seconds']
    )


def _cpu_seconds(system: System) -> dict[str, float]:
    cpu_s = {}
    for name in ('entry', *system.agents):
        times = psutil.Process(system[name].pid).cpu_times()
        cpu_s[name] = times.user + times.system
    return cpu_s


if __name__ == '__main__':
    main()
