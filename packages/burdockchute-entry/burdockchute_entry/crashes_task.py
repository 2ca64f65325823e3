"""Shares reports of requests that crash upstreams with all entries.

They are shared through the log, where such records are rare: one for each
request in flight in a crash.
"""

from __future__ import annotations

from collections.abc import Callable
import json
from typing import Any
import uuid

import gevent
from gevent import queue
from returns.result import Failure

from burdockchute import documents
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

# How long to retry the append of a crash report. Callers that send their
# request again have done so by then.
APPEND_TIMEOUT_S = 120.0


class CrashesTask:
    """Appends each CrashReport in `inbox`; publishes each PeerCrashReport."""

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
        # Identifies this process, to skip its own records. The entry's name
        # would not do, since a restarted entry needs the records that it wrote
        # before.
        self._writer = uuid.uuid4().hex
        self._offset = -1

    def run(self) -> None:
        """Append the crash reports of this entry, forever."""
        while True:
            self._append(self.inbox.get())

    def read_forever(self) -> None:
        """Publish the crash reports of the other entries, forever."""
        while True:
            if not self._read():
                gevent.sleep(RETRY_S)

    def _append(self, report: CrashReport) -> None:
        data = encode(report, self._writer, self._now_unix())
        until = self._now() + APPEND_TIMEOUT_S
        while self._now() < until:
            appended = self._log.append(STREAM, data)
            if not isinstance(appended, Failure):
                return
            # A duplicate record is harmless: crashes of one upstream within a
            # second count once.
            gevent.sleep(RETRY_S)
        logs.warn('crash_not_told', fingerprint=report.fingerprint)

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


def encode(report: CrashReport, writer: str, now_unix: float) -> str:
    """Return the log record of a crash report."""
    document = {'v': FORMAT, 'writer': writer, 'at': now_unix}
    return json.dumps(document | report._asdict(), separators=(',', ':'))


def decode(data: str, writer: str, now_unix: float) -> PeerCrashReport | None:
    """Return the report in a record, None for own and unreadable records."""
    try:
        document: Any = json.loads(data)
        if document['v'] != FORMAT or document['writer'] == writer:
            return None
        report = CrashReport(
            str(document['fingerprint']),
            str(document['upstream']),
            bool(document['alone']),
            bool(document['convicted']),
        )
        return PeerCrashReport(
            report, max(0.0, now_unix - float(document['at']))
        )
    except documents.INVALID:
        return None
