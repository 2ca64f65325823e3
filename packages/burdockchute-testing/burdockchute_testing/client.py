"""A minimal HTTP client for tests, the demo and the benches.

>>> from burdockchute_testing import client
>>> client.get('http://127.0.0.1:8000/load').status  # doctest: +SKIP
200
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from http import client as http_client
import json
import time
from typing import Any
from typing import NamedTuple

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

TIMEOUT_S = 30.0
DATA = 'data: '
EVENT = 'event: '
DONE = '[DONE]'

_FAILURES = (OSError, EOFError, ValueError, http_client.HTTPException)


class Response(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class Event(NamedTuple):
    """One server-sent event with its arrival time in monotonic seconds."""

    name: str
    data: str
    at: float


class NoResponse(Exception):  # noqa: N818
    """The request failed before a complete response was received."""


def get(url: str, timeout_s: float = TIMEOUT_S) -> Response:
    """Send a GET; raises NoResponse."""
    return call('GET', url, timeout_s=timeout_s)


def post(
    url: str,
    document: object,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Response:
    """Send a POST with a JSON body; raises NoResponse."""
    body = json.dumps(document).encode()
    return call('POST', url, body, headers, timeout_s)


def call(
    method: str,
    url: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Response:
    """Send a request and read the complete response; raises NoResponse."""
    client = _client(url, timeout_s)
    try:
        answer = client.request(
            method, URL(url).request_uri, body, dict(headers or {})
        )
        return Response(
            answer.status_code, _headers(answer), bytes(answer.read())
        )
    except _FAILURES as exc:
        raise NoResponse(f'{method} {url}: {exc!r}') from exc
    finally:
        client.close()


class Stream:
    """A response that is read event by event; `close` ends it early."""

    def __init__(
        self,
        url: str,
        document: object,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._client = _client(url, timeout_s)
        self._url = url
        try:
            self._answer = self._client.request(
                'POST',
                URL(url).request_uri,
                json.dumps(document).encode(),
                dict(headers or {}),
            )
        except _FAILURES as exc:
            self._client.close()
            raise NoResponse(f'POST {url}: {exc!r}') from exc
        self.status: int = self._answer.status_code
        self.headers = _headers(self._answer)

    def events(self) -> Iterator[Event]:
        """Yield the events as they arrive; raises NoResponse if cut off."""
        while block := self._block():
            name = data = ''
            for line in block.decode().splitlines():
                if line.startswith(EVENT):
                    name = line[len(EVENT) :].strip()
                elif line.startswith(DATA):
                    data += line[len(DATA) :]
            yield Event(name, data, time.monotonic())

    def read(self) -> bytes:
        """Return the remaining body; raises NoResponse if cut off."""
        try:
            return bytes(self._answer.read())
        except _FAILURES as exc:
            raise NoResponse(f'POST {self._url}: {exc!r}') from exc

    def close(self) -> None:
        """Close the connection, during the stream or after it."""
        # Closing only the client would leave a connection in use open.
        self._answer.release()
        self._client.close()

    def _block(self) -> bytes:
        try:
            return bytes(self._answer.readline(b'\n\n'))
        except _FAILURES as exc:
            raise NoResponse(f'POST {self._url}: {exc!r}') from exc


def _client(url: str, timeout_s: float) -> HTTPClient:
    return HTTPClient.from_url(
        URL(url), connection_timeout=timeout_s, network_timeout=timeout_s
    )


def _headers(answer: Any) -> dict[str, str]:
    return {name.lower(): value for name, value in answer.items()}
