"""Limits and checks on what HTTP clients receive for one request.

The HTTP library reads a head to its end, and a body as well, however long
they are, and a faulty server may send bytes without end. It also takes any
status below 200 for that of an interim reply, and any other for a final one.
The sockets of a limited client fail instead.
"""

from __future__ import annotations

from typing import Any

from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses

from burdockchute.decisions import statuses

MAX_HEAD_BYTES = 64 * 1024

# Configurations have one or two MB, and a page of the platform's store little
# more than one.
MAX_BODY_BYTES = 16 * 1024 * 1024


class ReplyTooLong(responses.HTTPProtocolViolationError):
    """A reply exceeds its limit; the library does not retry after it."""


class InvalidHead(responses.HTTPProtocolViolationError):
    """The head of a reply is none of HTTP; the library does not retry."""


class InvalidStatus(InvalidHead):
    """The status of a reply is none of HTTP."""


class _StatusCheck(responses.HTTPResponse):
    """Parses heads up to the first final one; raises InvalidHead."""

    is_done = False

    def feed(self, data: str | bytes) -> None:
        if self.is_done:
            return
        try:
            super().feed(data)
        except InvalidHead:
            raise
        except responses.HTTPParseError as exc:
            # What follows the head is left to the library's own parser.
            if not self.is_done:
                raise InvalidHead(f'no answer in the protocol: {exc}') from exc

    def _on_headers_complete(self) -> int | bool | None:
        code = self.get_code()
        if not statuses.is_valid(code):
            raise InvalidStatus(f'status {code:03}')
        self.is_done |= statuses.is_final(code)
        return super()._on_headers_complete()


class _LimitedSocket(socket.socket):
    """Receives no more than `left` bytes, which each request sets anew."""

    left = MAX_HEAD_BYTES

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._status_check = _StatusCheck()

    def sendall(self, data: Any, flags: int = 0) -> None:
        self.left = MAX_HEAD_BYTES
        self._status_check = _StatusCheck()
        super().sendall(data, flags)

    def recv(self, size: int, *args: Any) -> bytes:
        if self.left <= 0:
            raise ReplyTooLong('the reply is too long')
        data = super().recv(min(size, self.left), *args)
        self.left -= len(data)
        if data:
            self._status_check.feed(data)
        return data


def limit_replies(client: geventhttpclient.HTTPClient) -> None:
    """Limit the heads of all replies of a client, and check statuses."""
    # The library has no setting for the sockets.
    pool: Any = client._connection_pool
    pool._create_tcp_socket = _LimitedSocket


def allow_body(response: Any, max_bytes: int = MAX_BODY_BYTES) -> None:
    """Set how many more bytes of a reply may be received."""
    if isinstance(response._sock, _LimitedSocket):
        response._sock.left = max_bytes
