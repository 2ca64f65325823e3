"""Child processes of tests, the demo and the benches.

The output of a child goes to files in a folder. The kernel kills a child when
its parent process ends for any reason.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import ctypes
import os
import pathlib
import re
import signal
import subprocess
import time

# A wide margin: even on a loaded machine a process starts in seconds.
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
_POLL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)

_READY = re.compile(r'^ready port=(\d+)$', re.MULTILINE)
_SERVING = re.compile(r'^.*\b(?:event|msg)=serving\b.*$', re.MULTILINE)
_PORT = re.compile(r'\b(\w+_port)=(\d+)')


class ProcessFailed(Exception):  # noqa: N818
    """A child ended, or did not start or stop in time.

    The text includes the end of its log.
    """


class Process:
    """One child; `ports` maps names to the ports that it has printed."""

    def __init__(
        self, name: str, command: Sequence[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        # Set by a test in which the process has to end by itself.
        self.expected_status = 0
        self._end_signal: int | None = None
        self.out = folder / f'{name}.out'
        self.err = folder / f'{name}.err'
        # A restarted process appends to the files of the previous one, whose
        # ports are no longer valid.
        self._out_start = _size_of(self.out)
        self._err_start = _size_of(self.err)
        with open(self.out, 'ab') as out, open(self.err, 'ab') as err:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                preexec_fn=_kill_with_parent,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def status(self) -> int | None:
        """The exit status, None while the process runs."""
        return self._child.poll()

    @property
    def failed(self) -> bool:
        """Whether the process ended by itself, or not with 0 when stopped.

        With another `expected_status`, whether it ended with another one.
        """
        if self.status is None or self._end_signal == signal.SIGKILL:
            return False
        is_asked = self._end_signal is not None or self.expected_status != 0
        return not is_asked or self.status != self.expected_status

    def wait_ports(self, read: Callable[[Process], dict[str, int]]) -> None:
        """Wait until the child has printed its ports; raises ProcessFailed."""
        until = time.monotonic() + START_TIMEOUT_S
        while not self.ports:
            if self.status is not None or time.monotonic() > until:
                raise ProcessFailed(
                    f'{self.name} is not up (status {self.status}):\n'
                    f'{self.tail()}'
                )
            time.sleep(_POLL_S)
            self.ports = read(self)

    def kill(self) -> None:
        """Kill the process, to simulate the crash of an instance."""
        self._end(signal.SIGKILL)
        self._child.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process, to simulate a hanging instance."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process after a pause."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, which requests a graceful shutdown."""
        self._end(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return the status; raises ProcessFailed."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise ProcessFailed(
                f'{self.name} has not ended:\n{self.tail()}'
            ) from exc

    def output(self) -> str:
        """Return the process's output to stdout."""
        return _read_from(self.out, self._out_start)

    def log(self) -> str:
        """Return the process's output to stderr."""
        return _read_from(self.err, self._err_start)

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        return '\n'.join(self.log().splitlines()[-lines:])

    def _end(self, number: int) -> None:
        if self.status is None:
            self._end_signal = number
        self.send_signal(number)

    def send_signal(self, number: int) -> None:
        """Send any signal, unless the process has ended."""
        if self.status is None:
            self._child.send_signal(number)


def ready_port(process: Process) -> dict[str, int]:
    """Read the port of a stand-in."""
    found = _READY.search(process.output())
    return {'port': int(found[1])} if found else {}


def serving_ports(process: Process) -> dict[str, int]:
    """Read the ports of an entry or agent."""
    found = _SERVING.search(process.log())
    if found is None:
        return {}
    return {name: int(port) for name, port in _PORT.findall(found[0])}


def _size_of(path: pathlib.Path) -> int:
    return path.stat().st_size if path.exists() else 0


def _read_from(path: pathlib.Path, start: int) -> str:
    with open(path, 'rb') as lines:
        lines.seek(start)
        return lines.read().decode(errors='replace')


def _kill_with_parent() -> None:
    # Without this, the children of a killed test run would go on and use
    # memory for days.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)
