"""A relay between two ends of a connection, which a test can cut.

A region that is cut off is played by relays on every way into and out of it.
"""

from __future__ import annotations

from typing import Any
import unittest

import gevent
from gevent import server
from gevent import socket

_READ_BYTES = 64 * 1024


class Relay:
    """Passes bytes to an address while it is not cut.

    A cut relay holds its connections open without passing anything, as a
    network does that drops packets.
    """

    def __init__(self, case: unittest.TestCase, port: int) -> None:
        self._target = port
        self._is_cut = False
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        case.addCleanup(self._server.stop, timeout=0)

    @property
    def port(self) -> int:
        """Give the port to connect to."""
        return self._server.server_port

    def cut(self) -> None:
        """Drop everything from now on."""
        self._is_cut = True

    def mend(self) -> None:
        """Pass bytes of new connections again; those of before are lost."""
        self._is_cut = False

    def _serve(self, near: Any, _address: Any) -> None:
        if self._is_cut:
            self._hold(near)
            return
        far = socket.create_connection(('127.0.0.1', self._target))
        ways = [
            gevent.spawn(self._pass, near, far),
            gevent.spawn(self._pass, far, near),
        ]
        gevent.joinall(ways, count=1)
        gevent.killall(ways)
        near.close()
        far.close()

    def _pass(self, source: Any, sink: Any) -> None:
        try:
            while True:
                data = source.recv(_READ_BYTES)
                if self._is_cut:
                    self._hold(source)
                    return
                if not data:
                    return
                sink.sendall(data)
        except OSError:
            return

    def _hold(self, sock: Any) -> None:
        # Reads on, so that the sender sees no full window either.
        try:
            while self._is_cut and sock.recv(_READ_BYTES):
                pass
        except OSError:
            return
