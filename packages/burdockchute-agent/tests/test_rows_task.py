"""Rows and members as an agent takes them from its entries."""

from __future__ import annotations

from typing import Any
import unittest

from burdockchute.model import deltas
from burdockchute.model.changes import TableChanged
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_agent import rows_task
from burdockchute_testing.builders import tables


class FakeLink:
    """An entry's link that only notes what is sent."""

    def __init__(self, name: str) -> None:
        self.peer = messages.Hello(name, 'entry')
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Note a message."""
        self.sent.append(message)


class RowsTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.published: list[Any] = []
        self.task = rows_task.RowsTask(self.published.append, lambda: self.now)
        self.fresh = FakeLink('e1')
        self.stale = FakeLink('e2')

    def receive(self, link: FakeLink, message: Any) -> None:
        self.task.handle(links.Received(link, message))

    def tell(self, link: FakeLink, table: Table, age_ms: int = 0) -> None:
        delta = deltas.whole(table)
        delta.age_ms = age_ms
        self.receive(link, delta)

    def test_older_rows_of_a_stale_entry_are_ignored(self):
        # One of the agent's entries was stopped for an hour and goes on.
        older = tables.table_of(tables.model())
        newer = tables.table_of(tables.model(), tables.service())
        self.tell(self.fresh, newer)
        self.tell(self.stale, older)
        self.assertEqual(newer.rows, self.task.table.rows)
        self.assertEqual(1, len(self.published))
        self.assertIsInstance(self.published[0], TableChanged)

    def test_age_is_that_of_the_entry_that_knows_best(self):
        self.assertIsNone(self.task.age_s())
        table = tables.table_of(tables.model())
        self.tell(self.fresh, table, age_ms=500)
        self.now += 1
        self.assertEqual(1.5, self.task.age_s())
        self.tell(self.stale, table, age_ms=3_600_000)
        self.assertEqual(1.5, self.task.age_s())
        self.tell(self.fresh, table, age_ms=200)
        self.assertAlmostEqual(0.2, self.task.age_s())

    def test_old_rows_do_not_become_new_by_a_young_age(self):
        # An entry says how old its older rows are; that tells nothing of
        # the newer rows which this agent holds.
        table = tables.table_of(tables.model(), tables.service())
        self.tell(self.fresh, table, age_ms=5000)
        self.tell(self.stale, tables.table_of(tables.model()), age_ms=0)
        self.assertEqual(5, self.task.age_s())

    def test_gap_asks_for_the_whole(self):
        self.receive(self.fresh, messages.TableDelta(7, 9, []))
        self.assertEqual([messages.TableRequest(-1)], self.fresh.sent)

    def test_members_come_whole_and_then_as_changes(self):
        first = [member('a1'), member('a2'), member('a3')]
        self.receive(self.fresh, messages.Members(first, 1))
        self.receive(self.stale, messages.Members(first[:1], 1))
        moved = member('a2', port=9)
        self.receive(
            self.fresh,
            messages.Members([moved, member('a4')], 2, True, ['a3', 'x']),
        )
        self.assertEqual(
            [('a1', 1), ('a2', 9), ('a4', 1)],
            [(m.name, m.port) for m in self.task.members],
        )


def member(name: str, port: int = 1) -> messages.Member:
    return messages.Member(name, '127.0.0.1', port, 'z', 'r', 'p', False)
