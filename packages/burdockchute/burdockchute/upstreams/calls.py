"""One HTTP call to an upstream, sent at most once.

The HTTP library resends a PUT or DELETE when its connection breaks, since
HTTP defines these methods as idempotent. A request that its caller marked as
non-idempotent would then run twice. A call made here opens its own connection
and uses only that one, and reports whether it was established: a call that
was never connected has certainly not run.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import re
from typing import Any
from typing import NamedTuple
from urllib import parse

from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses
import sseclient

from burdockchute import reply_limits
from burdockchute.decisions import answer_ends
from burdockchute.decisions.answer_ends import BrokenOff
from burdockchute.decisions.answer_ends import Framing
from burdockchute.upstreams.events import EventSplitter
from burdockchute.upstreams.events import InvalidEvent
from burdockchute.upstreams.events import MAX_EVENT_BYTES

CONNECT_TIMEOUT_S = 1.0

# What the chunks of a body take beside it.
MAX_FRAMING_BYTES = 64 * 1024

# Answers with these end with their headers.
STATUSES_WITHOUT_BODY = (204, 304)

_DECIMAL = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)


class NotConnected(Exception):
    """The upstream accepted no connection, so nothing was sent."""


class AnswerFailed(Exception):
    """The call was sent, and no complete answer was received.

    `crashed` is true if the upstream closed the connection, false if it
    stopped sending or sent an invalid answer.
    """

    def __init__(self, reason: str, crashed: bool = False) -> None:
        super().__init__(reason)
        self.crashed = crashed


class Reply(NamedTuple):
    """Status and headers of an answer whose body has not been read yet.

    `is_upstream_gone` checks whether the upstream refuses connections.
    `rest_s` is the time in seconds for which an upstream that answers 503
    wants no more calls, None if it does not say.
    """

    status: int
    content_type: str
    response: Any
    close: Callable[[], None]
    is_upstream_gone: Callable[[], bool]
    rest_s: float | None = None


def send(
    url: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    stall_s: float,
) -> Reply:
    """Send one call; raises NotConnected or AnswerFailed.

    `stall_s` limits the wait for the next bytes. The reader must close the
    reply, also to cancel the call.
    """
    parts = parse.urlsplit(url)
    client = _SingleUseClient(
        parts.hostname,
        parts.port,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=stall_s,
    )
    try:
        response = client.request(method, path, body, headers)
    except _NETWORK_ERRORS as exc:
        client.close()
        if client.connected:
            raise _to_answer_failed(exc) from exc
        raise NotConnected(str(exc)) from exc
    except BaseException:
        # The greenlet was killed while it waits for the reply. Its connection
        # must not stay open until it is garbage collected.
        client.close()
        raise

    def close() -> None:
        response.release()
        client.close()

    if response._trailing_data_dropped:
        # The library takes a head that can't be parsed for the end of an
        # answer to HEAD, if an interim answer came before it.
        close()
        raise AnswerFailed('no answer in the protocol')
    return Reply(
        response.status_code,
        str(response.get('content-type', '')),
        response,
        close,
        lambda: _refuses_connections(parts.hostname, parts.port),
        _rest_s(response),
    )


def _refuses_connections(host: str | None, port: int | None) -> bool:
    try:
        socket.create_connection((host, port), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def _rest_s(response: Any) -> float | None:
    text = str(response.get('retry-after', ''))
    if response.status_code != 503 or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def read_body(reply: Reply, limit: int) -> bytes:
    """Read the body of a plain reply; raises AnswerFailed."""
    reply_limits.allow_body(reply.response, limit + MAX_FRAMING_BYTES)
    try:
        data = reply.response.read(limit + 1)
    except _NETWORK_ERRORS as exc:
        raise _to_answer_failed(exc) from exc
    if len(data) > limit:
        raise AnswerFailed(f'an answer over {limit} bytes')
    _check_complete(reply)
    return bytes(data)


def events(reply: Reply) -> Iterator[str]:
    """Yield the data of each server-sent event; raises AnswerFailed."""
    try:
        for event in sseclient.SSEClient(_complete_events(reply)).events():
            yield event.data
    except _NETWORK_ERRORS as exc:
        raise _to_answer_failed(exc) from exc
    except InvalidEvent as exc:
        raise AnswerFailed(str(exc)) from exc


_NETWORK_ERRORS = (OSError, TimeoutError, responses.HTTPParseError)


def _to_answer_failed(exc: BaseException) -> AnswerFailed:
    reason = str(exc) or type(exc).__name__
    no_crash = (
        TimeoutError,
        reply_limits.ReplyTooLong,
        reply_limits.InvalidHead,
    )
    return AnswerFailed(reason, crashed=not isinstance(exc, no_crash))


class _SingleUseClient(geventhttpclient.HTTPClient):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.connected = False
        reply_limits.limit_replies(self)
        self._open_socket = self._connection_pool.get_socket
        pool: Any = self._connection_pool
        pool.get_socket = self._get_socket_once

    def _get_socket_once(self) -> Any:
        if self.connected:
            raise ConnectionError('broke after it was sent')
        sock = self._open_socket()
        self.connected = True
        return sock


def _complete_events(reply: Reply) -> Iterator[bytes]:
    # The library would also yield what follows the last complete event.
    splitter = EventSplitter()
    for line in _lines(reply):
        for event in splitter.feed(line):
            yield event.data
    _check_complete(reply, splitter.partial_event)


def _lines(reply: Reply) -> Iterator[bytes]:
    # An event ends with an empty line. readline returns each line as soon as
    # it has arrived; a read of a fixed size would delay tokens.
    while True:
        reply_limits.allow_body(reply.response, MAX_EVENT_BYTES)
        if not (line := reply.response.readline(b'\n')):
            break
        yield bytes(line)
    # At the end of the answer, readline leaves a line without its end.
    yield bytes(reply.response.read())


def _check_complete(reply: Reply, partial_event: bytes = b'') -> None:
    has_framing = (
        reply.status in STATUSES_WITHOUT_BODY
        or 'content-length' in reply.response
        or 'transfer-encoding' in reply.response
    )
    framing = Framing.LENGTH_OR_CHUNKS if has_framing else Framing.CONNECTION
    end = answer_ends.judge(
        framing, partial_event, is_upstream_gone=reply.is_upstream_gone
    )
    if isinstance(end, BrokenOff):
        raise AnswerFailed(end.reason, end.crashed)
