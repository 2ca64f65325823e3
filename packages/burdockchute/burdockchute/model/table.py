"""The table of rows as each process holds it in memory."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple
from typing import TypeVar

from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import CustomerRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ObjectiveRow
from burdockchute.model.rows import Row
from burdockchute.model.rows import ROW_TYPES
from burdockchute.model.rows import RowKey
from burdockchute.model.rows import ServiceRow

NO_OFFSET = -1

RowT = TypeVar('RowT')


class Revisioned(NamedTuple):
    """A row with the log offset of the edit that wrote it."""

    row: Row
    revision: int


class SeenRecord(NamedTuple):
    """The id of a record that was applied or refused, with its offset."""

    offset: int
    record_id: str


class Table(NamedTuple):
    """All rows after the record at `offset` was applied, -1 for none.

    `seen` has the ids of the most recent edit records, oldest first, to
    recognise duplicates. `forgotten` is the offset of the newest record that
    was dropped from `seen`, -1 for none.

    >>> models(EMPTY_TABLE)
    {}
    """

    offset: int
    rows: Mapping[RowKey, Revisioned]
    seen: tuple[SeenRecord, ...] = ()
    forgotten: int = NO_OFFSET


EMPTY_TABLE = Table(NO_OFFSET, MappingProxyType({}))


def find_row(table: Table, row_type: type[RowT], name: str) -> RowT | None:
    """Return the row of a type by its name, None if there is none.

    The lookup takes constant time. The functions below scan all rows, which
    takes milliseconds for 10,000 rows.
    """
    found = table.rows.get(RowKey(_KINDS[row_type], name))
    if found is None or not isinstance(found.row, row_type):
        return None
    return found.row


def models(table: Table) -> dict[str, ModelRow]:
    """Return the model rows by name."""
    return {row.name: row for row in _of_type(table, ModelRow)}


def adapters(table: Table) -> dict[str, AdapterRow]:
    """Return the adapter rows by name."""
    return {row.name: row for row in _of_type(table, AdapterRow)}


def customers(table: Table) -> dict[str, CustomerRow]:
    """Return the customer rows by name."""
    return {row.name: row for row in _of_type(table, CustomerRow)}


def services(table: Table) -> dict[str, ServiceRow]:
    """Return the service rows by name."""
    return {row.name: row for row in _of_type(table, ServiceRow)}


def objectives(table: Table) -> dict[str, ObjectiveRow]:
    """Return the objective rows by name."""
    return {row.name: row for row in _of_type(table, ObjectiveRow)}


def _of_type(table: Table, row_type: type[RowT]) -> Iterator[RowT]:
    for entry in table.rows.values():
        if isinstance(entry.row, row_type):
            yield entry.row


_KINDS: dict[type, str] = {
    row_type: kind for kind, row_type in ROW_TYPES.items()
}
