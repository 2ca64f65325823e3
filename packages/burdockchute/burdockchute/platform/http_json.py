"""HTTP requests with a deadline on the complete response, decoded as JSON.

A connection can go silent for good, or its response can trickle in; with a
timeout on each read only, either could block the caller without limit. Where
a response may be long and the link slow, each part of a given size has a
deadline instead, so that a response that makes progress is not cancelled.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import socket
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

import gevent
import geventhttpclient
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import documents
from burdockchute import reply_limits

CONNECT_TIMEOUT_S = 2.0

# The library makes one attempt more than the size of its pool says.
POOL_SIZE_WITHOUT_RETRIES = -1

# At 1 Mbit/s, the rate to which the slowest links drop, this takes 0.13 s.
PART_BYTES = 16 * 1024

# A body of 2 MB takes 16 s over such a link.
MAX_BODY_S = 60.0


class RawReply(NamedTuple):
    """Status, body and headers of a response; header names in lower case."""

    status: int
    body: bytes
    retry_after_s: float
    headers: Mapping[str, str] = MappingProxyType({})


class Reply(NamedTuple):
    """Status and JSON of a response; `body` is None if it is no JSON."""

    status: int
    body: Any
    retry_after_s: float


class NotSent(NamedTuple):
    """No connection was made, so the request did not reach the server."""

    reason: str


class NoReply(NamedTuple):
    """No complete response; the request may have taken effect."""

    reason: str


def make_client(
    url: str,
    concurrency: int,
    connect_s: float = CONNECT_TIMEOUT_S,
    with_retries: bool = True,
) -> geventhttpclient.HTTPClient:
    """Return a client that reuses its connections.

    `with_retries` makes it resend a GET whose connection breaks, at once and
    a few times. That helps where one connection of several is reset, as at
    an origin with few connections. Where all of them are reset, it only
    multiplies the calls.
    """
    client = geventhttpclient.HTTPClient.from_url(
        url,
        concurrency=concurrency,
        connection_timeout=connect_s,
        network_timeout=None,
    )
    reply_limits.limit_replies(client)
    if not with_retries:
        # The library retries once for each connection of its pool and once
        # more. It has no setting for that.
        client._connection_pool.size = POOL_SIZE_WITHOUT_RETRIES
    return client


def request_json(
    client: geventhttpclient.HTTPClient,
    method: str,
    path: str,
    body: str,
    timeout_s: float,
) -> Result[Reply, NotSent | NoReply]:
    """Make one request for JSON, as `fetch` does."""
    return fetch(client, method, path, body.encode(), timeout_s).map(
        lambda raw: Reply(raw.status, _parse_json(raw.body), raw.retry_after_s)
    )


def fetch(
    client: geventhttpclient.HTTPClient,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    part_timeout_s: float | None = None,
    on_head: Callable[[], None] = lambda: None,
) -> Result[RawReply, NotSent | NoReply]:
    """Make one request; retries only as `make_client` describes.

    With `part_timeout_s`, `timeout_s` limits the time to the head of the
    response and `part_timeout_s` the time for each PART_BYTES of its body,
    which also has MAX_BODY_S in total. `on_head` is called between the two.
    """
    response = None
    try:
        with gevent.Timeout(timeout_s):
            response = client.request(method, path, body)
            on_head()
            reply_limits.allow_body(response)
            if part_timeout_s is None:
                data = bytes(response.read())
        if part_timeout_s is not None:
            with gevent.Timeout(MAX_BODY_S):
                data = _read_in_parts(response, part_timeout_s)
        return Success(
            RawReply(
                response.status_code,
                data,
                _parse_seconds(response.get('retry-after')),
                {name.lower(): value for name, value in response.items()},
            )
        )
    except gevent.Timeout:
        # This is not an OSError, which the library could take for a broken
        # connection and retry without a time limit.
        return Failure(NoReply('no answer in time'))
    except (ConnectionRefusedError, socket.gaierror) as exc:
        return Failure(NotSent(str(exc)))
    except RuntimeError as exc:
        # gevent looks addresses up in a thread, and none can be started.
        return Failure(NotSent(str(exc)))
    except (OSError, geventhttpclient.response.HTTPParseError) as exc:
        return Failure(NoReply(str(exc) or type(exc).__name__))
    finally:
        # The connection of a response that was not fully read must not be
        # reused: the next request would read the remainder.
        if response is not None and not response.message_complete:
            response.release()


def _read_in_parts(response: Any, part_timeout_s: float) -> bytes:
    parts: list[bytes] = []
    while True:
        with gevent.Timeout(part_timeout_s):
            part = bytes(response.read(PART_BYTES))
        if not part:
            return b''.join(parts)
        parts.append(part)


def _parse_json(data: bytes) -> Any:
    try:
        return documents.load(data)
    except documents.INVALID:
        return None


def _parse_seconds(text: Any) -> float:
    try:
        return max(0.0, float(text or 0))
    except (TypeError, ValueError):
        return 0.0
