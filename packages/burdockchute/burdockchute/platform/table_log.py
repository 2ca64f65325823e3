"""The table in the log: how a reader finds where to start.

A reader looks from the end of the stream backwards for the newest snapshot
that it can go on from, so that its start costs the same however long the
stream is.
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

# How often a start is tried anew because retention passed it meanwhile.
MAX_TRIES = 3


class LoadedTable(NamedTuple):
    """The table at the end of the stream.

    Read on from `next_offset`. `snapshot_as_of` is that of the newest
    snapshot, -1 without; `edits` is how many records followed it.
    """

    table: Table
    next_offset: int
    snapshot_as_of: int
    edits: int
    findings: tuple[Finding, ...]


class Lost(NamedTuple):
    """Records were trimmed and no snapshot is left to start from."""

    earliest: int


def load(log: Log) -> Result[LoadedTable, LogError | Lost]:
    """Read the table as it is at the end of the stream now."""
    loaded: Result[LoadedTable, LogError | Lost] = Failure(Trimmed(0))
    for _number in range(MAX_TRIES):
        loaded = _load_once(log)
        if isinstance(loaded, Success):
            return loaded
        if not isinstance(loaded.failure(), Trimmed):
            return loaded
    return loaded


def snapshot_as_of(data: str) -> int:
    """Give the offset of a snapshot's table, -1 for any other record."""
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
    """Tell whether a batch of that many records reached the end."""
    return count < MAX_RECORDS


def _load_once(log: Log) -> Result[LoadedTable, LogError | Lost]:
    asked = log.extent(STREAM)
    if isinstance(asked, Failure):
        return asked
    extent = asked.unwrap()
    held: list[LogRecord] = []
    low = extent.next_offset
    step = MAX_RECORDS
    while True:
        start = max(extent.earliest, low - step)
        read = read_range(log, start, low)
        if isinstance(read, Failure):
            return read
        held = read.unwrap() + held
        low = start
        snapshot = _newest_snapshot(read.unwrap(), extent)
        if snapshot is not None:
            return _load_from(log, extent, held, snapshot)
        if start <= extent.earliest:
            break
        step *= 2
    # A stream begins at offset 0, so nothing has been trimmed from one that
    # is still kept from there.
    if extent.earliest > 0:
        return Failure(Lost(extent.earliest))
    return Success(_loaded(EMPTY_TABLE, held, extent, NO_OFFSET))


def _newest_snapshot(held: list[LogRecord], extent: Extent) -> Table | None:
    # A snapshot serves only if every record after its offset is kept. One
    # whose writer was paused before it appended it may be older than that.
    candidates = [
        (as_of, record)
        for record in held
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
    log: Log, extent: Extent, held: list[LogRecord], table: Table
) -> Result[LoadedTable, LogError | Lost]:
    first_held = held[0].offset
    if table.offset + 1 < first_held:
        read = read_range(log, table.offset + 1, first_held)
        if isinstance(read, Failure):
            return read
        held = read.unwrap() + held
    return Success(_loaded(table, held, extent, table.offset))


def _loaded(
    table: Table, held: list[LogRecord], extent: Extent, as_of: int
) -> LoadedTable:
    after = [record for record in held if record.offset > table.offset]
    reduced = reducer.apply_all(table, after)
    next_offset = max(extent.next_offset, reduced.table.offset + 1)
    return LoadedTable(
        reduced.table,
        next_offset,
        as_of,
        len(after),
        tuple(reduced.findings),
    )
