"""What the scripts of the second review share.

The project's programs run as processes, with the commands of the deploy file,
beside stand-ins on loopback addresses. Call `gevent.monkey.patch_all` first.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import ctypes
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import NamedTuple

import gevent
from gevent.server import StreamServer
from tests import builders
from tests.fakes import FakeStore

ROOT = pathlib.Path.cwd()
# The exit status of a script that fails by itself is 1.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
HOST = '127.0.0.1'
HEARTBEAT_S = 1.2
KEY, TENANT = 'k-1', 'school'
SERVERS_TOPIC, OPERATORS_TOPIC = 'keyed.servers', 'keyed.op'
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def free_ports(count: int) -> list[int]:
    """Return unused ports of the loopback interface."""
    held = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def free_range(count: int) -> int:
    """Return the first of several unused ports in a row."""
    for first in range(21000 + os.getpid() % 5000, 32000, count):
        try:
            held = [
                socket.create_server((HOST, port))
                for port in range(first, first + count)
            ]
        except OSError:
            continue
        for sock in held:
            sock.close()
        return first
    raise OSError('no free ports')


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, 'w', encoding='utf-8')
        self.started = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Add a line with its time in seconds since the start."""
        at = time.monotonic() if at is None else at
        self._file.write(f'{at - self.started:8.3f} {text}\n')
        self._file.flush()


