"""Rows, records and tables for tests."""

from __future__ import annotations

from typing import Any

from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table


def digest(text: str = 'a') -> str:
    """Return 64 hex digits that differ by text."""
    return (text.encode().hex() + '0' * 64)[:64]


def model(name: str = 'story', **columns: Any) -> rows.ModelRow:
    """Return a model row."""
    columns = {'version': '1', 'digest': digest(name), **columns}
    return rows.ModelRow(name, **columns)


def service(name: str = 'proofs', **columns: Any) -> rows.ServiceRow:
    """Return a service row."""
    return rows.ServiceRow(name, **columns)


def customer(name: str = 'graz', **columns: Any) -> rows.CustomerRow:
    """Return a customer row."""
    return rows.CustomerRow(name, **{'key_digests': digest(name), **columns})


def edit(row: rows.Row, base: int = -1) -> records.RowEdit:
    """Return the edit that sets a row."""
    return records.RowEdit(rows.key_of(row), base, row)


def removal(row: rows.Row, base: int) -> records.RowEdit:
    """Return the edit that removes a row."""
    return records.RowEdit(rows.key_of(row), base, None)


def record(record_id: str, *edits: records.RowEdit, as_of: int = -1) -> str:
    """Return the text of an edit record."""
    return records.serialize(
        records.EditRecord(record_id, as_of, tuple(edits))
    )


def snapshot(table: Table) -> str:
    """Return the text of a snapshot record."""
    return records.serialize(records.SnapshotRecord(table))


def table_of(*row_items: rows.Row) -> Table:
    """Return the table after one record for each row, from offset 0 on."""
    texts = [
        record(f'made-{number}', edit(row))
        for number, row in enumerate(row_items)
    ]
    return reducer.apply_all(EMPTY_TABLE, enumerate(texts)).table
