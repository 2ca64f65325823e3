"""Turns an operator's command into edits, and validates the result."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import checks
from burdockchute.model import references
from burdockchute.model.findings import Finding
from burdockchute.model.records import RowEdit
from burdockchute.model.rows import key_of
from burdockchute.model.rows import Row
from burdockchute.model.rows import RowKey
from burdockchute.model.table import NO_OFFSET
from burdockchute.model.table import Table
from burdockchute.operators.table_csv import ReadRow
from burdockchute.operators.table_text import describe_row

Edits = Result[list[RowEdit], list[Finding]]


def edits_to_set(
    table: Table, key_text: str, assignments: Sequence[str]
) -> Edits:
    """Return the edit that changes columns of a row, or adds the row.

    `assignments` are 'column=value'.
    """
    found: list[Finding] = []
    key = _parse_key(key_text, found)
    values = _parse_assignments(assignments, found)
    if key is None or found:
        return Failure(found)
    current = table.rows.get(key)
    before = checks.values_of(current.row) if current else {'name': key.name}
    checked = checks.check_row(key.kind, {**before, **values}, str(key))
    if isinstance(checked, Failure):
        return Failure(checked.failure())
    row = checked.unwrap()
    if row.name != key.name:
        text = 'a row keeps its name; add another and remove this one'
        return Failure([Finding(f'{key}:name', text)])
    if current and current.row == row:
        return Success([])
    base = current.revision if current else NO_OFFSET
    return _check_references(table, [RowEdit(key, base, row)])


def edits_to_remove(table: Table, key_texts: Sequence[str]) -> Edits:
    """Return the edits that remove rows."""
    found: list[Finding] = []
    edits = []
    for text in dict.fromkeys(key_texts):
        key = _parse_key(text, found)
        if key is None:
            continue
        current = table.rows.get(key)
        if current is None:
            found.append(Finding(text, 'is not in the table'))
            continue
        edits.append(RowEdit(key, current.revision, None))
    if found:
        return Failure(found)
    return _check_references(table, edits)


def edits_to_import(
    table: Table, read_rows: Sequence[ReadRow], remove_missing: bool
) -> Edits:
    """Return the edits that import the rows of a file; none if unchanged.

    If the file has the revision of a row, the row must still have it, so that
    an older copy does not overwrite what a colleague has saved since.
    """
    found: list[Finding] = []
    edits: list[RowEdit] = []
    for read_row in read_rows:
        key = key_of(read_row.row)
        current = table.rows.get(key)
        if current and current.row == read_row.row:
            continue
        base = current.revision if current else NO_OFFSET
        if read_row.revision is not None and read_row.revision != base:
            text = (
                f'changed since revision {read_row.revision}; the present '
                f'row: {describe_row(key, current)}'
            )
            found.append(Finding(f'{read_row.place}:revision', text))
            continue
        edits.append(RowEdit(key, base, read_row.row))
    if remove_missing:
        kept = {key_of(read_row.row) for read_row in read_rows}
        edits.extend(
            RowEdit(key, current.revision, None)
            for key, current in sorted(table.rows.items())
            if key not in kept
        )
    if found:
        return Failure(found)
    places = {key_of(r.row): r.place for r in read_rows}
    return _check_references(table, edits, places)


def _check_references(
    table: Table,
    edits: list[RowEdit],
    places: Mapping[RowKey, str] | None = None,
) -> Edits:
    before: dict[RowKey, Row] = {
        key: current.row for key, current in table.rows.items()
    }
    after = dict(before)
    for edit in edits:
        if edit.row is None:
            after.pop(edit.key, None)
        else:
            after[edit.key] = edit.row
    found = references.new_problems(before, after)
    if found:
        return Failure([_locate_finding(finding, places) for finding in found])
    return Success(edits)


def _locate_finding(
    finding: Finding, places: Mapping[RowKey, str] | None
) -> Finding:
    key_text, _colon, column = finding.place.rpartition(':')
    place = (places or {}).get(checks.parse_key(key_text))
    if place is None:
        return finding
    return Finding(f'{place}:{column}', f'{key_text}: {finding.text}')


def _parse_key(text: str, found: list[Finding]) -> RowKey | None:
    try:
        return checks.parse_key(text)
    except ValueError as exc:
        found.append(Finding(text, str(exc)))
        return None


def _parse_assignments(
    assignments: Iterable[str], found: list[Finding]
) -> dict[str, str]:
    values: dict[str, str] = {}
    for text in assignments:
        column, equals, value = text.partition('=')
        if not equals:
            found.append(Finding(text, 'is not COLUMN=VALUE'))
        elif column in values:
            found.append(Finding(text, f'{column!r} is given twice'))
        values[column] = value
    return values
