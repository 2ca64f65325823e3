"""Connections to upstreams that are kept and used for many requests.

One request at a time is on a connection. Its answer is parsed as it comes,
so that the events of a stream can be passed on at once, and so that nothing
but that answer is ever taken for it: bytes after its end, an answer to an
earlier request that comes late, or an answer that breaks off.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import socket as sockets
from typing import Any

from gevent import socket
from geventhttpclient import response as responses

from burdockchute.model.upstreams import Endpoint
from burdockchute.sockets import is_readable

# Upstreams stand a few milliseconds away and take a connection at once. One
# that has not after this long is dark or full, and the request had better go
# elsewhere; it was certainly not sent.
CONNECT_TIMEOUT_S = 0.4

# A wait for bytes is broken off this often, so that whoever waits can look
# whether the upstream has fallen silent or the time is up.
POLL_INTERVAL_S = 0.25

READ_BYTES = 64 * 1024

HeaderList = Iterable[tuple[str, str]]


class NotConnected(Exception):
    """No connection could be made, so nothing was sent."""


class AnswerFailed(Exception):
    """The request was sent, and no complete answer was received.

    `closed_by_upstream` is true if the upstream closed the connection, false
    if it sent something that is no valid answer.
    """

    def __init__(self, reason: str, closed_by_upstream: bool) -> None:
        super().__init__(reason)
        self.closed_by_upstream = closed_by_upstream


class NoDataYet(Exception):
    """Nothing came for a while; the call may be made again to wait on."""


class _Parser(responses.HTTPResponse):
    """Takes the answer that is ours and skips one that is not.

    `is_ours` is asked with the status and headers of each answer.
    """

    def __init__(
        self, method: str, is_ours: Callable[[int, HeaderList], bool]
    ) -> None:
        super().__init__(method=method)
        self.skipping = False
        self.dirty = False
        self._is_ours = is_ours

    @property
    def has_head(self) -> bool:
        return (
            self.headers_complete
            and not self.skipping
            and self.get_code() >= 200
        )

    @property
    def is_whole(self) -> bool:
        return self.message_complete and self.has_head

    def take_body(self) -> bytes:
        data = bytes(self._body_buffer)
        del self._body_buffer[:]
        return data

    def _on_message_begin(self) -> None:
        if self.is_whole:
            # The library would take what follows for one more answer, and
            # forget the one that is whole.
            self.dirty = True
            raise responses.HTTPProtocolViolationError('bytes after the end')
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        skip_body = super()._on_headers_complete()
        code = self.get_code()
        self.skipping = code >= 200 and not self._is_ours(code, self.items())
        return skip_body

    def _on_body(self, buf: bytearray) -> None:
        if not self.skipping:
            super()._on_body(buf)


class Connection:
    """One connection; `idle_until` is when its upstream may close it."""

    def __init__(self, sock: Any) -> None:
        self.idle_until = 0.0
        self.used = False
        self._sock = sock
        self._parser: _Parser | None = None

    def send(
        self,
        data: bytes,
        method: str,
        is_ours: Callable[[int, HeaderList], bool],
    ) -> None:
        """Send a request; raises AnswerFailed.

        `is_ours` tells by status and headers whether an answer is to it.
        """
        self._parser = _Parser(method, is_ours)
        self.used = True
        try:
            self._sock.sendall(data)
        except TimeoutError as exc:
            raise AnswerFailed('could not be sent in time', False) from exc
        except OSError as exc:
            raise AnswerFailed(f'could not be sent: {exc}', True) from exc

    def read_head(self) -> tuple[int, list[tuple[str, str]]]:
        """Wait for status and headers of the answer.

        Raises AnswerFailed, or NoDataYet if nothing came for a while.
        """
        parser = self._answer()
        while not parser.has_head:
            if not self._receive(parser):
                raise AnswerFailed('ended before the answer began', True)
        return parser.get_code(), list(parser.items())

    def read_body_part(self) -> bytes:
        """Wait for more of the body; gives nothing at its end.

        Raises AnswerFailed, or NoDataYet if nothing came for a while.
        """
        parser = self._answer()
        while True:
            data = parser.take_body()
            if data or parser.is_whole:
                return data
            if not self._receive(parser) and not parser.is_whole:
                raise AnswerFailed('ended within the answer', True)

    @property
    def is_reusable(self) -> bool:
        """Whether the answer is whole and another request may follow."""
        parser = self._parser
        return (
            parser is not None
            and parser.is_whole
            and not parser.dirty
            and not parser.should_close()
        )

    def is_quiet(self) -> bool:
        """Tell whether nothing has come since the last answer.

        An upstream that has closed the connection, or has sent bytes that
        belong to no request, can't be sent another.
        """
        return not is_readable(self._sock)

    def set_poll_interval(self, seconds: float) -> None:
        """Break off waits for bytes this often, not POLL_INTERVAL_S."""
        self._sock.settimeout(seconds)

    def close(self) -> None:
        """Close the connection, which also cancels what runs on it."""
        self._sock.close()

    def _answer(self) -> _Parser:
        assert self._parser is not None, 'nothing was sent'
        return self._parser

    def _receive(self, parser: _Parser) -> bool:
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            raise NoDataYet from None
        except OSError as exc:
            raise AnswerFailed(f'reset: {exc}', True) from exc
        try:
            # Without data the parser learns that the connection has ended,
            # which is the end of an answer that states no length.
            parser.feed(data)
        except responses.HTTPParseError as exc:
            if not parser.is_whole:
                reason = f'no answer in the protocol: {exc}'
                raise AnswerFailed(reason, not data) from exc
            parser.dirty = True
        return bool(data)


def connect(
    endpoint: Endpoint, timeout_s: float = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a connection; raises NotConnected."""
    sock = socket.socket(sockets.AF_INET, sockets.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect((endpoint.ip, endpoint.port))
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        sock.settimeout(POLL_INTERVAL_S)
    except OSError as exc:
        sock.close()
        raise NotConnected(f'{endpoint}: {exc}') from exc
    except BaseException:
        sock.close()
        raise
    return Connection(sock)
