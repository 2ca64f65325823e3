"""Random faults, two at a time, on a small site under traffic.

`python -m burdockchute_testing.chaos --seed 3 --seconds 60` prints each fault
as it is injected, then the outcomes of all requests and every violation that
the history checker finds. The exit status is 1 if there is a violation or if
the fleet does not converge on the last version. The seed determines the
requests and the faults but not how the processes interleave, so this is not
part of the test suite; a failure found here is reproduced by a test.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
from collections.abc import Callable  # noqa: E402
from collections.abc import Iterator  # noqa: E402
import contextlib  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from burdockchute.model import findings  # noqa: E402
from burdockchute_testing import calls  # noqa: E402
from burdockchute_testing.site import ENTRIES  # noqa: E402
from burdockchute_testing.site import join_all  # noqa: E402
from burdockchute_testing.site import Site  # noqa: E402

CALLERS = 10
CONCURRENT_FAULTS = 2
MAX_ATTEMPTS = 6
LOG_FAULTS = ({'outage': True}, {'lose_replies': 0.3}, {'slow_s': 1.0})
STORE_FAULTS = ({'outage': True}, {'corrupt': 0.2}, {'lose_replies': 0.3})
ENGINE_FAULTS = ({'slow': 10}, {'stall_after': 5}, {'break_after': 3})


class FaultInjector:
    """A site with its callers and the active faults."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.seed = seed
        self.is_running = True
        self._started = time.monotonic()
        self._version = 1
        self._faulty: set[str] = set()

    def run_caller(self, number: int) -> None:
        """Send one request after the other until `is_running` is false."""
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while self.is_running:
            count += 1
            self._send(rng, _random_spec(rng, f'c{number}-{count}'))
            gevent.sleep(rng.uniform(0, 0.1))

    def inject_faults(self, number: int, seconds: float) -> None:
        """Inject one fault after the other for `seconds`."""
        rng = random.Random(self.seed * 2000 + number)
        faults: tuple[Callable[[random.Random], None], ...] = (
            self._pause,
            self._pause,
            self._fault_stand_in,
            self._fault_stand_in,
            self._switch_version,
            self._restart_agent,
        )
        while time.monotonic() < self._started + seconds:
            rng.choice(faults)(rng)
            gevent.sleep(rng.uniform(0, 1.0))

    def _send(self, rng: random.Random, spec: calls.CallSpec) -> None:
        for _attempt in range(MAX_ATTEMPTS):
            call = self.site.send(rng.choice(ENTRIES), spec)
            if call.outcome == calls.ANSWERED:
                return
            if call.outcome == calls.UNKNOWN and spec.idempotent:
                return
            gevent.sleep(0.3)

    def _pause(self, rng: random.Random) -> None:
        agents = [f'a{name}' for name in self.site.engines]
        name = rng.choice([*agents, *self.site.engines, *ENTRIES, 'as1'])
        with self._inject(name, 'pause') as is_free:
            if is_free:
                self.site.system[name].pause()
                gevent.sleep(rng.uniform(1, 7))
                self.site.system[name].resume()

    def _fault_stand_in(self, rng: random.Random) -> None:
        name = rng.choice(['log', 'store', *self.site.engines])
        choices = {'log': LOG_FAULTS, 'store': STORE_FAULTS}
        fault = rng.choice(choices.get(name, ENGINE_FAULTS))
        with self._inject(name, str(fault)) as is_free:
            if is_free:
                self.site.system.set_faults(name, **fault)
                gevent.sleep(rng.uniform(1, 5))
                self.site.system.set_faults(name)

    def _switch_version(self, _rng: random.Random) -> None:
        with self._inject('row', 'switch') as is_free:
            if not is_free:
                return
            self._version += 1
            try:
                self.site.set_model(self._version)
            except ValueError as exc:
                # The log or the store may be unavailable; an operator would
                # retry later.
                _print(f'  not saved: {str(exc).splitlines()[-1]}')

    def _restart_agent(self, rng: random.Random) -> None:
        name = rng.choice(self.site.engines)
        agent = f'a{name}'
        with self._inject(agent, 'kill and start again') as is_free:
            if not is_free:
                return
            system = self.site.system
            system[agent].kill()
            system.unlist_instance(agent)
            gevent.sleep(0.5)
            system.agents.remove(agent)
            system.add_agent(agent, name, stall_s=3)

    @contextlib.contextmanager
    def _inject(self, name: str, what: str) -> Iterator[bool]:
        # Yields False for a process that has an active fault: each gets only
        # one at a time.
        if name in self._faulty:
            yield False
            return
        self._faulty.add(name)
        _print(f'{time.monotonic() - self._started:6.1f} s  {name}: {what}')
        yield True
        self._faulty.discard(name)


def main() -> int:
    """Run once and return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    args = parser.parse_args()
    site = Site(engines=4, services=2, token_interval_s=0.01)
    try:
        return _run(FaultInjector(site, args.seed), args.seconds)
    finally:
        site.close()


def _run(injector: FaultInjector, seconds: float) -> int:
    site = injector.site
    callers = [gevent.spawn(injector.run_caller, n) for n in range(CALLERS)]
    injectors = [
        gevent.spawn(injector.inject_faults, n, seconds)
        for n in range(CONCURRENT_FAULTS)
    ]
    join_all(injectors)
    injector.is_running = False
    join_all(callers)
    outcomes = collections.Counter(
        f'{call.spec.kind} {call.outcome}' for call in site.calls
    )
    for name, count in sorted(outcomes.items()):
        _print(f'{count:6d} {name}')
    violations = site.findings()
    if violations:
        _print(findings.render_all(violations))
    site.wait_open()
    _print(f'settled on the last version; {len(violations)} findings')
    return 1 if violations else 0


def _random_spec(rng: random.Random, marker: str) -> calls.CallSpec:
    if rng.random() < 0.25:
        key = calls.new_key(marker, time.time())
        return calls.service(
            marker, 'proofs', idempotent=False, key=key, deadline_ms=8_000
        )
    return calls.completion(
        marker,
        'story',
        max_tokens=rng.randint(3, 50),
        stream=rng.random() < 0.5,
        deadline_ms=10_000,
    )


def _print(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    sys.exit(main())
