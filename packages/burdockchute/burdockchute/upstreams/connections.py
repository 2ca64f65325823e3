"""Persistent connections to upstreams, reused for many requests.

A connection has one request at a time. The answer is parsed as it arrives, so
that the events of a stream can be forwarded at once, and so that nothing else
is mistaken for it: bytes after its end, a late answer to an earlier request,
or an answer that was cut off.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import socket as sockets
import time
from typing import Any

from geventhttpclient import response as responses

from burdockchute.decisions import statuses
from burdockchute.decisions.answer_ends import Framing
from burdockchute.model.upstreams import Endpoint
from burdockchute.sockets import is_readable
from burdockchute.sockets import PolledSocket
from burdockchute.sockets import reset_on_close

# Upstreams are a few milliseconds away and accept connections at once. One
# that has not done so by then is unreachable or full, and the request is
# better sent to another; it was certainly not sent to this one.
CONNECT_TIMEOUT_S = 0.4

# A wait for bytes is interrupted this often, so that the caller can check
# whether the upstream has gone silent or the deadline has passed.
POLL_INTERVAL_S = 0.25

# A stream whose caller does not read holds up to this much that has been
# received, in addition to what is read ahead; most events are far shorter.
RECEIVE_BYTES = 16 * 1024

# Longest body of an answer that is buffered until it is complete. Answers to
# earlier requests, which are skipped, are no longer in total.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# A connection is reused only while it is quiet, so that more than one answer
# to an earlier request is rare.
MAX_SKIPPED_ANSWERS = 16

# Longest body that is read only to reuse the connection.
MAX_DISCARDED_BYTES = 64 * 1024

# Most bytes that may arrive in succession without one of a body: a head,
# informational answers, chunk extensions and trailers.
MAX_OVERHEAD_BYTES = 64 * 1024

HeaderList = Iterable[tuple[str, str]]


class NotConnected(Exception):
    """No connection could be made, so nothing was sent.

    `refused` is whether the upstream's machine answered that nothing listens
    there.
    """

    def __init__(self, reason: str, refused: bool) -> None:
        super().__init__(reason)
        self.refused = refused


class AnswerFailed(Exception):
    """The request was sent, and no complete answer was received.

    `closed_by_upstream` is true if the upstream closed the connection, false
    if it sent something that is no valid answer.
    """

    def __init__(self, reason: str, closed_by_upstream: bool) -> None:
        super().__init__(reason)
        self.closed_by_upstream = closed_by_upstream


class NoDataYet(Exception):
    """Nothing was read within the poll interval; the call may be repeated.

    Bytes may have arrived that are no head or body of the answer.
    """


class _Parser(responses.HTTPResponse):
    """Parses the answer to the current request and skips any other.

    `is_expected` decides by the status and headers of an answer whether it is
    the one to the current request.
    """

    def __init__(
        self, method: str, is_expected: Callable[[int, HeaderList], bool]
    ) -> None:
        super().__init__(method=method)
        self.skipping = False
        self.skipped_answers = 0
        self.has_extra_bytes = False
        # Bytes of all bodies so far, including those that were skipped.
        self.body_bytes = 0
        # Whether the answer ended with its connection.
        self.ended_by_close = False
        self._is_expected = is_expected

    @property
    def has_head(self) -> bool:
        return (
            self.headers_complete
            and not self.skipping
            and statuses.is_final(self.get_code())
        )

    @property
    def is_complete(self) -> bool:
        return self.message_complete and self.has_head

    def feed(self, data: str | bytes) -> None:
        """Parse more bytes; raises HTTPParseError.

        The library's own takes a head that can't be parsed for the end of an
        answer to HEAD, if an interim answer came before it.
        """
        super(responses.HTTPResponse, self).feed(data)

    def pop_body(self) -> bytes:
        data = bytes(self._body_buffer)
        del self._body_buffer[:]
        return data

    def _on_message_begin(self) -> None:
        if self.is_complete:
            # The library would parse what follows as another answer and
            # discard the complete one.
            self.has_extra_bytes = True
            raise responses.HTTPProtocolViolationError('bytes after the end')
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        skip_body = super()._on_headers_complete()
        code = self.get_code()
        if not statuses.is_valid(code):
            raise responses.HTTPProtocolViolationError(f'status {code:03}')
        self.skipping = statuses.is_final(code) and not self._is_expected(
            code, self.items()
        )
        self.skipped_answers += self.skipping
        return skip_body

    def _on_body(self, buf: bytearray) -> None:
        self.body_bytes += len(buf)
        if not self.skipping:
            super()._on_body(buf)


class Connection:
    """One connection; its upstream may close it from `idle_until` on."""

    def __init__(self, sock: Any) -> None:
        self.idle_until = 0.0
        self.used = False
        self._sock = sock
        self._parser: _Parser | None = None
        self._poll_interval_s = POLL_INTERVAL_S
        # Bytes received since the last one of a body, and before the head.
        self._overhead_bytes = 0
        self._skipped_bytes = 0

    def send(
        self,
        data: bytes,
        method: str,
        is_expected: Callable[[int, HeaderList], bool],
    ) -> None:
        """Send a request; raises AnswerFailed.

        `is_expected` decides by the status and headers of an answer whether
        it is the one to this request.
        """
        self._parser = _Parser(method, is_expected)
        self.used = True
        self._overhead_bytes = self._skipped_bytes = 0
        try:
            self._sock.sendall(data)
        except TimeoutError as exc:
            raise AnswerFailed('could not be sent in time', False) from exc
        except OSError as exc:
            raise AnswerFailed(f'could not be sent: {exc}', True) from exc

    def read_head(self) -> tuple[int, list[tuple[str, str]]]:
        """Wait for the status and headers of the answer.

        Raises AnswerFailed, or NoDataYet after a poll interval without it.
        """
        parser = self._current_parser()
        until = time.monotonic() + self._poll_interval_s
        while not parser.has_head:
            if not self._receive(parser, until):
                raise AnswerFailed('ended before the answer began', True)
        return parser.get_code(), list(parser.items())

    def read_body_part(self) -> bytes:
        """Wait for the next bytes of the body; empty at its end.

        Raises AnswerFailed, or NoDataYet after a poll interval without data.
        """
        parser = self._current_parser()
        until = time.monotonic() + self._poll_interval_s
        while True:
            data = parser.pop_body()
            if data or parser.is_complete:
                return data
            if not self._receive(parser, until) and not parser.is_complete:
                raise AnswerFailed('ended within the answer', True)

    def discard_body(self, timeout_s: float) -> None:
        """Read the body to its end.

        Raises AnswerFailed, also if it is too long or its parts arrive for
        longer than `timeout_s`, or NoDataYet after a poll interval without
        data.
        """
        until = time.monotonic() + timeout_s
        size = 0
        while data := self.read_body_part():
            size += len(data)
            if size > MAX_DISCARDED_BYTES or time.monotonic() > until:
                raise AnswerFailed('the body does not end', False)

    @property
    def framing(self) -> Framing:
        """What marked the end of the answer that was read."""
        return (
            Framing.CONNECTION
            if self._current_parser().ended_by_close
            else Framing.LENGTH_OR_CHUNKS
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the answer is complete and another request may follow."""
        parser = self._parser
        return (
            parser is not None
            and parser.is_complete
            and not parser.has_extra_bytes
            and not parser.should_close()
        )

    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer.

        If the upstream has closed the connection, or has sent bytes that
        belong to no request, the connection can't be reused.
        """
        return not is_readable(self._sock)

    def set_poll_interval(self, seconds: float) -> None:
        """Set how often waits are interrupted, by default POLL_INTERVAL_S."""
        self._poll_interval_s = seconds
        self._sock.settimeout(seconds)

    def close(self) -> None:
        """Close the connection, which also cancels its request."""
        self._sock.close()

    def abort(self) -> None:
        """Close the connection with a reset, which cancels its request.

        An upstream that does not read while it works notices a reset with
        its next write. One that was suspended may drop what it has not read.
        """
        reset_on_close(self._sock)
        self._sock.close()

    def _current_parser(self) -> _Parser:
        assert self._parser is not None, 'nothing was sent'
        return self._parser

    def _receive(self, parser: _Parser, until: float) -> bool:
        if time.monotonic() > until:
            raise NoDataYet
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise NoDataYet from None
        except OSError as exc:
            raise AnswerFailed(f'reset: {exc}', True) from exc
        was_complete = parser.is_complete
        body_bytes = parser.body_bytes
        try:
            # Empty data tells the parser that the connection was closed,
            # which is the end of an answer without a length.
            parser.feed(data)
        except responses.HTTPParseError as exc:
            if not parser.is_complete:
                reason = f'no answer in the protocol: {exc}'
                raise AnswerFailed(reason, not data) from exc
            parser.has_extra_bytes = True
        parser.ended_by_close |= (
            not data and parser.is_complete and not was_complete
        )
        if not parser.is_complete:
            if parser.body_bytes > body_bytes:
                self._overhead_bytes = 0
            self._count(parser, len(data))
        return bool(data)

    def _count(self, parser: _Parser, received: int) -> None:
        self._overhead_bytes += received
        if not parser.has_head:
            self._skipped_bytes += received
        if (
            self._overhead_bytes > MAX_OVERHEAD_BYTES
            or self._skipped_bytes > MAX_ANSWER_BYTES
            or parser.skipped_answers > MAX_SKIPPED_ANSWERS
        ):
            raise AnswerFailed('too many bytes that are no answer', False)


def connect(
    endpoint: Endpoint, timeout_s: float = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a connection; raises NotConnected."""
    sock = PolledSocket(sockets.AF_INET, sockets.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect((endpoint.ip, endpoint.port))
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        sock.settimeout(POLL_INTERVAL_S)
    except OSError as exc:
        sock.close()
        refused = isinstance(exc, ConnectionRefusedError)
        raise NotConnected(f'{endpoint}: {exc}', refused) from exc
    except BaseException:
        sock.close()
        raise
    return Connection(sock)
