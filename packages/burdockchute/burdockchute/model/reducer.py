"""The reducer: from the records of the log to the table.

Pure and total: the same records give the same table in every process, and
no record stops it. The log's order decides between two operators who edit
the same row at the same moment; every process takes the same one, and the
other's record is refused everywhere.

A reply of an append can be lost, so that a writer appends its record again,
and a log may deliver twice. A second copy could bring back a row that was
removed in between: an operator would see an old version return by itself.
So the ids of the last SEEN_RECORDS edits are part of the table, and an edit
whose writer read the table before the oldest id we still know is refused as
too old; its writer reads again and repeats it under a new id.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from returns.result import Failure

from burdockchute.model.findings import Finding
from burdockchute.model.records import EditRecord
from burdockchute.model.records import parse_edit
from burdockchute.model.records import RowEdit
from burdockchute.model.rows import RowKey
from burdockchute.model.table import Revisioned
from burdockchute.model.table import SeenRecord
from burdockchute.model.table import Table

# Some minutes of edits at twenty times the 41,000 of a day that the largest
# site makes, far longer than a writer goes on looking for its record; about
# 100 KB in a snapshot.
SEEN_RECORDS = 2048

STREAM = 'table'


class Accepted(NamedTuple):
    """The edits are in force from this record on."""


class Conflict(NamedTuple):
    """A row has another revision than the writer had read; none applied.

    `present` is the row as it is, None where there is none.
    """

    key: RowKey
    base: int
    present: Revisioned | None


class Duplicate(NamedTuple):
    """A second copy of the record at `first`; ignored."""

    first: int


class TooOld(NamedTuple):
    """Made from a table older than the ids still known; refused."""

    as_of: int
    forgotten: int


class AsOfInFuture(NamedTuple):
    """Claims to be made from a table that comes after it; refused."""

    as_of: int


class ChangedRow(NamedTuple):
    """A row that the record at `offset` set or removed."""

    offset: int
    key: RowKey


class ReducedBatch(NamedTuple):
    """The table after a batch, its findings and the rows it touched."""

    table: Table
    findings: list[Finding]
    changed_rows: list[ChangedRow]


Verdict = Accepted | Conflict | Duplicate | TooOld | AsOfInFuture


def apply_record(
    table: Table, offset: int, data: str
) -> tuple[Table, list[Finding]]:
    """Give the table after one record, and what was wrong with it.

    A record at or below the table's offset changes nothing. A snapshot
    changes only the offset: it repeats what a reader that came this far has.
    """
    reduced = apply_all(table, [(offset, data)])
    return reduced.table, reduced.findings


def apply_all(table: Table, batch: Iterable[tuple[int, str]]) -> ReducedBatch:
    """Give the same as `apply_record` for each, copying the rows once.

    Offsets must rise. `changed_rows` tells every row that was set or removed,
    also one that a later record of the batch put back as it was.
    """
    found: list[Finding] = []
    touched: list[ChangedRow] = []
    rows = dict(table.rows)
    for offset, data in batch:
        if offset <= table.offset:
            continue
        parsed = parse_edit(data, place_of(offset))
        table = table._replace(offset=offset)
        if isinstance(parsed, Failure):
            found.extend(parsed.failure())
            continue
        record = parsed.unwrap()
        if record is None:
            continue
        verdict = _judge(table, rows, offset, record)
        if isinstance(verdict, Accepted):
            _edit(rows, offset, record.edits)
            touched.extend(ChangedRow(offset, e.key) for e in record.edits)
        else:
            found.append(Finding(place_of(offset), describe(verdict)))
        if not isinstance(verdict, Duplicate):
            table = _remember(table, offset, record.record_id)
    if touched:
        table = table._replace(rows=MappingProxyType(rows))
    return ReducedBatch(table, found, touched)


def evaluate_edit(table: Table, offset: int, record: EditRecord) -> Verdict:
    """Tell what becomes of an edit that follows on this table."""
    return _judge(table, table.rows, offset, record)


def place_of(offset: int) -> str:
    """Give the place of a record for findings.

    >>> place_of(12)
    'table@12'
    """
    return f'{STREAM}@{offset}'


def describe(verdict: Verdict) -> str:
    """Say in words why a record was refused."""
    if isinstance(verdict, Conflict):
        present = verdict.present.revision if verdict.present else 'no row'
        return (
            f'{verdict.key} was edited from revision {verdict.base}, '
            f'but the present is {present}'
        )
    if isinstance(verdict, Duplicate):
        return f'a second copy of the record at {verdict.first}'
    if isinstance(verdict, TooOld):
        return (
            f'made from the table at {verdict.as_of}, but only ids after '
            f'{verdict.forgotten} are still known'
        )
    if isinstance(verdict, AsOfInFuture):
        return f'as_of {verdict.as_of} is not before the record'
    return 'accepted'


def _judge(
    table: Table,
    rows: Mapping[RowKey, Revisioned],
    offset: int,
    record: EditRecord,
) -> Verdict:
    for seen in reversed(table.seen):
        if seen.record_id == record.record_id:
            return Duplicate(seen.offset)
    if record.as_of >= offset:
        return AsOfInFuture(record.as_of)
    if record.as_of < table.forgotten:
        return TooOld(record.as_of, table.forgotten)
    for edit in record.edits:
        present = rows.get(edit.key)
        if edit.base != (present.revision if present else -1):
            return Conflict(edit.key, edit.base, present)
    return Accepted()


def _edit(
    rows: dict[RowKey, Revisioned], offset: int, edits: tuple[RowEdit, ...]
) -> None:
    for edit in edits:
        if edit.row is None:
            rows.pop(edit.key, None)
        else:
            rows[edit.key] = Revisioned(edit.row, offset)


def _remember(table: Table, offset: int, record_id: str) -> Table:
    seen = (*table.seen, SeenRecord(offset, record_id))
    if len(seen) <= SEEN_RECORDS:
        return table._replace(seen=seen)
    return table._replace(seen=seen[1:], forgotten=seen[0].offset)
