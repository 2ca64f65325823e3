"""Structured logs: one key=value line for each event."""

from __future__ import annotations

from collections.abc import Callable
import logging
import os
import sys
import time

import logfmter

_LOG = logging.getLogger('burdockchute')

# Lines a second that one process may write, and how many it may write at
# once after a quiet time. A busy entry writes some three lines for each of
# fifty requests a second; ten times the usual has room, and a flood beyond
# that is counted instead of written.
LINES_PER_S = 400.0
BURST_LINES = 800.0

# Warnings may use what this part of the budget leaves; they tell of
# requests that failed and of what was lost, and are read first.
INFO_SHARE = 0.75

# How often the number of lines left out is told.
TELL_LEFT_OUT_S = 5.0


def set_up(level: str, process: str) -> None:
    """Send every event of this process to stderr as logfmt lines."""
    _install(logging.StreamHandler(sys.stderr), level, process)


def set_up_bounded(level: str, process: str) -> None:
    """Send events to stdout, never more than it takes without waiting."""
    os.set_blocking(sys.stdout.fileno(), False)
    _install(
        BoundedHandler(sys.stdout.fileno(), time.monotonic), level, process
    )


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that does not block.

    A reader that stops reading fills the pipe, and a process that waited for
    it would stop serving; a flood of lines would take the processor time
    that requests need. Lines beyond the budget or the pipe are left out, and
    `event=lines_left_out` tells how many.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        super().__init__()
        self.left_out = 0
        self._descriptor = descriptor
        self._now = now
        self._lines = BURST_LINES
        self._filled_at = now()
        self._told_at = now()
        self._rest = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record if there is room for it."""
        now = self._now()
        earned = (now - self._filled_at) * LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + earned)
        self._filled_at = now
        kept = 0.0
        if record.levelno < logging.WARNING:
            kept = (1 - INFO_SHARE) * BURST_LINES
        if self._lines - kept < 1:
            self.left_out += 1
            return
        if self.left_out and now - self._told_at >= TELL_LEFT_OUT_S:
            self._told_at = now
            count, self.left_out = self.left_out, 0
            self._write(f'event=lines_left_out count={count}\n'.encode())
        self._lines -= 1
        self._write(self.format(record).encode() + b'\n')

    def _write(self, line: bytes) -> None:
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.left_out += 1
            return
        except OSError:
            # Nobody reads any more, and there is nowhere left to say so.
            self._rest = b''
            return
        # The rest of a line goes out before the next one, or the two would
        # become one line that nobody can read.
        self._rest = data[written:]


def _install(handler: logging.Handler, level: str, process: str) -> None:
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level'],
            mapping={'at': 'asctime', 'level': 'levelname'},
        )
    )
    handler.addFilter(_names_process(process))
    _LOG.addHandler(handler)
    _LOG.setLevel(level.upper())
    _LOG.propagate = False


def _names_process(
    process: str,
) -> Callable[[logging.LogRecord], bool]:
    def add_name(record: logging.LogRecord) -> bool:
        record.proc = process
        return True

    return add_name


def event(name: str, level: int = logging.INFO, **fields: object) -> None:
    """Write one event.

    >>> event('table_applied', offset=12)
    """
    if _LOG.isEnabledFor(level):
        _LOG.log(level, {'event': name, **fields})


def warn(name: str, **fields: object) -> None:
    """Write one event that an operator may need to act on."""
    event(name, logging.WARNING, **fields)
