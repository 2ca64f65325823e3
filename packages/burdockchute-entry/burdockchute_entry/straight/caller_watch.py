"""Notices callers that hang up while their requests are under way."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import get_hub

from burdockchute.sockets import hung_up
from burdockchute_entry.straight.replies import CallerGone

READ = 1


class CallerWatch:
    """Ends the greenlet of a request whose caller hangs up.

    A task that waits for an upstream writes nothing, so it would not see
    this by itself, and the upstream would work for nobody. The watcher costs
    nothing until the connection has something to read.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._greenlet = gevent.getcurrent()
        self._io = get_hub().loop.io(sock.fileno(), READ)

    def start(self) -> None:
        """Begin to watch."""
        self._io.start(self._check)

    def stop(self) -> None:
        """Watch no longer."""
        self._io.stop()
        self._io.close()

    def _check(self) -> None:
        hung_up_now = hung_up(self._sock)
        # What a caller sends ahead stays readable until its turn comes.
        self._io.stop()
        if hung_up_now:
            self._greenlet.kill(CallerGone, block=False)
