"""A small site for failure tests: entries, engines, services and rows."""

from __future__ import annotations

from collections.abc import Iterable
import time
from typing import Any

import blake3
import gevent

from burdockchute.model.findings import Finding
from burdockchute_testing import calls
from burdockchute_testing import harness
from burdockchute_testing import history
from burdockchute_testing.calls import Call
from burdockchute_testing.calls import CallSpec
from burdockchute_testing.fakes.relay import Relay
from burdockchute_testing.harness import System

BEARER = 'key-of-lindwurm'
SIZE = 200_000
CHUNK_SIZE = 65_536
ENTRIES = ('e1', 'e2')


class Site:
    """A running system and the recorded calls.

    Engines are named m1, m2..., with the agents am1, am2...; services are
    named s1, s2..., with the agents as1, as2... `options` are passed to each
    engine. The agents of `relayed` engines are reached through a relay.
    """

    def __init__(
        self,
        engines: int = 2,
        services: int = 1,
        relayed: Iterable[str] = (),
        **options: Any,
    ) -> None:
        self.system = System()
        self.calls: list[Call] = []
        self.graceful_stops: list[history.GracefulStop] = []
        self.killed: set[str] = set()
        self.digests: dict[str, str] = {}
        self.all_digests: set[str] = set()
        self.engines = [f'm{n}' for n in range(1, engines + 1)]
        self.relays: dict[str, Relay] = {}
        self._relayed = frozenset(relayed)
        self.services = [f's{n}' for n in range(1, services + 1)]
        try:
            self._start(options)
        except BaseException:
            self.system.close()
            raise

    def close(self) -> None:
        """Kill all processes and close the relays."""
        for relay in self.relays.values():
            relay.close()
        self.system.close()

    def add_engine(self, name: str, **options: Any) -> None:
        """Start an engine and its agent."""
        self.system.add_engine(name, **options)
        agent, relayed = f'a{name}', name in self._relayed
        self.system.add_agent(agent, name, stall_s=3, listed=not relayed)
        if relayed:
            relay = Relay(self.system[agent].ports['link_port'])
            self.relays[name] = relay
            self.system.list_instance(agent, 'agent', port=relay.port)

    def add_service(self, name: str) -> None:
        """Start a plain service and its agent."""
        self.system.add_service(name, 'proofs', seconds=0.05)
        self.system.add_agent(f'a{name}', name, services='proofs')

    def set_model(self, version: int) -> str:
        """Publish a model version and set its row; returns its digest."""
        digest = self.system.publish('story', SIZE, CHUNK_SIZE, version)
        self.digests['story'] = digest
        self.all_digests.add(digest)
        self.system.set_row(
            'model',
            'story',
            version=f'v{version}',
            digest=digest,
            loading_share=1,
        )
        return digest

    def wait_open(self, agents: Iterable[str] = ()) -> None:
        """Wait until the model is open on these agents, by default all."""
        digest = self.digests['story']
        names = list(agents) or [f'a{name}' for name in self.engines]
        harness.wait_until(
            lambda: all(
                digest in self.system.open_digests(name) for name in names
            ),
            f'{digest[:8]} is open on {names}',
        )

    def send(self, entry: str, spec: CallSpec) -> Call:
        """Send a request once and record the call."""
        url = self.system.url(entry, 'http_port')
        call = calls.send(url, BEARER, spec, entry)
        self.calls.append(call)
        return call

    def spawn(self, entry: str, spec: CallSpec) -> gevent.Greenlet:
        """Send a request in a greenlet, which returns the call."""
        return gevent.spawn(self.send, entry, spec)

    def send_all(self, specs: Iterable[tuple[str, CallSpec]]) -> list[Call]:
        """Send requests concurrently; return the calls in the same order."""
        return join_all(self.spawn(entry, spec) for entry, spec in specs)

    def send_until_run(
        self, entry: str, spec: CallSpec, max_attempts: int = 30
    ) -> Call:
        """Send again while the outcome is not-run, as callers may."""
        for _attempt in range(max_attempts):
            call = self.send(entry, spec)
            if call.outcome != calls.NOT_RUN:
                break
            gevent.sleep(0.5)
        return call

    def kill(self, name: str) -> None:
        """Kill a process, to simulate the crash of its instance."""
        self.killed.add(name)
        self.system[name].kill()

    def stop_agent(self, upstream: str) -> None:
        """Stop the agent of an upstream gracefully."""
        self.graceful_stops.append(history.GracefulStop(upstream, time.time()))
        self.system[f'a{upstream}'].terminate()

    def history(self) -> history.History:
        """Return the history recorded by callers and upstreams."""
        return history.History(
            tuple(self.calls),
            history.runs_of(self.system.runs()),
            tuple(self.graceful_stops),
            frozenset(self.all_digests),
            frozenset(self.killed),
        )

    def findings(self) -> list[Finding]:
        """Return the violations in the recorded history."""
        return history.check(self.history())

    def _start(self, options: dict[str, Any]) -> None:
        system = self.system
        system.add_platform()
        starting = [
            *(gevent.spawn(system.add_entry, name) for name in ENTRIES),
            *(
                gevent.spawn(self.add_engine, name, **options)
                for name in self.engines
            ),
            *(gevent.spawn(self.add_service, name) for name in self.services),
        ]
        join_all(starting)
        self._set_rows()
        self.wait_open()
        system.wait_ready(*ENTRIES)

    def _set_rows(self) -> None:
        system = self.system
        system.set_row(
            'customer',
            'lindwurm',
            key_digests=blake3.blake3(BEARER.encode()).hexdigest(),
            requests_per_s=1000,
            tokens_per_s=1000000,
        )
        if self.services:
            system.set_row('service', 'proofs', idempotent='false')
        self.set_model(1)


def join_all(greenlets: Iterable[gevent.Greenlet]) -> list[Any]:
    """Wait for greenlets and return their values; re-raises exceptions."""
    started = list(greenlets)
    gevent.joinall(started, timeout=harness.WAIT_TIMEOUT_S * 2)
    return [greenlet.get(timeout=0) for greenlet in started]
