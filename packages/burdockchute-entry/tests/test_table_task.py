"""The task that follows the table, over a log in memory."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import gevent

from burdockchute.model import deltas
from burdockchute.model import reducer
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.wire import codec
from burdockchute.wire import messages
from burdockchute_entry import table_task
from burdockchute_testing.builders import tables
from burdockchute_testing.fakes.log import FakeLog

WITHIN_S = 5.0


class TableTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog()
        self.lag_s = 0.0

    def task(self, log: FakeLog | None = None, **options) -> tuple:
        published: list[Table] = []
        task = table_task.TableTask(
            log or self.log,
            published.append,
            3600.0,
            rng=random.Random(1),
            clock=lambda: gevent.get_hub().loop.now() + self.lag_s,
            poll_timeout_s=0.05,
            **options,
        )
        running = gevent.spawn(task.run)
        self.addCleanup(running.kill)
        return task, published

    def edit(self, row, base: int = -1, as_of: int = -1) -> int:
        text = tables.record(
            f'r{self.log.appends}', tables.edit(row, base), as_of=as_of
        )
        return self.log.append('table', text).unwrap()

    def wait_for(self, condition) -> None:
        with gevent.Timeout(WITHIN_S):
            while not condition():
                gevent.sleep(0.005)

    def test_new_tables_are_published(self):
        self.edit(tables.model())
        task, published = self.task()
        self.wait_for(task.ready.is_set)
        self.edit(tables.service())
        self.wait_for(lambda: len(published) == 2)
        self.assertEqual([0, 1], [table.offset for table in published])
        self.assertEqual(task.table, published[-1])
        self.assertLess(task.age_s(), 1)

    def test_outage_while_running(self):
        # The log goes away for a while. The table stays in force and the
        # status says how old it is; an edit made right after is taken.
        self.edit(tables.model())
        task, published = self.task()
        self.wait_for(task.ready.is_set)
        self.log.down = True
        self.wait_for(lambda: 'outage' in task.status().log)
        self.lag_s = 30
        self.assertGreaterEqual(task.age_s(), 30)
        self.assertEqual(1, task.status().rows)
        self.log.down = False
        self.edit(tables.service())
        self.wait_for(lambda: len(published) == 2)
        self.wait_for(lambda: task.age_s() < 1)

    @mock.patch.object(table_task, 'PEER_TABLES_WAIT_S', 10)
    @mock.patch.object(table_task, 'RETRY_MAX_S', 0.2)
    def test_start_in_an_outage_takes_the_highest_table_of_its_peers(self):
        # A fresh entry has nothing. Were it ready with no table, it would
        # refuse every caller; with the oldest of its peers' tables, it
        # would take a change back that callers have already seen.
        self.log.down = True
        peers = [tables.table_of(tables.model())]
        peers.append(tables.table_of(tables.model(), tables.service()))
        asked = []
        task, published = self.task(ask_peers=asked.append)
        self.wait_for(lambda: asked)
        self.assertFalse(task.ready.is_set())
        task.apply_peer_table(over_the_wire(peers[0], age_ms=9000))
        tries = self.log.reads
        self.wait_for(lambda: self.log.reads == tries + 2)
        self.assertFalse(task.ready.is_set())
        task.apply_peer_table(over_the_wire(peers[1], age_ms=9000))
        task.apply_peer_table(over_the_wire(peers[0], age_ms=9000))
        self.lag_s = 10
        self.wait_for(task.ready.is_set)
        self.assertEqual([peers[1]], published)
        self.assertEqual(-1, asked[0])
        self.assertGreaterEqual(task.age_s(), 9)

    def test_table_of_a_peer_goes_on_with_the_log(self):
        text = tables.record('a', tables.edit(tables.model()))
        table = reducer.apply_record(EMPTY_TABLE, 0, text)[0]
        self.log.append('table', text).unwrap()
        self.log.down = True
        task, _published = self.task()
        task.apply_peer_table(over_the_wire(table))
        self.wait_for(task.ready.is_set)
        self.log.down = False
        # A second copy must still be known as such.
        self.log.append('table', text).unwrap()
        self.edit(tables.service())
        self.wait_for(lambda: task.table.offset == 2)
        self.assertEqual(2, len(task.table.rows))
        self.assertIn('second copy', task.status().findings[0].text)

    def test_cut_off_from_the_log_but_not_from_peers(self):
        # One region loses the log while others still read it. Its entries
        # would serve the old version until the regions meet again.
        self.edit(tables.model())
        asked = []
        task, published = self.task(ask_peers=asked.append)
        self.wait_for(task.ready.is_set)
        self.log.down = True
        self.lag_s = 30
        self.wait_for(lambda: asked == [0])
        newer = tables.table_of(tables.model(), tables.service())
        task.apply_peer_table(over_the_wire(newer, age_ms=10))
        self.assertEqual(newer, published[-1])
        self.assertLess(task.age_s(), 1)

    def test_connection_to_the_log_goes_silent(self):
        # The log's answers stop without an error. An edit of that moment
        # is in force elsewhere; peers are asked long before the read ends.
        self.edit(tables.model())
        asked = []
        task, published = self.task(ask_peers=asked.append)
        self.wait_for(task.ready.is_set)
        self.log.read = lambda *args: gevent.sleep(60)
        gevent.sleep(0.1)
        self.assertEqual([], asked)
        self.lag_s = table_task.ASK_PEERS_AGE_S
        self.wait_for(lambda: asked == [0])
        newer = tables.table_of(tables.model(), tables.service())
        task.apply_peer_table(over_the_wire(newer))
        self.assertEqual(newer, published[-1])

    def test_idle_log_sets_no_entry_asking(self):
        # Nobody edits for hours. An answer counts from when it was asked
        # for, so just before the next one the age is that of two polls;
        # were peers asked at that age, all entries would ask each other in
        # every quiet moment.
        asked = []
        self.edit(tables.model())
        task, _published = self.task(ask_peers=asked.append)
        self.wait_for(task.ready.is_set)
        self.log.read = lambda *args: gevent.sleep(60)
        gevent.sleep(0.1)
        asked.clear()
        confirmed_at = task._clock() - task.age_s()
        for age_s, is_asking in ((4.1, False), (5.1, True)):
            task._clock = lambda age_s=age_s: confirmed_at + age_s
            gevent.sleep(3 * table_task.WATCH_INTERVAL_S)
            with self.subTest(age_s):
                self.assertEqual(is_asking, bool(asked))

    def test_paused_and_resumed_is_not_taken_for_new(self):
        # The process is stopped while it waits for an answer of the log and
        # goes on an hour later; the answer it then reads is an hour old.
        # Its rows must be called old until the log has been asked again.
        self.edit(tables.model())
        task, _published = self.task()
        self.wait_for(task.ready.is_set)
        read = self.log.read
        ages = []

        def stopped_while_waiting(*args):
            if self.lag_s:
                ages.append(task.answer(-1).age_ms)
                return read(*args)
            answer = read(*args)
            self.lag_s = 3600
            return answer

        self.log.read = stopped_while_waiting
        self.wait_for(lambda: ages)
        self.assertGreaterEqual(ages[0], 3_500_000)
        self.wait_for(lambda: task.age_s() < 1)

    def test_resumed_process_does_not_hand_out_older_rows_as_new(self):
        # Others have moved on while it was stopped. What it sends must not
        # take them back, and what they send must move it on.
        older = tables.table_of(tables.model())
        newer = tables.table_of(tables.model(), tables.service())
        self.edit(tables.model())
        task, _published = self.task()
        self.wait_for(task.ready.is_set)
        delta = task.delta_for(-1)
        self.assertEqual(older.offset, delta.to_offset)
        applied = deltas.apply_delta(newer, delta).unwrap()
        self.assertEqual(newer, applied.table)
        self.assertIsNone(task.answer(newer.offset))

    def test_retention_passes_a_stopped_reader(self):
        self.edit(tables.model())
        task, published = self.task()
        self.wait_for(task.ready.is_set)
        self.log.down = True
        self.wait_for(lambda: 'outage' in task.status().log)
        self.log.down = False
        table = task.table
        read = self.log.read
        self.log.read = lambda *args: gevent.sleep(WITHIN_S)
        for number in range(5):
            row = tables.service(f's{number}')
            text = tables.record(f's{number}', tables.edit(row))
            offset = self.log.append('table', text).unwrap()
            table, _found = reducer.apply_record(table, offset, text)
        self.log.append('table', tables.snapshot(table)).unwrap()
        self.log.trim('table', 6)
        self.log.read = read
        self.wait_for(lambda: task.table.offset == 6)
        self.assertEqual(table.rows, task.table.rows)
        self.assertEqual(table.rows, published[-1].rows)

    def test_log_that_was_put_back_to_an_older_copy(self):
        # The offsets that are then given out a second time lie below what
        # was read; without a check the process would call itself up to date
        # and see none of the edits.
        for number in range(3):
            self.edit(tables.service(f's{number}'))
        task, _published = self.task()
        self.wait_for(task.ready.is_set)
        self.log.down = True
        self.wait_for(lambda: 'outage' in task.status().log)
        self.log._streams['table'].clear()
        self.log.down = False
        self.wait_for(lambda: 'WentBack' in task.status().log)
        self.assertEqual(2, task.table.offset)

    def test_snapshot_is_written_when_due(self):
        self.edit(tables.model())
        task, _published = self.task()
        self.wait_for(task.ready.is_set)
        self.lag_s = 30
        self.wait_for(lambda: len(self.log.all_of('table')) == 2)
        self.wait_for(lambda: task.status().snapshot_as_of == 0)
        self.log.trim('table', 1)
        fresh, _published = self.task()
        self.wait_for(fresh.ready.is_set)
        self.assertEqual(task.table.rows, fresh.table.rows)

    def test_empty_log_is_an_empty_table(self):
        task, published = self.task()
        self.wait_for(task.ready.is_set)
        self.assertEqual([EMPTY_TABLE], published)


def over_the_wire(table: Table, age_ms: int = 0) -> messages.TableDelta:
    delta = deltas.full_table(table, with_seen=True)
    delta.age_ms = age_ms
    return codec.decode(codec.encode(delta))
