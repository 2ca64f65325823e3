"""Accepts links, within limits of their number and of unfinished messages.

Anyone who reaches the port may connect and send a Hello, so what peers can
make a process hold has limits for all links together.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Hashable
import socket as sockets
from typing import Any

from gevent import server

from burdockchute import wire
from burdockchute.callers.refusals import Refusals
from burdockchute.decisions import connection_limits
from burdockchute.decisions.connection_limits import LinkLimits

# The sum of what all accepted links have received of unfinished messages.
MAX_UNFINISHED_BYTES = wire.MAX_FRAME_BYTES * 3 // 2

# Connections accepted in one turn of the event loop.
MAX_ACCEPT = 16


class UnfinishedMessages:
    """The bytes of unfinished messages by link.

    Beyond `most` the link with the longest is closed by `close`.
    """

    def __init__(
        self,
        close: Callable[[Any], None],
        most: int = MAX_UNFINISHED_BYTES,
    ) -> None:
        self.total = 0
        self._close = close
        self._most = most
        self._by_link: dict[Hashable, int] = {}

    def set(self, link: Hashable, count: int) -> None:
        """Set what a link holds; 0 once it is closed."""
        self.total += count - self._by_link.pop(link, 0)
        if count:
            self._by_link[link] = count
        if self.total > self._most:
            longest = max(self._by_link, key=self._by_link.__getitem__)
            self.total -= self._by_link.pop(longest)
            self._close(longest)


class LinkServer(server.StreamServer):
    """A server that calls `accept` for each connection it has place for."""

    max_accept = MAX_ACCEPT

    def __init__(
        self,
        address: tuple[str, int],
        accept: Callable[[Any, Any], None],
        limits: LinkLimits,
    ) -> None:
        super().__init__(address, accept)
        self.limits = limits
        self.unfinished = UnfinishedMessages(
            lambda link: link.close('unfinished messages are too long')
        )
        self.refusals = Refusals('links')
        # The longest connected come first.
        self._unopened: dict[Any, None] = {}
        self._connected: set[Any] = set()

    def init_socket(self) -> None:
        """Listen; connections take over the limit of the buffer."""
        super().init_socket()
        self.socket.setsockopt(
            sockets.SOL_SOCKET,
            sockets.SO_RCVBUF,
            connection_limits.LINK_BUFFER_BYTES,
        )

    @property
    def connections(self) -> int:
        """The number of connections, with a Hello or not."""
        return len(self._connected)

    @property
    def max_connections(self) -> int:
        """The number of connections beyond which new ones are closed."""
        return self.limits.links

    @property
    def held_bytes(self) -> int:
        """The bytes of all unfinished messages."""
        return self.unfinished.total

    def do_handle(self, client_socket: Any, address: Any) -> None:
        """Handle a connection in a greenlet of its own."""
        if len(self._unopened) >= self.limits.unopened:
            self.refusals.add('crowded_unopened', '')
            oldest = next(iter(self._unopened))
            self.opened(oldest)
            shut_down(oldest)
        if len(self._connected) >= self.limits.links:
            self.refusals.add('no_connection_left', address[0])
            client_socket.close()
            return
        self._unopened[client_socket] = None
        self._connected.add(client_socket)
        super().do_handle(client_socket, address)

    def do_close(self, client_socket: Any, *args: Any) -> None:
        """Close a connection that has been handled."""
        self.opened(client_socket)
        self._connected.discard(client_socket)
        super().do_close(client_socket, *args)

    def opened(self, client_socket: Any) -> None:
        """Note that a connection has got its Hello."""
        self._unopened.pop(client_socket, None)


def shut_down(sock: Any) -> None:
    """Close a socket that another task may wait for."""
    try:
        sock.shutdown(sockets.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