class Proxy:
    """Passes connections on; while cut, it holds all bytes and ends back.

    What is held arrives once the cut is over, as on a link whose ends send
    again what was lost. With `one_way`, what comes from the server passes.
    """

    def __init__(self, target_port: int) -> None:
        self.cut = False
        self.one_way = False
        self._target = target_port
        self._server = StreamServer((HOST, 0), self._handle)
        self._server.start()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.server_port

    def close(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _pass(self, is_from_server: bool = False) -> None:
        while self.cut and not (self.one_way and is_from_server):
            gevent.sleep(0.005)

    def _handle(self, client: Any, _address: Any) -> None:
        self._pass()
        try:
            server = socket.create_connection((HOST, self._target))
        except OSError:
            _reset(client)
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = gevent.spawn(self._pump, server, client, True)
        self._pump(client, server)
        back.join()
        client.close()
        server.close()

    def _pump(
        self, source: Any, target: Any, is_from_server: bool = False
    ) -> None:
        try:
            while data := source.recv(65536):
                self._pass(is_from_server)
                target.sendall(data)
            self._pass(is_from_server)
            target.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            self._pass(is_from_server)
            _reset(source)
            _reset(target)
        except OSError:
            _reset(source)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


class Child:
    """A process that the test starts and ends."""

    def __init__(
        self, command: list[str], env: dict[str, str], log: pathlib.Path
    ) -> None:
        with open(log, 'ab') as out:
            self._process = subprocess.Popen(
                command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                preexec_fn=_die_with_parent,
            )

    @property
    def ended(self) -> bool:
        """Whether it has ended."""
        return self._process.poll() is not None

    def send(self, number: int) -> None:
        """Send a signal unless it has ended."""
        if not self.ended:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.send(signal.SIGKILL)
        while not self.ended:
            gevent.sleep(0.005)


def _die_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Program:
    """One of the project's programs, started as the deploy file says."""

    def __init__(
        self, role: str, name: str, settings: dict[str, Any], folder: Any
    ) -> None:
        self.name = name
        self.settings = settings
        self.path = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role_table = deploy['roles'][role]
        self._command = role_table['run'].split()
        self._env = {
            **{
                name: os.environ[name]
                for name in ('PATH', 'HOME', 'LANG')
                if name in os.environ
            },
            **role_table['env'],
            'BURDOCKCHUTE_ADMIN_PORT': str(free_ports(1)[0]),
            'BURDOCKCHUTE_SETTINGS': str(self.path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        self.child: Child | None = None

    def start(self) -> None:
        """Write its settings and start it."""
        self.path.write_text(json.dumps(self.settings), encoding='utf-8')
        self.child = Child(self._command, self._env, self.log)

    def kill(self) -> None:
        """Kill its process."""
        if self.child is not None:
            self.child.kill()


class Answer(NamedTuple):
    """What a caller got; `status` is 0 without an answer."""

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    seal: str
    body: bytes
    complete: bool
    error: str = ''


class Site:
    """A store, its operators, and the programs; ends all with `close`."""

    def __init__(
        self, record: Record, config: dict[str, Any], bounds: dict[str, Any]
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.store = FakeStore()
        self.store.era = None
        self.programs: list[Program] = []
        self.entries: list[Program] = []
        self.closing: list[Callable[[], None]] = []
        self.bounds = bounds
        self.save_configuration(config)

    def save_configuration(self, config: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.store.put(OPERATORS_TOPIC, 'config', config)
        self.record.write(f'configuration {config["version"]} is stored')

    def add_entry(self, name: str) -> Program:
        """Start an entry."""
        front, ready = free_ports(2)
        settings = self._settings(name, 'front') | {
            'serves': ['front'],
            'listen': {'front': f'{HOST}:{front}', 'ready': f'{HOST}:{ready}'},
        }
        program = Program('entry', name, settings, self.folder)
        self.entries.append(program)
        self.programs.append(program)
        program.start()
        return program

    def _settings(self, name: str, machine_class: str) -> dict[str, Any]:
        first = free_range(16)
        port = self.store.endpoint.port
        return builders.settings_record(
            nodeName=name,
            role='my-' + machine_class,
            machineClass=machine_class,
            ip=HOST,
            internalPortRange=[first, first + 15],
            seeds=[],
            firstStart=True,
            heartbeatMs=int(HEARTBEAT_S * 1000),
            limits={
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            bounds=self.bounds,
            platform={
                'address': f'{HOST}:{port}',
                'form': 'log',
                'writesPerS': 400,
                'readsPerS': 2000,
                'parts': 8,
                'keep_s': 300,
            },
            app='',
            service='',
        )

    def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all entries say that they are ready."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while not _is_ready(entry):
                if time.monotonic() > until:
                    raise CouldNotRun(f'{entry.name} is not ready')
                gevent.sleep(0.1)

    def call(
        self,
        entry: Program,
        request_id: str,
        host: str,
        deadline_ms: int,
        method: str = 'POST',
        path: str = '/pages/1',
        headers: dict[str, str] | None = None,
        log: bool = True,
    ) -> Answer:
        """Send one request on a new connection and read its answer."""
        address = entry.settings['listen']['front']
        sent_at = time.monotonic()
        conn = http.client.HTTPConnection(
            address, timeout=deadline_ms / 1000 + 1
        )
        status, seal, body, complete, error = 0, '', b'', False, ''
        try:
            conn.request(
                method,
                path,
                b'x' * 600 if method == 'POST' else None,
                {
                    'Host': host,
                    'Request-Id': request_id,
                    'Deadline-Ms': str(deadline_ms),
                    'Api-Key': KEY,
                    **(headers or {}),
                },
            )
            answer = conn.getresponse()
            status = answer.status
            seal = answer.getheader('Response-Seal', '')
            body = answer.read()
            complete = True
        except http.client.IncompleteRead as exc:
            body, error = exc.partial, 'ended early'
        except (OSError, http.client.HTTPException) as exc:
            error = f'{type(exc).__name__}: {exc}'
        finally:
            conn.close()
        result = Answer(
            request_id,
            sent_at,
            time.monotonic(),
            status,
            seal,
            body,
            complete,
            error,
        )
        if log:
            self.record.write(
                f'{request_id} sent to {entry.name} at '
                f'{sent_at - self.record.started:.3f} for {host}: status '
                f'{status}, {len(body)} bytes, '
                f'{"whole" if complete else "not whole"} {error}'
            )
        return result

    def close(self) -> None:
        """End all processes and stand-ins."""
        for program in self.programs:
            program.kill()
        for close in self.closing:
            close()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not run."""


def _is_ready(entry: Program) -> bool:
    conn = http.client.HTTPConnection(
        entry.settings['listen']['ready'], timeout=1
    )
    try:
        conn.request('GET', '/-/ready')
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


class PlainMachine:
    """A machine with a plain server, its process and its link.

    The server registers itself in the store when it starts and at each
    heartbeat, unless the link is cut. With `keeps_id` a start has the id of
    the one before.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        service: str,
        slots: int,
        work_ms: int,
        keeps_id: bool,
        program: str = 'plain_server.py',
        more: tuple[str, ...] = (),
        clock_ahead_s: float = 0.0,
    ) -> None:
        self.name = name
        self.log = site.folder / f'{name}.jsonl'
        self.log.touch()
        self.starts = 0
        self.id = ''
        self.born = 0
        self.fields: dict[str, Any] = {}
        # How far the time of day of its machine is ahead.
        self.clock_ahead_s = clock_ahead_s
        self._site = site
        self._service = service
        self._slots = slots
        self._work_ms = work_ms
        self._keeps_id = keeps_id
        self._program = program
        self._more = more
        self._port = free_ports(1)[0]
        self.proxy = Proxy(self._port)
        self.child: Child | None = None
        self._beats: gevent.Greenlet | None = None
        self._sequence = 0
        self._cold_until = float('-inf')
        site.closing.append(self.close)
        self.start()

    def start(self) -> None:
        """Start the server."""
        self.starts += 1
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        if self.starts == 1 or not self._keeps_id:
            self.id = f'i-{self.name}-{self.starts}'
        command = [
            sys.executable,
            str(ROOT / 'target/review-2' / self._program),
            str(self._port),
            self.id,
            str(self.born),
            str(self._slots),
            str(self._work_ms),
            str(self.log),
            *self._more,
        ]
        self.child = Child(
            command, dict(os.environ), self._site.folder / f'{self.name}.out'
        )
        until = time.monotonic() + 10
        while not _listens(self._port):
            if time.monotonic() > until:
                raise CouldNotRun(f'server {self.name} does not start')
            gevent.sleep(0.01)
        self._site.record.write(
            f'server {self.name} has started, id {self.id}, born {self.born}'
        )
        self._beats = gevent.spawn(self._beat)

    def kill(self) -> None:
        """Kill the server's process."""
        if self._beats is not None:
            self._beats.kill()
        if self.child is not None:
            self.child.kill()
        self._site.record.write(f'server {self.name} is killed')

    def turn_cold(self, seconds: float) -> float:
        """Become cold and say so in the store; return when it accepted it."""
        self._cold_until = time.monotonic() + seconds
        self._register()
        return time.monotonic()

    def drain(self) -> float:
        """Report that it is leaving; return when the store accepted that."""
        assert self.child is not None
        self.fields['state'] = 'draining'
        self.child.send(signal.SIGUSR1)
        self._register()
        self._site.record.write(f'server {self.name} is draining')
        return time.monotonic()

    def leave(self) -> None:
        """End the process and remove its entry."""
        self.kill()
        self._site.store.put(SERVERS_TOPIC, self.id, b'')

    def close(self) -> None:
        """End the process and the link."""
        if self._beats is not None:
            self._beats.kill()
        if self.child is not None:
            self.child.kill()
        self.proxy.close()

    def events(self) -> list[dict[str, Any]]:
        """Return what its starts have recorded."""
        lines = self.log.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines]

    def _beat(self) -> None:
        while True:
            if not self.proxy.cut:
                self._register()
            gevent.sleep(HEARTBEAT_S)

    def _cold_left_ms(self) -> int:
        left_s = max(0.0, self._cold_until - time.monotonic())
        return int(left_s * 1000)

    def _register(self) -> None:
        self._sequence += 1
        self._site.store.put(
            SERVERS_TOPIC,
            self.id,
            builders.server_record(
                service=self._service,
                address=f'{HOST}:{self.proxy.port}',
                zone='north',
                slots=self._slots,
                state='ready',
                coldRemainingMs=self._cold_left_ms(),
                models=[],
                sequence=self._sequence,
                born=self.born,
            )
            | self.fields,
        )


def _listens(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=0.2).close()
    except OSError:
        return False
    return True


def plain_config(
    version: int, service: str, hosts: dict[str, str], **service_fields: Any
) -> dict[str, Any]:
    """Return a configuration of one plain service; `hosts` maps to kinds."""
    routes = [
        builders.route_record(
            name=f'r-{number}',
            host=host,
            kind=kind,
            service=service,
            timeoutMs=4000,
            targetLatencyMs=305,
            maxAttempts=1 if kind == 'non_idempotent' else 2,
            sticky=False,
            resumable=False,
            targetGapMs=0,
        )
        for number, (host, kind) in enumerate(hosts.items())
    ]
    services = [
        {
            'name': service,
            'healthPath': builders.HEALTH_PATH,
            'maxConnections': 346,
        }
        | service_fields
    ]
    return builders.config_record(
        version=version,
        routes=routes,
        services=services,
        tenants=[{'name': TENANT, 'apiKeys': [KEY]}],
    )


# The bounds of the site `pcc-norte-grown`, as its sheet gives them.
NORTE_BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 4000,
    'ackMs': 6000,
    'catchUpS': 6,
    'drainMs': 3000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'outerMs': 6000,
    'strictRevocation': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtraRetries': 204,
    'recoveryS': 15,
    'passMs': 200,
    'retryAfterS': 0,
    'version_ms': 9700,
    'version_all_ms': 0,
}


def main(path: pathlib.Path, run: Callable[[Record], str | None]) -> None:
    """Run a case with its record; it returns how the rule was broken."""
    record = Record(path)
    try:
        broken = run(record)
    except CouldNotRun as exc:
        record.write(f'could not run: {exc}')
        print(f'could not run: {exc}')
        sys.exit(COULD_NOT_RUN)
    verdict = broken or 'the rule held'
    record.write(verdict)
    print(verdict)
    sys.exit(BROKEN if broken else HELD)


def count(statuses: list[int]) -> str:
    """Return how often each status was answered."""
    counts = collections.Counter(statuses)
    return ', '.join(f'{s}: {n}' for s, n in sorted(counts.items()))
