"""Rows and changes as text for operators."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from burdockchute.model import checks
from burdockchute.model.records import RowEdit
from burdockchute.model.rows import Row
from burdockchute.model.rows import ROW_TYPES
from burdockchute.model.rows import RowKey
from burdockchute.model.table import Revisioned

INDENT = '    '


def describe_edits(
    edits: Iterable[RowEdit], rows: Mapping[RowKey, Revisioned]
) -> str:
    """Return what each edit changes, column by column."""
    return '\n'.join(
        line for edit in edits for line in _edit_lines(edit, rows)
    )


def describe_row(key: RowKey, revisioned: Revisioned | None) -> str:
    """Return one line for a row: its key, revision and columns.

    Columns with their default value are left out.
    """
    if revisioned is None:
        return f'{key} is not there'
    cells = checks.cells_of(revisioned.row)
    defaults = ROW_TYPES[key.kind]._field_defaults  # type: ignore[attr-defined]
    shown = [
        f'{name}={cells[name]}'
        for name, value in checks.values_of(revisioned.row).items()
        if name != 'name' and defaults.get(name) != value
    ]
    return ' '.join([str(key), f'revision={revisioned.revision}', *shown])


def _edit_lines(edit: RowEdit, rows: Mapping[RowKey, Revisioned]) -> list[str]:
    revisioned = rows.get(edit.key)
    if edit.row is None:
        return [f'remove {edit.key} (revision {edit.base})']
    if revisioned is None:
        lines = _column_lines(None, edit.row)
        return [f'add {edit.key}', *lines]
    lines = _column_lines(revisioned.row, edit.row)
    return [f'change {edit.key} (revision {revisioned.revision})', *lines]


def _column_lines(old: Row | None, new: Row) -> list[str]:
    before = checks.cells_of(old) if old else {}
    return [
        f'{INDENT}{name}: {before[name]} -> {cell}'
        if name in before
        else f'{INDENT}{name}: {cell}'
        for name, cell in checks.cells_of(new).items()
        if before.get(name) != cell and name != 'name'
    ]
