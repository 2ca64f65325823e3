"""gevent's WSGI server with limits for slow and disconnected callers.

The connections of a listener share limits (`decisions.connection_limits`).
Where they are used up, connections that hold a place without a request make
room for new ones.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import errno
import logging
import socket as sockets
import time
from typing import Any

import gevent
from gevent import get_hub
from gevent import pywsgi

from burdockchute.callers.environment import ReadingEnded
from burdockchute.callers.handler import refusal
from burdockchute.callers.handler import RequestHandler
from burdockchute.callers.handler import retry_after
from burdockchute.callers.open_work import OpenWork
from burdockchute.callers.open_work import Stage
from burdockchute.callers.refusals import Refusals
from burdockchute.decisions import connection_limits
from burdockchute.decisions.connection_limits import ConnectionLimits
from burdockchute.decisions.connection_limits import RequestLimits
from burdockchute.sockets import is_readable
from burdockchute.sockets import reset_on_close

# Connections that make room for new ones, in this order. Those that run a
# request or write its answer stay.
EVICTION_ORDER = (
    Stage.UNUSED,
    Stage.HEAD,
    Stage.IDLE,
    Stage.BODY,
)
# Where there are none of these, an answer that its caller has not read for
# this long makes room.
STALLED_S = 5.0

# Connections of a stage that are looked at, as some of them may have received
# a request that their task has not seen yet.
EVICTION_CANDIDATES = 16

# Retry-After of a request that makes room for others.
CROWDED_RETRY_S = 1.0

# Limit of the bytes that the system buffers for a caller, which Linux doubles.
# It still allows 20 MB/s at the 6 ms that a caller's acknowledgement takes.
SEND_BUFFER_BYTES = 64 * 1024

# How long a process that leaves waits for the first requests of connections
# that it has accepted. Such a request may be on its way, which can't be seen.
FIRST_REQUEST_S = 0.3
FINISH_POLL_S = 0.02

# A request that is not whole this long before the end of a process is refused,
# so that its caller can read the refusal.
LAST_ANSWERS_S = 1.2

# For servers whose process has no limits.
DEFAULT_LIMITS = ConnectionLimits(10_000, 64 * 1024 * 1024)

_log = logging.getLogger('burdockchute.callers')


class CallersServer(pywsgi.WSGIServer):
    """A server with an account of its connections and limits for them.

    `request_limits` is called for each request. With `limits_sends`, the
    system holds a limited number of bytes of each answer that is not read.
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
        limits_sends: bool,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.work = OpenWork()
        self.limits = limits
        self.request_limits = request_limits
        self.refusals = Refusals(name)
        self._limits_sends = limits_sends
        # Bytes of all connections that were received and are not parsed yet.
        self.held_bytes = 0
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

    def init_socket(self) -> None:
        """Listen; connections take over the limits of the buffers."""
        super().init_socket()
        self.socket.setsockopt(
            sockets.SOL_SOCKET,
            sockets.SO_RCVBUF,
            connection_limits.RECEIVE_BUFFER_BYTES,
        )
        if self._limits_sends:
            limit_send_buffers(self)

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
        self.held_bytes += count
        if count > 0 and self.held_bytes > self.limits.heads_bytes:
            get_hub().loop.run_callback(self._evict, (Stage.HEAD,))

    def _make_room(self) -> bool:
        """Make room for one more connection; False if there is none."""
        most = self.limits.connections
        if self._taken() >= most and not self._evict(EVICTION_ORDER):
            self._reset_stalled()
        if len(self.work) >= most + connection_limits.MAX_CLOSING:
            self._evict((Stage.CLOSING,))
        return self._taken() < most

    def _taken(self) -> int:
        """Return the connections that count, without some being closed."""
        closing = self.work.count(Stage.CLOSING)
        return len(self.work) - min(closing, connection_limits.MAX_CLOSING)

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
    limits_sends: bool = True,
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
        limits_sends=limits_sends,
        handler_class=RequestHandler,
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


def _refuse_connection(sock: Any) -> None:
    """Close a connection that there is no place for, with an answer."""
    try:
        sock.send(refusal(503, retry_after(CROWDED_RETRY_S)), 0, 0.0)
    except OSError:
        # The client has gone.
        pass
    sock.close()
