"""Child processes of tests, the demo and the benches.

Each child's output goes to files in a folder. A child ends when the process
that started it ends, however that comes about.
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

# Generous: a loaded machine starts a process in seconds, not in this.
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
_POLL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)

_READY = re.compile(r'^ready port=(\d+)$', re.MULTILINE)
_SERVING = re.compile(r'^.*\b(?:event|msg)=serving\b.*$', re.MULTILINE)
_PORT = re.compile(r'\b(\w+_port)=(\d+)')


class ProcessFailed(Exception):  # noqa: N818
    """A child ended or did not come up; the text has the end of its log."""


class Process:
    """One child; `ports` has the ports it told, by name."""

    def __init__(
        self, name: str, command: Sequence[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        self.out = folder / f'{name}.out'
        self.err = folder / f'{name}.err'
        # A process that is started again goes on with the files of the one
        # before; what that one told of its ports is no longer true.
        self._out_start = _size_of(self.out)
        self._err_start = _size_of(self.err)
        with open(self.out, 'ab') as out, open(self.err, 'ab') as err:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                preexec_fn=_end_with_parent,
            )

    @property
    def pid(self) -> int:
        """Give the process id."""
        return self._child.pid

    @property
    def status(self) -> int | None:
        """Give the exit status, None while it runs."""
        return self._child.poll()

    def wait_ports(self, read: Callable[[Process], dict[str, int]]) -> None:
        """Wait until the child has told its ports; raises ProcessFailed."""
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
        """End it at once, as when an instance dies."""
        self._signal(signal.SIGKILL)
        self._child.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stop it without its notice, as when an instance hangs."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after a pause."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to end gracefully."""
        self._signal(signal.SIGTERM)

    def handles_sighup(self) -> bool:
        """Tell whether it has a handler for a request to reload by now."""
        try:
            status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            # It has ended.
            return False
        caught = re.search(r'^SigCgt:\s*([0-9a-f]+)$', status, re.MULTILINE)
        bit = 1 << (signal.SIGHUP - 1)
        return caught is not None and bool(int(caught[1], 16) & bit)

    def send_sighup(self) -> None:
        """Ask it to read its settings again."""
        self._signal(signal.SIGHUP)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for its end and give the status; raises ProcessFailed."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise ProcessFailed(
                f'{self.name} has not ended:\n{self.tail()}'
            ) from exc

    def output(self) -> str:
        """Give all that it wrote to stdout."""
        return _read_from(self.out, self._out_start)

    def log(self) -> str:
        """Give all that it wrote to stderr."""
        return _read_from(self.err, self._err_start)

    def tail(self, lines: int = 20) -> str:
        """Give the end of its log."""
        return '\n'.join(self.log().splitlines()[-lines:])

    def _signal(self, number: int) -> None:
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


def _end_with_parent() -> None:
    # A killed test run would otherwise leave its children behind, which an
    # operator of the machine would find eating memory days later.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)
