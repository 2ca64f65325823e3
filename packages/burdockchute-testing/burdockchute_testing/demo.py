"""A demonstration on real processes, in under two minutes: `make demo`.

Starts stand-ins for the platform and the upstreams, two entries and an agent
for each upstream; edits the table as an operator does; sends requests as
callers do; rolls out a second version under traffic; and stops all processes
gracefully. The exit status is 1 if any answer was wrong.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
from collections.abc import Iterable  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import NamedTuple  # noqa: E402

import blake3  # noqa: E402
import gevent  # noqa: E402

from burdockchute.model import findings  # noqa: E402
from burdockchute.model.findings import Finding  # noqa: E402
from burdockchute_testing import calls  # noqa: E402
from burdockchute_testing import client  # noqa: E402
from burdockchute_testing import harness  # noqa: E402
from burdockchute_testing import history  # noqa: E402
from burdockchute_testing.calls import Call  # noqa: E402
from burdockchute_testing.harness import Location  # noqa: E402
from burdockchute_testing.harness import System  # noqa: E402

SIZE = 24 * 1024 * 1024
CHUNK_SIZE = 512 * 1024
ADAPTER_SIZE = 1024 * 1024
LINK_BYTES_PER_S = 16 * 1024 * 1024
ORIGIN_BYTES_PER_S = 16 * 1024 * 1024
CALLERS = 6
MAX_ATTEMPTS = 8
SEED = 1
PROGRESS_INTERVAL_S = 1.0

GRAZ = Location('graz-1', 'graz', 'story')
VIENNA = Location('vienna-1', 'vienna', 'story')
SURAT = Location('surat-1', 'gujarat', 'letters')
PROOFS = Location('graz-1', 'graz', 'proofs')

ENGINES = (
    ('story-1', GRAZ),
    ('story-2', GRAZ),
    ('story-3', VIENNA),
    ('story-4', VIENNA),
    ('letters-1', SURAT),
    ('letters-2', SURAT),
)
STORY_AGENTS = tuple(f'agent-story-{n}' for n in range(1, 5))
LETTER_AGENTS = ('agent-letters-1', 'agent-letters-2')
BEARERS = {'lindwurm': 'key-of-lindwurm', 'sahyog': 'key-of-sahyog'}


class Caller(NamedTuple):
    """A customer and the entry that it uses."""

    customer: str
    entry: str


class Demo:
    """The running system and the recorded calls."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.calls: list[Call] = []
        self.digests: dict[str, str] = {}
        self.is_running = True

    def send_until_run(self, caller: Caller, spec: calls.CallSpec) -> Call:
        """Send again while the outcome is not-run, after the time it names."""
        url = self.system.url(caller.entry, 'http_port')
        for _attempt in range(MAX_ATTEMPTS):
            call = calls.send(
                url, BEARERS[caller.customer], spec, caller.entry
            )
            self.calls.append(call)
            if call.outcome != calls.NOT_RUN:
                break
            gevent.sleep(float(call.retry_after or 1))
        return call

    def run_callers(self) -> list[gevent.Greenlet]:
        """Start callers that send requests until `is_running` is false."""
        return [gevent.spawn(self._run_caller, n) for n in range(CALLERS)]

    def _run_caller(self, number: int) -> None:
        rng = random.Random(SEED * 1000 + number)
        caller = Caller('lindwurm', f'entry-{number % 2 + 1}')
        count = 0
        while self.is_running:
            count += 1
            spec = calls.completion(
                f't{number}-{count}',
                'story',
                'a hare met a fox',
                max_tokens=rng.randint(5, 40),
                stream=rng.random() < 0.5,
            )
            self.send_until_run(caller, spec)
            gevent.sleep(rng.uniform(0.01, 0.1))


