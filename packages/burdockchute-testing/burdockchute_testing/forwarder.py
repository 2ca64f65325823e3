"""A TCP forwarder that fails in the ways that networks do."""

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
# Closing with no time to linger resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class Address(NamedTuple):
    """An address of the loopback; port 0 takes any free one."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


ANYWHERE = Address(ADDRESS, 0)


class Forwarder:
    """Forwards an own address to another one of the loopback.

    After `cut` no byte goes through and no error comes back, on old and on
    new connections, until `heal`; connections from before then break. A cut
    of one way lets the other through. `delay_s` holds back what goes either
    way.

    Connections whose first bytes are `exempt` go through in any case: those
    of a process on the same machine, which shares no link with others.

    >>> forwarder = Forwarder(8080)  # doctest: +SKIP
    >>> forwarder.cut(backward=False)  # doctest: +SKIP
    """

    def __init__(
        self,
        target: int | Address,
        own: Address = ANYWHERE,
        exempt: Callable[[bytes], bool] = lambda first: False,
    ) -> None:
        self.delay_s = 0.0
        self._target = (
            Address(ADDRESS, target) if isinstance(target, int) else target
        )
        self._exempt = exempt
        self._forward_gate = _open_gate()
        self._backward_gate = _open_gate()
        self._socks: list[Any] = []
        self._server = server.StreamServer(own, self._handle)
        self._server.start()

    @property
    def address(self) -> Address:
        """Give the address to connect to."""
        return Address(self._server.server_host, self._server.server_port)

    @property
    def port(self) -> int:
        """Give the port to connect to."""
        return self.address.port

    @property
    def url(self) -> str:
        """Give the URL to connect to."""
        return f'http://{self.address}'

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Drop all bytes towards the target, back from it, or both ways."""
        if forward:
            self._forward_gate.clear()
        if backward:
            self._backward_gate.clear()

    def heal(self) -> None:
        """Let everything through; breaks the connections from before."""
        self.delay_s = 0.0
        self.reset()
        self._forward_gate.set()
        self._backward_gate.set()

    def reset(self) -> None:
        """Break all connections but those that are exempt."""
        socks, self._socks = self._socks, []
        for sock in socks:
            _reset(sock)

    def close(self) -> None:
        """Stop forwarding."""
        self.heal()
        self._server.stop(timeout=0)

    def _handle(self, near: Any, _address: Any) -> None:
        self._socks.append(near)
        try:
            first = near.recv(_READ_BYTES)
            exempt = self._exempt(first)
            if not exempt:
                self._forward_gate.wait()
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        if exempt:
            self._join(near, far, first, _open_gate(), _open_gate(), False)
        else:
            self._join(
                near, far, first, self._forward_gate, self._backward_gate, True
            )

    def _join(
        self,
        near: Any,
        far: Any,
        first: bytes,
        forward: event.Event,
        backward: event.Event,
        delays: bool,
    ) -> None:
        if delays:
            self._socks.append(far)
        elif near in self._socks:
            self._socks.remove(near)
        answers = gevent.spawn(self._pump, far, near, b'', backward, delays)
        self._pump(near, far, first, forward, delays)
        answers.join()
        self._socks = [s for s in self._socks if s not in (near, far)]

    def _pump(
        self,
        source: Any,
        target: Any,
        data: bytes,
        gate: event.Event,
        delays: bool,
    ) -> None:
        try:
            data = data or source.recv(_READ_BYTES)
            while data:
                if delays and self.delay_s:
                    gevent.sleep(self.delay_s)
                gate.wait()
                target.sendall(data)
                data = source.recv(_READ_BYTES)
        except OSError:
            # One end was reset or closed; the other learns of it here.
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
        # A reader of this socket wakes up only if it is shut down first.
        sock.shutdown(sockets.SHUT_RD)
    except OSError:
        # It is closed already.
        pass
    sock.close()
