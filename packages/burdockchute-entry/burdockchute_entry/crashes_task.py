"""Tells all entries of requests that crash upstreams, through the log.

Such records are rare: one for each request in flight in a crash.
"""

from __future__ import annotations

from collections.abc import Callable
import json
from typing import Any
import uuid

import gevent
from gevent import queue
from returns.result import Failure

from burdockchute import logs
from burdockchute.decisions import suspects
from burdockchute.model.crash_reports import CrashReport
from burdockchute.model.crash_reports import PeerCrashReport
from burdockchute.platform import log as platform_log
from burdockchute.platform.log import Log

STREAM = 'suspects'
FORMAT = 1

READ_WAIT_S = 5.0
RETRY_S = 1.0
MAX_RECORDS = 500

# News of a crash is worth waiting for the log so long; by then its resends
# have come or stay away.
APPEND_TIMEOUT_S = 120.0


class CrashesTask:
    """Takes CrashReport in `inbox`; `publish` gets each PeerCrashReport."""

    def __init__(
        self,
        log: Log,
        publish: Callable[[PeerCrashReport], None],
        now: Callable[[], float],
        now_unix: Callable[[], float],
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._log = log
        self._publish = publish
        self._now = now
        self._now_unix = now_unix
        # Our own records come back to us; a name would not do, since what
        # this entry wrote before a restart is news to it.
        self._writer = uuid.uuid4().hex
        self._offset = -1

    def run(self) -> None:
        """Append what was seen here, for ever."""
        while True:
            self._append(self.inbox.get())

    def read_forever(self) -> None:
        """Pass on what the other entries have seen."""
        while True:
            if not self._read():
                gevent.sleep(RETRY_S)

    def _append(self, seen: CrashReport) -> None:
        data = encode(seen, self._writer, self._now_unix())
        until = self._now() + APPEND_TIMEOUT_S
        while self._now() < until:
            appended = self._log.append(STREAM, data)
            if not isinstance(appended, Failure):
                return
            # A second copy does no harm: crashes of one upstream within a
            # second count once.
            gevent.sleep(RETRY_S)
        logs.warn('crash_not_told', fingerprint=seen.fingerprint)

    def _read(self) -> bool:
        if self._offset < 0:
            extent = self._log.extent(STREAM)
            if isinstance(extent, Failure):
                return False
            self._offset = extent.unwrap().earliest
        read = self._log.read(STREAM, self._offset, MAX_RECORDS, READ_WAIT_S)
        if isinstance(read, Failure):
            if isinstance(read.failure(), platform_log.Trimmed):
                self._offset = -1
            return False
        batch = read.unwrap()
        for record in batch.records:
            self._publish_record(record.data)
        self._offset = batch.next_offset
        return True

    def _publish_record(self, data: str) -> None:
        record = decode(data, self._writer, self._now_unix())
        if record is not None and record.age_s <= suspects.RECORD_TTL_S:
            self._publish(record)


def encode(seen: CrashReport, writer: str, now_unix: float) -> str:
    """Give the log record of a crash."""
    document = {'v': FORMAT, 'writer': writer, 'at': now_unix}
    return json.dumps(document | seen._asdict(), separators=(',', ':'))


def decode(data: str, writer: str, now_unix: float) -> PeerCrashReport | None:
    """Give what a record tells, None for our own and unreadable ones."""
    try:
        document: Any = json.loads(data)
        if document['v'] != FORMAT or document['writer'] == writer:
            return None
        seen = CrashReport(
            str(document['fingerprint']),
            str(document['upstream']),
            bool(document['alone']),
            bool(document['convicted']),
        )
        return PeerCrashReport(
            seen, max(0.0, now_unix - float(document['at']))
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
