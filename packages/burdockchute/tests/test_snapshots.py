"""When snapshots are written, and how a reader starts from them."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import snapshots
from burdockchute.model import reducer
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.platform import log
from burdockchute.platform import table_log
from burdockchute_testing.builders import tables
from burdockchute_testing.fakes.log import FakeLog

RETENTION_S = 3600.0


class DecisionTest(unittest.TestCase):
    def play(self, entries: int, hours: float) -> tuple[int, float]:
        """Return the number of snapshots and the longest time between two.

        Each entry reads a snapshot of another after 0.1 s.
        """
        rng = random.Random(1)
        states = [
            snapshots.initial_state(5, 0, 0.0, RETENTION_S, rng)
            for _number in range(entries)
        ]
        written = 0
        offset = 5
        gap = 0.0
        last = now = 0.0
        while now < hours * 3600:
            now = min(state.due_at for state in states)
            offset += 10
            gap = max(gap, now - last)
            last = now
            for number, state in enumerate(states):
                if snapshots.is_due(state, offset, now + 0.1):
                    written += 1
                states[number] = snapshots.on_snapshot(
                    state, offset, now + 0.1, RETENTION_S, rng
                )
        return written, gap

    def test_few_write_and_never_too_late(self):
        # With up to 360 entries that restart at once and run for two days.
        for entries in (1, 3, 360):
            written, gap = self.play(entries, 48)
            with self.subTest(entries):
                self.assertLess(gap, RETENTION_S / 2)
                self.assertLess(written, 48 * 4.5)

    def test_first_edit_of_all_is_written_soon_but_not_by_all_at_once(self):
        rng = random.Random(1)
        states = [
            snapshots.on_edits(
                snapshots.initial_state(-1, 0, 0.0, RETENTION_S, rng),
                1,
                99.0,
                rng,
            )
            for _number in range(360)
        ]
        due = [state.due_at for state in states]
        self.assertLess(len([at for at in due if at <= 99.1]), 20)
        self.assertLess(max(due), 105)

    def test_many_edits_bring_it_forward(self):
        rng = random.Random(1)
        state = snapshots.on_snapshot(
            snapshots.initial_state(-1, 0, 0.0, RETENTION_S, rng),
            7,
            0.0,
            RETENTION_S,
            rng,
        )
        state = snapshots.on_edits(state, snapshots.MAX_EDITS, 1.0, rng)
        self.assertTrue(snapshots.is_due(state, 9, 6.1))

    def test_older_snapshot_does_not_count(self):
        # An entry was paused between making a snapshot and appending it. If
        # it counted as the newest, the one that readers need could expire
        # before the next is written.
        rng = random.Random(1)
        state = snapshots.initial_state(50, 0, 0.0, RETENTION_S, rng)
        self.assertEqual(
            state, snapshots.on_snapshot(state, 9, 10.0, RETENTION_S, rng)
        )


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog()
        self.table = EMPTY_TABLE

    def edit(self, count: int) -> None:
        for _number in range(count):
            offset = len(self.log.all_records('table'))
            text = tables.record(
                f'r{offset}',
                tables.edit(tables.model(f'm{offset % 7}'), self.base(offset)),
                as_of=self.table.offset,
            )
            self.append(text)

    def base(self, offset: int) -> int:
        held = self.table.rows.get(reducer.RowKey('model', f'm{offset % 7}'))
        return held.revision if held else -1

    def append(self, text: str) -> None:
        offset = self.log.append('table', text).unwrap()
        self.table, found = reducer.apply_record(self.table, offset, text)
        self.assertEqual([], found)

    def test_load_without_a_snapshot(self):
        self.edit(1200)
        loaded = table_log.load(self.log).unwrap()
        self.assertEqual(self.table, loaded.table)
        self.assertEqual(1200, loaded.next_offset)

    def test_start_from_a_snapshot_gives_the_same_table(self):
        self.edit(1300)
        snapshot = tables.snapshot(self.table)
        self.edit(3)
        self.append(snapshot)
        self.edit(700)
        self.log.trim('table', 1300)
        loaded = table_log.load(self.log).unwrap()
        self.assertEqual(self.table, loaded.table)
        self.assertEqual((1299, 704), (loaded.snapshot_as_of, loaded.edits))

    def test_two_snapshots_at_once_agree(self):
        # Two entries find a snapshot due at the same time and both write it,
        # one of them after a further edit.
        self.edit(10)
        one = tables.snapshot(self.table)
        self.edit(1)
        other = tables.snapshot(self.table)
        self.append(other)
        self.append(one)
        self.append(one)
        self.edit(2)
        self.log.trim('table', 10)
        self.assertEqual(self.table, table_log.load(self.log).unwrap().table)

    def test_snapshot_of_a_paused_writer_is_skipped(self):
        # Records after it have been trimmed since it was made, so a reader
        # that started from it would lack their rows.
        self.edit(5)
        old = tables.snapshot(self.table)
        self.edit(20)
        new = tables.snapshot(self.table)
        self.append(new)
        self.append(old)
        self.log.trim('table', 25)
        self.assertEqual(self.table, table_log.load(self.log).unwrap().table)

    def test_snapshot_that_was_appended_long_after_it_was_made(self):
        # The writer was paused, but no record has been trimmed. The records
        # after its offset start before the range that the reader has read.
        self.edit(5)
        old = tables.snapshot(self.table)
        self.edit(600)
        self.append(old)
        self.edit(3)
        loaded = table_log.load(self.log).unwrap()
        self.assertEqual(self.table, loaded.table)
        self.assertEqual(4, loaded.snapshot_as_of)

    def test_invalid_snapshot_is_skipped(self):
        self.edit(5)
        text = tables.snapshot(self.table)
        self.append(text)
        self.log.append('table', text.replace('"m1"', '"m 1"'))
        loaded = table_log.load(self.log).unwrap()
        self.assertEqual(self.table.rows, loaded.table.rows)

    def test_load_fails_without_a_usable_snapshot(self):
        # No entry could write a snapshot within the retention of the log. A
        # table from the remaining records would lack rows.
        self.edit(5)
        self.log.trim('table', 3)
        self.assertEqual(table_log.Lost(3), table_log.load(self.log).failure())

    def test_outage(self):
        self.log.down = True
        self.assertEqual(
            log.Unavailable('outage'), table_log.load(self.log).failure()
        )
