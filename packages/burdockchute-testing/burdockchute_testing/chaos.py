"""Random faults, two at a time, on a small site under traffic.

`python -m burdockchute_testing.chaos --seed 3 --seconds 60` prints each
fault as it comes, then what callers got and every breach that the history
checker finds. It exits 1 if there is one, or if the fleet does not settle on
the last version. The seed fixes what is asked and which faults come, not how
the processes interleave, so this is no part of the tests; what it finds
becomes one.
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
from burdockchute_testing.site import finish  # noqa: E402
from burdockchute_testing.site import Site  # noqa: E402

CALLERS = 10
AT_A_TIME = 2
SENDINGS = 6
LOG_FAULTS = ({'outage': True}, {'lose_replies': 0.3}, {'slow_s': 1.0})
STORE_FAULTS = ({'outage': True}, {'corrupt': 0.2}, {'lose_replies': 0.3})
ENGINE_FAULTS = ({'slow': 10}, {'stall_after': 5}, {'break_after': 3})


class Chaos:
    """A site, its callers and the faults that are in force."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.seed = seed
        self.going_on = True
        self._started = time.monotonic()
        self._version = 1
        self._struck: set[str] = set()

    def call_on(self, number: int) -> None:
        """Send requests one after the other until told to stop."""
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while self.going_on:
            count += 1
            self._send(rng, _random_spec(rng, f'c{number}-{count}'))
            gevent.sleep(rng.uniform(0, 0.1))

    def strike_on(self, number: int, seconds: float) -> None:
        """Bring about one fault after the other for a time."""
        rng = random.Random(self.seed * 2000 + number)
        faults: tuple[Callable[[random.Random], None], ...] = (
            self._pause,
            self._pause,
            self._break_stand_in,
            self._break_stand_in,
            self._switch,
            self._restart_agent,
        )
        while time.monotonic() < self._started + seconds:
            rng.choice(faults)(rng)
            gevent.sleep(rng.uniform(0, 1.0))

    def _send(self, rng: random.Random, spec: calls.CallSpec) -> None:
        for _sending in range(SENDINGS):
            call = self.site.send(rng.choice(ENTRIES), spec)
            if call.outcome == calls.ANSWERED:
                return
            if call.outcome == calls.UNKNOWN and spec.idempotent:
                return
            gevent.sleep(0.3)

    def _pause(self, rng: random.Random) -> None:
        agents = [f'a{name}' for name in self.site.engines]
        name = rng.choice([*agents, *self.site.engines, *ENTRIES, 'as1'])
        with self._striking(name, 'pause') as free:
            if free:
                self.site.system[name].pause()
                gevent.sleep(rng.uniform(1, 7))
                self.site.system[name].resume()

    def _break_stand_in(self, rng: random.Random) -> None:
        name = rng.choice(['log', 'store', *self.site.engines])
        choices = {'log': LOG_FAULTS, 'store': STORE_FAULTS}
        fault = rng.choice(choices.get(name, ENGINE_FAULTS))
        with self._striking(name, str(fault)) as free:
            if free:
                self.site.system.set_faults(name, **fault)
                gevent.sleep(rng.uniform(1, 5))
                self.site.system.set_faults(name)

    def _switch(self, _rng: random.Random) -> None:
        with self._striking('row', 'switch') as free:
            if not free:
                return
            self._version += 1
            try:
                self.site.set_model(self._version)
            except ValueError as exc:
                # The log or the store may be away; an operator tries later.
                _say(f'  not saved: {str(exc).splitlines()[-1]}')

    def _restart_agent(self, rng: random.Random) -> None:
        name = rng.choice(self.site.engines)
        agent = f'a{name}'
        with self._striking(agent, 'kill and start again') as free:
            if not free:
                return
            system = self.site.system
            system[agent].kill()
            system.unlist_instance(agent)
            gevent.sleep(0.5)
            system.agents.remove(agent)
            system.add_agent(agent, name, stall_s=3)

    @contextlib.contextmanager
    def _striking(self, name: str, what: str) -> Iterator[bool]:
        # One fault at a time for each process.
        if name in self._struck:
            yield False
            return
        self._struck.add(name)
        _say(f'{time.monotonic() - self._started:6.1f} s  {name}: {what}')
        yield True
        self._struck.discard(name)


def main() -> int:
    """Run once and give the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    args = parser.parse_args()
    site = Site(engines=4, services=2, token_interval_s=0.01)
    try:
        return _run(Chaos(site, args.seed), args.seconds)
    finally:
        site.close()


def _run(chaos: Chaos, seconds: float) -> int:
    site = chaos.site
    callers = [gevent.spawn(chaos.call_on, n) for n in range(CALLERS)]
    strikers = [
        gevent.spawn(chaos.strike_on, n, seconds) for n in range(AT_A_TIME)
    ]
    finish(strikers)
    chaos.going_on = False
    finish(callers)
    outcomes = collections.Counter(
        f'{call.spec.kind} {call.outcome}' for call in site.calls
    )
    for name, count in sorted(outcomes.items()):
        _say(f'{count:6d} {name}')
    wrong = site.findings()
    if wrong:
        _say(findings.render_all(wrong))
    site.wait_open()
    _say(f'settled on the last version; {len(wrong)} findings')
    return 1 if wrong else 0


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


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    sys.exit(main())
