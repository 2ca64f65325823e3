"""A relay between two processes that can lose track of connections.

What stands between two ends, an address translator or a firewall, may forget
connections: they stay open and carry nothing more, while new ones work.
"""

from __future__ import annotations

from typing import Any

import gevent
from gevent import server
from gevent import socket

ADDRESS = '127.0.0.1'
_READ_BYTES = 65_536


class Relay:
    """Passes bytes to a port of the loopback; `port` is its own."""

    def __init__(self, target_port: int) -> None:
        self._target = (ADDRESS, target_port)
        self._pairs: list[_Pair] = []
        self._is_cut = False
        self._server = server.StreamServer((ADDRESS, 0), self._take)
        self._server.start()
        self.port: int = self._server.server_port

    def forget(self) -> int:
        """Carry nothing more on the connections that are open.

        Gives how many there were.
        """
        for pair in self._pairs:
            pair.silent = True
        return len(self._pairs)

    def cut(self) -> None:
        """Carry nothing more, on new connections neither.

        So a region looks that is cut off.
        """
        self._is_cut = True
        self.forget()

    def restore(self) -> None:
        """Carry bytes of new connections again; the old ones are lost."""
        self._is_cut = False

    def close(self) -> None:
        """Close everything."""
        self._server.stop(timeout=0)
        for pair in self._pairs:
            pair.close()

    def _take(self, near: Any, _address: Any) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        pair = _Pair(near, far)
        pair.silent = self._is_cut
        self._pairs.append(pair)
        gevent.joinall(
            [
                gevent.spawn(pair.carry, near, far),
                gevent.spawn(pair.carry, far, near),
            ]
        )


class _Pair:
    def __init__(self, near: Any, far: Any) -> None:
        self.silent = False
        self._ends = (near, far)

    def carry(self, source: Any, sink: Any) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                if not self.silent:
                    sink.sendall(data)
        except OSError:
            pass
        if not self.silent:
            self.close()

    def close(self) -> None:
        for end in self._ends:
            end.close()
