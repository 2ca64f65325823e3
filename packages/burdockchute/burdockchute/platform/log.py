"""Client of the platform's append-only log service.

A stream has records at increasing offsets, kept for a limited time. Errors
are typed, since each requires a different reaction: wait, start from a
snapshot, slow down, or check whether the append took effect.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol
from urllib import parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import documents
from burdockchute.platform import http_json

DEFAULT_TIMEOUT_S = 5.0
DEFAULT_CONCURRENCY = 8

# Messages between our processes carry offsets in 64 bits.
MAX_OFFSET = 2**53


class Unavailable(NamedTuple):
    """The service did not accept the request; nothing was appended."""

    reason: str


class Trimmed(NamedTuple):
    """The requested offset is past retention; `earliest` is the oldest."""

    earliest: int


class RateLimited(NamedTuple):
    """Too many appends, nothing was appended; retry in `retry_after_s`."""

    retry_after_s: float


class Unsure(NamedTuple):
    """The reply was lost: the record may or may not have been appended."""

    reason: str


class Refused(NamedTuple):
    """The service refuses this request, now and later."""

    status: int


LogError = Unavailable | Trimmed | RateLimited | Unsure | Refused


class LogRecord(NamedTuple):
    """One record with its offset."""

    offset: int
    data: str


class Batch(NamedTuple):
    """Records in the order of offsets; continue reading at `next_offset`."""

    records: tuple[LogRecord, ...]
    next_offset: int


class Extent(NamedTuple):
    """Offsets of the oldest record kept and of the next to be appended."""

    earliest: int
    next_offset: int


class Log(Protocol):
    """The operations of the log service that the tasks use."""

    def append(self, stream: str, data: str) -> Result[int, LogError]:
        """Append one record and return its offset."""

    def read(
        self, stream: str, from_offset: int, max_records: int, wait_s: float
    ) -> Result[Batch, LogError]:
        """Read records; waits up to `wait_s` while there are none."""

    def extent(self, stream: str) -> Result[Extent, LogError]:
        """Return the offsets that the stream covers."""


class LogClient:
    """The log service over HTTP; safe to share between greenlets."""

    def __init__(
        self,
        url: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        concurrency: int = DEFAULT_CONCURRENCY,
    ) -> None:
        self._client = http_json.make_client(url, concurrency)
        self._timeout_s = timeout_s

    def append(self, stream: str, data: str) -> Result[int, LogError]:
        """Append one record and return its offset.

        Fails with `Unsure` if no reply was received although the record may
        be in the log. Before it is appended again, the log must be searched
        for its id.
        """
        result = http_json.request_json(
            self._client, 'POST', _path(stream), data, self._timeout_s
        )
        if isinstance(result, Failure):
            return Failure(_transport_error(result.failure()))
        reply = result.unwrap()
        offset = _get_member(reply, 'offset')
        if reply.status == 200 and isinstance(offset, int):
            return Success(offset)
        if reply.status == 200 or 500 <= reply.status != 503:
            return Failure(Unsure(f'status {reply.status}'))
        return Failure(_status_error(reply))

    def read(
        self, stream: str, from_offset: int, max_records: int, wait_s: float
    ) -> Result[Batch, LogError]:
        """Read records; waits up to `wait_s` while there are none."""
        query = f'?from={from_offset}&max={max_records}'
        if wait_s > 0:
            query += f'&wait_ms={int(wait_s * 1000)}'
        result = http_json.request_json(
            self._client,
            'GET',
            _path(stream) + query,
            '',
            self._timeout_s + wait_s,
        )
        if isinstance(result, Failure):
            return Failure(Unavailable(result.failure().reason))
        reply = result.unwrap()
        if reply.status != 200:
            return Failure(_status_error(reply))
        return _parse_batch(reply.body)

    def extent(self, stream: str) -> Result[Extent, LogError]:
        """Return the offsets that the stream covers."""
        result = http_json.request_json(
            self._client,
            'GET',
            _path(stream) + '/earliest',
            '',
            self._timeout_s,
        )
        if isinstance(result, Failure):
            return Failure(Unavailable(result.failure().reason))
        reply = result.unwrap()
        if reply.status != 200:
            return Failure(_status_error(reply))
        try:
            extent = Extent(
                _offset(reply.body['earliest']), _offset(reply.body['next'])
            )
        except documents.INVALID:
            return Failure(Unavailable('an answer without offsets'))
        return Success(extent)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _path(stream: str) -> str:
    return f'/streams/{parse.quote(stream, safe="")}'


def _transport_error(error: http_json.NotSent | http_json.NoReply) -> LogError:
    if isinstance(error, http_json.NotSent):
        return Unavailable(error.reason)
    return Unsure(error.reason)


def _status_error(reply: http_json.Reply) -> LogError:
    if reply.status == 410:
        earliest = _get_member(reply, 'earliest')
        if isinstance(earliest, int):
            return Trimmed(earliest)
    if reply.status == 429:
        return RateLimited(reply.retry_after_s)
    if 400 <= reply.status < 500:
        return Refused(reply.status)
    return Unavailable(f'status {reply.status}')


def _get_member(reply: http_json.Reply, name: str) -> Any:
    return reply.body.get(name) if isinstance(reply.body, dict) else None


def _parse_batch(body: Any) -> Result[Batch, LogError]:
    try:
        records = _parse_records(body['records'])
        return Success(Batch(records, _offset(body['next'])))
    except documents.INVALID:
        return Failure(Unavailable('an answer that is no batch'))


def _offset(value: Any) -> int:
    offset = int(value)
    if not 0 <= offset <= MAX_OFFSET:
        raise ValueError('an offset is out of range')
    return offset


def _parse_records(items: Sequence[Any]) -> tuple[LogRecord, ...]:
    return tuple(
        LogRecord(_offset(item['offset']), str(item['data'])) for item in items
    )
