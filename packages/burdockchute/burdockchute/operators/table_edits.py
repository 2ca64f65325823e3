"""From what an operator asks for to the edits to append, checked whole."""

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
    """Change the named columns of a row, or add it.

    `assignments` are 'column=value'.
    """
    found: list[Finding] = []
    key = _key(key_text, found)
    values = _assigned(assignments, found)
    if key is None or found:
        return Failure(found)
    held = table.rows.get(key)
    before = checks.values_of(held.row) if held else {'name': key.name}
    checked = checks.check_row(key.kind, {**before, **values}, str(key))
    if isinstance(checked, Failure):
        return Failure(checked.failure())
    row = checked.unwrap()
    if row.name != key.name:
        text = 'a row keeps its name; add another and remove this one'
        return Failure([Finding(f'{key}:name', text)])
    if held and held.row == row:
        return Success([])
    base = held.revision if held else NO_OFFSET
    return _related(table, [RowEdit(key, base, row)])


def edits_to_remove(table: Table, key_texts: Sequence[str]) -> Edits:
    """Remove rows."""
    found: list[Finding] = []
    edits = []
    for text in dict.fromkeys(key_texts):
        key = _key(text, found)
        if key is None:
            continue
        held = table.rows.get(key)
        if held is None:
            found.append(Finding(text, 'is not in the table'))
            continue
        edits.append(RowEdit(key, held.revision, None))
    if found:
        return Failure(found)
    return _related(table, edits)


def edits_to_import(
    table: Table, read_rows: Sequence[ReadRow], remove_missing: bool
) -> Edits:
    """Take the rows of a file; rows that are the same make no edit.

    A row with the revision it was exported with must still have it, so that
    what a colleague saved meanwhile is not undone by an older copy.
    """
    found: list[Finding] = []
    edits: list[RowEdit] = []
    for read_row in read_rows:
        key = key_of(read_row.row)
        held = table.rows.get(key)
        if held and held.row == read_row.row:
            continue
        base = held.revision if held else NO_OFFSET
        if read_row.revision is not None and read_row.revision != base:
            text = (
                f'changed since revision {read_row.revision}; the present '
                f'row: {describe_row(key, held)}'
            )
            found.append(Finding(f'{read_row.place}:revision', text))
            continue
        edits.append(RowEdit(key, base, read_row.row))
    if remove_missing:
        kept = {key_of(read_row.row) for read_row in read_rows}
        edits.extend(
            RowEdit(key, held.revision, None)
            for key, held in sorted(table.rows.items())
            if key not in kept
        )
    if found:
        return Failure(found)
    places = {key_of(r.row): r.place for r in read_rows}
    return _related(table, edits, places)


def _related(
    table: Table,
    edits: list[RowEdit],
    places: Mapping[RowKey, str] | None = None,
) -> Edits:
    before: dict[RowKey, Row] = {
        key: held.row for key, held in table.rows.items()
    }
    after = dict(before)
    for edit in edits:
        if edit.row is None:
            after.pop(edit.key, None)
        else:
            after[edit.key] = edit.row
    found = references.new_problems(before, after)
    if found:
        return Failure([_with_place(finding, places) for finding in found])
    return Success(edits)


def _with_place(
    finding: Finding, places: Mapping[RowKey, str] | None
) -> Finding:
    key_text, _colon, column = finding.place.rpartition(':')
    place = (places or {}).get(checks.parse_key(key_text))
    if place is None:
        return finding
    return Finding(f'{place}:{column}', f'{key_text}: {finding.text}')


def _key(text: str, found: list[Finding]) -> RowKey | None:
    try:
        return checks.parse_key(text)
    except ValueError as exc:
        found.append(Finding(text, str(exc)))
        return None


def _assigned(
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
