"""gevent's WSGI server, bounded against callers that are slow or gone."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from http import client
import logging
import socket as sockets
from typing import Any

import gevent
from gevent import pywsgi

from burdockchute.sockets import closed_by_peer

# Time for the line and headers of a request once its first byte came, for a
# connection without request, and for one write to a caller that reads.
HEADERS_S = 10.0
IDLE_S = 75.0
WRITE_S = 30.0

# What is left of a short body is read, so that its connection serves on.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_S = 1.0

SOCKET_KEY = 'burdockchute.socket'
# The request target and the headers as they came; the server's own form of
# them has lost escapes and spelling.
TARGET_KEY = 'burdockchute.target'
HEADERS_KEY = 'burdockchute.headers'

_log = logging.getLogger('burdockchute.callers')


def make_server(
    address: str, port: int, app: Callable[..., Any]
) -> pywsgi.WSGIServer:
    """Give a server that is not started; port 0 takes any free one."""
    return pywsgi.WSGIServer(
        (address, port),
        app,
        handler_class=_Handler,
        log=None,
        error_log=_log,
    )


def status_line(status: int) -> str:
    """Give an HTTP status with its phrase.

    >>> status_line(429)
    '429 Too Many Requests'
    """
    return f'{status} {client.responses.get(status, "Unknown")}'


def caller_disconnected(environ: dict[str, Any]) -> bool:
    """Tell whether the caller closed its connection.

    A task that waits for an answer writes nothing, so it would not see this
    by itself, and the upstream would work for nobody.
    """
    sock = environ.get(SOCKET_KEY)
    return sock is not None and closed_by_peer(sock)


class Body:
    """The body of an answer; the server closes it when it is written."""

    def __init__(
        self, parts: Iterable[bytes], written: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._written = written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and tell that nothing more is written."""
        try:
            close = getattr(self._parts, 'close', None)
            if close is not None:
                close()
        finally:
            self._written()


class CountedApp:
    """A WSGI application; `open` counts answers that aren't written whole."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self.open = 0
        self._app = app

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Body:
        """Answer one request."""
        self.open += 1
        try:
            return Body(self._app(environ, start_response), self._written)
        except BaseException:
            self._written()
            raise

    def _written(self) -> None:
        self.open -= 1


class _Handler(pywsgi.WSGIHandler):
    wsgi_input: Any

    def handle(self) -> None:
        # Headers and body, and the tokens of a stream, are small writes.
        # Without this the kernel holds each back until the caller's kernel
        # has acknowledged the one before, which that delays by 40 ms.
        self.socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        self.socket.settimeout(WRITE_S)
        try:
            with gevent.Timeout(IDLE_S):
                return super().read_requestline()
        except (gevent.Timeout, TimeoutError):
            return ''

    def read_request(self, raw_requestline: str) -> Any:
        # A caller that sends a header now and then would hold a connection
        # for as long as it likes.
        try:
            with gevent.Timeout(HEADERS_S):
                sound = super().read_request(raw_requestline)
        except (gevent.Timeout, TimeoutError):
            raise ValueError('headers did not come in time') from None
        _check_framing(self.headers)
        return sound

    def get_environ(self) -> dict[str, Any]:
        env = super().get_environ()
        env[SOCKET_KEY] = self.socket
        env[TARGET_KEY] = self.path
        env[HEADERS_KEY] = self.headers.items()
        if env['wsgi.input'] is self.wsgi_input:
            self.wsgi_input = _input_like(self.wsgi_input)
            env['wsgi.input'] = self.wsgi_input
        return env

    def handle_one_response(self) -> None:
        super().handle_one_response()
        if isinstance(self.wsgi_input, _Input) and self.wsgi_input.unread():
            self.close_connection = True


def _check_framing(headers: Any) -> None:
    # Where two ends disagree on how long a body is, a second request can be
    # hidden inside of it; whoever sends such a request is told so at once.
    codings = headers.get_all('transfer-encoding') or []
    lengths = headers.get_all('content-length') or []
    if codings and (len(codings) > 1 or codings[0].lower() != 'chunked'):
        raise ValueError(f'transfer-encoding {codings!r} is not chunked')
    if len(lengths) > 1 or (codings and lengths):
        raise ValueError('the length of the body is said twice')
    if lengths and not lengths[0].strip().isdigit():
        raise ValueError(f'content-length {lengths[0]!r} is no size')


class _Input(pywsgi.Input):
    """A body of which a refused rest is not read."""

    __slots__ = ()

    def unread(self) -> bool:
        """Tell whether a part of the body is still in the connection."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        # The server would read what an application leaves, so that the next
        # request of the connection starts at its place. For a body that was
        # refused as too long or too slow that is all the work which the
        # refusal was to save; its connection is closed instead.
        if self.chunked_input:
            return
        left = (self.content_length or 0) - self.position
        if left > MAX_DISCARD_BYTES:
            return
        with gevent.Timeout(DISCARD_S, OSError('body is slow')):
            super()._discard()


def _input_like(other: pywsgi.Input) -> _Input:
    return _Input(
        other.rfile,
        other.content_length,
        socket=other.socket,
        chunked_input=other.chunked_input,
    )
