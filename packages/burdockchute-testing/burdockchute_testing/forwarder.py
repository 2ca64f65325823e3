"""A TCP forwarder that can go silent, in place of a network that does."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import event
from gevent import server
from gevent import socket

ADDRESS = '127.0.0.1'
_READ_BYTES = 65536


class Forwarder:
    """Forwards an own port to another port of the loopback.

    After `cut` no byte goes through and no error comes back, on old and on
    new connections, until `heal`; connections from before then break.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._whole = event.Event()
        self._whole.set()
        self._socks: list[Any] = []
        self._server = server.StreamServer((ADDRESS, 0), self._handle)
        self._server.start()

    @property
    def port(self) -> int:
        """Give the port to connect to."""
        return self._server.server_port

    @property
    def url(self) -> str:
        """Give the URL to connect to."""
        return f'http://{ADDRESS}:{self.port}'

    def cut(self) -> None:
        """Let nothing through any more."""
        self._whole.clear()

    def heal(self) -> None:
        """Let everything through; breaks the connections from before."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()
        self._whole.set()

    def close(self) -> None:
        """Stop forwarding."""
        self.heal()
        self._server.stop(timeout=0)

    def _handle(self, near: Any, _address: Any) -> None:
        self._socks.append(near)
        try:
            self._whole.wait()
            far = socket.create_connection((ADDRESS, self._target_port))
            self._socks.append(far)
            back = gevent.spawn(self._pump, far, near)
            self._pump(near, far)
            back.join()
        except OSError:
            near.close()

    def _pump(self, source: Any, target: Any) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                self._whole.wait()
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            sock.close()
