"""Rows and members as an agent receives them from its entries."""

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
    """An entry's link that records the messages sent over it."""

    def __init__(self, name: str) -> None:
        self.peer = messages.Hello(name, 'entry')
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Record a message."""
        self.sent.append(message)


class RowsTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.published: list[Any] = []
        self.task = rows_task.RowsTask(self.published.append, lambda: self.now)
        self.current = FakeLink('e1')
        self.outdated = FakeLink('e2')

    def receive(self, link: FakeLink, message: Any) -> None:
        self.task.handle(links.Received(link, message))

    def send_table(
        self, link: FakeLink, table: Table, age_ms: int = 0
    ) -> None:
        delta = deltas.full_table(table)
        delta.age_ms = age_ms
        self.receive(link, delta)

    def test_older_rows_of_an_outdated_entry_are_ignored(self):
        # One of the agent's entries was stopped for an hour and resumes.
        older = tables.table_of(tables.model())
        newer = tables.table_of(tables.model(), tables.service())
        self.send_table(self.current, newer)
        self.send_table(self.outdated, older)
        self.assertEqual(newer.rows, self.task.table.rows)
        self.assertEqual(1, len(self.published))
        self.assertIsInstance(self.published[0], TableChanged)

    def test_age_is_the_lowest_that_an_entry_reports(self):
        self.assertIsNone(self.task.age_s())
        table = tables.table_of(tables.model())
        self.send_table(self.current, table, age_ms=500)
        self.now += 1
        self.assertEqual(1.5, self.task.age_s())
        self.send_table(self.outdated, table, age_ms=3_600_000)
        self.assertEqual(1.5, self.task.age_s())
        self.send_table(self.current, table, age_ms=200)
        self.assertAlmostEqual(0.2, self.task.age_s())

    def test_low_age_of_older_rows_is_ignored(self):
        # An entry with older rows reports their age, which says nothing of
        # the newer rows that this agent holds.
        table = tables.table_of(tables.model(), tables.service())
        self.send_table(self.current, table, age_ms=5000)
        self.send_table(
            self.outdated, tables.table_of(tables.model()), age_ms=0
        )
        self.assertEqual(5, self.task.age_s())

    def test_gap_requests_the_full_table(self):
        self.receive(self.current, messages.TableDelta(7, 9, []))
        self.assertEqual([messages.TableRequest(-1)], self.current.sent)

    def test_members_are_sent_in_full_and_then_as_changes(self):
        first = [member('a1'), member('a2'), member('a3')]
        self.receive(self.current, messages.Members(first, 1))
        self.receive(self.outdated, messages.Members(first[:1], 1))
        moved = member('a2', port=9)
        self.receive(
            self.current,
            messages.Members([moved, member('a4')], 2, True, ['a3', 'x']),
        )
        self.assertEqual(
            [('a1', 1), ('a2', 9), ('a4', 1)],
            [(m.name, m.port) for m in self.task.members],
        )


def member(name: str, port: int = 1) -> messages.Member:
    return messages.Member(name, '127.0.0.1', port, 'z', 'r', 'p', False)
