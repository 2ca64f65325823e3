"""Reading the store for entries that it does not answer."""

from __future__ import annotations

import unittest

import gevent
from gevent import event as events

from burdockchute.model.store_probes import LogEnd
from burdockchute.wire import messages
from burdockchute_agent.staged.store_queries import NO_ANSWER
from burdockchute_agent.staged.store_queries import REUSE_S
from burdockchute_agent.staged.store_queries import StoreQueries


class StoreQueriesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.end = LogEnd(2, 40)
        self.reads = 0
        self.answered = events.Event()
        self.sent = []
        self.queries = StoreQueries(
            self.read_end,
            lambda link, report: self.sent.append((link, report)),
            lambda: self.now,
        )

    def read_end(self):
        self.reads += 1
        self.answered.wait(5)
        return self.end

    def ask(self, link, sent_us=1):
        self.queries.on_query(link, messages.StoreQuery(sent_us))
        gevent.sleep(0)

    def answer(self):
        self.answered.set()
        gevent.sleep(0.01)

    def test_one_read_for_all_entries(self):
        """All of them ask at once when the store is away."""
        self.ask('first', 11)
        self.now += 0.1
        self.ask('second', 12)
        self.answer()
        self.ask('third', 13)
        self.assertEqual(1, self.reads)
        self.assertEqual(
            [('first', 11, 40, 0), ('second', 12, 40, 100)],
            [(link, r.sent_us, r.end, r.age_ms) for link, r in self.sent][:2],
        )
        self.assertEqual(3, len(self.sent))
        self.now += REUSE_S
        self.ask('first')
        self.assertEqual(2, self.reads)

    def test_a_store_that_does_not_answer(self):
        self.end = None
        self.ask('first')
        self.answer()
        self.assertEqual(NO_ANSWER, self.sent[0][1].end)

    def test_a_failed_read_does_not_answer_with_the_one_before(self):
        self.ask('first')
        self.answer()
        self.now += 1.0
        self.queries._read_end = lambda: 1 / 0
        self.ask('second')
        gevent.sleep(0.01)
        self.ask('third')
        ends = [report.end for _link, report in self.sent[1:]]
        self.assertNotIn(40, ends)
