"""gevent's WSGI server with limits for slow and disconnected callers.

The connections of a listener share limits (`decisions.connection_limits`).
Where they are used up, connections that hold a place without a request make
room for new ones.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import errno
from http import client
import logging
import socket as sockets
import time
from typing import Any
from urllib import parse

import gevent
from gevent import get_hub
from gevent import pywsgi

from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import Stage
from burdockchute.callers.refusals import Refusals
from burdockchute.callers.request_body import RequestBody
from burdockchute.callers.request_reader import Head
from burdockchute.callers.request_reader import RequestError
from burdockchute.callers.request_reader import RequestReader
from burdockchute.decisions import connection_limits
from burdockchute.decisions.connection_limits import ConnectionLimits
from burdockchute.decisions.connection_limits import RequestLimits
from burdockchute.sockets import closed_by_peer
from burdockchute.sockets import is_readable
from burdockchute.sockets import reset_on_close

# Limit of one write to a caller.
WRITE_TIMEOUT_S = 30.0

# Connections that make room for new ones, in this order. Those that run a
# request or write its answer stay.
EVICTION_ORDER = (
    Stage.UNUSED,
    Stage.HEAD,
    Stage.IDLE,
    Stage.BODY,
)
# An answer of which nothing was read for this long makes room as the last.
STALLED_S = 5.0

# Connections of a stage that are looked at, as some of them may have received
# a request that their task has not seen yet.
EVICTION_CANDIDATES = 16

# Retry-After of a request that makes room for others.
CROWDED_RETRY_S = 1.0

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

_REFUSAL = 'HTTP/1.1 {}\r\nConnection: close\r\n{}Content-Length: 0\r\n\r\n'

SOCKET_KEY = 'burdockchute.socket'
# The request target and the headers as received; the server's own form of
# them has lost escapes and the case of names.
TARGET_KEY = 'burdockchute.target'
HEADERS_KEY = 'burdockchute.headers'
# Tells whether the caller has sent another request already (pipelining).
NEXT_REQUEST_KEY = 'burdockchute.next_request'
# A WriteWatch that the application may set.
WRITE_WATCH_KEY = 'burdockchute.write_watch'

# For servers whose process has no limits.
DEFAULT_LIMITS = ConnectionLimits(10_000, 64 * 1024 * 1024)

_log = logging.getLogger('burdockchute.callers')


class ReadingEnded(Exception):  # noqa: N818
    """No more of a request is read; its caller may return after a time."""

    def __init__(
        self, reason: str, retry_after_s: float = SHUTDOWN_RETRY_S
    ) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class CallersServer(pywsgi.WSGIServer):
    """A server with an account of its connections and limits for them.

    `request_limits` is called for each request.
    """

    # Connections accepted in one turn. Those of the turn before have begun
    # and can make room.
    max_accept = EVICTION_CANDIDATES

    def __init__(
        self,
        *args: Any,
        limits: ConnectionLimits,
        request_limits: Callable[[], RequestLimits],
        name: str,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.work = OpenWork()
        self.limits = limits
        self.request_limits = request_limits
        self.refusals = Refusals(name)
        # Bytes of all connections that were received and are not parsed yet.
        self.head_bytes = 0
        # Whether callers are told to use other connections.
        self.leaving = False
        # Answers whose end is the end of their connection.
        self.unframed: set[Any] = set()
        # The greenlets that receive a head or a body, and those that wait for
        # a request or for the end of a connection.
        self._readers: dict[Any, gevent.Greenlet] = {}
        self._waiters: dict[Any, gevent.Greenlet] = {}
        # The greenlets whose writes block, with the time of the last progress;
        # those without any for the longest come first.
        self._writers: dict[Any, tuple[gevent.Greenlet, float]] = {}
        self._reading_ended = False

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self.work)

    @property
    def max_connections(self) -> int:
        """The number of connections beyond which some make room."""
        return self.limits.connections

    @property
    def held_bytes(self) -> int:
        """The bytes of all connections that are not parsed yet."""
        return self.head_bytes

    def init_socket(self) -> None:
        """Listen; connections take over the limit of the buffer."""
        super().init_socket()
        self.socket.setsockopt(
            sockets.SOL_SOCKET,
            sockets.SO_RCVBUF,
            connection_limits.RECEIVE_BUFFER_BYTES,
        )

    def do_handle(self, client_socket: Any, address: Any) -> None:
        """Handle a connection in a greenlet of its own."""
        if not self._make_room():
            self.refusals.add('no_connection_left', address[0])
            _refuse_connection(client_socket)
            return
        self.work.open(client_socket, time.monotonic())
        super().do_handle(client_socket, address)

    def count_head_bytes(self, count: int) -> None:
        """Count bytes that a connection holds or gives up."""
        self.head_bytes += count
        if count > 0 and self.head_bytes > self.limits.heads_bytes:
            get_hub().loop.run_callback(self._evict, (Stage.HEAD,))

    def _make_room(self) -> bool:
        """Make room for one more connection; False if there is none."""
        most = self.limits.connections
        closing = min(
            self.work.count(Stage.CLOSING), connection_limits.MAX_CLOSING
        )
        if len(self.work) - closing >= most:
            if not self._evict(EVICTION_ORDER):
                self._reset_stalled()
        if len(self.work) >= most + connection_limits.MAX_CLOSING:
            self._evict((Stage.CLOSING,))
        closing = min(
            self.work.count(Stage.CLOSING), connection_limits.MAX_CLOSING
        )
        return len(self.work) - closing < most

    def _reset_stalled(self) -> bool:
        """End the answer that its caller has not read for the longest."""
        for writer, since in self._writers.values():
            if time.monotonic() - since < STALLED_S:
                return False
            self.refusals.add('stalled_answer', '')
            writer.throw(
                ConnectionResetError(errno.ECONNRESET, 'answer is not read')
            )
            return True
        return False

    def _evict(self, stages: tuple[Stage, ...]) -> bool:
        """End the longest of the given stages; runs in the event loop."""
        for stage in stages:
            tasks = (
                self._readers
                if stage in (Stage.HEAD, Stage.BODY)
                else self._waiters
            )
            for sock in self.work.oldest(stage, EVICTION_CANDIDATES):
                may_have_request = stage in (Stage.UNUSED, Stage.IDLE)
                if sock not in tasks or (
                    may_have_request and is_readable(sock)
                ):
                    continue
                if stage is not Stage.CLOSING:
                    self.refusals.add(f'crowded_{stage.value}', '')
                tasks[sock].throw(
                    ReadingEnded('too many connections', CROWDED_RETRY_S)
                )
                return True
        return False

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
        """Wait for a request or an end; ReadingEnded ends the wait."""
        self._waiters[sock] = gevent.getcurrent()
        try:
            yield
        finally:
            del self._waiters[sock]

    @contextlib.contextmanager
    def writing(self, sock: Any) -> Iterator[None]:
        """Wait until a caller reads its answer."""
        self._writers[sock] = gevent.getcurrent(), time.monotonic()
        try:
            yield
        finally:
            del self._writers[sock]

    def note_written(self, sock: Any) -> None:
        """Note that a caller has read a part of its answer."""
        writer, _since = self._writers.pop(sock)
        self._writers[sock] = writer, time.monotonic()

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
    address: str,
    port: int,
    app: Callable[..., Any],
    limits: ConnectionLimits = DEFAULT_LIMITS,
    request_limits: Callable[[], RequestLimits] = RequestLimits,
    name: str = 'callers',
) -> CallersServer:
    """Return a server that is not started; port 0 selects a free port.

    `name` is that of the listener in metrics and logs.
    """
    return CallersServer(
        (address, port),
        app,
        limits=limits,
        request_limits=request_limits,
        name=name,
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
            headers = f'Retry-After: {exc.retry_after_s:.2f}\r\n'
        elif isinstance(exc, gevent.Timeout):
            status, cause = 408, 'slow_head'
        elif isinstance(exc, RequestError):
            status = exc.status
            cause = _CAUSES.get(status, cause)
        self.server.refusals.add(cause, self.client_address[0], str(exc))
        self._send_error(
            _REFUSAL.format(status_line(status), headers).encode()
        )

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


_CAUSES = {414: 'long_target', 431: 'long_head'}


def _refuse_connection(sock: Any) -> None:
    """Close a connection that there is no place for, with an answer."""
    answer = _REFUSAL.format(
        status_line(503), f'Retry-After: {CROWDED_RETRY_S:.2f}\r\n'
    )
    try:
        sock.send(answer.encode(), 0, 0.0)
    except OSError:
        # The client has gone.
        pass
    sock.close()
