"""Checks of sockets that never block and never yield to the event loop.

A check may run in a callback of the loop, where yielding is an error;
gevent's own select yields to other greenlets even without a timeout.

A timeout of a gevent socket creates a timer for each wait, which takes a
third of the processor time of a short read. `SilenceTimer` and `PolledSocket`
use one timer for all waits of a connection.
"""

from __future__ import annotations

from collections.abc import Callable
import select
import socket as sockets
import struct
import time
from typing import Any

from gevent import get_hub
from gevent import getcurrent
from gevent import monkey
from gevent import socket

# SO_LINGER with a time of zero: close() resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

_poll = monkey.get_original('select', 'poll')


def is_readable(sock: Any) -> bool:
    """Whether a read would return bytes, an end or an error at once."""
    poll = _poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def is_writable(descriptor: int) -> bool:
    """Whether a write of up to PIPE_BUF bytes would return at once."""
    poll = _poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def closed_by_peer(sock: Any) -> bool:
    """Whether the other side has closed the connection."""
    if not is_readable(sock):
        return False
    try:
        return not sock.recv(1, sockets.MSG_PEEK)
    except (OSError, ValueError):
        return True


def reset_on_close(sock: Any) -> None:
    """Make the close of a socket reset its connection."""
    try:
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        # The other side has closed it before.
        pass


class SilenceTimer:
    """Calls `on_silence` once nothing was received for `silence_s` seconds.

    The call comes from the event loop and must not block.
    """

    def __init__(
        self, silence_s: float, on_silence: Callable[[], None]
    ) -> None:
        self._silence_s = silence_s
        self._on_silence = on_silence
        self._active_at = 0.0
        self._timer: Any = None
        self._stopped = False

    def start(self) -> None:
        """Start waiting for activity, unless it was stopped before."""
        if not self._stopped:
            self._active_at = time.monotonic()
            self._wait(self._silence_s)

    def note_activity(self) -> None:
        """Record that something was received."""
        self._active_at = time.monotonic()

    def stop(self) -> None:
        """Stop for good."""
        self._stopped = True
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.close()

    def _wait(self, seconds: float) -> None:
        self._timer = get_hub().loop.timer(seconds)
        self._timer.start(self._check)

    def _check(self) -> None:
        silent_s = time.monotonic() - self._active_at
        timer, self._timer = self._timer, None
        timer.close()
        if silent_s >= self._silence_s:
            self._on_silence()
        else:
            self._wait(self._silence_s - silent_s)


class PolledSocket(socket.socket):
    """A socket whose waits share one timer for its timeout.

    It overrides the private method with which gevent's sockets wait. With a
    gevent that no longer calls it, timeouts work as in any other socket.
    """

    _timer: Any = None
    _timer_s = 0.0

    def _wait(self, watcher: Any, timeout_exc: Any = None) -> None:
        timeout_s = self.timeout
        is_in_use = watcher.callback is not None or (
            self._timer is not None and self._timer.active
        )
        if not timeout_s or timeout_exc is not None or is_in_use:
            super()._wait(watcher, timeout_exc)
            return
        if self._timer_s != timeout_s:
            if self._timer is not None:
                self._timer.close()
            # Only a repeating timer starts anew with its full time.
            self._timer = self.hub.loop.timer(timeout_s, timeout_s)
            self._timer_s = timeout_s
        self._timer.again(
            getcurrent().throw, TimeoutError('timed out'), update=True
        )
        try:
            self.hub.wait(watcher)
        finally:
            self._timer.stop()
