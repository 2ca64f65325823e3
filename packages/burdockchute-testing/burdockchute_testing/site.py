"""A small site for tests of failures: entries, engines, a service, rows."""

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
    """A running system and all that its callers saw.

    Engines are m1, m2..., their agents am1, am2...; the service is s1 with
    agent as1. `options` go to each engine. The agents of `relayed` engines
    are reached through a relay.
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
        """End everything."""
        for relay in self.relays.values():
            relay.close()
        self.system.close()

    def add_engine(self, name: str, **options: Any) -> None:
        """Start an engine with its agent."""
        self.system.add_engine(name, **options)
        agent, relayed = f'a{name}', name in self._relayed
        self.system.add_agent(agent, name, stall_s=3, listed=not relayed)
        if relayed:
            relay = Relay(self.system[agent].ports['link_port'])
            self.relays[name] = relay
            self.system.list_instance(agent, 'agent', port=relay.port)

    def add_service(self, name: str) -> None:
        """Start a plain service with its agent."""
        self.system.add_service(name, 'proofs', seconds=0.05)
        self.system.add_agent(f'a{name}', name, services='proofs')

    def set_model(self, version: int) -> str:
        """Publish a version of the model and name it in its row."""
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
        """Wait until the model is open on these agents, or on all."""
        digest = self.digests['story']
        names = list(agents) or [f'a{name}' for name in self.engines]
        harness.wait_until(
            lambda: all(
                digest in self.system.open_digests(name) for name in names
            ),
            f'{digest[:8]} is open on {names}',
        )

    def send(self, entry: str, spec: CallSpec) -> Call:
        """Send an ask once and record it."""
        url = self.system.url(entry, 'http_port')
        call = calls.send(url, BEARER, spec, entry)
        self.calls.append(call)
        return call

    def spawn(self, entry: str, spec: CallSpec) -> gevent.Greenlet:
        """Send an ask in a greenlet, which gives the call."""
        return gevent.spawn(self.send, entry, spec)

    def send_all(self, specs: Iterable[tuple[str, CallSpec]]) -> list[Call]:
        """Send many at once and give the calls in the same order."""
        return finish(self.spawn(entry, spec) for entry, spec in specs)

    def send_until_run(
        self, entry: str, spec: CallSpec, sendings: int = 30
    ) -> Call:
        """Send again while the answer is not-run, as callers may."""
        for _sending in range(sendings):
            call = self.send(entry, spec)
            if call.outcome != calls.NOT_RUN:
                break
            gevent.sleep(0.5)
        return call

    def kill(self, name: str) -> None:
        """Kill a process as when its instance dies."""
        self.killed.add(name)
        self.system[name].kill()

    def stop_agent(self, upstream: str) -> None:
        """Let the agent of an upstream leave gracefully."""
        self.graceful_stops.append(history.GracefulStop(upstream, time.time()))
        self.system[f'a{upstream}'].terminate()

    def history(self) -> history.History:
        """Give what callers and upstreams have recorded."""
        return history.History(
            tuple(self.calls),
            history.runs_of(self.system.runs()),
            tuple(self.graceful_stops),
            frozenset(self.all_digests),
            frozenset(self.killed),
        )

    def findings(self) -> list[Finding]:
        """Check the history."""
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
        finish(starting)
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


def finish(greenlets: Iterable[gevent.Greenlet]) -> list[Any]:
    """Wait for greenlets and give their values; raises what one raised."""
    started = list(greenlets)
    gevent.joinall(started, timeout=harness.WAIT_TIMEOUT_S * 2)
    return [greenlet.get(timeout=0) for greenlet in started]
