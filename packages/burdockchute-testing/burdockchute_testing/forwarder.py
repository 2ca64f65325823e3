"""A TCP forwarder that simulates network faults."""

from __future__ import annotations

from collections.abc import Callable
import socket as sockets
import struct
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event
from gevent import server
from gevent import socket

ADDRESS = '127.0.0.1'
_READ_BYTES = 65536
# Closing a socket with a linger time of 0 resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class Address(NamedTuple):
    """A loopback address; port 0 stands for any free port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


ANY_PORT = Address(ADDRESS, 0)


class Forwarder:
    """Forwards connections from its own address to a loopback address.

    After `cut`, no byte passes and no error is returned, on established and
    on new connections, until `heal`, which resets the connections made before
    it. One direction can be cut alone. `delay_s` delays the data in both
    directions.

    Connections for whose first bytes `exempt` is true are not affected by
    faults. This is meant for processes on the same machine, whose traffic
    crosses no network.

    >>> forwarder = Forwarder(8080)  # doctest: +SKIP
    >>> forwarder.cut(backward=False)  # doctest: +SKIP
    """

    def __init__(
        self,
        target: int | Address,
        listen_address: Address = ANY_PORT,
        exempt: Callable[[bytes], bool] = lambda first_bytes: False,
    ) -> None:
        self.delay_s = 0.0
        self._target = (
            Address(ADDRESS, target) if isinstance(target, int) else target
        )
        self._exempt = exempt
        self._forward_gate = _open_gate()
        self._backward_gate = _open_gate()
        self._sockets: list[Any] = []
        self._server = server.StreamServer(listen_address, self._handle)
        self._server.start()
        self._address = Address(
            self._server.server_host, self._server.server_port
        )

    @property
    def address(self) -> Address:
        """The address to connect to."""
        return self._address

    @property
    def port(self) -> int:
        """The port to connect to."""
        return self.address.port

    @property
    def url(self) -> str:
        """The URL to connect to."""
        return f'http://{self.address}'

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Block the data towards the target, back from it, or both ways."""
        if forward:
            self._forward_gate.clear()
        if backward:
            self._backward_gate.clear()

    def heal(self) -> None:
        """Forward all data again; resets the connections made before."""
        self.delay_s = 0.0
        self.reset()
        self._forward_gate.set()
        self._backward_gate.set()

    def reset(self) -> None:
        """Reset all connections that are not exempt."""
        faulty_sockets, self._sockets = self._sockets, []
        for sock in faulty_sockets:
            _reset(sock)

    def refuse(self) -> None:
        """Refuse new connections until `accept`; others are not affected."""
        self._server.close()

    def accept(self) -> None:
        """Accept connections again."""
        if self._server.closed:
            self._server = server.StreamServer(self._address, self._handle)
            self._server.start()

    def close(self) -> None:
        """Stop forwarding."""
        self.heal()
        self._server.stop(timeout=0)

    def _handle(self, client_socket: Any, _address: Any) -> None:
        self._sockets.append(client_socket)
        try:
            first_bytes = client_socket.recv(_READ_BYTES)
            exempt = self._exempt(first_bytes)
            if not exempt:
                self._forward_gate.wait()
            target_socket = socket.create_connection(self._target)
        except OSError:
            client_socket.close()
            return
        if exempt:
            self._relay(
                client_socket,
                target_socket,
                first_bytes,
                _open_gate(),
                _open_gate(),
                False,
            )
        else:
            self._relay(
                client_socket,
                target_socket,
                first_bytes,
                self._forward_gate,
                self._backward_gate,
                True,
            )

    def _relay(
        self,
        client_socket: Any,
        target_socket: Any,
        first_bytes: bytes,
        forward: event.Event,
        backward: event.Event,
        is_faulty: bool,
    ) -> None:
        if is_faulty:
            self._sockets.append(target_socket)
        elif client_socket in self._sockets:
            self._sockets.remove(client_socket)
        backward_pump = gevent.spawn(
            self._pump, target_socket, client_socket, b'', backward, is_faulty
        )
        self._pump(
            client_socket, target_socket, first_bytes, forward, is_faulty
        )
        backward_pump.join()
        self._sockets = [
            s for s in self._sockets if s not in (client_socket, target_socket)
        ]

    def _pump(
        self,
        source: Any,
        target: Any,
        data: bytes,
        gate: event.Event,
        is_faulty: bool,
    ) -> None:
        try:
            data = data or source.recv(_READ_BYTES)
            while data:
                if is_faulty and self.delay_s:
                    gevent.sleep(self.delay_s)
                gate.wait()
                target.sendall(data)
                data = source.recv(_READ_BYTES)
        except ConnectionResetError:
            # A close would look like the end of an answer without a length.
            for sock in (source, target):
                _reset(sock)
        except OSError:
            # One end was closed; closing both tells the other end.
            pass
        for sock in (source, target):
            sock.close()


def _open_gate() -> event.Event:
    gate = event.Event()
    gate.set()
    return gate


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _NO_LINGER)
        # A greenlet that reads this socket only wakes up on a shutdown.
        sock.shutdown(sockets.SHUT_RD)
    except OSError:
        # The socket is closed already.
        pass
    sock.close()