def main() -> int:
    """Run the demo and return its exit status."""
    started = time.monotonic()
    with System() as system:
        demo = Demo(system)
        _print('starting the platform, 8 upstreams, 8 agents, 2 entries')
        _start(system)
        _publish(demo)
        _wait_live(demo, 'first versions', 'story', 'letters', 'rhymes')
        _send_examples(demo)
        _roll_out(demo)
        statuses = _stop(system)
        violations = _check_results(demo, statuses)
    took_s = time.monotonic() - started
    _print(f'finished in {took_s:.0f} s, {len(violations)} findings')
    return 1 if violations else 0


def _start(system: System) -> None:
    system.add_platform(
        store={'bytes_per_s': ORIGIN_BYTES_PER_S}, instances={'lag_s': 0.5}
    )
    system.add_entry('entry-1', GRAZ._replace(pool='entry'))
    system.add_entry('entry-2', VIENNA._replace(pool='entry'))
    for number, (name, location) in enumerate(ENGINES):
        # Some engines check fencing numbers and others don't.
        system.add_engine(name, ignores_fencing=number % 2 == 1, seed=number)
        system.add_agent(
            f'agent-{name}',
            name,
            location,
            uplink_bytes_per_s=LINK_BYTES_PER_S,
            downlink_bytes_per_s=LINK_BYTES_PER_S,
        )
    for number in (1, 2):
        system.add_service(f'proofs-{number}', 'proofs', seconds=0.05)
        system.add_agent(
            f'agent-proofs-{number}',
            f'proofs-{number}',
            PROOFS,
            services='proofs',
        )


def _publish(demo: Demo) -> None:
    system = demo.system
    _print('an operator saves the rows of the table')
    for name, size, seed in (
        ('story', SIZE, 1),
        ('letters', SIZE, 2),
        ('rhymes', ADAPTER_SIZE, 3),
    ):
        digest = system.publish(name, size, CHUNK_SIZE, seed)
        demo.digests[name] = digest
    for customer, bearer in BEARERS.items():
        system.set_row(
            'customer',
            customer,
            key_digests=blake3.blake3(bearer.encode()).hexdigest(),
            requests_per_s=500,
            tokens_per_s=100000,
        )
    for model in ('story', 'letters'):
        system.set_row(
            'model',
            model,
            version='v1',
            digest=demo.digests[model],
            placement=f'pool:{model}',
            loading_share=0.5,
        )
    system.set_row(
        'adapter',
        'rhymes',
        version='v1',
        digest=demo.digests['rhymes'],
        base='story',
    )
    system.set_row(
        'service', 'proofs', placement='pool:proofs', idempotent='false'
    )


def _wait_live(demo: Demo, what: str, *names: str) -> None:
    agents = {
        'story': STORY_AGENTS,
        'rhymes': STORY_AGENTS,
        'letters': LETTER_AGENTS,
    }
    targets = {name: (demo.digests[name], agents[name]) for name in names}
    total = sum(len(agents) for _digest, agents in targets.values())
    started = time.monotonic()
    printed_at = 0.0

    def live() -> int:
        nonlocal printed_at
        count = sum(
            _open_on(demo.system, digest, agents)
            for digest, agents in targets.values()
        )
        elapsed_s = time.monotonic() - started
        if elapsed_s - printed_at >= PROGRESS_INTERVAL_S or count == total:
            printed_at = elapsed_s
            _print(f'  {what}: live on {count} of {total} ({elapsed_s:.1f} s)')
        return count == total

    harness.wait_until(live, f'{what} are live')


def _open_on(system: System, digest: str, agents: Iterable[str]) -> int:
    return sum(digest in system.open_digests(agent) for agent in agents)


