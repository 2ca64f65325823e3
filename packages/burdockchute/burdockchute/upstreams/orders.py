"""Client of an engine: load and unload orders, and its reported state.

An order carries the fencing number of the agent that sends it. An engine
that checks fencing numbers refuses an older one; an engine that does not may
obey an agent that was paused and has been replaced. Callers must therefore
not take an accepted order for a loaded version: only `state` tells which
versions are loaded.
"""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from geventhttpclient import HTTPClient
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import documents
from burdockchute import reply_limits

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0


class LoadedWeights(NamedTuple):
    """Weights that an engine reports; `base` is set for adapters."""

    kind: str
    name: str
    digest: str
    base: str = ''


class EngineState(NamedTuple):
    """The state that an engine reports."""

    fence: int
    checks_fencing: bool
    loaded: frozenset[LoadedWeights]
    loading: frozenset[LoadedWeights]


class Order(NamedTuple):
    """An order to load or unload one set of weights.

    `source` is the URL from which the engine fetches the content, and
    `deadline_ms` the time for which the order is valid.
    """

    order: str
    kind: str
    name: str
    version: str
    digest: str
    base: str
    source: str
    fence: int
    deadline_ms: int


class OrderRefused(NamedTuple):
    """The engine has seen the higher fencing number `fence`."""

    fence: int


class EngineError(NamedTuple):
    """No usable reply; an order may or may not have taken effect."""

    text: str
    status: int = 0


class EngineClient:
    """Connections to one engine."""

    def __init__(self, url: str) -> None:
        parts = parse.urlsplit(url)
        self._prefix = parts.path.rstrip('/')
        self._client = HTTPClient(
            parts.hostname or '',
            parts.port or 80,
            concurrency=2,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=READ_TIMEOUT_S,
        )
        reply_limits.limit_replies(self._client)

    def state(self) -> Result[EngineState, EngineError]:
        """Read the weights that are loaded and being loaded."""
        reply = self._call('GET', '/state', b'', 200)
        if isinstance(reply, Failure):
            return reply
        try:
            return Success(_parse_state(documents.load(reply.unwrap())))
        except documents.INVALID as exc:
            return Failure(EngineError(f'no engine state: {exc!r}'))

    def send(self, order: Order) -> Result[str, OrderRefused | EngineError]:
        """Send an order; returns its id if the engine accepted it."""
        body = json.dumps(order._asdict()).encode()
        reply = self._call('POST', '/orders', body, 202)
        if isinstance(reply, Failure):
            return Failure(_refusal_or_error(reply.failure()))
        try:
            return Success(str(documents.load(reply.unwrap())['order_id']))
        except documents.INVALID as exc:
            return Failure(EngineError(f'no order reply: {exc!r}'))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _call(
        self, method: str, path: str, body: bytes, expected_status: int
    ) -> Result[bytes, EngineError]:
        headers = {'Content-Type': 'application/json'} if body else {}
        try:
            resp = self._client.request(
                method, self._prefix + path, body or None, headers
            )
            reply_limits.allow_body(resp)
            data = bytes(resp.read())
        except Exception as exc:
            # The client raises errors of several unrelated types when a
            # reply is cut off; all mean the same here.
            return Failure(EngineError(f'{type(exc).__name__}: {exc}'))
        if resp.status_code != expected_status:
            text = data.decode(errors='replace')
            return Failure(EngineError(text, resp.status_code))
        return Success(data)


def _refusal_or_error(error: EngineError) -> OrderRefused | EngineError:
    if error.status != 409:
        return error
    try:
        return OrderRefused(int(json.loads(error.text)['fence']))
    except documents.INVALID:
        return error


def _parse_state(document: Any) -> EngineState:
    return EngineState(
        fence=int(document['fence']),
        checks_fencing=bool(document['checks_fencing']),
        loaded=frozenset(_parse_loaded(item) for item in document['loaded']),
        loading=frozenset(_parse_loaded(item) for item in document['loading']),
    )


def _parse_loaded(item: Any) -> LoadedWeights:
    return LoadedWeights(
        str(item['kind']),
        str(item['name']),
        str(item['digest']),
        str(item.get('base') or ''),
    )
