"""A stand-in for the platform's log service.

A log has streams of records with increasing offsets, which may have gaps.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import random
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event

from burdockchute_testing.standins import buckets
from burdockchute_testing.standins import serving

MAX_READ = 1000
MAX_WAIT_MS = 30_000

FAULTS: dict[str, Any] = {
    'outage': False,
    'slow_s': 0.0,
    'lose_replies': 0.0,  # share of appends and reads
    'appends_per_s': None,
    'retention_s': None,
    'trim': None,  # {"stream", "before"}: takes effect once
    'seed': None,
}


class Record(NamedTuple):
    """One appended record; `at` is in seconds of the process clock."""

    offset: int
    at: float
    data: str


class Stream:
    """The retained records of one stream."""

    def __init__(self) -> None:
        self.records: collections.deque[Record] = collections.deque()
        self.earliest = 0
        self.next = 0
        self.appended = event.Event()

    def trim(self, before: int) -> None:
        """Remove the records before an offset."""
        while self.records and self.records[0].offset < before:
            self.records.popleft()
        self.earliest = max(self.earliest, min(before, self.next))

    def expire(self, before: float) -> None:
        """Remove the records appended before a time."""
        while self.records and self.records[0].at < before:
            self.earliest = self.records.popleft().offset + 1

    def append(self, offset: int, now: float, data: str) -> None:
        """Store one record and wake the waiting readers."""
        self.records.append(Record(offset, now, data))
        self.next = offset + 1
        self.appended.set()
        self.appended = event.Event()


class LogService:
    """All streams, with the rate limit, the retention and the faults."""

    def __init__(
        self,
        seed: int = 1,
        appends_per_s: float = 0.0,
        retention_s: float = 0.0,
        gap_share: float = 0.1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self._streams: dict[str, Stream] = {}
        self._gap_share = gap_share
        self._limits = (appends_per_s, retention_s)
        self._retention_s = retention_s
        self._bucket = self._new_bucket(appends_per_s)
        self._faults = dict(FAULTS)
        self._counts = {'appends': 0, 'reads': 0, 'bytes_read': 0}

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            return self._set_faults(request)
        if request.path == '/stats':
            return serving.json_reply(200, self._counts)
        gevent.sleep(self._faults['slow_s'])
        if self._faults['outage']:
            return serving.json_reply(503, {'error': 'outage'})
        reply = self._answer(request)
        if self._rng.random() < self._faults['lose_replies']:
            raise serving.LostReply
        return reply

    def _answer(self, request: serving.Request) -> serving.Reply:
        parts = request.path.strip('/').split('/')
        if parts[0] != 'streams' or len(parts) not in (2, 3):
            return serving.json_reply(404, {'error': 'no such path'})
        stream = self._streams.setdefault(parts[1], Stream())
        self._expire(stream)
        if parts[2:] == ['earliest']:
            extent = {'earliest': stream.earliest, 'next': stream.next}
            return serving.json_reply(200, extent)
        if request.method == 'POST':
            return self._append(stream, request)
        return self._read(stream, request)

    def _append(
        self, stream: Stream, request: serving.Request
    ) -> serving.Reply:
        now = self._clock()
        if not self._bucket.take(1, now):
            return serving.json_reply(
                429, {'error': 'append rate'}, Retry_After='1'
            )
        try:
            data = request.body.decode()
        except UnicodeDecodeError as exc:
            raise serving.BadRequest(f'body: {exc}') from exc
        gap = 1 if self._rng.random() < self._gap_share else 0
        offset = stream.next + gap
        stream.append(offset, now, data)
        self._counts['appends'] += 1
        return serving.json_reply(200, {'offset': offset})

    def _read(self, stream: Stream, request: serving.Request) -> serving.Reply:
        start = serving.query_integer(request, 'from', 0)
        limit = min(serving.query_integer(request, 'max', 500), MAX_READ)
        wait_ms = serving.query_integer(request, 'wait_ms', 0)
        if start >= stream.next and wait_ms:
            stream.appended.wait(min(wait_ms, MAX_WAIT_MS) / 1000)
            if self._faults['outage']:
                return serving.json_reply(503, {'error': 'outage'})
            self._expire(stream)
        if start < stream.earliest:
            return serving.json_reply(410, {'earliest': stream.earliest})
        records = _records_from(stream, start, limit)
        reply = serving.json_reply(
            200,
            {
                'records': [
                    {'offset': r.offset, 'data': r.data} for r in records
                ],
                'next': records[-1].offset + 1 if records else start,
            },
        )
        self._counts['reads'] += 1
        self._counts['bytes_read'] += len(reply.body)  # type: ignore
        return reply

    def _expire(self, stream: Stream) -> None:
        if self._retention_s:
            stream.expire(self._clock() - self._retention_s)

    def _set_faults(self, request: serving.Request) -> serving.Reply:
        faults = serving.merge_faults(FAULTS, request)
        if faults['seed'] is not None:
            self._rng = random.Random(faults['seed'])
        rate, retention_s = self._limits
        if faults['appends_per_s'] is not None:
            rate = faults['appends_per_s']
        if faults['retention_s'] is not None:
            retention_s = faults['retention_s']
        if faults['trim']:
            name = faults['trim']['stream']
            stream = self._streams.setdefault(name, Stream())
            stream.trim(faults['trim']['before'])
        if rate != self._bucket.rate:
            self._bucket = self._new_bucket(rate)
        self._retention_s = retention_s
        self._faults = faults
        return serving.json_reply(200, {})

    def _new_bucket(self, rate: float) -> buckets.Bucket:
        return buckets.Bucket(rate, self._clock(), burst=max(1.0, rate))


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.make_parser(__doc__)
    parser.add_argument('--appends-per-s', type=float, default=0.0)
    parser.add_argument('--retention-s', type=float, default=0.0)
    parser.add_argument('--gap-share', type=float, default=0.1)
    args = parser.parse_args()
    service = LogService(
        args.seed, args.appends_per_s, args.retention_s, args.gap_share
    )
    serving.run(service.handle, args)


def _records_from(stream: Stream, start: int, limit: int) -> list[Record]:
    # Most readers follow the end of the stream, so the search starts there.
    records: list[Record] = []
    for record in reversed(stream.records):
        if record.offset < start:
            break
        records.append(record)
    records.reverse()
    return records[:limit]


if __name__ == '__main__':
    main()
