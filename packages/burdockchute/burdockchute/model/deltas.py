"""Deltas, which carry changes of the table between processes.

A delta has every row that was changed between two offsets, as it is at the
later one, so it can be applied to any table in between. It only moves a
table forward: a process that was paused or cut off from the network can send
rows that are hours old, and applying them would revert a configuration that
is already in effect.
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

# Covers an hour of changes at the busiest site (41,000 a day); a peer that is
# further behind gets the full table.
MAX_KEPT_CHANGES = 2048

AGENT_KINDS = ('model', 'adapter', 'service')


class FullTableNeeded(NamedTuple):
    """The delta starts after the offset `held`; request the full table."""

    held: int
    from_offset: int


class Applied(NamedTuple):
    """The table after a delta, and findings on rows that were skipped."""

    table: Table
    findings: tuple[Finding, ...] = ()


def full_table(table: Table, with_seen: bool = False) -> messages.TableDelta:
    """Return the full table as a delta.

    `with_seen` adds the ids of recent records, which the receiver needs if
    it applies records of the log itself.
    """
    delta = _make_delta(NO_OFFSET, table, table.rows)
    if with_seen:
        delta.seen = [messages.SeenRecord(*seen) for seen in table.seen]
        delta.forgotten = table.forgotten
    return delta


def filter_for_agents(delta: messages.TableDelta) -> messages.TableDelta:
    """Remove the rows that agents do not use.

    Each agent gets every change from four entries; most of that traffic
    would be keys and limits of customers.
    """
    delta.rows = [row for row in delta.rows if row.kind in AGENT_KINDS]
    return delta


def apply_delta(
    table: Table, delta: messages.TableDelta
) -> Result[Applied, FullTableNeeded]:
    """Return the table after a delta, never an older one.

    A delta that ends at or below the table's offset changes nothing.
    """
    if not _has_valid_offsets(delta):
        place = f'delta@{delta.to_offset}'
        finding = Finding(place, 'has missing or invalid offsets')
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
    """The recently changed rows, from which deltas for peers are made.

    Comparing two tables is not enough: a row that was added and then removed
    between them is in neither, but a peer whose table is in between has it
    and must remove it.
    """

    def __init__(self, max_kept: int = MAX_KEPT_CHANGES) -> None:
        self._max_kept = max_kept
        self._changed_rows: collections.deque[ChangedRow] = collections.deque()
        self._covered_from: int | None = None

    def add(
        self, from_offset: int, changed_rows: Iterable[ChangedRow]
    ) -> None:
        """Record the rows that changed since the table at `from_offset`."""
        if self._covered_from is None:
            self._covered_from = from_offset
        self._changed_rows.extend(changed_rows)
        while len(self._changed_rows) > self._max_kept:
            self._covered_from = self._changed_rows.popleft().offset

    def reset(self) -> None:
        """Drop all changes, after the table changed in an unknown way."""
        self._changed_rows.clear()
        self._covered_from = None

    def since(self, offset: int, table: Table) -> messages.TableDelta:
        """Return the delta for a peer at `offset`, or the full table."""
        covered = self._covered_from
        if offset == NO_OFFSET or covered is None or offset < covered:
            return full_table(table)
        keys = {key for at, key in self._changed_rows if at > offset}
        return _make_delta(min(offset, table.offset), table, sorted(keys))


def _make_delta(
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


def _has_valid_offsets(delta: messages.TableDelta) -> bool:
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
