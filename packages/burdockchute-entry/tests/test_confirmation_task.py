"""Confirming the configuration: answers, rejections and silent stores."""

from __future__ import annotations

import unittest

import gevent

from burdockchute.decisions import confirmation
from burdockchute.decisions import startup
from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeSent
from burdockchute_entry.straight.confirmation_task import ConfirmationTask
from burdockchute_entry.straight.store_probes import MIN_INTERVAL_S
from burdockchute_entry.straight.store_probes import StoreProbes

CONFIG_APPLY_S = 3.0
KNOWN = LogEnd(1, 40)
ASKED = {f'agent-{number}': 'north' for number in range(5)}


class ConfirmationTaskTest(unittest.TestCase):
    """A task with version 9 and no confirmation; the clock is real."""

    def setUp(self):
        self.answers = []
        self.reads = 0
        self.started_at = gevent.get_hub().loop.now()
        self.task = ConfirmationTask(
            self.read_store, lambda: 9, lambda: CONFIG_APPLY_S, self.now
        )
        greenlet = gevent.spawn(self.task.run)
        self.addCleanup(greenlet.kill)

    def now(self):
        gevent.get_hub().loop.update_now()
        return gevent.get_hub().loop.now() - self.started_at

    def read_store(self):
        self.reads += 1
        answered = self.answers.pop(0) if self.answers else True
        if answered:
            self.task.record_confirmed(self.now())
        return answered

    def test_one_rejected_read_for_a_single_request(self):
        """The store answered 5 ms later, and was not asked again for 1 s."""
        self.answers = [False]
        self.assertTrue(self.task.wait_until_confirmed(self.now() + 2.0))

    def test_a_version_that_the_store_lacks_is_not_waited_for(self):
        """Requests waited for half of their time before they were refused."""
        self.task.record_version(10)
        self.assertFalse(self.task.wait_until_confirmed(self.now() + 3.0))
        self.assertLess(self.now(), confirmation.MAX_WAIT_S + 0.5)

    def test_a_version_that_the_store_lacks_costs_few_calls(self):
        """It was read five times a second for 15 s by each entry."""
        self.task.record_version(10)
        until = self.now() + 3.0
        while self.now() < until:
            self.task.wait_until_confirmed(min(until, self.now() + 0.5))
        self.assertLessEqual(self.reads, 6)


class SilentStoreTest(unittest.TestCase):
    """Probes of a store that does not answer; the clock is simulated."""

    def setUp(self):
        self.now = 100.0
        self.sent = []
        self.task = ConfirmationTask(
            lambda: False, lambda: 9, lambda: CONFIG_APPLY_S, lambda: self.now
        )
        self.probes = StoreProbes(
            self.sent.append,
            lambda: KNOWN,
            self.task.record_confirmed,
            self.task.record_store_away,
            lambda: self.now,
        )

    def probe(self, end, age_s=0.0):
        """Probe the store by agents that all get the same answer."""
        self.now += MIN_INTERVAL_S
        self.probes.start()
        sent_at = self.sent[-1].sent_at
        zones = frozenset(['north'])
        self.probes.handle_event(StoreProbeSent(sent_at, ASKED, zones))
        for agent in ASKED:
            answer = StoreProbeAnswered(sent_at, agent, end, age_s)
            self.probes.handle_event(answer)

    def test_a_store_that_falls_silent_after_a_newer_end(self):
        """Agents saw a newer record; the old configuration was confirmed."""
        self.probe(LogEnd(1, 41))
        self.probe(None)
        self.assertFalse(self.task.is_confirmed())

    def test_a_named_version_while_the_store_is_away_for_long(self):
        """After 15 s a store that is away counted as one that lacks it."""
        self.task.record_version(10)
        until = self.now + startup.REWRITE_WAIT_S
        while self.now <= until:
            self.probe(None)
            self.assertFalse(self.task.is_confirmed(), self.now)

    def test_a_read_that_failed_before_the_probe(self):
        """The store may have come back and accepted a record meanwhile."""
        self.probe(None, age_s=0.6)
        self.now += confirmation.max_age_s(CONFIG_APPLY_S) - 0.5
        self.assertFalse(self.task.is_confirmed())
