"""Real agent processes, a platform and an entry for the rollout benchmark."""

from __future__ import annotations

import datetime
import functools
import json
import os
import re
import sys
import time
from typing import NamedTuple

import blake3
import psutil

from burdockchute_testing import client
from burdockchute_testing import harness
from burdockchute_testing.benches import rollout_agent
from burdockchute_testing.processes import Process
from burdockchute_testing.processes import serving_ports

API_KEY = 'rollout-bench'
ENGINES_PER_HOST = 25
ZONES = 6
ZONES_PER_REGION = 2

_PORTS = re.compile(r'^ready ports=([\d,]+)$', re.MULTILINE)
_EVENT_LINE = re.compile(r'^at="?([^"]+?)"? level=\w+ event=(\w+) (.*)$')
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


class LogEvent(NamedTuple):
    """One line of the log of an agent; `at` is in Unix seconds."""

    agent: str
    at: float
    name: str
    fields: dict[str, str]


class Usage(NamedTuple):
    """Processor seconds so far and current resident bytes."""

    cpu_s: float
    rss: int


class Fleet:
    """Agents, each with an engine, that are listed at one entry."""

    def __init__(
        self, system: harness.System, count: int, policy: str, seed: int
    ) -> None:
        self.system = system
        self.names = [f'a{number:03}' for number in range(count)]
        self._policy = policy
        self._seed = seed
        self._log_offsets: dict[str, int] = {}
        self._events: list[LogEvent] = []

    def start(
        self, link_bytes_per_s: float, origin_bytes_per_s: float
    ) -> None:
        """Start platform, entry, engines and agents; wait until ready."""
        self.system.add_platform(store={'bytes_per_s': origin_bytes_per_s})
        entry = self.system.add_entry('e1')
        self.entry_url = entry
        ports = self._start_engines()
        for number, name in enumerate(self.names):
            self._spawn_agent(name, number, ports[number], link_bytes_per_s)
        for number, name in enumerate(self.names):
            self.system[name].wait_ports(serving_ports)
            self.system.list_instance(name, 'agent', _location(number))
        self.system.wait_ready('e1')

    def opened_at(self, digest: str) -> dict[str, float]:
        """Return by agent when it first opened a digest, in Unix seconds."""
        found: dict[str, float] = {}
        for event in self.events('gate_opened'):
            if event.fields.get('digest') == digest:
                found.setdefault(event.agent, event.at)
        return found

    def events(self, name: str) -> list[LogEvent]:
        """Return all events of a name that agents have logged so far."""
        for agent in self.names:
            self._read_log(agent)
        return [event for event in self._events if event.name == name]

    def usage(self) -> dict[str, Usage]:
        """Return the resource usage of each agent that is still running."""
        found = {}
        for name in self.names:
            try:
                process = psutil.Process(self.system[name].pid)
                times = process.cpu_times()
                found[name] = Usage(
                    times.user + times.system, process.memory_info().rss
                )
            except psutil.NoSuchProcess:
                continue
        return found

    def origin_bytes(self, digest: str) -> int:
        """Return the number of bytes of a digest that the store has sent."""
        stats = client.get(f'{self.system.url("store")}/stats').json()
        return stats['by_digest'].get(digest, 0)

    def set_customer(self) -> None:
        """Add the customer that sends, with rate limits out of its reach."""
        self.system.set_row(
            'customer',
            'bench',
            key_digests=blake3.blake3(API_KEY.encode()).hexdigest(),
            requests_per_s=10_000,
            tokens_per_s=10_000_000,
        )

    def _start_engines(self) -> list[int]:
        ports: list[int] = []
        while len(ports) < len(self.names):
            count = min(ENGINES_PER_HOST, len(self.names) - len(ports))
            name = f'engines{len(ports)}'
            module = 'burdockchute_testing.benches.engine_host'
            host = Process(
                name,
                [sys.executable, '-m', module, '--count', str(count)],
                self.system.folder,
            )
            self.system.processes[name] = host
            found = harness.wait_until(functools.partial(_ports, host), name)
            ports.extend(found)
        return ports

    def _spawn_agent(
        self, name: str, number: int, port: int, link_bytes_per_s: float
    ) -> None:
        location = _location(number)
        values = {
            'name': name,
            'zone': location.zone,
            'region': location.region,
            'address': harness.ADDRESS,
            'log-url': self.system.url('log'),
            'store-url': self.system.url('store'),
            'upstream-url': f'http://{harness.ADDRESS}:{port}',
            'uplink-bytes-per-s': str(int(link_bytes_per_s)),
            'downlink-bytes-per-s': str(int(link_bytes_per_s)),
        }
        flags = [f'--{key}={value}' for key, value in values.items()]
        os.environ[rollout_agent.POLICY_VARIABLE] = self._policy
        os.environ[rollout_agent.SEED_VARIABLE] = str(self._seed + number)
        module = 'burdockchute_testing.benches.rollout_agent'
        command = [sys.executable, '-m', module, 'serve', *flags]
        self.system.processes[name] = Process(
            name, command, self.system.folder
        )
        self.system.agents.append(name)

    def _read_log(self, agent: str) -> None:
        with open(self.system[agent].err, errors='replace') as log:
            log.seek(self._log_offsets.get(agent, 0))
            text = log.read()
        complete_lines = text[: text.rfind('\n') + 1]
        self._log_offsets[agent] = self._log_offsets.get(agent, 0) + len(
            complete_lines.encode()
        )
        for line in complete_lines.splitlines():
            found = _EVENT_LINE.match(line)
            if found:
                self._events.append(
                    LogEvent(
                        agent,
                        _unix_s(found[1]),
                        found[2],
                        dict(_FIELD.findall(found[3])),
                    )
                )


def wait_for_all(fleet: Fleet, digest: str, names: set[str]) -> None:
    """Wait until these agents have opened a digest."""
    harness.wait_until(
        lambda: names <= fleet.opened_at(digest).keys(),
        f'{digest} is open',
        timeout_s=240.0,
    )
    time.sleep(0.2)


def emit(**fields: object) -> None:
    """Print one result as a line of JSON."""
    print(json.dumps(fields), flush=True)


def _location(number: int) -> harness.Location:
    zone = number % ZONES
    return harness.Location(f'z{zone}', f'r{zone // ZONES_PER_REGION}')


def _ports(host: Process) -> list[int]:
    found = _PORTS.search(host.out.read_text())
    return [int(port) for port in found[1].split(',')] if found else []


def _unix_s(text: str) -> float:
    at = datetime.datetime.strptime(text, '%Y-%m-%d %H:%M:%S,%f')
    return at.timestamp()
