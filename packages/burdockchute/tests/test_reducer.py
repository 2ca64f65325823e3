"""Tests of the reducer and of the records that it reads."""

from __future__ import annotations

import json
import unittest
from unittest import mock

from burdockchute.model import findings
from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Revisioned
from burdockchute_testing.builders import tables

STORY = rows.RowKey('model', 'story')


def reduce(*texts: str) -> tuple:
    return reducer.apply_all(EMPTY_TABLE, enumerate(texts))[:2]


class ReducerTest(unittest.TestCase):
    def test_rows_are_set_and_removed(self):
        first = tables.model()
        second = tables.model(version='2')
        proofs = tables.service()
        table, found = reduce(
            tables.record('a', tables.edit(first), tables.edit(proofs)),
            tables.record('b', tables.edit(second, base=0), as_of=0),
            tables.record('c', tables.removal(proofs, base=0), as_of=1),
        )
        self.assertEqual([], found)
        self.assertEqual({STORY: Revisioned(second, 1)}, dict(table.rows))
        self.assertEqual(2, table.offset)

    def test_one_of_two_operators_wins_everywhere(self):
        # Two operators read the same row and save it concurrently. Without
        # a rule that all processes share, some instances would serve one
        # version and some the other.
        table, found = reduce(
            tables.record('a', tables.edit(tables.model())),
            tables.record('b', tables.edit(tables.model(version='2'), 0)),
            tables.record('c', tables.edit(tables.model(version='3'), 0)),
        )
        self.assertEqual('2', table.rows[STORY].row.version)
        text = 'model/story was edited from revision 0, but the present is 1'
        self.assertEqual([findings.Finding('table@2', text)], found)

    def test_edits_of_one_record_are_applied_together_or_not_at_all(self):
        table, _found = reduce(
            tables.record('a', tables.edit(tables.model())),
            tables.record(
                'b',
                tables.edit(tables.service()),
                tables.edit(tables.model(version='2'), base=-1),
            ),
        )
        self.assertEqual([STORY], list(table.rows))

    def test_duplicate_does_not_restore_a_removed_row(self):
        # The reply to an append is lost, and the writer appends the record
        # again after another operator has removed the row. The removed row
        # must not return by itself.
        text = tables.record('a', tables.edit(tables.model()))
        remove = tables.record(
            'b', tables.removal(tables.model(), base=0), as_of=0
        )
        table, found = reduce(text, remove, text)
        self.assertEqual({}, dict(table.rows))
        self.assertEqual(
            [findings.Finding('table@2', 'a second copy of the record at 0')],
            found,
        )

    def test_duplicate_older_than_the_kept_ids_is_refused(self):
        # As above, but the record's id is no longer kept.
        text = tables.record('a', tables.edit(tables.model()))
        remove = tables.record(
            'b', tables.removal(tables.model(), base=0), as_of=0
        )
        other = tables.record('c', tables.edit(tables.service()), as_of=1)
        with mock.patch.object(reducer, 'SEEN_RECORDS', 2):
            table, found = reduce(text, remove, other, text)
        self.assertNotIn(STORY, table.rows)
        self.assertEqual(
            [
                findings.Finding(
                    'table@3',
                    'made from the table at -1, but only ids after 0 are '
                    'still known',
                )
            ],
            found,
        )

    def test_unreadable_records_are_skipped(self):
        # A process of a later release, or another program, writes into the
        # stream. Processes of this release must apply the other records.
        newer = json.dumps({'format': 2, 'type': 'edit'})
        table, found = reduce(
            'garbage',
            newer,
            '[]',
            json.dumps({'format': 1, 'type': 'edit', 'edits': [None]}),
            tables.record('a', tables.edit(tables.model())),
        )
        self.assertEqual([STORY], list(table.rows))
        self.assertEqual(
            [
                'table@0',
                'table@1:format',
                'table@2',
                'table@3:id',
                'table@3:as_of',
                'table@3:edits[0]',
            ],
            [finding.place for finding in found],
        )

    def test_offsets_at_or_below_the_table_change_nothing(self):
        table = tables.table_of(tables.model())
        again = tables.record('x', tables.edit(tables.service()))
        self.assertEqual(
            (table, []), reducer.apply_record(table, table.offset, again)
        )

    def test_snapshot_changes_only_the_offset_of_a_later_reader(self):
        table = tables.table_of(tables.model())
        later = tables.table_of(tables.model(version='9'))
        after, found = reducer.apply_record(table, 5, tables.snapshot(later))
        self.assertEqual((table._replace(offset=5), []), (after, found))


class RecordsTest(unittest.TestCase):
    def test_edit_is_read_back_the_same(self):
        record = records.EditRecord(
            'id-1',
            7,
            (
                tables.edit(tables.model(), 3),
                tables.removal(tables.service(), 5),
            ),
            'ana',
            '2026-01-01T00:00:00Z',
        )
        text = records.serialize(record)
        self.assertEqual(record, records.parse(text, 'p').unwrap())

    def test_snapshot_is_read_back_the_same(self):
        table = tables.table_of(tables.model(), tables.customer())
        read = records.parse(tables.snapshot(table), 'p').unwrap()
        self.assertEqual(records.SnapshotRecord(table), read)

    def test_snapshots_of_one_offset_are_the_same_text(self):
        one = tables.table_of(tables.model(), tables.customer())
        other = one._replace(rows=dict(reversed(one.rows.items())))
        self.assertEqual(tables.snapshot(one), tables.snapshot(other))

    def test_invalid_snapshot(self):
        document = json.loads(tables.snapshot(tables.table_of()))
        document |= {'rows': [[0, 'model', {}], 3], 'seen': [1], 'as_of': ''}
        found = records.parse(json.dumps(document), 'p').failure()
        self.assertEqual(
            [
                'p:as_of',
                'p:rows[0]:name',
                'p:rows[0]:version',
                'p:rows[0]:digest',
                'p:rows[1]',
                'p:seen',
            ],
            [finding.place for finding in found],
        )
