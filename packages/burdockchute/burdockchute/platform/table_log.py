"""Loads the table from the log.

A reader searches backwards from the end of the stream for the newest usable
snapshot, so that the cost of a start does not depend on the length of the
stream.
"""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model.findings import Finding
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import NO_OFFSET
from burdockchute.model.table import Table
from burdockchute.platform.log import Extent
from burdockchute.platform.log import Log
from burdockchute.platform.log import LogError
from burdockchute.platform.log import LogRecord
from burdockchute.platform.log import Trimmed

STREAM = reducer.STREAM
MAX_RECORDS = 500

# Attempts to load, as retention may trim records while they are being read.
MAX_LOAD_ATTEMPTS = 3


class LoadedTable(NamedTuple):
    """The table at the end of the stream.

    Reading continues at `next_offset`. `snapshot_as_of` is the offset of the
    table in the newest snapshot, -1 without one; `edits` is the number of
    records after it.
    """

    table: Table
    next_offset: int
    snapshot_as_of: int
    edits: int
    findings: tuple[Finding, ...]


class Lost(NamedTuple):
    """Records were trimmed, and there is no snapshot to start from."""

    earliest: int


def load(log: Log) -> Result[LoadedTable, LogError | Lost]:
    """Read the table as of the current end of the stream."""
    loaded: Result[LoadedTable, LogError | Lost] = Failure(Trimmed(0))
    for _number in range(MAX_LOAD_ATTEMPTS):
        loaded = _load_once(log)
        if isinstance(loaded, Success):
            return loaded
        if not isinstance(loaded.failure(), Trimmed):
            return loaded
    return loaded


def snapshot_as_of(data: str) -> int:
    """Return the offset of a snapshot's table, -1 for any other record."""
    head = records.parse_header(data, '')
    if isinstance(head, Failure) or head.unwrap()['type'] != 'snapshot':
        return NO_OFFSET
    as_of = head.unwrap().get('as_of')
    return as_of if isinstance(as_of, int) else NO_OFFSET


def read_range(
    log: Log, start: int, end: int
) -> Result[list[LogRecord], LogError]:
    """Read the records with offsets from `start` to before `end`."""
    found: list[LogRecord] = []
    while start < end:
        read = log.read(STREAM, start, MAX_RECORDS, 0)
        if isinstance(read, Failure):
            return read
        batch = read.unwrap()
        found.extend(r for r in batch.records if r.offset < end)
        if not batch.records:
            break
        start = batch.next_offset
    return Success(found)


def reached_end(count: int) -> bool:
    """Whether a batch of `count` records reached the end of the stream."""
    return count < MAX_RECORDS


def _load_once(log: Log) -> Result[LoadedTable, LogError | Lost]:
    result = log.extent(STREAM)
    if isinstance(result, Failure):
        return result
    extent = result.unwrap()
    log_records: list[LogRecord] = []
    low = extent.next_offset
    batch_size = MAX_RECORDS
    while True:
        start = max(extent.earliest, low - batch_size)
        read = read_range(log, start, low)
        if isinstance(read, Failure):
            return read
        log_records = read.unwrap() + log_records
        low = start
        snapshot = _newest_snapshot(read.unwrap(), extent)
        if snapshot is not None:
            return _load_from(log, extent, log_records, snapshot)
        if start <= extent.earliest:
            break
        batch_size *= 2
    # A stream starts at offset 0, so nothing has been trimmed from one whose
    # earliest offset is 0.
    if extent.earliest > 0:
        return Failure(Lost(extent.earliest))
    return Success(_replay(EMPTY_TABLE, log_records, extent, NO_OFFSET))


def _newest_snapshot(
    log_records: list[LogRecord], extent: Extent
) -> Table | None:
    # A snapshot is usable only if every record after its offset is still
    # kept. If its writer was paused before appending it, some may be trimmed.
    candidates = [
        (as_of, record)
        for record in log_records
        if '"snapshot"' in record.data
        and (as_of := snapshot_as_of(record.data)) + 1 >= extent.earliest
        and as_of > NO_OFFSET
    ]
    for _as_of, record in sorted(candidates, reverse=True):
        place = reducer.place_of(record.offset)
        parsed = records.parse(record.data, place)
        if isinstance(parsed, Failure):
            continue
        snapshot = parsed.unwrap()
        if isinstance(snapshot, records.SnapshotRecord):
            return snapshot.table
    return None


def _load_from(
    log: Log, extent: Extent, log_records: list[LogRecord], table: Table
) -> Result[LoadedTable, LogError | Lost]:
    first_offset = log_records[0].offset
    if table.offset + 1 < first_offset:
        read = read_range(log, table.offset + 1, first_offset)
        if isinstance(read, Failure):
            return read
        log_records = read.unwrap() + log_records
    return Success(_replay(table, log_records, extent, table.offset))


def _replay(
    table: Table, log_records: list[LogRecord], extent: Extent, as_of: int
) -> LoadedTable:
    after = [record for record in log_records if record.offset > table.offset]
    reduced = reducer.apply_all(table, after)
    next_offset = max(extent.next_offset, reduced.table.offset + 1)
    return LoadedTable(
        reduced.table,
        next_offset,
        as_of,
        len(after),
        tuple(reduced.findings),
    )
