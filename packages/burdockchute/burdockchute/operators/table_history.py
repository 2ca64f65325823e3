"""What became of each record that the log still keeps."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model.records import EditRecord
from burdockchute.model.rows import RowKey
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.operators import table_text
from burdockchute.platform import table_log
from burdockchute.platform.log import Log
from burdockchute.platform.log import LogError
from burdockchute.platform.log import LogRecord


class HistoryEntry(NamedTuple):
    """One record with its verdict in words, and what it asked for."""

    offset: int
    at: str
    by: str
    verdict: str
    edits: str


def read_history(
    log: Log, key: RowKey | None = None
) -> Result[list[HistoryEntry], LogError]:
    """Give the past of the table, or of one row, oldest first."""
    asked = log.extent(table_log.STREAM)
    if isinstance(asked, Failure):
        return asked
    extent = asked.unwrap()
    read = table_log.read_range(log, extent.earliest, extent.next_offset)
    if isinstance(read, Failure):
        return read
    table = (
        EMPTY_TABLE
        if extent.earliest == 0
        else _oldest_snapshot(read.unwrap())
    )
    past = _replay(read.unwrap(), table)
    return Success([p for keys, p in past if key is None or key in keys])


def _oldest_snapshot(held: list[LogRecord]) -> Table | None:
    for record in held:
        parsed = records.parse(record.data, '').value_or(None)
        if isinstance(parsed, records.SnapshotRecord):
            if parsed.table.offset + 1 >= held[0].offset:
                return parsed.table
    return None


def _replay(
    held: list[LogRecord], table: Table | None
) -> Iterator[tuple[set[RowKey], HistoryEntry]]:
    for offset, data in held:
        place = reducer.place_of(offset)
        parsed = records.parse_edit(data, place)
        if isinstance(parsed, Failure):
            text = '; '.join(f'{f.place}: {f.text}' for f in parsed.failure())
            yield set(), HistoryEntry(offset, '', '', 'not a record', text)
        else:
            edit = parsed.unwrap()
            if edit is not None:
                keys = {one.key for one in edit.edits}
                yield keys, _past(table, offset, edit)
        if table is not None and offset > table.offset:
            table, _findings = reducer.apply_record(table, offset, data)


def _past(
    table: Table | None, offset: int, record: EditRecord
) -> HistoryEntry:
    # The verdict on a record from before the oldest snapshot hangs on
    # records that are no longer kept.
    verdict = 'no longer known'
    rows = {}
    if table is not None and offset > table.offset:
        judged = reducer.evaluate_edit(table, offset, record)
        is_accepted = isinstance(judged, reducer.Accepted)
        text = reducer.describe(judged)
        verdict = text if is_accepted else f'refused: {text}'
        rows = dict(table.rows)
    edits = table_text.describe_edits(record.edits, rows)
    return HistoryEntry(offset, record.at, record.by, verdict, edits)
