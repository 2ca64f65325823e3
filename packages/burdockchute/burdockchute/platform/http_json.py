"""One HTTP request that gives JSON, with a deadline on the whole of it.

A connection can go silent for good, or its answer can trickle; either would
hold the caller for ever if only each read had a timeout. Where an answer may
be long and the link thin, each part of a given size has a deadline instead,
so that one that comes along is not given up.
"""

from __future__ import annotations

from collections.abc import Mapping
import json
import socket
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

import gevent
import geventhttpclient
from returns.result import Failure
from returns.result import Result
from returns.result import Success

CONNECT_TIMEOUT_S = 2.0

# The library adds one to what its pool says.
NO_REPEATS = -1

# At 1 Mbit/s, what the thinnest links are squeezed to, this takes 0.13 s.
PART_BYTES = 16 * 1024


class RawReply(NamedTuple):
    """Status, body and headers of an answer; names are in lower case."""

    status: int
    body: bytes
    retry_after_s: float
    headers: Mapping[str, str] = MappingProxyType({})


class Reply(NamedTuple):
    """Status and JSON of an answer; None where the body is no JSON."""

    status: int
    body: Any
    retry_after_s: float


class NotSent(NamedTuple):
    """No connection was made, so the other side knows nothing of it."""

    reason: str


class NoReply(NamedTuple):
    """It may have taken effect, but no whole answer came."""

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
    if not with_retries:
        # The library repeats as often as its pool has connections and once
        # more. It has no setting for that.
        client._connection_pool.size = NO_REPEATS
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
        lambda raw: Reply(raw.status, _json(raw.body), raw.retry_after_s)
    )


def fetch(
    client: geventhttpclient.HTTPClient,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    part_timeout_s: float | None = None,
) -> Result[RawReply, NotSent | NoReply]:
    """Make one request; retries only as `make_client` describes.

    With `part_timeout_s`, `timeout_s` limits the time to the head of the
    response and `part_timeout_s` the time for each PART_BYTES of its body.
    """
    response = None
    try:
        with gevent.Timeout(timeout_s):
            response = client.request(method, path, body)
            if part_timeout_s is None:
                data = bytes(response.read())
        if part_timeout_s is not None:
            data = _by_parts(response, part_timeout_s)
        return Success(
            RawReply(
                response.status_code,
                data,
                _seconds(response.get('retry-after')),
                {name.lower(): value for name, value in response.items()},
            )
        )
    except gevent.Timeout:
        # It is no OSError, which the library might take for a connection
        # that broke, and go on without any bound.
        return Failure(NoReply('no answer in time'))
    except (ConnectionRefusedError, socket.gaierror) as exc:
        return Failure(NotSent(str(exc)))
    except (OSError, geventhttpclient.response.HTTPParseError) as exc:
        return Failure(NoReply(str(exc) or type(exc).__name__))
    finally:
        # An answer that was not read to its end must not lend its
        # connection to the next request, which would read the rest of it.
        if response is not None and not response.message_complete:
            response.release()


def _by_parts(response: Any, part_timeout_s: float) -> bytes:
    parts: list[bytes] = []
    while True:
        with gevent.Timeout(part_timeout_s):
            part = bytes(response.read(PART_BYTES))
        if not part:
            return b''.join(parts)
        parts.append(part)


def _json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _seconds(text: Any) -> float:
    try:
        return max(0.0, float(text or 0))
    except (TypeError, ValueError):
        return 0.0
