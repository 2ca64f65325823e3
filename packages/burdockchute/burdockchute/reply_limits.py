"""Limits on the bytes that HTTP clients receive for one request.

The HTTP library reads a head to its end, and a body as well, however long
they are, and a faulty server may send bytes without end. The sockets of a
limited client fail instead.
"""

from __future__ import annotations

from typing import Any

from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses

MAX_HEAD_BYTES = 64 * 1024

# Configurations have one or two MB, and a page of the platform's store little
# more than one.
MAX_BODY_BYTES = 16 * 1024 * 1024


class ReplyTooLong(responses.HTTPProtocolViolationError):
    """A reply exceeds its limit; the library does not retry after it."""


class _LimitedSocket(socket.socket):
    """Receives no more than `left` bytes, which each request sets anew."""

    left = MAX_HEAD_BYTES

    def sendall(self, data: Any, flags: int = 0) -> None:
        self.left = MAX_HEAD_BYTES
        super().sendall(data, flags)

    def recv(self, size: int, *args: Any) -> bytes:
        if self.left <= 0:
            raise ReplyTooLong('the reply is too long')
        data = super().recv(min(size, self.left), *args)
        self.left -= len(data)
        return data


def limit_replies(client: geventhttpclient.HTTPClient) -> None:
    """Limit the heads of all replies that a client receives."""
    # The library has no setting for the sockets.
    pool: Any = client._connection_pool
    pool._create_tcp_socket = _LimitedSocket


def allow_body(response: Any, max_bytes: int = MAX_BODY_BYTES) -> None:
    """Set how many more bytes of a reply may be received."""
    if isinstance(response._sock, _LimitedSocket):
        response._sock.left = max_bytes
