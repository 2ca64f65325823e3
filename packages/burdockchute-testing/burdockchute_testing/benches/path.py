"""What the two hops through entry and agent cost (make bench-path).

The direct calls to the stand-in engine, from the same generator in the same
run, are what the added latency is measured against.
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

ADDED_P95_MS = 3.0
REQUESTS_PER_S = 1000.0
RSS_MB = 100.0
RSS_AFTER_REQUESTS = 10_000
STREAMS = 32
STREAM_TOKENS = 100

ENGINE_OPTIONS = {'slots': 256, 'token_interval_s': 0.002}


class Load(NamedTuple):
    """What one run of the generator brought."""

    latencies: list[float]
    errors: dict[str, int]
    seconds: float


def main() -> None:
    """Run every case and print the results."""
    args = _parse()
    with System() as system:
        digest = _start(system)
        top = _peak(system, args.seconds)
        rate = args.rate or top / 2
        _compare(system, digest, rate, args.seconds)
        _stream(system, args.seconds)
        _memory(system, args.seconds)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument(
        '--rate',
        type=float,
        default=0.0,
        help='requests a second of the latency case, default half the peak',
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


def _peak(system: System, seconds: float) -> float:
    before = _processor_s(system)
    load = _generate(
        system.url('entry', 'http_port'), seconds, concurrency=128
    )
    count = len(load.latencies)
    rate = count / load.seconds
    _emit('peak', 'requests', rate, '1/s', REQUESTS_PER_S)
    _emit('peak', 'errors', sum(load.errors.values()), '1', 0)
    used = {
        name: after - before[name]
        for name, after in _processor_s(system).items()
    }
    agents = sum(used[name] for name in system.agents)
    _emit('peak', 'entry processor', used['entry'] / count * 1e3, 'ms')
    _emit('peak', 'agent processor', agents / count * 1e3, 'ms')
    _emit('peak', 'entry core', used['entry'] / load.seconds, 'core')
    per_core = count / used['entry']
    _emit('peak', 'requests per entry core', per_core, '1/s', REQUESTS_PER_S)
    return rate


def _compare(system: System, digest: str, rate: float, seconds: float) -> None:
    through = _generate(system.url('entry', 'http_port'), seconds, rate=rate)
    direct = _generate(
        system.url('engine-0'), seconds, rate=rate / ENGINES, digest=digest
    )
    case = f'{rate:.0f} requests/s'
    for share, name in ((0.5, 'p50'), (0.95, 'p95'), (0.99, 'p99')):
        ours = results.percentile(through.latencies, share) * 1e3
        bare = results.percentile(direct.latencies, share) * 1e3
        bound = ADDED_P95_MS if name == 'p95' else None
        _emit(case, f'direct {name}', bare, 'ms')
        _emit(case, f'through {name}', ours, 'ms')
        _emit(case, f'added {name}', ours - bare, 'ms', bound)
        _emit(case, f'ratio {name}', ours / bare, '1')


def _stream(system: System, seconds: float) -> None:
    before = _processor_s(system)
    load = _generate(
        system.url('entry', 'http_port'),
        seconds,
        concurrency=STREAMS,
        tokens=STREAM_TOKENS,
    )
    used = {
        name: after - before[name]
        for name, after in _processor_s(system).items()
    }
    parts = len(load.latencies) * (STREAM_TOKENS + 1)
    case = f'{STREAMS} streams of {STREAM_TOKENS} tokens'
    agents = sum(used[name] for name in system.agents)
    _emit(case, 'parts', parts / load.seconds, '1/s')
    _emit(case, 'entry processor a part', used['entry'] / parts * 1e6, 'us')
    _emit(case, 'agent processor a part', agents / parts * 1e6, 'us')


def _memory(system: System, seconds: float) -> None:
    done = 0
    while done < RSS_AFTER_REQUESTS:
        load = _generate(
            system.url('entry', 'http_port'), seconds, concurrency=64
        )
        done += len(load.latencies)
    case = f'after {RSS_AFTER_REQUESTS} requests and more'
    for name in ('entry', 'agent-0'):
        rss = psutil.Process(system[name].pid).memory_info().rss / 1e6
        _emit(case, f'{name} resident', rss, 'MB', RSS_MB)


def _generate(
    url: str,
    seconds: float,
    rate: float = 0.0,
    concurrency: int = 128,
    digest: str = '',
    tokens: int = 0,
) -> Load:
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
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    found = json.loads(done.stdout)
    return Load(found['latencies'], found['errors'], found['seconds'])


def _processor_s(system: System) -> dict[str, float]:
    found = {}
    for name in ('entry', *system.agents):
        times = psutil.Process(system[name].pid).cpu_times()
        found[name] = times.user + times.system
    return found


if __name__ == '__main__':
    main()
