"""The reducer, which computes the table from the records of the log.

It is pure and total: the same records give the same table in every process,
and no record makes it fail. If two operators edit the same row concurrently,
the log's order decides: every process applies the first record and refuses
the second.

Records can be duplicated: a writer appends its record again if the reply to
an append is lost, and the log may deliver a record twice. A duplicate could
restore a row that was removed in between, so that an operator would see an
old version return by itself. So the ids of the last SEEN_RECORDS edits are
part of the table. An edit whose writer read the table before the oldest id
that is still kept is refused as too old; its writer reads the table again
and repeats the edit under a new id.
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

# Some minutes of edits at twenty times the rate of the largest site (41,000 a
# day), far longer than a writer keeps looking for its record. Takes about
# 100 KB in a snapshot.
SEEN_RECORDS = 2048

STREAM = 'table'


class Accepted(NamedTuple):
    """The edits are in effect from this record on."""


class Conflict(NamedTuple):
    """A row has another revision than `base`; no edit was applied.

    `base` is the revision that the writer had read, `present` the current
    row, None if there is none.
    """

    key: RowKey
    base: int
    present: Revisioned | None


class Duplicate(NamedTuple):
    """A duplicate of the record at offset `first`; ignored."""

    first: int


class TooOld(NamedTuple):
    """Made from a table older than the oldest kept id; refused."""

    as_of: int
    forgotten: int


class AsOfInFuture(NamedTuple):
    """Its `as_of` is not before its own offset; refused."""

    as_of: int


class ChangedRow(NamedTuple):
    """A row that the record at `offset` set or removed."""

    offset: int
    key: RowKey


class ReducedBatch(NamedTuple):
    """The table after a batch, its findings and the rows it changed."""

    table: Table
    findings: list[Finding]
    changed_rows: list[ChangedRow]


Verdict = Accepted | Conflict | Duplicate | TooOld | AsOfInFuture


def apply_record(
    table: Table, offset: int, data: str
) -> tuple[Table, list[Finding]]:
    """Return the table after one record, and the findings of the record.

    A record at or below the table's offset changes nothing. A snapshot
    changes only the offset, since it repeats the rows that a reader at its
    offset already has.
    """
    reduced = apply_all(table, [(offset, data)])
    return reduced.table, reduced.findings


def apply_all(table: Table, batch: Iterable[tuple[int, str]]) -> ReducedBatch:
    """Apply each record like `apply_record`, copying the rows only once.

    Offsets must increase. `changed_rows` has every row that was set or
    removed, including one that a later record of the batch restored.
    """
    found: list[Finding] = []
    changed_rows: list[ChangedRow] = []
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
        verdict = _evaluate(table, rows, offset, record)
        if isinstance(verdict, Accepted):
            _apply_edits(rows, offset, record.edits)
            changed_rows.extend(
                ChangedRow(offset, e.key) for e in record.edits
            )
        else:
            found.append(Finding(place_of(offset), describe(verdict)))
        if not isinstance(verdict, Duplicate):
            table = _add_seen(table, offset, record.record_id)
    if changed_rows:
        table = table._replace(rows=MappingProxyType(rows))
    return ReducedBatch(table, found, changed_rows)


def evaluate_edit(table: Table, offset: int, record: EditRecord) -> Verdict:
    """Return the verdict on an edit that would be next after this table."""
    return _evaluate(table, table.rows, offset, record)


def place_of(offset: int) -> str:
    """Return the place of a record for findings.

    >>> place_of(12)
    'table@12'
    """
    return f'{STREAM}@{offset}'


def describe(verdict: Verdict) -> str:
    """Return the reason why a record was refused, as text."""
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


def _evaluate(
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


def _apply_edits(
    rows: dict[RowKey, Revisioned], offset: int, edits: tuple[RowEdit, ...]
) -> None:
    for edit in edits:
        if edit.row is None:
            rows.pop(edit.key, None)
        else:
            rows[edit.key] = Revisioned(edit.row, offset)


def _add_seen(table: Table, offset: int, record_id: str) -> Table:
    seen = (*table.seen, SeenRecord(offset, record_id))
    if len(seen) <= SEEN_RECORDS:
        return table._replace(seen=seen)
    return table._replace(seen=seen[1:], forgotten=seen[0].offset)