def _send_examples(demo: Demo) -> None:
    now = time.time()
    lindwurm = Caller('lindwurm', 'entry-1')
    sahyog = Caller('sahyog', 'entry-2')
    proof = calls.service(
        'page-proof', 'proofs', idempotent=False, key=calls.new_key('p', now)
    )
    letter = calls.completion(
        'notice',
        'letters',
        idempotent=False,
        key=calls.new_key('notice', now),
    )
    examples = (
        (lindwurm, calls.completion('page-1', 'story', 'a hare')),
        (lindwurm, calls.completion('page-2', 'story', stream=True)),
        (
            lindwurm,
            calls.completion(
                'rhyme-1', 'story', adapter='rhymes', stream=True
            ),
        ),
        (sahyog, calls.completion('reply-1', 'letters', 'to the clerk')),
        (sahyog, letter),
        (lindwurm, proof),
        # The same print proof again, at the other entry: it must not run.
        (Caller('lindwurm', 'entry-2'), proof),
    )
    _print('callers send requests')
    _print(f'  {"request":<11}{"entry":<9}{"as":<22}{"outcome":<10}digest')
    for caller, spec in examples:
        _show(demo.send_until_run(caller, spec))


def _show(call: Call) -> None:
    spec = call.spec
    mode = 'streamed' if spec.stream else 'plain'
    suffix = '' if spec.idempotent else ', non-idempotent'
    digests = call.digest[:12]
    if call.adapter_digest:
        digests += f' + {call.adapter_digest[:12]}'
    _print(
        f'  {spec.marker:<11}{call.entry:<9}{mode + suffix:<22} '
        f'{call.outcome:<9} {digests or call.error or "-"}'
    )


def _roll_out(demo: Demo) -> None:
    system = demo.system
    old = demo.digests['story']
    new = system.publish('story', SIZE, CHUNK_SIZE, 11)
    demo.digests['story'] = new
    callers = demo.run_callers()
    gevent.sleep(1.0)
    before = len(demo.calls)
    _print(f'an operator names version v2 of story, {new[:12]}, under traffic')
    started = time.monotonic()
    system.set_row('model', 'story', version='v2', digest=new)
    _wait_live(demo, 'version v2', 'story')
    live_s = time.monotonic() - started
    gevent.sleep(1.0)
    demo.is_running = False
    gevent.joinall(callers)
    sent = demo.calls[before:]
    by_digest = collections.Counter(c.digest for c in sent if c.digest)
    outcomes = collections.Counter(call.outcome for call in sent)
    stats = client.get(f'{system.url("store")}/stats').json()
    copies = stats['by_digest'].get(new, 0) / SIZE
    _print(f'  live on all 4 replicas {live_s:.1f} s after it was saved')
    _print(f'  read from the origin: {copies:.2f} copies')
    _print(
        f'  {len(sent)} requests meanwhile: {by_digest[old]} answered by v1, '
        f'{by_digest[new]} by v2; outcomes {dict(outcomes)}'
    )


def _stop(system: System) -> dict[str, int]:
    _print('stopping all processes gracefully')
    own_processes = [*system.entries, *system.agents]
    statuses = system.terminate(*own_processes)
    stand_ins = [
        name for name in system.processes if name not in own_processes
    ]
    return {**statuses, **system.terminate(*stand_ins)}


def _check_results(demo: Demo, statuses: dict[str, int]) -> list[Finding]:
    recorded = history.History(
        tuple(demo.calls), history.runs_of(demo.system.runs())
    )
    violations = history.check(recorded)
    last = {call.spec.marker: call for call in demo.calls}
    for call in last.values():
        if call.outcome != calls.ANSWERED:
            violations.append(
                Finding(call.spec.marker, f'not answered: {call}')
            )
    for name, status in statuses.items():
        if status:
            violations.append(Finding(name, f'exited with {status}'))
    answered = sum(c.outcome == calls.ANSWERED for c in demo.calls)
    _print(
        f'{len(demo.calls)} requests, {answered} answered, '
        f'{len(recorded.runs)} runs; each answer checked against its weights'
    )
    _print('the page proof was sent to both entries and runs once')
    if violations:
        _print(findings.render_all(violations))
    return violations


def _print(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    sys.exit(main())
