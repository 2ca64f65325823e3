"""A complete system on loopback, for tests, the demo and the benches.

>>> with System() as system:  # doctest: +SKIP
...     system.add_platform()
...     entry = system.add_entry('e1')
...     system.set_row('customer', 'lindwurm', key_digests='...')

All processes are killed when the block ends.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from burdockchute_testing import client
from burdockchute_testing import processes
from burdockchute_testing.processes import Process
from burdockchute_testing.standins import recording

ADDRESS = '127.0.0.1'
WAIT_TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 60.0
KEEP_LOGS_VARIABLE = 'BURDOCKCHUTE_KEEP_LOGS'
_POLL_S = 0.05

ValueT = TypeVar('ValueT')


class Location(NamedTuple):
    """The location of an instance."""

    zone: str = 'graz-1'
    region: str = 'graz'
    pool: str = 'main'


class Command(NamedTuple):
    """The result of a command."""

    status: int
    out: str
    err: str


class WaitTimeout(Exception):  # noqa: N818
    """A condition was not met within its timeout."""


class System:
    """All processes of one system, by name."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='burdockchute-'))
        self.processes: dict[str, Process] = {}
        self.history_files: dict[str, pathlib.Path] = {}
        self.agents: list[str] = []
        self.entries: list[str] = []

    def __enter__(self) -> System:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close(keep_logs=exc is not None)

    def close(self, keep_logs: bool = False) -> None:
        """Kill all running processes and remove the logs.

        With `keep_logs` and the variable `BURDOCKCHUTE_KEEP_LOGS` set, the
        logs are kept. Raises ProcessFailed if an entry or agent had ended by
        itself, or not with 0 when it was stopped.
        """
        programs = [self.processes[n] for n in [*self.entries, *self.agents]]
        ended = [
            f'{program.name} ended with {program.status}:\n{program.tail()}'
            for program in programs
            if program.failed
        ]
        for process in self.processes.values():
            process.kill()
        if keep_logs and os.environ.get(KEEP_LOGS_VARIABLE):
            print(f'logs are kept in {self.folder}', file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        if ended:
            raise processes.ProcessFailed('\n'.join(ended))

    def __getitem__(self, name: str) -> Process:
        """Return a process by name."""
        return self.processes[name]

    def url(self, name: str, port: str = 'port') -> str:
        """Return the base URL of a process; `port` names one of its ports."""
        return f'http://{ADDRESS}:{self.processes[name].ports[port]}'

    def add_platform(
        self,
        log: dict[str, Any] | None = None,
        store: dict[str, Any] | None = None,
        instances: dict[str, Any] | None = None,
    ) -> None:
        """Start the stand-ins of log, store and instance list.

        Options are named like the stand-ins' flags.
        """
        self.add_stand_in('log', 'log_service', **(log or {}))
        self.add_stand_in('store', 'weight_store', **(store or {}))
        self.add_stand_in('instances', 'instance_list', **(instances or {}))

    def add_stand_in(self, name: str, module: str, **options: Any) -> str:
        """Start a stand-in and return its URL."""
        command = [
            sys.executable,
            '-m',
            f'burdockchute_testing.standins.{module}',
            *_flags(options),
        ]
        self._start(name, command, processes.ready_port)
        return self.url(name)

    def add_engine(self, name: str, **options: Any) -> str:
        """Start an engine and return its URL."""
        return self._add_upstream(name, 'engine', options)

    def add_service(self, name: str, service: str, **options: Any) -> str:
        """Start a plain service and return its URL."""
        return self._add_upstream(
            name, 'service', {'service': service, **options}
        )

    def add_entry(
        self,
        name: str,
        location: Location = Location(),  # noqa: B008
        **options: Any,
    ) -> str:
        """Start and list an entry; return its URL for callers."""
        settings = {
            'name': name,
            'zone': location.zone,
            'region': location.region,
            'address': ADDRESS,
            'log_url': self.url('log'),
            'instances_url': self.url('instances'),
            **options,
        }
        command = [_binary('burdockchute-entry'), 'serve', *_flags(settings)]
        self._start(name, command, processes.serving_ports)
        self.list_instance(name, 'entry', location)
        self.entries.append(name)
        return self.url(name, 'http_port')

    def add_agent(
        self,
        name: str,
        upstream: str,
        location: Location = Location(),  # noqa: B008
        services: str = '',
        listed: bool = True,
        **options: Any,
    ) -> None:
        """Start an agent for the named upstream and list it."""
        settings = {
            'name': name,
            'zone': location.zone,
            'region': location.region,
            'pool': location.pool,
            'address': ADDRESS,
            'log_url': self.url('log'),
            'store_url': self.url('store'),
            'upstream_url': self.url(upstream),
            'upstream_kind': 'service' if services else 'engine',
            'services': services,
            **options,
        }
        command = [_binary('burdockchute-agent'), 'serve', *_flags(settings)]
        self._start(name, command, processes.serving_ports)
        if listed:
            self.list_instance(name, 'agent', location)
        self.agents.append(name)

    def list_instance(
        self,
        name: str,
        role: str,
        location: Location = Location(),  # noqa: B008
        state: str = 'live',
        port: int = 0,
    ) -> None:
        """Add an instance to the platform's list.

        `port` overrides the instance's own port if others reach it through a
        relay.
        """
        instance = {
            'name': name,
            'role': role,
            'address': ADDRESS,
            'port': port or self.processes[name].ports['link_port'],
            **location._asdict(),
            'state': state,
        }
        client.post(f'{self.url("instances")}/instances', instance)

    def unlist_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        client.call('DELETE', f'{self.url("instances")}/instances/{name}')

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a stand-in; without any, clear them."""
        answer = client.post(f'{self.url(name)}/faults', faults)
        if answer.status != 200:
            raise ValueError(answer.body.decode())

    def publish(self, name: str, size: int, chunk_size: int, seed: int) -> str:
        """Publish weights to the store and return their digest."""
        document = {
            'name': name,
            'size': size,
            'chunk_size': chunk_size,
            'seed': seed,
        }
        answer = client.post(f'{self.url("store")}/models', document)
        return answer.json()['digest']

    def table(self, *arguments: str) -> Command:
        """Run `burdockchute-entry table` as an operator does."""
        environ = {
            **os.environ,
            'BURDOCKCHUTE_LOG_URL': self.url('log'),
            'BURDOCKCHUTE_INSTANCES_URL': self.url('instances'),
        }
        completed = subprocess.run(
            [_binary('burdockchute-entry'), 'table', *arguments],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            env=environ,
            stdin=subprocess.DEVNULL,
        )
        return Command(
            completed.returncode, completed.stdout, completed.stderr
        )

    def set_row(self, kind: str, name: str, **columns: Any) -> Command:
        """Edit one row with the command; raises ValueError if refused."""
        values = [f'{key}={value}' for key, value in columns.items()]
        completed = self.table('set', '--yes', f'{kind}/{name}', *values)
        if completed.status:
            raise ValueError(f'{kind}/{name}: {completed.out}{completed.err}')
        return completed

    def status(self, name: str) -> dict[str, Any]:
        """Return the status page of an entry or agent."""
        return client.get(f'{self.url(name, "admin_port")}/status').json()

    def ready(self, name: str) -> bool:
        """Whether an entry or agent reports that it is ready."""
        url = f'{self.url(name, "admin_port")}/readyz'
        try:
            return client.get(url).status == 200
        except client.NoResponse:
            return False

    def wait_ready(self, *names: str) -> None:
        """Wait until these entries and agents are ready."""
        for name in names:
            wait_until(functools.partial(self.ready, name), f'{name} is ready')

    def engine_digests(self, name: str) -> set[str]:
        """Return the digests of the models that an engine has loaded."""
        state = client.get(f'{self.url(name)}/state').json()
        return {item['digest'] for item in state['loaded']}

    def open_digests(self, agent: str) -> set[str]:
        """Return the digests for which an agent accepts requests."""
        weights = self.status(agent)['weights']
        return {w['digest'] for w in weights if w['phase'] == 'open'}

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs of all upstreams, including killed ones."""
        return [
            {**run, 'upstream': name}
            for name, path in self.history_files.items()
            for run in recording.read(str(path))
        ]

    def terminate(self, *names: str) -> dict[str, int]:
        """Stop processes gracefully and return their exit statuses."""
        for name in names:
            self.processes[name].terminate()
        return {name: self.processes[name].wait() for name in names}

    def _add_upstream(
        self, name: str, module: str, options: dict[str, Any]
    ) -> str:
        path = self.folder / f'{name}.history'
        self.history_files[name] = path
        return self.add_stand_in(name, module, history_file=path, **options)

    def _start(
        self,
        name: str,
        command: list[str],
        read: Callable[[Process], dict[str, int]],
    ) -> None:
        process = Process(name, command, self.folder)
        self.processes[name] = process
        process.wait_ports(read)


def wait_until(
    probe: Callable[[], ValueT], what: str, timeout_s: float = WAIT_TIMEOUT_S
) -> ValueT:
    """Wait until the probe returns a true value, and return it.

    Raises WaitTimeout after `timeout_s` seconds.
    """
    until = time.monotonic() + timeout_s
    while True:
        value = probe()
        if value:
            return value
        if time.monotonic() > until:
            raise WaitTimeout(f'not within {timeout_s:.0f} s: {what}')
        time.sleep(_POLL_S)


def _binary(name: str) -> str:
    return str(pathlib.Path(sys.executable).with_name(name))


def _flags(options: dict[str, Any]) -> list[str]:
    flags = []
    for name, value in options.items():
        flag = '--' + name.replace('_', '-')
        if value is True:
            flags.append(flag)
        elif value is not False:
            flags.extend((flag, str(value)))
    return flags
