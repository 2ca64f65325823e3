"""gevent's WSGI server with limits for slow and disconnected callers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from http import client
import logging
import socket as sockets
import time
from typing import Any

import gevent
from gevent import pywsgi

from burdockchute.sockets import closed_by_peer
from burdockchute.sockets import reset_on_close

# Limits for receiving the request line and headers once the first byte has
# arrived, for a connection without a request, and for one write to a caller.
HEADERS_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
WRITE_TIMEOUT_S = 30.0

# Limit of the bytes that the system buffers for a caller, which Linux doubles.
# It still allows 20 MB/s at the 6 ms that a caller's acknowledgement takes.
SEND_BUFFER_BYTES = 64 * 1024

# Up to this much of an unread body is discarded, so that its connection can
# be reused.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 1.0

# How long what a caller still sends is discarded after its last answer. The
# system would reset a connection that is closed with unread bytes, and the
# caller could lose the answer. The pauses limit the rate to 6 MB/s.
LINGER_S = 5.0
LINGER_SILENCE_S = 1.0
LINGER_READ_BYTES = 64 * 1024
LINGER_PAUSE_S = 0.01

# How long a process that ends waits for its connections to end. A request on
# a new connection arrives within this time.
FINISH_S = 0.3
FINISH_POLL_S = 0.02

SOCKET_KEY = 'burdockchute.socket'
# The request target and the headers as received; the server's own form of
# them has lost escapes and the case of names.
TARGET_KEY = 'burdockchute.target'
HEADERS_KEY = 'burdockchute.headers'
# A WriteWatch that the application may set.
WRITE_WATCH_KEY = 'burdockchute.write_watch'

_log = logging.getLogger('burdockchute.callers')


class CallersServer(pywsgi.WSGIServer):
    """A server that can end the connections on which no request is open."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The sockets of all connections, of those that wait for a request, and
        # of those on which none has come yet.
        self.connections: set[Any] = set()
        self.idle: set[Any] = set()
        self.unused: set[Any] = set()

    def do_handle(self, client_socket: Any, address: Any) -> None:
        """Handle a connection in a greenlet of its own."""
        self.connections.add(client_socket)
        self.unused.add(client_socket)
        super().do_handle(client_socket, address)

    def do_close(self, client_socket: Any, *args: Any) -> None:
        """Close a connection that has been handled."""
        self.connections.discard(client_socket)
        self.unused.discard(client_socket)
        super().do_close(client_socket, *args)

    def finish(self) -> None:
        """Stop accepting, answer what has arrived and close connections.

        Connections that the system has set up are accepted first. A request
        may be on its way on those that have had none yet. What is still open
        after FINISH_S is left as it is.
        """
        self.stop_accepting()
        try:
            while accepted := self.do_read():
                self.do_handle(*accepted)
        except OSError as exc:
            _log.warning('a connection was not accepted: %s', exc)
        self.close()
        until = time.monotonic() + FINISH_S
        while self.connections and time.monotonic() < until:
            self._close_connections(self.idle - self.unused)
            gevent.sleep(FINISH_POLL_S)
        self.close_idle()
        gevent.sleep(FINISH_POLL_S)

    def close_idle(self) -> None:
        """Close idle connections; a request that has arrived is answered."""
        self._close_connections(self.idle)

    def _close_connections(self, socks: set[Any]) -> None:
        for sock in list(socks):
            try:
                # gevent's method would also discard what has arrived.
                sock._sock.shutdown(sockets.SHUT_RD)
            except OSError:
                # Its caller has closed it.
                pass


def make_server(
    address: str, port: int, app: Callable[..., Any]
) -> CallersServer:
    """Return a server that is not started; port 0 selects a free port."""
    return CallersServer(
        (address, port),
        app,
        handler_class=_Handler,
        log=None,
        error_log=_log,
    )


