"""The history of the table: each record in the log with its verdict."""

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
    """One record, with its verdict and edits as text."""

    offset: int
    at: str
    by: str
    verdict: str
    edits: str


def read_history(
    log: Log, key: RowKey | None = None
) -> Result[list[HistoryEntry], LogError]:
    """Return the history of the table, or of one row, oldest first."""
    result = log.extent(table_log.STREAM)
    if isinstance(result, Failure):
        return result
    extent = result.unwrap()
    read = table_log.read_range(log, extent.earliest, extent.next_offset)
    if isinstance(read, Failure):
        return read
    table = (
        EMPTY_TABLE
        if extent.earliest == 0
        else _oldest_snapshot(read.unwrap())
    )
    entries = _replay(read.unwrap(), table)
    return Success(
        [entry for keys, entry in entries if key is None or key in keys]
    )


def _oldest_snapshot(log_records: list[LogRecord]) -> Table | None:
    for record in log_records:
        parsed = records.parse(record.data, '').value_or(None)
        if isinstance(parsed, records.SnapshotRecord):
            if parsed.table.offset + 1 >= log_records[0].offset:
                return parsed.table
    return None


def _replay(
    log_records: list[LogRecord], table: Table | None
) -> Iterator[tuple[set[RowKey], HistoryEntry]]:
    for offset, data in log_records:
        place = reducer.place_of(offset)
        parsed = records.parse_edit(data, place)
        if isinstance(parsed, Failure):
            text = '; '.join(f'{f.place}: {f.text}' for f in parsed.failure())
            yield set(), HistoryEntry(offset, '', '', 'not a record', text)
        else:
            edit = parsed.unwrap()
            if edit is not None:
                keys = {row_edit.key for row_edit in edit.edits}
                yield keys, _history_entry(table, offset, edit)
        if table is not None and offset > table.offset:
            table, _findings = reducer.apply_record(table, offset, data)


def _history_entry(
    table: Table | None, offset: int, record: EditRecord
) -> HistoryEntry:
    # The verdict on a record from before the oldest snapshot depends on
    # records that have been trimmed.
    verdict = 'no longer known'
    rows = {}
    if table is not None and offset > table.offset:
        evaluated = reducer.evaluate_edit(table, offset, record)
        is_accepted = isinstance(evaluated, reducer.Accepted)
        text = reducer.describe(evaluated)
        verdict = text if is_accepted else f'refused: {text}'
        rows = dict(table.rows)
    edits = table_text.describe_edits(record.edits, rows)
    return HistoryEntry(offset, record.at, record.by, verdict, edits)
