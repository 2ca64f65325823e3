"""The table as every process holds it."""

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
    """A row with the log offset of the edit that made it."""

    row: Row
    revision: int


class SeenRecord(NamedTuple):
    """The id of a record that was applied or refused, with its offset."""

    offset: int
    record_id: str


class Table(NamedTuple):
    """All rows after the record at `offset` was applied, -1 for none.

    `seen` has the ids of the most recent edit records, oldest first, so that
    a second copy of one is known; `forgotten` is the offset of the newest
    that was dropped from it, -1 for none.

    >>> models(EMPTY_TABLE)
    {}
    """

    offset: int
    rows: Mapping[RowKey, Revisioned]
    seen: tuple[SeenRecord, ...] = ()
    forgotten: int = NO_OFFSET


EMPTY_TABLE = Table(NO_OFFSET, MappingProxyType({}))


def find_row(table: Table, row_type: type[RowT], name: str) -> RowT | None:
    """Give the row of a type by its name, None if there is none.

    It does not depend on how many rows there are; the functions below go
    through all of them, which at 10,000 rows takes milliseconds.
    """
    found = table.rows.get(RowKey(_KINDS[row_type], name))
    if found is None or not isinstance(found.row, row_type):
        return None
    return found.row


def models(table: Table) -> dict[str, ModelRow]:
    """Give the model rows by name."""
    return {row.name: row for row in _of_type(table, ModelRow)}


def adapters(table: Table) -> dict[str, AdapterRow]:
    """Give the adapter rows by name."""
    return {row.name: row for row in _of_type(table, AdapterRow)}


def customers(table: Table) -> dict[str, CustomerRow]:
    """Give the customer rows by name."""
    return {row.name: row for row in _of_type(table, CustomerRow)}


def services(table: Table) -> dict[str, ServiceRow]:
    """Give the service rows by name."""
    return {row.name: row for row in _of_type(table, ServiceRow)}


def objectives(table: Table) -> dict[str, ObjectiveRow]:
    """Give the objective rows by name."""
    return {row.name: row for row in _of_type(table, ObjectiveRow)}


def _of_type(table: Table, row_type: type[RowT]) -> Iterator[RowT]:
    for entry in table.rows.values():
        if isinstance(entry.row, row_type):
            yield entry.row


_KINDS: dict[type, str] = {
    row_type: kind for kind, row_type in ROW_TYPES.items()
}
