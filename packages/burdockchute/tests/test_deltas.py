"""Deltas between tables and how they are applied."""

from __future__ import annotations

import unittest

from burdockchute.model import deltas
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.wire import codec
from burdockchute.wire import messages
from burdockchute_testing.builders import tables

TEXTS = [
    tables.record('a', tables.edit(tables.model())),
    tables.record('b', tables.edit(tables.service()), as_of=0),
    tables.record('c', tables.edit(tables.model(version='2'), 0)),
    tables.record('d', tables.removal(tables.service(), 1), as_of=2),
]


def grow(changes: deltas.RecentChanges | None = None) -> list[Table]:
    """Give the empty table and those after each of four records."""
    grown = [EMPTY_TABLE]
    for offset, text in enumerate(TEXTS):
        reduced = reducer.apply_all(grown[-1], [(offset, text)])
        if changes:
            changes.add(grown[-1].offset, reduced.changed_rows)
        grown.append(reduced.table)
    return grown


def over_the_wire(delta: messages.TableDelta) -> messages.TableDelta:
    return codec.decode(codec.encode(delta))


class DeltasTest(unittest.TestCase):
    def test_delta_applies_to_any_table_in_between(self):
        # Agents hear from several entries, which read the log in batches of
        # their own. A row that was added and removed within one entry's
        # batch may stand in an agent's table, and must go from there too.
        for low in range(1, 5):
            changes = deltas.RecentChanges()
            reduced = reducer.apply_all(EMPTY_TABLE, enumerate(TEXTS))
            changes.add(-1, reduced.changed_rows)
            delta = over_the_wire(changes.since(low - 1, reduced.table))
            for table in grow()[low:]:
                applied = deltas.apply_delta(table, delta).unwrap()
                with self.subTest(low=low, held=table.offset):
                    self.assertEqual((), applied.findings)
                    self.assertEqual(reduced.table.rows, applied.table.rows)

    def test_whole_table_with_seen_is_the_same_table(self):
        table = grow()[-1]
        delta = over_the_wire(deltas.full_table(table, with_seen=True))
        applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap()
        self.assertEqual(table, applied.table)

    def test_agents_are_told_no_rows_of_customers(self):
        table = tables.table_of(tables.model(), tables.customer())
        delta = over_the_wire(
            deltas.filter_for_agents(deltas.full_table(table))
        )
        applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap().table
        self.assertEqual(table.offset, applied.offset)
        self.assertEqual({rows.RowKey('model', 'story')}, set(applied.rows))

    def test_older_delta_changes_nothing(self):
        # An entry was paused for an hour; when it goes on it first sends
        # what it had queued. Rows that are in force would go back.
        changes = deltas.RecentChanges()
        grown = grow(changes)
        for delta in (
            deltas.full_table(grown[2]),
            changes.since(0, grown[3]),
        ):
            applied = deltas.apply_delta(grown[4], delta).unwrap()
            self.assertEqual(deltas.Applied(grown[4]), applied)

    def test_delta_from_beyond_needs_the_whole(self):
        changes = deltas.RecentChanges()
        grown = grow(changes)
        delta = changes.since(2, grown[4])
        self.assertEqual(
            deltas.FullTableNeeded(0, 2),
            deltas.apply_delta(grown[1], delta).failure(),
        )

    def test_rows_that_can_not_be_read_are_findings(self):
        delta = messages.TableDelta(
            -1,
            3,
            [
                messages.RowRecord('rack', 'a', 1, b'{}'),
                messages.RowRecord('model', 'a', 1, b'{'),
                messages.RowRecord('model', 'a', 1, b'{"name": "b"}'),
                messages.RowRecord('service', 'a', 1, b'{"name": "a"}'),
            ],
        )
        applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap()
        self.assertEqual(3, len(applied.findings))
        self.assertEqual(
            [rows.RowKey('service', 'a')], list(applied.table.rows)
        )

    def test_delta_without_offsets_is_a_finding(self):
        for delta in (
            messages.TableDelta(),
            messages.TableDelta(5, 3, []),
            messages.TableDelta(-7, 3, []),
        ):
            applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap()
            self.assertEqual(EMPTY_TABLE, applied.table)
            self.assertEqual(1, len(applied.findings))


class ChangesTest(unittest.TestCase):
    def test_peer_gets_what_it_lacks(self):
        changes = deltas.RecentChanges()
        grown = grow(changes)
        for table in grown[1:]:
            delta = changes.since(table.offset, grown[-1])
            applied = deltas.apply_delta(table, delta).unwrap()
            with self.subTest(table.offset):
                self.assertEqual(table.offset, delta.from_offset)
                self.assertEqual(grown[-1].rows, applied.table.rows)

    def test_peer_from_before_the_kept_changes_gets_the_whole(self):
        changes = deltas.RecentChanges(max_kept=2)
        grown = grow(changes)
        self.assertEqual(-1, changes.since(0, grown[-1]).from_offset)
        self.assertEqual(1, changes.since(1, grown[-1]).from_offset)
