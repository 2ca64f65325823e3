"""The task that follows the table's stream in the log.

It starts from the newest snapshot, reads the following records with long
polls, publishes each new table and writes snapshots when they are due. While
the log is unavailable it keeps its table and reports the age of it. It then
asks peers, since one of them may still reach the log or may have read further.

The table only moves to higher offsets, from the log and from peers alike.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import time
from typing import NamedTuple

import gevent
from gevent import event
from opentelemetry import metrics as otel
from returns.result import Failure

from burdockchute import logs
from burdockchute import metrics
from burdockchute.decisions import snapshots
from burdockchute.model import deltas
from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model.findings import Finding
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import NO_OFFSET
from burdockchute.model.table import Table
from burdockchute.platform import table_log
from burdockchute.platform.log import Batch
from burdockchute.platform.log import Log
from burdockchute.platform.log import LogError
from burdockchute.platform.log import Trimmed
from burdockchute.wire import messages

# Timeout of a long poll. 360 entries make 180 reads per second of an idle log.
# As the age is counted from the time of the request, an up-to-date table
# reaches an age of up to twice this timeout.
POLL_TIMEOUT_S = 2.0

RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0

# One second above the usual maximum age; with less, a slow reply would make
# all entries ask each other. Including the answer, it stays well within the
# 8 s in which an edit has to take effect.
ASK_PEERS_AGE_S = 2 * POLL_TIMEOUT_S + 1.0
ASK_PEERS_INTERVAL_S = 1.0
WATCH_INTERVAL_S = 0.25

# How long a new process waits for tables of further peers after the first, so
# that it does not start with the oldest of them.
PEER_TABLES_WAIT_S = 0.5

MAX_AGE_MS = 2**31 - 1
MAX_FINDINGS = 20
LOG_UP = 'up'


class WentBack(NamedTuple):
    """The log ends before a record that was already read."""

    next_offset: int


class TableStatus(NamedTuple):
    """The state of the table on the status page.

    `age_s` is the time since the table was last known to be the newest, None
    before there is one; while it grows, the log cannot be read. `log` is 'up'
    or the last error.
    """

    offset: int
    rows: int
    ready: bool
    age_s: float | None
    log: str
    snapshot_as_of: int
    findings: list[Finding]


class TableTask:
    """Owner of this entry's table; `run` is its greenlet.

    `publish` is called with each new table, never with an older one.
    `ask_peers` is called with the current offset when a TableRequest should be
    sent to peers; their answers go to `apply_peer_table`. Times are seconds of
    `clock`.
    """

    def __init__(
        self,
        log: Log,
        publish: Callable[[Table], None],
        retention_s: float,
        ask_peers: Callable[[int], None] = lambda offset: None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        poll_timeout_s: float = POLL_TIMEOUT_S,
    ) -> None:
        self.table = EMPTY_TABLE
        self.changes = deltas.RecentChanges()
        self.ready = event.Event()
        self._log = log
        self._publish = publish
        self._retention_s = retention_s
        self._ask_peers = ask_peers
        self._clock = clock
        self._rng = rng or random.Random()
        self._poll_timeout_s = poll_timeout_s
        self._next_offset = 0
        self._confirmed_at = float('-inf')
        self._asked_at = float('-inf')
        self._peer_table: deltas.Applied | None = None
        self._first_peer_table_at = 0.0
        self._peer_confirmed_at = float('-inf')
        self._retry_s = RETRY_MIN_S
        self._log_state = 'not read yet'
        self._findings: list[Finding] = []
        self._snapshots = snapshots.SnapshotState(NO_OFFSET, 0, float('inf'))
        self._snapshot_writer: gevent.Greenlet | None = None

    def run(self) -> None:
        """Follow the log forever; runs as a greenlet."""
        _register_gauges(self)
        gevent.spawn(self._watch, gevent.getcurrent())
        self._load_until_done()
        while True:
            sent_at = self._clock()
            read = self._log.read(
                table_log.STREAM,
                max(self._next_offset, self.table.offset + 1),
                table_log.MAX_RECORDS,
                self._poll_timeout_s,
            )
            if isinstance(read, Failure):
                self._on_error(read.failure())
            else:
                self._on_batch(read.unwrap(), sent_at)

    def age_s(self) -> float:
        """Return how long ago the table was last known to be the newest."""
        return self._clock() - self._confirmed_at

    def status(self) -> TableStatus:
        """Return the state of the table for the status page."""
        return TableStatus(
            self.table.offset,
            len(self.table.rows),
            self.ready.is_set(),
            round(self.age_s(), 3) if self.ready.is_set() else None,
            self._log_state,
            self._snapshots.as_of,
            list(self._findings),
        )

    def delta_for(self, offset: int) -> messages.TableDelta:
        """Return the rows that an agent at `offset` lacks, with their age."""
        return self._with_age(self.changes.since(offset, self.table))

    def answer(self, known_offset: int) -> messages.TableDelta | None:
        """Answer the TableRequest of a peer entry.

        None if the peer is ahead, or while this entry has no table.
        """
        if not self.ready.is_set() or known_offset > self.table.offset:
            return None
        if known_offset == self.table.offset:
            same = messages.TableDelta(known_offset, known_offset, [])
            return self._with_age(same)
        return self._with_age(deltas.full_table(self.table, with_seen=True))

    def apply_peer_table(self, delta: messages.TableDelta) -> None:
        """Apply the answer of a peer entry, unless its table is older."""
        now = self._clock()
        confirmed_at = now - (delta.age_ms or 0) / 1000
        if self.ready.is_set() and delta.to_offset == self.table.offset:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            return
        if delta.from_offset != NO_OFFSET or delta.forgotten is None:
            return
        current = self._peer_table.table if self._peer_table else self.table
        applied = deltas.apply_delta(current, delta).value_or(None)
        if applied is None or applied.table.offset <= current.offset:
            return
        self._record_findings(applied.findings)
        if self.ready.is_set():
            self._adopt(applied.table, confirmed_at, 'peer')
            return
        if self._peer_table is None:
            self._first_peer_table_at = now
        self._peer_table = applied
        self._peer_confirmed_at = confirmed_at

    def _watch(self, follower: gevent.Greenlet) -> None:
        # If a connection to the log goes silent, a read takes its full
        # timeout; peers must be asked before that.
        while not follower.dead:
            self._ask_peers_if_needed()
            gevent.sleep(WATCH_INTERVAL_S)

    def _load_until_done(self) -> None:
        while True:
            if self._load():
                return
            self._use_peer_table()
            self._back_off()
            if self.ready.is_set():
                return

    def _load(self) -> bool:
        sent_at = self._clock()
        loading = table_log.load(self._log)
        if isinstance(loading, Failure):
            self._log_failed(loading.failure())
            return False
        loaded = loading.unwrap()
        self._log_state = LOG_UP
        self._retry_s = RETRY_MIN_S
        self._next_offset = loaded.next_offset
        self._record_findings(loaded.findings)
        self._snapshots = snapshots.initial_state(
            loaded.snapshot_as_of,
            loaded.edits,
            self._clock(),
            self._retention_s,
            self._rng,
        )
        logs.event(
            'table_loaded',
            offset=loaded.table.offset,
            rows=len(loaded.table.rows),
            snapshot=loaded.snapshot_as_of,
            edits=loaded.edits,
        )
        self._adopt(loaded.table, sent_at, 'log')
        return True

    def _use_peer_table(self) -> None:
        if self._peer_table is None or self.ready.is_set():
            return
        if self._clock() - self._first_peer_table_at < PEER_TABLES_WAIT_S:
            return
        table = self._peer_table.table
        self._peer_table = None
        # Nothing is known about the snapshots in the log; any snapshot with
        # rows counts as newer than this.
        self._snapshots = snapshots.initial_state(
            0, 0, self._clock(), self._retention_s, self._rng
        )
        self._adopt(table, self._peer_confirmed_at, 'peer')

    def _adopt(self, table: Table, confirmed_at: float, source: str) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        is_first = not self.ready.is_set()
        if table.offset <= self.table.offset and not is_first:
            return
        self.changes.reset()
        self.changes.add(table.offset, ())
        self.table = table
        self.ready.set()
        logs.event('table_taken', offset=table.offset, source=source)
        self._publish(table)

    def _on_batch(self, batch: Batch, sent_at: float) -> None:
        if self._log_state != LOG_UP and not self._check_recovered_log():
            return
        self._next_offset = max(self._next_offset, batch.next_offset)
        old = self.table
        reduced = reducer.apply_all(old, batch.records)
        self._record_findings(reduced.findings)
        self._update_snapshots(batch)
        # The answer may be old when it is processed, if this process was
        # paused meanwhile; it only proves the state at the time of sending
        # the request.
        if table_log.reached_end(len(batch.records)):
            self._confirmed_at = max(self._confirmed_at, sent_at)
        if reduced.table.offset > old.offset:
            self.changes.add(old.offset, reduced.changed_rows)
            self.table = reduced.table
            if reduced.changed_rows:
                logs.event(
                    'table_applied',
                    offset=self.table.offset,
                    changed=len(reduced.changed_rows),
                )
                self._publish(self.table)
        self._write_snapshot_if_due()

    def _check_recovered_log(self) -> bool:
        """Whether a log that answers again has all records read from it.

        A log restored from an older copy assigns offsets a second time. A
        reader ahead of it would see nothing new and consider itself up to
        date. Such a log is treated as unavailable, so that the growing age
        shows the fault.
        """
        extent = self._log.extent(table_log.STREAM)
        if isinstance(extent, Failure):
            self._log_failed(extent.failure())
            self._back_off()
            return False
        if extent.unwrap().next_offset <= self.table.offset:
            self._log_failed(WentBack(extent.unwrap().next_offset))
            self._back_off()
            return False
        self._log_state = LOG_UP
        self._retry_s = RETRY_MIN_S
        logs.event('table_log_up', offset=self.table.offset)
        return True

    def _on_error(self, error: LogError) -> None:
        if isinstance(error, Trimmed):
            # The next records to read have passed their retention, so rows
            # edited meanwhile are only found in a snapshot.
            logs.warn(
                'table_trimmed',
                held=self.table.offset,
                earliest=error.earliest,
            )
            if self._load():
                return
        self._log_failed(error)
        self._back_off()

    def _log_failed(self, error: object) -> None:
        state = repr(error)
        if state != self._log_state:
            logs.warn('table_log_failed', error=state, age_s=self.age_s())
        self._log_state = state

    def _ask_peers_if_needed(self) -> None:
        now = self._clock()
        if self.ready.is_set() and self.age_s() < ASK_PEERS_AGE_S:
            return
        if now - self._asked_at < ASK_PEERS_INTERVAL_S:
            return
        self._asked_at = now
        current = self.table.offset if self.ready.is_set() else NO_OFFSET
        self._ask_peers(current)

    def _back_off(self) -> None:
        gevent.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _record_findings(
        self, found: list[Finding] | tuple[Finding, ...]
    ) -> None:
        for finding in found:
            logs.warn('table_finding', place=finding.place, text=finding.text)
        self._findings = [*self._findings, *found][-MAX_FINDINGS:]

    def _update_snapshots(self, batch: Batch) -> None:
        now = self._clock()
        for record in batch.records:
            as_of = NO_OFFSET
            if '"snapshot"' in record.data:
                as_of = table_log.snapshot_as_of(record.data)
            if as_of > NO_OFFSET:
                self._snapshots = snapshots.on_snapshot(
                    self._snapshots, as_of, now, self._retention_s, self._rng
                )
            else:
                self._snapshots = snapshots.on_edits(
                    self._snapshots, 1, now, self._rng
                )

    def _write_snapshot_if_due(self) -> None:
        if self._snapshot_writer and not self._snapshot_writer.ready():
            return
        now = self._clock()
        if snapshots.is_due(self._snapshots, self.table.offset, now):
            # In its own greenlet, since a large append must not delay the
            # reading of edits.
            self._snapshot_writer = gevent.spawn(
                self._write_snapshot, self.table
            )

    def _write_snapshot(self, table: Table) -> None:
        text = records.serialize(records.SnapshotRecord(table))
        appended = self._log.append(table_log.STREAM, text)
        if isinstance(appended, Failure):
            logs.warn(
                'table_snapshot_failed',
                as_of=table.offset,
                error=repr(appended.failure()),
            )
            # If the append did take effect, it counts once it is read.
            self._snapshots = snapshots.on_failure(
                self._snapshots, self._clock(), self._rng
            )
            return
        logs.event('table_snapshot', as_of=table.offset, bytes=len(text))
        self._snapshots = snapshots.on_snapshot(
            self._snapshots,
            table.offset,
            self._clock(),
            self._retention_s,
            self._rng,
        )

    def _with_age(self, delta: messages.TableDelta) -> messages.TableDelta:
        delta.age_ms = int(min(self.age_s() * 1000, MAX_AGE_MS))
        return delta


def _register_gauges(task: TableTask) -> None:
    def observe_age(
        _options: otel.CallbackOptions,
    ) -> list[otel.Observation]:
        return [otel.Observation(min(task.age_s(), MAX_AGE_MS / 1000))]

    def observe_offset(
        _options: otel.CallbackOptions,
    ) -> list[otel.Observation]:
        return [otel.Observation(task.table.offset)]

    metrics.meter().create_observable_gauge(
        'burdockchute.table.age', [observe_age], 's'
    )
    metrics.meter().create_observable_gauge(
        'burdockchute.table.offset', [observe_offset]
    )
