"""Deltas: how a table goes from one process to the next.

A delta has every row that was touched between two offsets, as it is at the
later one, so it may be applied to any table in between. It moves a table
only forward: a process that was paused and resumed, or was cut off, can hand
out rows that are hours old, and applying them would take a configuration
back that is already in force.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import json
from types import MappingProxyType
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import checks
from burdockchute.model.findings import Finding
from burdockchute.model.reducer import ChangedRow
from burdockchute.model.rows import KINDS
from burdockchute.model.rows import RowKey
from burdockchute.model.table import NO_OFFSET
from burdockchute.model.table import Revisioned
from burdockchute.model.table import SeenRecord
from burdockchute.model.table import Table
from burdockchute.wire import messages

# Enough changes for a peer that was away for an hour of the busiest site's
# 41,000 a day; one further behind gets the whole table.
MAX_KEPT_CHANGES = 2048

AGENT_KINDS = ('model', 'adapter', 'service')


class FullTableNeeded(NamedTuple):
    """The delta starts beyond what is held; ask for the whole table."""

    held: int
    from_offset: int


class Applied(NamedTuple):
    """The table after a delta, and rows in it that could not be read."""

    table: Table
    findings: tuple[Finding, ...] = ()


def full_table(table: Table, with_seen: bool = False) -> messages.TableDelta:
    """Give the whole table.

    `with_seen` adds the ids of recent records, which a process needs that
    will apply records of the log itself.
    """
    delta = _delta(NO_OFFSET, table, table.rows)
    if with_seen:
        delta.seen = [messages.SeenRecord(*seen) for seen in table.seen]
        delta.forgotten = table.forgotten
    return delta


def filter_for_agents(delta: messages.TableDelta) -> messages.TableDelta:
    """Leave out the rows that agents have no use for.

    Every change goes to each agent from four entries; keys and limits of
    customers would be most of it.
    """
    delta.rows = [row for row in delta.rows if row.kind in AGENT_KINDS]
    return delta


def apply_delta(
    table: Table, delta: messages.TableDelta
) -> Result[Applied, FullTableNeeded]:
    """Give the table after a delta, forward only.

    A delta that ends at or below the table's offset changes nothing.
    """
    if not _is_sound(delta):
        place = f'delta@{delta.to_offset}'
        finding = Finding(place, 'has missing or impossible offsets')
        return Success(Applied(table, (finding,)))
    if delta.to_offset <= table.offset:
        return Success(Applied(table))
    if delta.from_offset > table.offset:
        return Failure(FullTableNeeded(table.offset, delta.from_offset))
    is_whole = delta.from_offset == NO_OFFSET
    rows = {} if is_whole else dict(table.rows)
    found: list[Finding] = []
    for record in delta.rows or []:
        _apply_row(rows, record, delta.to_offset, found)
    applied = Table(
        delta.to_offset,
        MappingProxyType(rows),
        tuple(SeenRecord(s.offset, s.record_id) for s in delta.seen or []),
        NO_OFFSET if delta.forgotten is None else delta.forgotten,
    )
    return Success(Applied(applied, tuple(found)))


class RecentChanges:
    """The rows touched of late, from which deltas for peers are made.

    Two tables do not suffice for that: a row that was added and removed
    between them differs in neither, but a peer that is between them holds
    it and has to be told.
    """

    def __init__(self, max_kept: int = MAX_KEPT_CHANGES) -> None:
        self._max_kept = max_kept
        self._touched: collections.deque[ChangedRow] = collections.deque()
        self._covered_from: int | None = None

    def add(self, from_offset: int, touched: Iterable[ChangedRow]) -> None:
        """Note what was touched since a table at `from_offset`."""
        if self._covered_from is None:
            self._covered_from = from_offset
        self._touched.extend(touched)
        while len(self._touched) > self._max_kept:
            self._covered_from = self._touched.popleft().offset

    def reset(self) -> None:
        """Begin anew, after the table moved on in an unknown way."""
        self._touched.clear()
        self._covered_from = None

    def since(self, offset: int, table: Table) -> messages.TableDelta:
        """Give what a peer at `offset` lacks, the whole if need be."""
        covered = self._covered_from
        if offset == NO_OFFSET or covered is None or offset < covered:
            return full_table(table)
        keys = {key for at, key in self._touched if at > offset}
        return _delta(min(offset, table.offset), table, sorted(keys))


def _delta(
    from_offset: int, table: Table, keys: Iterable[RowKey]
) -> messages.TableDelta:
    return messages.TableDelta(
        from_offset, table.offset, [_record(table, key) for key in keys]
    )


def _record(table: Table, key: RowKey) -> messages.RowRecord:
    held = table.rows.get(key)
    if held is None:
        return messages.RowRecord(key.kind, key.name, table.offset, b'')
    document = json.dumps(checks.values_of(held.row)).encode()
    return messages.RowRecord(key.kind, key.name, held.revision, document)


def _is_sound(delta: messages.TableDelta) -> bool:
    offsets = (delta.from_offset, delta.to_offset)
    if any(not isinstance(offset, int) for offset in offsets):
        return False
    return NO_OFFSET <= delta.from_offset <= delta.to_offset


def _apply_row(
    rows: dict[RowKey, Revisioned],
    record: messages.RowRecord,
    to_offset: int,
    found: list[Finding],
) -> None:
    place = f'delta@{to_offset}:{record.kind}/{record.name}'
    if record.kind not in KINDS or not record.name:
        found.append(Finding(place, 'is not the key of a row'))
        return
    key = RowKey(record.kind, record.name)
    if not record.document:
        rows.pop(key, None)
        return
    try:
        values = json.loads(record.document)
    except (ValueError, RecursionError) as exc:
        found.append(Finding(place, f'not JSON: {exc}'))
        return
    if not isinstance(values, dict) or values.get('name') != key.name:
        found.append(Finding(place, 'not a row of that name'))
        return
    checked = checks.check_row(key.kind, values, place)
    if isinstance(checked, Failure):
        found.extend(checked.failure())
        return
    rows[key] = Revisioned(checked.unwrap(), record.revision or 0)
