"""The task that follows the table, with a log in memory."""

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
        # The log is unavailable for a while. The table stays in effect and
        # the status shows its age; an edit made right afterwards is applied.
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
        # A new entry has no table. If it were ready without one, it would
        # refuse every request; with the oldest of its peers' tables, it would
        # revert a change that callers have already seen.
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

    def test_table_of_a_peer_is_continued_from_the_log(self):
        text = tables.record('a', tables.edit(tables.model()))
        table = reducer.apply_record(EMPTY_TABLE, 0, text)[0]
        self.log.append('table', text).unwrap()
        self.log.down = True
        task, _published = self.task()
        task.apply_peer_table(over_the_wire(table))
        self.wait_for(task.ready.is_set)
        self.log.down = False
        # A duplicate record must still be recognized.
        self.log.append('table', text).unwrap()
        self.edit(tables.service())
        self.wait_for(lambda: task.table.offset == 2)
        self.assertEqual(2, len(task.table.rows))
        self.assertIn('second copy', task.status().findings[0].text)

    def test_cut_off_from_the_log_but_not_from_peers(self):
        # One region cannot read the log while others can. Without peers, its
        # entries would serve the old version until the partition ends.
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
        # The log stops answering without an error. An edit made then is in
        # effect elsewhere; peers are asked long before the read times out.
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

    def test_idle_log_makes_no_entry_ask_peers(self):
        # There are no edits for hours. The age is counted from the time of
        # the request, so just before the next answer it is that of two polls.
        # If peers were asked at that age, all entries would ask each other
        # whenever the log is idle.
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

    def test_answer_read_after_a_pause_does_not_count_as_new(self):
        # The process is paused while it waits for an answer of the log and
        # resumes an hour later; the answer that it then reads is an hour old.
        # Its rows must be reported as old until the log has been read again.
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

    def test_resumed_process_does_not_send_older_rows_as_new(self):
        # Other processes have newer rows after the pause. What this one sends
        # must not revert them, and it must accept what they send.
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

    def test_paused_reader_falls_behind_the_retention(self):
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

    def test_log_restored_from_an_older_copy(self):
        # The offsets that are then assigned a second time are lower than those
        # already read. Without a check, the process would consider itself up
        # to date and see none of the edits.
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
        self.wait_for(lambda: len(self.log.all_records('table')) == 2)
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
