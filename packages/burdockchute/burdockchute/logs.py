"""Structured logs: one line of key=value pairs per event."""

from __future__ import annotations

from collections.abc import Callable
import io
import logging
import os
import select
import sys
import time
from typing import TextIO

import logfmter

from burdockchute import sockets

_LOG = logging.getLogger('burdockchute')

# Rate limit of the lines of one process, and its burst. A busy entry writes
# about three lines for each of fifty requests per second. Ten times the usual
# load stays within the limit; lines beyond it are counted and dropped.
LINES_PER_S = 400.0
BURST_LINES = 800.0

# The part of the budget that lines below the level of a warning may use.
# Warnings report failed requests and losses, and are read first.
INFO_SHARE = 0.75

# Longer texts are cut off, as clients choose some of them.
MAX_TEXT_CHARS = 1000

# Minimum interval between reports of the number of dropped lines.
DROPPED_REPORT_INTERVAL_S = 5.0


def set_up(level: str, process: str) -> None:
    """Send events to stderr as logfmt lines; drop what it can't take at once.

    Nothing is logged if it is closed.
    """
    drop_stderr_overflow()
    handler = logging.StreamHandler() if sys.stderr else logging.NullHandler()
    _install(handler, level, process)


def drop_stderr_overflow() -> None:
    """Make writes to stderr drop what it can't take at once.

    gevent writes the traceback of each unexpected error to stderr. If nobody
    reads it, the pipe fills, and the process would stop at the next one.
    """
    if sys.stderr is None:
        return
    try:
        sys.stderr = DroppingStream(sys.stderr.fileno())
    except (OSError, ValueError):
        # It is no file.
        pass


class DroppingStream(io.TextIOBase):
    """A text stream that drops what its descriptor can't take at once."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def write(self, text: str) -> int:
        """Write as much of the text as fits; return its length."""
        data = text.encode(errors='backslashreplace')
        size = select.PIPE_BUF
        try:
            for at in range(0, len(data), size):
                if not sockets.is_writable(self._descriptor):
                    break
                os.write(self._descriptor, data[at : at + size])
        except OSError:
            # The reader is gone.
            pass
        return len(text)


def set_up_bounded(level: str, process: str) -> None:
    """Send events to stdout; drop those that it can't take at once.

    They go to stderr if stdout is closed, and nowhere if both are.
    """
    drop_stderr_overflow()
    stdout = _nonblocking_descriptor(sys.stdout)
    stderr = _nonblocking_descriptor(sys.stderr) if stdout is None else None
    descriptor = stderr if stdout is None else stdout
    handler = (
        logging.NullHandler()
        if descriptor is None
        else BoundedHandler(descriptor, time.monotonic)
    )
    _install(handler, level, process)
    if stdout is None:
        warn('stdout_closed')


def _nonblocking_descriptor(stream: TextIO | None) -> int | None:
    # The interpreter sets a stream to None if its descriptor was closed.
    if stream is None:
        return None
    try:
        descriptor = stream.fileno()
        os.set_blocking(descriptor, False)
    except (OSError, ValueError):
        return None
    return descriptor


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, up to a rate limit.

    A reader that stops reading fills the pipe, and a process that waited for
    it would stop serving; a flood of lines would use the processor time that
    requests need. Lines beyond the rate limit or the capacity of the pipe are
    dropped, and `event=lines_left_out` reports their number.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._now = now
        self._budget = BURST_LINES
        self._refilled_at = now()
        self._reported_at = now()
        self._remainder = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it; raises nothing."""
        now = self._now()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._budget = min(BURST_LINES, self._budget + earned)
        self._refilled_at = now
        reserved = 0.0
        if record.levelno < logging.WARNING:
            reserved = (1 - INFO_SHARE) * BURST_LINES
        if self._budget - reserved < 1:
            self.dropped += 1
            return
        if (
            self.dropped
            and now - self._reported_at >= DROPPED_REPORT_INTERVAL_S
        ):
            self._reported_at = now
            count, self.dropped = self.dropped, 0
            self._write(f'event=lines_left_out count={count}\n'.encode())
        try:
            # A name from JSON may have lone surrogates.
            line = self.format(record).encode(errors='backslashreplace')
        except Exception:
            self.dropped += 1
            return
        self._budget -= 1
        self._write(line + b'\n')

    def _write(self, line: bytes) -> None:
        data = self._remainder + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # The reader is gone, so the error can't be reported either.
            self._remainder = b''
            return
        # The remainder of a partly written line is written before the next
        # one; otherwise the two would merge into one unreadable line.
        self._remainder = data[written:]


def set_process_name(process: str) -> None:
    """Name this process in the lines from now on."""
    for handler in _LOG.handlers:
        for old in list(handler.filters):
            handler.removeFilter(old)
        handler.addFilter(_process_name_filter(process))


def _install(handler: logging.Handler, level: str, process: str) -> None:
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level'],
            mapping={'at': 'asctime', 'level': 'levelname'},
        )
    )
    handler.addFilter(_process_name_filter(process))
    _LOG.addHandler(handler)
    _LOG.setLevel(level.upper())
    _LOG.propagate = False


def _process_name_filter(
    process: str,
) -> Callable[[logging.LogRecord], bool]:
    def add_name(record: logging.LogRecord) -> bool:
        record.proc = process
        return True

    return add_name


def event(name: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event.

    >>> event('table_applied', offset=12)
    """
    if _LOG.isEnabledFor(level):
        for key, value in fields.items():
            if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
                fields[key] = f'{value[:MAX_TEXT_CHARS]}...'
        _LOG.log(level, {'event': name, **fields})


def warn(name: str, **fields: object) -> None:
    """Log one event that an operator may need to act on."""
    event(name, logging.WARNING, **fields)
