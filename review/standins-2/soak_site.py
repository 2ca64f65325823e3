"""The site of the soak, with its programs started as the deploy file says."""

from __future__ import annotations

import os
import random
import socket
import time
import tomllib

import gevent
import rig
from soak import servers
from soak import site as sites
from soak.callers import Callers
from soak.history import History
from soak.process_runs import ProcessRun

from burdockchute_testing.processes import Process


class DeployedProgram(sites.Program):
    """A program with the command and the variables of the deploy file."""

    def start(self) -> None:
        """Start the program with its current settings."""
        self.write_settings()
        deploy = tomllib.loads((rig.ROOT / 'deploy/system.toml').read_text())
        role = 'entry' if 'entry' in self._module else 'agent'
        table = deploy['roles'][role]
        variables = {
            **{
                name: os.environ[name]
                for name in ('PATH', 'HOME', 'LANG')
                if name in os.environ
            },
            **table['env'],
            'BURDOCKCHUTE_SETTINGS': str(self._path),
            'PYTHONPATH': str(rig.ROOT / 'target/deps'),
        }
        command = ['env', '-i'] + [f'{k}={v}' for k, v in variables.items()]
        name = f'{self.name}.{len(self.runs) + 1}'
        process = Process(name, command + table['run'].split(), self._folder)
        self.runs.append(ProcessRun(process))


class Handler(servers._Handler):
    """Sends at once: 48 small delays would make a read of all pieces slow."""

    def handle(self) -> None:
        """Handle a connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


def make_site(entries: int, engines: int) -> sites.Site:
    """Start a site of entries, and of agents beside engines."""
    sites.Program = DeployedProgram
    servers._Handler = Handler
    return sites.Site(entries, engines, History())


class Load:
    """Callers that send streams at a fixed rate, to all entries in turn."""

    def __init__(
        self, record: rig.Record, site: sites.Site, per_s: float
    ) -> None:
        self.calls: list = []
        self.sending = True
        self._record = record
        self._site = site
        self._per_s = per_s
        self._callers = Callers(site, 1)
        self._greenlets: list[gevent.Greenlet] = []
        self._main = gevent.spawn(self._run)

    def _run(self) -> None:
        count = 0
        while self.sending:
            count += 1
            entry = self._site.entries[count % len(self._site.entries)]
            self._greenlets.append(
                gevent.spawn(self._send, f'q{count}', entry)
            )
            gevent.sleep(1 / self._per_s)

    def _send(self, request_id: str, entry: sites.Program) -> None:
        call = self._callers.record_call(
            random.Random(1), request_id, sites.STREAM_HOST, entry, 'k-1'
        )
        # With this seed no caller disconnects of its own accord.
        self._callers.perform(call, sites.STREAM_HOST, {}, random.Random(5))
        self.calls.append(call)
        self._record.write(
            f'{request_id} sent to {entry.name} at '
            f'{call.sent_at - self._record.started:.3f}: status '
            f'{call.status}, {len(call.body)} bytes, '
            f'{"whole" if call.complete else "not whole"} {call.error}'
        )

    def stop(self) -> None:
        """Stop sending and wait for the last answers."""
        self.sending = False
        self._main.join()
        gevent.joinall(self._greenlets, timeout=10)

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many requests sent in a span were served, and all."""
        sent = [c for c in self.calls if since <= c.sent_at < until]
        good = [c for c in sent if c.status == 200 and c.complete]
        return len(good), len(sent)


def wait_served(site: sites.Site, seconds: float = 40.0) -> None:
    """Wait until all entries serve; raises CouldNotRun."""
    callers = Callers(site, 2)
    until = time.monotonic() + seconds
    while not callers.all_entries_answer():
        if time.monotonic() > until:
            raise rig.CouldNotRun('the site does not serve')
        gevent.sleep(0.2)


def wait_loaded(engines: list, version: int, seconds: float) -> None:
    """Wait until all engines have a version loaded."""
    until = time.monotonic() + seconds
    while any(engine.version != version for engine in engines):
        if time.monotonic() > until:
            raise rig.CouldNotRun(f'version {version} is not loaded in time')
        gevent.sleep(0.1)


def kill_all(record: rig.Record, site: sites.Site, down_s: float) -> None:
    """Kill all processes of the system and start them again."""
    for program in site.programs():
        program.process.kill()
    record.write('all processes of the system are killed')
    gevent.sleep(down_s)
    for program in site.programs():
        program.start()
    record.write('all processes of the system are started')


def judge_recovery(
    record: rig.Record,
    before: tuple[int, int],
    after: tuple[int, int],
    recovery_s: float,
) -> str | None:
    """Return how the rule RECOVER was broken, None if it held.

    `before` and `after` are the numbers of requests that were served and of
    all, sent before the final fault and later than `recovery_s` after the
    machines were back.
    """
    record.write(f'before the final fault {before[0]} of {before[1]} served')
    record.write(f'after the recovery {after[0]} of {after[1]} served')
    if 4 * before[0] < before[1] or not before[1] or not after[1]:
        raise rig.CouldNotRun('too few requests were served before')
    if 4 * after[0] >= after[1]:
        return None
    return (
        f'RECOVER: {after[0]} of {after[1]} requests served that were sent '
        f'later than {recovery_s} s after the machines were back'
    )
