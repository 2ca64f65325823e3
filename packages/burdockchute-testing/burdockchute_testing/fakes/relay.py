"""A TCP relay that can silently drop established connections.

A device between two ends, such as a NAT gateway or a firewall, may lose its
connection state: established connections stay open but carry no more bytes,
while new ones work.
"""

from __future__ import annotations

from typing import Any

import gevent
from gevent import server
from gevent import socket

ADDRESS = '127.0.0.1'
_READ_BYTES = 65_536


class Relay:
    """Relays connections to a loopback port; `port` is its own port."""

    def __init__(self, target_port: int) -> None:
        self._target = (ADDRESS, target_port)
        self._pairs: list[_Pair] = []
        self._is_cut = False
        self._server = server.StreamServer((ADDRESS, 0), self._accept)
        self._server.start()
        self.port: int = self._server.server_port

    def silence(self) -> int:
        """Carry no more bytes on open connections; return their number."""
        for pair in self._pairs:
            pair.silent = True
        return len(self._pairs)

    def cut(self) -> None:
        """Carry no more bytes on open and on new connections.

        This is how a region looks that is partitioned from the others.
        """
        self._is_cut = True
        self.silence()

    def restore(self) -> None:
        """Carry bytes of new connections again; earlier ones stay silent."""
        self._is_cut = False

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
        for pair in self._pairs:
            pair.close()

    def _accept(self, client_socket: Any, _address: Any) -> None:
        try:
            target_socket = socket.create_connection(self._target)
        except OSError:
            client_socket.close()
            return
        pair = _Pair(client_socket, target_socket)
        pair.silent = self._is_cut
        self._pairs.append(pair)
        gevent.joinall(
            [
                gevent.spawn(pair.carry, client_socket, target_socket),
                gevent.spawn(pair.carry, target_socket, client_socket),
            ]
        )


class _Pair:
    def __init__(self, client_socket: Any, target_socket: Any) -> None:
        self.silent = False
        self._ends = (client_socket, target_socket)

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
