"""Tests of deltas between tables."""

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


def build_tables(changes: deltas.RecentChanges | None = None) -> list[Table]:
    """Return the empty table and the tables after each of four records."""
    built = [EMPTY_TABLE]
    for offset, text in enumerate(TEXTS):
        reduced = reducer.apply_all(built[-1], [(offset, text)])
        if changes:
            changes.add(built[-1].offset, reduced.changed_rows)
        built.append(reduced.table)
    return built


def encode_and_decode(delta: messages.TableDelta) -> messages.TableDelta:
    return codec.decode(codec.encode(delta))


class DeltasTest(unittest.TestCase):
    def test_delta_applies_to_any_table_in_between(self):
        # Agents get deltas from several entries, each of which reads the
        # log in its own batches. A row that was added and removed within
        # one entry's batch may be in an agent's table, and must be removed
        # there too.
        for low in range(1, 5):
            changes = deltas.RecentChanges()
            reduced = reducer.apply_all(EMPTY_TABLE, enumerate(TEXTS))
            changes.add(-1, reduced.changed_rows)
            delta = encode_and_decode(changes.since(low - 1, reduced.table))
            for table in build_tables()[low:]:
                applied = deltas.apply_delta(table, delta).unwrap()
                with self.subTest(low=low, held=table.offset):
                    self.assertEqual((), applied.findings)
                    self.assertEqual(reduced.table.rows, applied.table.rows)

    def test_full_table_with_seen_is_the_same_table(self):
        table = build_tables()[-1]
        delta = encode_and_decode(deltas.full_table(table, with_seen=True))
        applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap()
        self.assertEqual(table, applied.table)

    def test_agents_get_no_rows_of_customers(self):
        table = tables.table_of(tables.model(), tables.customer())
        delta = encode_and_decode(
            deltas.filter_for_agents(deltas.full_table(table))
        )
        applied = deltas.apply_delta(EMPTY_TABLE, delta).unwrap().table
        self.assertEqual(table.offset, applied.offset)
        self.assertEqual({rows.RowKey('model', 'story')}, set(applied.rows))

    def test_older_delta_changes_nothing(self):
        # An entry that was paused for an hour first sends what it had
        # queued. Applying that would revert rows that are in effect.
        changes = deltas.RecentChanges()
        built = build_tables(changes)
        for delta in (
            deltas.full_table(built[2]),
            changes.since(0, built[3]),
        ):
            applied = deltas.apply_delta(built[4], delta).unwrap()
            self.assertEqual(deltas.Applied(built[4]), applied)

    def test_delta_from_a_later_offset_needs_the_full_table(self):
        changes = deltas.RecentChanges()
        built = build_tables(changes)
        delta = changes.since(2, built[4])
        self.assertEqual(
            deltas.FullTableNeeded(0, 2),
            deltas.apply_delta(built[1], delta).failure(),
        )

    def test_unreadable_rows_are_findings(self):
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


class RecentChangesTest(unittest.TestCase):
    def test_peer_gets_the_missing_changes(self):
        changes = deltas.RecentChanges()
        built = build_tables(changes)
        for table in built[1:]:
            delta = changes.since(table.offset, built[-1])
            applied = deltas.apply_delta(table, delta).unwrap()
            with self.subTest(table.offset):
                self.assertEqual(table.offset, delta.from_offset)
                self.assertEqual(built[-1].rows, applied.table.rows)

    def test_peer_older_than_the_kept_changes_gets_the_full_table(self):
        changes = deltas.RecentChanges(max_kept=2)
        built = build_tables(changes)
        self.assertEqual(-1, changes.since(0, built[-1]).from_offset)
        self.assertEqual(1, changes.since(1, built[-1]).from_offset)
