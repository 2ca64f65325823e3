"""Handles the requests of one connection, one after another."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket as sockets
import time
from typing import Any
from typing import TYPE_CHECKING
from urllib import parse

import gevent
from gevent import pywsgi

from burdockchute.callers.environment import HEADERS_KEY
from burdockchute.callers.environment import NEXT_REQUEST_KEY
from burdockchute.callers.environment import ReadingEnded
from burdockchute.callers.environment import SOCKET_KEY
from burdockchute.callers.environment import status_line
from burdockchute.callers.environment import TARGET_KEY
from burdockchute.callers.environment import WRITE_WATCH_KEY
from burdockchute.callers.open_work import Stage
from burdockchute.callers.request_body import RequestBody
from burdockchute.callers.request_reader import Head
from burdockchute.callers.request_reader import RequestError
from burdockchute.callers.request_reader import RequestReader
from burdockchute.decisions import connection_limits
from burdockchute.decisions.connection_limits import RequestLimits
from burdockchute.sockets import reset_on_close

if TYPE_CHECKING:
    from burdockchute.callers.server import CallersServer

# Limit of one write to a caller.
WRITE_TIMEOUT_S = 30.0

# How long what a caller still sends is discarded after its last answer. The
# system would reset a connection that is closed with unread bytes, and the
# caller could lose the answer. The pauses limit the rate to 6 MB/s.
LINGER_S = 5.0
LINGER_SILENCE_S = 1.0
LINGER_READ_BYTES = 64 * 1024
LINGER_PAUSE_S = 0.01

# Causes of refusals by their status.
_CAUSES = {414: 'long_target', 431: 'long_head'}


def refusal(status: int, headers: str = '') -> bytes:
    """Return an answer without a body that closes its connection."""
    return (
        f'HTTP/1.1 {status_line(status)}\r\nConnection: close\r\n{headers}'
        'Content-Length: 0\r\n\r\n'
    ).encode()


def retry_after(seconds: float) -> str:
    """Return the header line that tells when to return.

    >>> retry_after(0.05)
    'Retry-After: 0.05\\r\\n'
    """
    return f'Retry-After: {seconds:.2f}\r\n'


class RequestHandler(pywsgi.WSGIHandler):
    """Reads requests within limits, and writes what the application answers.

    gevent's handler runs the application and frames the answer.
    """

    server: CallersServer
    rfile: RequestReader
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
    # Limit of what the system receives for this connection.
    _buffer_bytes = connection_limits.RECEIVE_BUFFER_BYTES

    def __init__(self, sock: Any, address: Any, server: CallersServer) -> None:
        reader = RequestReader(sock, server.count_head_bytes)
        super().__init__(sock, address, server, rfile=reader)

    def handle(self) -> None:
        # Headers and body, and the tokens of a stream, are small writes.
        # Without TCP_NODELAY the kernel delays each until the caller's kernel
        # has acknowledged the one before, which that delays by 40 ms.
        self.socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        reader = self.rfile
        try:
            super().handle()
        finally:
            reader.close()

    def handle_one_request(self) -> Any:
        """Handle one request; True if the connection is kept."""
        self._is_answered = False
        limits = self.server.request_limits()
        self.socket.settimeout(None)
        if not self._wait_for_request(limits):
            return None
        self.socket.settimeout(WRITE_TIMEOUT_S)
        try:
            head = self._read_head(limits)
        except OSError:
            # The caller has left within the head.
            return None
        except (gevent.Timeout, ReadingEnded, ValueError) as exc:
            self._refuse(exc)
        else:
            self._handle_request(head)
            if not self.close_connection:
                self._enter(Stage.IDLE)
                return True
        if self._is_answered:
            self._linger()
        return None

    def _wait_for_request(self, limits: RequestLimits) -> bool:
        # Before it waits: a connection that waits may be closed, and the
        # reader may hold a request already.
        self.rfile.begin_request()
        try:
            with (
                self.server.waiting(self.socket),
                gevent.Timeout(limits.idle_timeout_s),
            ):
                return self.rfile.wait()
        except (gevent.Timeout, OSError, ReadingEnded):
            return False

    def _read_head(self, limits: RequestLimits) -> Head:
        # The time limit is that of the whole head: a caller that sends it
        # byte by byte could otherwise keep a connection open without limit.
        with (
            self.server.reading(self.socket, Stage.HEAD),
            gevent.Timeout(limits.head_timeout_s),
        ):
            return self.rfile.read_head(limits.head_bytes)

    def _handle_request(self, head: Head) -> None:
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.close_connection = not head.keeps_connection
        self.environ = self._make_environ(head)
        self.application = self.server.application
        self.handle_one_response()

    def _make_environ(self, head: Head) -> dict[str, Any]:
        env = self.server.get_environ()
        path, _mark, query = head.target.partition('?')
        env.update(
            {
                'REQUEST_METHOD': head.method,
                'SCRIPT_NAME': '',
                'PATH_INFO': parse.unquote(path, 'latin-1'),
                'QUERY_STRING': query,
                'SERVER_PROTOCOL': head.version,
                'REMOTE_ADDR': str(self.client_address[0]),
                'REMOTE_PORT': str(self.client_address[1]),
            }
        )
        for name, value in head.headers:
            if '_' in name:
                # It would have the name of another one with a dash.
                continue
            key = name.upper().replace('-', '_')
            if key not in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
                key = f'HTTP_{key}'
            elif key in env:
                continue
            if key in env:
                separator = '; ' if 'COOKIE' in key else ','
                env[key] += separator + value
            else:
                env[key] = value
        waits = env.get('HTTP_EXPECT') == '100-continue'
        self.wsgi_input = RequestBody(
            self.rfile,
            head.body_bytes,
            self._receiving_body,
            self.socket if waits else None,
        )
        env['wsgi.input'] = self.wsgi_input
        env['wsgi.input_terminated'] = True
        env[SOCKET_KEY] = self.socket
        env[TARGET_KEY] = head.target
        env[HEADERS_KEY] = head.headers
        env[NEXT_REQUEST_KEY] = self._has_next_request
        return env

    def log_error(self, msg: str, *args: Any) -> None:
        """Count an error of a client; its text may be of any length."""
        del msg, args
        self.server.refusals.add('invalid', self.client_address[0])

    def _refuse(self, exc: BaseException) -> None:
        """Answer a request whose head can't be served."""
        self.rfile.close()
        status, headers = 400, ''
        cause = 'invalid'
        if isinstance(exc, ReadingEnded):
            status, cause = 503, 'not_read'
            headers = retry_after(exc.retry_after_s)
        elif isinstance(exc, gevent.Timeout):
            status, cause = 408, 'slow_head'
        elif isinstance(exc, RequestError):
            status = exc.status
            cause = _CAUSES.get(status, cause)
        self.server.refusals.add(cause, self.client_address[0], str(exc))
        self._send_error(refusal(status, headers))

    def _enter(self, stage: Stage) -> None:
        self.server.work.move(self.socket, stage, time.monotonic())

    def _send_error(self, response: bytes) -> None:
        self._enter(Stage.ANSWER)
        try:
            # A caller that has not read its earlier answers gets none.
            sent = self.socket.send(response, 0, 0.0)
        except OSError:
            # The caller has gone.
            return
        self._is_answered = sent == len(response)

    def _linger(self) -> None:
        """Close the connection so that its caller can read the answer."""
        self._enter(Stage.CLOSING)
        try:
            with self.server.waiting(self.socket):
                self._discard_received()
        except (OSError, ReadingEnded):
            # The caller has closed it or sends nothing more, or it has to
            # make room for others.
            pass

    def _discard_received(self) -> None:
        self.socket.shutdown(sockets.SHUT_WR)
        self.socket.settimeout(LINGER_SILENCE_S)
        until = time.monotonic() + LINGER_S
        while self.socket.recv(LINGER_READ_BYTES) and time.monotonic() < until:
            gevent.sleep(LINGER_PAUSE_S)

    @contextlib.contextmanager
    def _receiving_body(self) -> Iterator[None]:
        body = self.wsgi_input
        if body.counted_bytes() > 2 * self._buffer_bytes:
            # Linux doubles it: the system then holds no more than the bytes
            # that the application has counted for this body.
            self._limit_buffer(
                min(
                    body.counted_bytes() // 2,
                    connection_limits.BODY_BUFFER_BYTES,
                )
            )
        with self.server.reading(self.socket, Stage.BODY):
            try:
                yield
            except ReadingEnded:
                body.is_abandoned = True
                raise
        if not body.unread():
            self._limit_buffer(connection_limits.RECEIVE_BUFFER_BYTES)
        self._enter(Stage.RUNNING)

    def _limit_buffer(self, count: int) -> None:
        if count != self._buffer_bytes:
            self._buffer_bytes = count
            self.socket.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_RCVBUF, count
            )

    def start_response(
        self, status: str, headers: list[tuple[str, str]], *exc_info: Any
    ) -> Any:
        """Start an answer."""
        is_last = self.wsgi_input.is_abandoned or (
            self.server.leaving and not self._has_next_request()
        )
        if is_last and not any(
            name.lower() == 'connection' for name, _value in headers
        ):
            headers = [('Connection', 'close'), *headers]
        return super().start_response(status, headers, *exc_info)

    def _has_next_request(self) -> bool:
        # The body of a request that is refused may precede the next one.
        unread = self.wsgi_input.unread_bytes()
        try:
            return self.rfile.receive_at_once() > unread
        except OSError:
            # The caller has reset the connection.
            return False

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
        if self.close_connection:
            self.wsgi_input.is_abandoned = True

    def _sendall(self, data: Any) -> None:
        try:
            sent = self._send_at_once(data)
            if sent < len(data):
                with self.server.writing(self.socket):
                    self._send_rest(memoryview(data)[sent:])
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

    def _send_rest(self, data: memoryview) -> None:
        watch = self.environ.get(WRITE_WATCH_KEY) if self.environ else None
        if watch is None:
            self.socket.sendall(data)
            return
        watch.on_blocked(len(data))
        while data:
            sent = self.socket.send(data)
            if sent:
                watch.on_sent(sent)
                self.server.note_written(self.socket)
            data = data[sent:]

    def handle_one_response(self) -> None:
        super().handle_one_response()
        if self.wsgi_input.unread():
            self.close_connection = True