def limit_send_buffers(callers: pywsgi.WSGIServer) -> None:
    """Limit what the system buffers for each caller of a started server.

    Connections that are accepted from now on take over the limit. Otherwise
    the system grows the buffer of a connection to megabytes, which no account
    of the process shows.
    """
    callers.socket.setsockopt(
        sockets.SOL_SOCKET, sockets.SO_SNDBUF, SEND_BUFFER_BYTES
    )


def status_line(status: int) -> str:
    """Return an HTTP status code with its reason phrase.

    >>> status_line(429)
    '429 Too Many Requests'
    """
    return f'{status} {client.responses.get(status, "Unknown")}'


def caller_disconnected(environ: dict[str, Any]) -> bool:
    """Whether the caller has closed its connection.

    A task that waits for an answer writes nothing and would not notice, and
    the upstream would go on producing an answer that nobody reads.
    """
    sock = environ.get(SOCKET_KEY)
    return sock is not None and closed_by_peer(sock)


class ResponseBody:
    """A response body; the server closes it once it has been written."""

    def __init__(
        self, parts: Iterable[bytes], on_written: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._on_written = on_written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and report that nothing more is written."""
        try:
            close = getattr(self._parts, 'close', None)
            if close is not None:
                close()
        finally:
            self._on_written()


class WriteWatch:
    """Is told of writes to a caller that block; subclasses act on it.

    With one of these in the environment of a request, the time limit of a
    write counts from when the caller last read something, so that an answer
    that is still being read is not broken off.
    """

    def on_blocked(self, left: int) -> None:
        """Take note that `left` bytes can't be written at present."""

    def on_sent(self, count: int) -> None:
        """Take note that `count` of these bytes have been written."""


class CountedApp:
    """A WSGI application that counts the answers not yet fully written."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self.open_answers = 0
        self._app = app

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> ResponseBody:
        """Answer one request."""
        self.open_answers += 1
        try:
            return ResponseBody(
                self._app(environ, start_response), self._count_down
            )
        except BaseException:
            self._count_down()
            raise

    def _count_down(self) -> None:
        self.open_answers -= 1


class _Handler(pywsgi.WSGIHandler):
    server: CallersServer
    wsgi_input: Any
    environ: dict[str, Any] | None
    response_length: int
    response_use_chunked: bool
    headers_sent: bool
    status: Any
    code: int
    # Whether the present request has its whole answer.
    _is_answered = False

    def handle(self) -> None:
        # Headers and body, and the tokens of a stream, are small writes.
        # Without TCP_NODELAY the kernel delays each until the caller's kernel
        # has acknowledged the one before, which that delays by 40 ms.
        self.socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        self.socket.settimeout(WRITE_TIMEOUT_S)
        self.server.idle.add(self.socket)
        try:
            with gevent.Timeout(IDLE_TIMEOUT_S):
                return super().read_requestline()
        except (gevent.Timeout, TimeoutError):
            return ''
        finally:
            self.server.idle.discard(self.socket)
            self.server.unused.discard(self.socket)

    def read_request(self, raw_requestline: str) -> Any:
        # A caller that sends its headers one by one, slowly, could otherwise
        # keep a connection open without limit.
        try:
            with gevent.Timeout(HEADERS_TIMEOUT_S):
                is_valid = super().read_request(raw_requestline)
        except (gevent.Timeout, TimeoutError):
            raise ValueError('headers were not received in time') from None
        _check_framing(self.headers)
        return is_valid

    def handle_one_request(self) -> Any:
        """Handle one request; True if the connection is kept."""
        self._is_answered = False
        result = super().handle_one_request()
        if result is True:
            return True
        if result is not None:
            self._send_error(result[1])
        if self._is_answered:
            self._linger()
        return None

    def _send_error(self, response: bytes) -> None:
        try:
            self.socket.sendall(response)
        except OSError:
            # The caller has gone.
            return
        self._is_answered = True

    def _linger(self) -> None:
        """Close the connection so that its caller can read the answer."""
        try:
            self.socket.shutdown(sockets.SHUT_WR)
            self.socket.settimeout(LINGER_SILENCE_S)
            with gevent.Timeout(LINGER_S, False):
                while self.socket.recv(LINGER_READ_BYTES):
                    gevent.sleep(LINGER_PAUSE_S)
        except OSError:
            # The caller has closed it, or sends nothing more.
            pass

    def get_environ(self) -> dict[str, Any]:
        env = super().get_environ()
        env[SOCKET_KEY] = self.socket
        env[TARGET_KEY] = self.path
        env[HEADERS_KEY] = self.headers.items()
        if env['wsgi.input'] is self.wsgi_input:
            self.wsgi_input = _bounded_input(self.wsgi_input)
            env['wsgi.input'] = self.wsgi_input
        return env

    def run_application(self) -> None:
        """Run the application; a broken answer without framing is reset."""
        try:
            super().run_application()
        except OSError:
            # Callers of HTTP/1.0 get answers that end with the connection,
            # and only a reset shows them that an answer has been broken off.
            if self.headers_sent and not self.response_use_chunked:
                reset_on_close(self.socket)
            raise
        self._is_answered = True
        if self.close_connection and isinstance(
            self.wsgi_input, _BoundedInput
        ):
            self.wsgi_input.is_abandoned = True

    def _sendall(self, data: Any) -> None:
        watch = self.environ.get(WRITE_WATCH_KEY) if self.environ else None
        if watch is None:
            super()._sendall(data)
            return
        try:
            sent = self._send_at_once(data)
            if sent < len(data):
                watch.on_blocked(len(data) - sent)
                self._send_rest(memoryview(data)[sent:], watch)
        except OSError as exc:
            # As in the base class: a negative code marks a failed write.
            self.status = f'socket error: {exc}'
            if self.code > 0:
                self.code = -self.code
            raise
        self.response_length += len(data)

    def _send_at_once(self, data: Any) -> int:
        try:
            # A time limit of zero makes the call return without waiting.
            return self.socket.send(data, 0, 0.0)
        except BlockingIOError:
            return 0

    def _send_rest(self, data: memoryview, watch: WriteWatch) -> None:
        while data:
            sent = self.socket.send(data)
            if sent:
                watch.on_sent(sent)
            data = data[sent:]

    def handle_one_response(self) -> None:
        super().handle_one_response()
        if (
            isinstance(self.wsgi_input, _BoundedInput)
            and self.wsgi_input.unread()
        ):
            self.close_connection = True


def _check_framing(headers: Any) -> None:
    # If two ends disagree on the length of a body, a second request can be
    # hidden inside it (request smuggling), so such a request is refused.
    encodings = headers.get_all('transfer-encoding') or []
    lengths = headers.get_all('content-length') or []
    if encodings and (len(encodings) > 1 or encodings[0].lower() != 'chunked'):
        raise ValueError(f'transfer-encoding {encodings!r} is not chunked')
    if len(lengths) > 1 or (encodings and lengths):
        raise ValueError('the length of the body is given twice')
    if lengths and not lengths[0].strip().isdigit():
        raise ValueError(f'content-length {lengths[0]!r} is no size')


class _BoundedInput(pywsgi.Input):
    """A request body; what a refused request leaves of it is not read.

    `is_abandoned` is set once the connection is about to be closed.
    """

    __slots__ = ('is_abandoned',)

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.is_abandoned = False

    def unread(self) -> bool:
        """Whether part of the body has not been read from the connection."""
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        # The server would read what the application left unread, to find the
        # start of the next request. For a body that was refused as too long
        # or too slow, that is the work which the refusal was meant to save,
        # so the connection is closed instead.
        if self.is_abandoned or self.chunked_input:
            return
        left = (self.content_length or 0) - self.position
        if left > MAX_DISCARD_BYTES:
            return
        with gevent.Timeout(
            DISCARD_TIMEOUT_S, OSError('body was not received in time')
        ):
            super()._discard()


def _bounded_input(other: pywsgi.Input) -> _BoundedInput:
    return _BoundedInput(
        other.rfile,
        other.content_length,
        socket=other.socket,
        chunked_input=other.chunked_input,
    )
