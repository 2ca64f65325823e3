"""A small deployment on loopback: our programs, stand-ins and a record.

Each machine has an address of its own in a free part of 127.0.0.0/8, so that
ports of the deploy file never clash. The programs are started with the
commands and variables of `deploy/system.toml`, as on the users' platform.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

from standins.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, STORE_PORT, SERVER_PORT = 8005, 8002, 8007, 8080
LINK_PORTS = [7700, 7715]
# As in sites/sahyog-chute.toml and DEPLOY.md.
BOUNDS = {
    'contactMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtraRetries': 106,
    'recoveryS': 12,
    'passMs': 120,
    'version_ms': 8000,
}
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0


class Record:
    """Writes what was sent, answered and run, with the seconds since start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, 'w', encoding='utf-8')

    def write(self, event: str, **fields: Any) -> float:
        """Write one event and return the monotonic time of it."""
        now = time.monotonic()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._lock:
            self._file.write(f'{now - self._started:8.3f} {event} {text}\n')
            self._file.flush()
        return now


class Program:
    """One of our programs as a process on its own machine."""

    def __init__(
        self, role: str, settings: dict[str, Any], folder: pathlib.Path
    ) -> None:
        self.name: str = settings['nodeName']
        self.ip: str = settings['ip']
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self._role = deploy['roles'][role]
        self._settings = folder / f'{self.name}.json'
        self._settings.write_text(json.dumps(settings), encoding='utf-8')
        self._log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= self._role['env']
        env['BURDOCKCHUTE_SETTINGS'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self._log, 'ab') as log:
            self.process = subprocess.Popen(
                self._role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def status(self) -> int | None:
        """The exit status, None while the process runs."""
        assert self.process is not None
        return self.process.poll()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Return what the program has logged."""
        return self._log.read_text(encoding='utf-8', errors='replace')


class Site:
    """One zone with entries; servers are added by the test."""

    def __init__(
        self,
        record: Record,
        entries: int,
        bounds: dict[str, float] | None = None,
    ) -> None:
        self.record = record
        self._bounds = BOUNDS | (bounds or {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._network = _free_network()
        self._closed = False
        self._sequence: dict[str, int] = {}
        self.records: dict[str, dict[str, Any]] = {}
        self.store = Store((self.ip(1), STORE_PORT))
        self.programs: list[Program] = []
        self.entries: list[Program] = []
        self._count = entries
        self.closers: list[Any] = []
        threading.Thread(target=self._beat, daemon=True).start()

    def ip(self, host: int) -> str:
        """Return the address of a machine."""
        return f'{self._network}.{host}'

    def start_entries(self) -> None:
        """Start all entries and wait until they are ready."""
        for number in range(self._count):
            ip = self.ip(10 + number)
            settings = self.settings(f'front-{number}', ip, 'front') | {
                'listen': {
                    'front': f'{ip}:{FRONT_PORT}',
                    'ready': f'{ip}:{READY_PORT}',
                }
            }
            self.entries.append(Program('entry', settings, self.folder))
        self.programs += self.entries
        for entry in self.entries:
            self.wait_ready(entry)

    def settings(self, name: str, ip: str, kind: str) -> dict[str, Any]:
        """Return the settings of a machine, as in DEPLOY.md."""
        return {
            'nodeName': name,
            'role': 'entry' if kind == 'front' else 'agent',
            'machineClass': kind,
            'serves': [kind],
            'ip': ip,
            'zone': 'amd-a',
            'region': 'guj-central',
            'zones': {'amd-a': 'guj-central'},
            'listen': {},
            'internalPortRange': LINK_PORTS,
            'seeds': [],
            'firstStart': True,
            'limits': {
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'bounds': self._bounds,
            'platform': {
                'address': f'{self.ip(1)}:{STORE_PORT}',
                'form': 'log',
            },
        }

    def list_server(self, name: str, record: dict[str, Any]) -> None:
        """Write the entry of a server, which renews it from then on."""
        self.records[name] = record
        self._write_entry(name)

    def unlist_server(self, name: str) -> None:
        """Remove the entry of a server."""
        self.records.pop(name, None)
        self.store.put('keyed.servers', name, b'')

    def wait_ready(self, entry: Program) -> None:
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if entry.status is not None:
                raise RuntimeError(f'{entry.name} ended: {entry.log()[-900:]}')
            if is_ready(entry):
                self.record.write('ready', entry=entry.name)
                return
            time.sleep(0.1)
        raise RuntimeError(f'{entry.name} is not ready')

    def close(self) -> None:
        """End all processes and stand-ins that were started."""
        self._closed = True
        for program in self.programs:
            program.signal(signal.SIGKILL)
        for program in self.programs:
            if program.process is not None:
                program.process.wait(10)
        for close in self.closers:
            close()
        self.store.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _beat(self) -> None:
        while not self._closed:
            time.sleep(HEARTBEAT_S)
            for name in list(self.records):
                self._write_entry(name)

    def _write_entry(self, name: str) -> None:
        record = self.records.get(name)
        if record is not None:
            self._sequence[name] = self._sequence.get(name, 0) + 1
            entry = record | {'sequence': self._sequence[name]}
            self.store.put('keyed.servers', name, entry)


def run_case(main: Callable[[], int]) -> None:
    """Run a case and exit with its status; 2 if it could not run."""
    # The processes that it has started end with it.
    signal.signal(signal.SIGTERM, _stop)
    try:
        status = main()
    except Exception as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        status = 2
    sys.exit(status)


def _stop(number: int, _frame: object) -> None:
    # A second signal must not interrupt the end of the processes.
    signal.signal(number, signal.SIG_IGN)
    sys.exit(2)


def is_ready(entry: Program) -> bool:
    """Whether an entry answers the platform's question with 200."""
    try:
        with socket.create_connection((entry.ip, READY_PORT), 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(b'GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            return sock.recv(64).startswith(b'HTTP/1.1 200')
    except OSError:
        return False


def _free_network() -> str:
    rng = random.Random(os.getpid())
    for _attempt in range(50):
        network = f'127.{rng.randint(20, 250)}.{rng.randint(1, 250)}'
        try:
            with socket.socket() as sock:
                sock.bind((f'{network}.1', STORE_PORT))
        except OSError:
            continue
        return network
    raise RuntimeError('no free loopback addresses')
