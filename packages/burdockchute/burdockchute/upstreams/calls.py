"""One HTTP call to an upstream, sent at most once.

The HTTP library sends a PUT or DELETE again by itself when its connection
breaks, since HTTP calls these methods idempotent. A caller who marked the
request as non-idempotent would then find that it ran twice. A call here
opens a connection of its own, may take only that one, and says whether it
got as far as being connected: a call that never was is certainly not run.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from urllib import parse

import geventhttpclient
from geventhttpclient import response as responses
import sseclient

CONNECT_TIMEOUT_S = 1.0


class NotConnected(Exception):
    """The upstream took no connection, so nothing was sent."""


class AnswerFailed(Exception):
    """The call was sent, and its answer did not come whole.

    `crashed` is true if the upstream ended the connection, false if it fell
    silent or sent something else than was agreed.
    """

    def __init__(self, reason: str, crashed: bool = False) -> None:
        super().__init__(reason)
        self.crashed = crashed


class Reply(NamedTuple):
    """Status line and headers of an upstream; the body is still to come."""

    status: int
    content_type: str
    response: Any
    close: Callable[[], None]


def send(
    url: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    stall_s: float,
) -> Reply:
    """Send one call; raises NotConnected or AnswerFailed.

    `stall_s` is the longest wait for any next bytes. The reply must be
    closed by its reader, also to cancel it.
    """
    parts = parse.urlsplit(url)
    client = _OneSendClient(
        parts.hostname,
        parts.port,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=stall_s,
    )
    try:
        response = client.request(method, path, body, headers)
    except _FAILURES as exc:
        client.close()
        if client.connected:
            raise _broken(exc) from exc
        raise NotConnected(str(exc)) from exc
    except BaseException:
        # The greenlet is ended while it waits for the reply: its connection
        # must not stay open until the collector finds it.
        client.close()
        raise

    def close() -> None:
        response.release()
        client.close()

    return Reply(
        response.status_code,
        str(response.get('content-type', '')),
        response,
        close,
    )


def read_body(reply: Reply, limit: int) -> bytes:
    """Read the rest of a plain reply; raises AnswerFailed."""
    try:
        data = reply.response.read(limit + 1)
        if len(data) > limit:
            raise AnswerFailed(f'an answer over {limit} bytes')
        return bytes(data)
    except _FAILURES as exc:
        raise _broken(exc) from exc


def events(reply: Reply) -> Iterator[str]:
    """Give the data of each server-sent event; raises AnswerFailed."""
    try:
        for event in sseclient.SSEClient(_chunks(reply)).events():
            yield event.data
    except _FAILURES as exc:
        raise _broken(exc) from exc


_FAILURES = (OSError, TimeoutError, responses.HTTPParseError)


def _broken(exc: BaseException) -> AnswerFailed:
    reason = str(exc) or type(exc).__name__
    return AnswerFailed(reason, crashed=not isinstance(exc, TimeoutError))


class _OneSendClient(geventhttpclient.HTTPClient):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.connected = False
        self._open = self._connection_pool.get_socket
        pool: Any = self._connection_pool
        pool.get_socket = self._get_socket_once

    def _get_socket_once(self) -> Any:
        if self.connected:
            raise ConnectionError('broke after it was sent')
        sock = self._open()
        self.connected = True
        return sock


def _chunks(reply: Reply) -> Iterator[bytes]:
    # An event ends with an empty line; readline hands each line on as soon
    # as it is there, where a read of a fixed size would hold tokens back.
    while True:
        line = reply.response.readline(b'\n')
        if not line:
            return
        yield bytes(line)
