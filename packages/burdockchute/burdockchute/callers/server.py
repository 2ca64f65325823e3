"""gevent's WSGI server with limits for slow and disconnected callers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
from http import client
import logging
import socket as sockets
import time
from typing import Any

import gevent
from gevent import get_hub
from gevent import pywsgi

from burdockchute import logs
from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import Stage
from burdockchute.callers.request_body import bounded_input
from burdockchute.callers.request_body import BoundedInput
from burdockchute.callers.request_body import check_framing
from burdockchute.sockets import closed_by_peer
from burdockchute.sockets import is_readable
from burdockchute.sockets import reset_on_close

# Limits for receiving the request line and headers once the first byte has
# arrived, for a connection without a request, and for one write to a caller.
HEADERS_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
WRITE_TIMEOUT_S = 30.0

# Limit of the bytes that the system buffers for a caller, which Linux doubles.
# It still allows 20 MB/s at the 6 ms that a caller's acknowledgement takes.
SEND_BUFFER_BYTES = 64 * 1024

# How long what a caller still sends is discarded after its last answer. The
# system would reset a connection that is closed with unread bytes, and the
# caller could lose the answer. The pauses limit the rate to 6 MB/s.
LINGER_S = 5.0
LINGER_SILENCE_S = 1.0
LINGER_READ_BYTES = 64 * 1024
LINGER_PAUSE_S = 0.01

# How long a process that leaves waits for the first requests of connections
# that it has accepted. Such a request may be on its way, which can't be seen.
FIRST_REQUEST_S = 0.3
FINISH_POLL_S = 0.02

# A request that is not whole this long before the end of a process is refused,
# so that its caller can read the refusal.
LAST_ANSWERS_S = 1.2

# Retry-After of a request refused during shutdown; another process accepts it.
SHUTDOWN_RETRY_S = 0.05

_HEAD_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Connection: close\r\n'
    b'Retry-After: %.2f\r\n'
    b'Content-Length: 0\r\n\r\n'
) % SHUTDOWN_RETRY_S

SOCKET_KEY = 'burdockchute.socket'
# The request target and the headers as received; the server's own form of
# them has lost escapes and the case of names.
TARGET_KEY = 'burdockchute.target'
HEADERS_KEY = 'burdockchute.headers'
# Tells whether the caller has sent another request already (pipelining).
NEXT_REQUEST_KEY = 'burdockchute.next_request'
# A WriteWatch that the application may set.
WRITE_WATCH_KEY = 'burdockchute.write_watch'

_log = logging.getLogger('burdockchute.callers')


class ReadingEnded(Exception):  # noqa: N818
    """The process leaves and reads no more of a request."""


class CallersServer(pywsgi.WSGIServer):
    """A server with an account of its connections, for a planned stop."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.work = OpenWork()
        # Whether callers are told to use other connections.
        self.leaving = False
        # Answers whose end is the end of their connection.
        self.unframed: set[Any] = set()
        # The greenlets that receive a head or a body, and those that wait for
        # a request.
        self._readers: dict[Any, gevent.Greenlet] = {}
        self._waiters: dict[Any, gevent.Greenlet] = {}
        self._reading_ended = False

    def do_handle(self, client_socket: Any, address: Any) -> None:
        """Handle a connection in a greenlet of its own."""
        self.work.open(client_socket, time.monotonic())
        super().do_handle(client_socket, address)

    def do_close(self, client_socket: Any, *args: Any) -> None:
        """Close a connection that has been handled."""
        self.work.close(client_socket)
        self.unframed.discard(client_socket)
        super().do_close(client_socket, *args)

    @contextlib.contextmanager
    def reading(self, sock: Any, stage: Stage) -> Iterator[None]:
        """Receive a part of a request; raises ReadingEnded at the end."""
        self.work.move(sock, stage, time.monotonic())
        if self._reading_ended:
            raise ReadingEnded('this process is leaving')
        self._readers[sock] = gevent.getcurrent()
        try:
            yield
        finally:
            del self._readers[sock]

    @contextlib.contextmanager
    def waiting(self, sock: Any) -> Iterator[None]:
        """Wait for a request; raises ReadingEnded if none is awaited."""
        self._waiters[sock] = gevent.getcurrent()
        try:
            yield
        finally:
            del self._waiters[sock]

    def finish(
        self,
        deadline: float,
        refuse_late: Callable[[], None] = lambda: None,
    ) -> dict[str, int]:
        """Answer what is owed, stop accepting and close all connections.

        New connections are accepted while requests that were begun before
        are open; the application refuses their requests. A request that is
        not whole LAST_ANSWERS_S before the deadline is refused. `refuse_late`
        is called all the time, and refuses what the application has not begun
        and can't finish. Returns the account of what is left at the deadline.
        """
        self.leaving = True
        started = time.monotonic()
        end_reading_at = deadline - LAST_ANSWERS_S
        while (
            self.work.owes_from_before(started)
            and time.monotonic() < end_reading_at
        ):
            refuse_late()
            gevent.sleep(FINISH_POLL_S)
        self._stop_listening()
        first_requests_until = time.monotonic() + FIRST_REQUEST_S
        while not self.work.is_empty() and time.monotonic() < deadline:
            if time.monotonic() >= end_reading_at and not self._reading_ended:
                self._end_reading()
            refuse_late()
            self._close_connections(Stage.IDLE)
            if time.monotonic() >= first_requests_until:
                self._close_connections(Stage.UNUSED)
            gevent.sleep(FINISH_POLL_S)
        for sock in self.unframed:
            reset_on_close(sock)
        return self.work.counts()

    def _stop_listening(self) -> None:
        """Stop accepting; what the system has set up is accepted first."""
        self.stop_accepting()
        try:
            while accepted := self.do_read():
                self.do_handle(*accepted)
        except OSError as exc:
            _log.warning('a connection was not accepted: %s', exc)
        self.close()

    def _end_reading(self) -> None:
        self._reading_ended = True
        for sock in self._readers:
            get_hub().loop.run_callback(self._interrupt, sock)

    def _interrupt(self, sock: Any) -> None:
        # This runs in the event loop, so the reader can't have gone on since
        # it was looked up. A request that was received is not interrupted.
        reader = self._readers.get(sock)
        if reader is not None:
            reader.throw(ReadingEnded('this process is leaving'))

    def _close_connections(self, *stages: Stage) -> None:
        # Ending the reception instead would cut off a request that arrives
        # meanwhile, and its caller would be told that it is malformed.
        for sock in self.work.connections(*stages):
            get_hub().loop.run_callback(self._end_waiting, sock)

    def _end_waiting(self, sock: Any) -> None:
        waiter = self._waiters.get(sock)
        if waiter is not None and not is_readable(sock):
            waiter.throw(ReadingEnded('this process is leaving'))


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
        environ=wsgi_environ(address),
    )


