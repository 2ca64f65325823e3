"""Detects callers that disconnect while their requests are in progress."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import get_hub

from burdockchute.sockets import closed_by_peer
from burdockchute_entry.straight.replies import CallerGone

READ = 1


class CallerWatch:
    """Kills the greenlet of a request when its caller disconnects.

    A greenlet that waits for an upstream writes nothing, so it would not
    notice the disconnect itself, and the upstream would compute an answer
    that is never read. The watcher costs nothing until the connection
    becomes readable.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._greenlet = gevent.getcurrent()
        self._io = get_hub().loop.io(sock.fileno(), READ)

    def start(self) -> None:
        """Start watching."""
        self._io.start(self._check)

    def has_caller_left(self) -> bool:
        """Whether the caller has disconnected, known before the event."""
        return closed_by_peer(self._sock)

    def stop(self) -> None:
        """Stop watching."""
        self._io.stop()
        self._io.close()

    def _check(self) -> None:
        hung_up_now = closed_by_peer(self._sock)
        # Pipelined data from the caller stays readable until the current
        # request ends, so the watcher stops in any case.
        self._io.stop()
        if hung_up_now:
            self._greenlet.kill(CallerGone, block=False)