def wsgi_environ(address: str) -> dict[str, str]:
    """Return the environment of a WSGI server that is named by its address.

    gevent would look up the name of the address at its start, and a name
    service that doesn't answer would block the process for many seconds.
    """
    return {'SERVER_NAME': address}


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


def has_next_request(environ: dict[str, Any]) -> bool:
    """Whether a part of the caller's next request has been received.

    The connection is kept then, so that this request has an answer, too.
    """
    has_next = environ.get(NEXT_REQUEST_KEY)
    return has_next is not None and bool(has_next())


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


class _Handler(pywsgi.WSGIHandler):
    server: CallersServer
    wsgi_input: Any
    environ: dict[str, Any] | None
    response_length: int
    response_use_chunked: bool
    provided_content_length: Any
    headers_sent: bool
    status: Any
    code: int
    client_address: Any
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
        try:
            with (
                self.server.waiting(self.socket),
                gevent.Timeout(IDLE_TIMEOUT_S),
            ):
                if not self.rfile.peek(1):
                    return ''
        except (gevent.Timeout, TimeoutError, ReadingEnded):
            return ''
        try:
            with (
                self.server.reading(self.socket, Stage.HEAD),
                gevent.Timeout(HEADERS_TIMEOUT_S),
            ):
                return super().read_requestline()
        except (gevent.Timeout, TimeoutError):
            return ''

    def read_request(self, raw_requestline: str) -> Any:
        # A caller that sends its headers one by one, slowly, could otherwise
        # keep a connection open without limit.
        try:
            with (
                self.server.reading(self.socket, Stage.HEAD),
                gevent.Timeout(HEADERS_TIMEOUT_S),
            ):
                is_valid = super().read_request(raw_requestline)
        except (gevent.Timeout, TimeoutError):
            raise ValueError('headers were not received in time') from None
        check_framing(self.headers)
        return is_valid

    def handle_one_request(self) -> Any:
        """Handle one request; True if the connection is kept."""
        self._is_answered = False
        try:
            result = super().handle_one_request()
        except ReadingEnded:
            result = self._refuse_head()
        if result is True:
            self._enter(Stage.IDLE)
            return True
        if result is not None:
            self._send_error(result[1])
        if self._is_answered:
            self._linger()
        return None

    def _handle_client_error(self, ex: BaseException) -> Any:
        if isinstance(ex, ReadingEnded):
            return self._refuse_head()
        return super()._handle_client_error(ex)

    def _refuse_head(self) -> tuple[str, bytes]:
        logs.event('head_refused', caller=self.client_address[0])
        return '503', _HEAD_REFUSAL

    def _enter(self, stage: Stage) -> None:
        self.server.work.move(self.socket, stage, time.monotonic())

    def _send_error(self, response: bytes) -> None:
        self._enter(Stage.ANSWER)
        try:
            self.socket.sendall(response)
        except OSError:
            # The caller has gone.
            return
        self._is_answered = True

    def _linger(self) -> None:
        """Close the connection so that its caller can read the answer."""
        self._enter(Stage.CLOSING)
        try:
            self.socket.shutdown(sockets.SHUT_WR)
            self.socket.settimeout(LINGER_SILENCE_S)
            until = time.monotonic() + LINGER_S
            while (
                self.socket.recv(LINGER_READ_BYTES)
                and time.monotonic() < until
            ):
                gevent.sleep(LINGER_PAUSE_S)
        except OSError:
            # The caller has closed it, or sends nothing more.
            pass

    def get_environ(self) -> dict[str, Any]:
        env = super().get_environ()
        env[SOCKET_KEY] = self.socket
        env[TARGET_KEY] = self.path
        env[HEADERS_KEY] = self.headers.items()
        env[NEXT_REQUEST_KEY] = self._has_next_request
        if env['wsgi.input'] is self.wsgi_input:
            self.wsgi_input = bounded_input(
                self.wsgi_input, self._receiving_body
            )
            env['wsgi.input'] = self.wsgi_input
        return env

    @contextlib.contextmanager
    def _receiving_body(self) -> Iterator[None]:
        with self.server.reading(self.socket, Stage.BODY):
            yield
        self._enter(Stage.RUNNING)

    def start_response(
        self, status: str, headers: list[tuple[str, str]], *exc_info: Any
    ) -> Any:
        """Start an answer."""
        if (
            self.server.leaving
            and not any(name.lower() == 'connection' for name, _v in headers)
            and not self._has_next_request()
        ):
            headers = [('Connection', 'close'), *headers]
        return super().start_response(status, headers, *exc_info)

    def _has_next_request(self) -> bool:
        unread = 0.0
        if isinstance(self.wsgi_input, BoundedInput):
            # The body of a request that is refused may precede the next one.
            unread = self.wsgi_input.unread_bytes()
        self.socket.settimeout(0.0)
        try:
            return len(self.rfile.peek(1)) > unread
        except OSError:
            # The caller has reset the connection.
            return False
        finally:
            self.socket.settimeout(WRITE_TIMEOUT_S)

    def finalize_headers(self) -> None:
        """Complete the headers of an answer that is about to be written."""
        super().finalize_headers()
        self._enter(Stage.ANSWER)
        if not (self.response_use_chunked or self.provided_content_length):
            self.server.unframed.add(self.socket)

    def run_application(self) -> None:
        """Run the application; a broken answer without framing is reset."""
        self._enter(Stage.RUNNING)
        try:
            super().run_application()
        except OSError:
            # Callers of HTTP/1.0 get answers that end with the connection,
            # and only a reset shows them that an answer has been broken off.
            if self.headers_sent and not self.response_use_chunked:
                reset_on_close(self.socket)
            raise
        self.server.unframed.discard(self.socket)
        self._is_answered = True
        if self.close_connection and isinstance(self.wsgi_input, BoundedInput):
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
            isinstance(self.wsgi_input, BoundedInput)
            and self.wsgi_input.unread()
        ):
            self.close_connection = True
