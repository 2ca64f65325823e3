"""Probing the store by way of agents."""

from __future__ import annotations

import unittest

from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeSent
from burdockchute_entry.straight.store_probes import MIN_INTERVAL_S
from burdockchute_entry.straight.store_probes import StoreProbes

KNOWN = LogEnd(1, 40)
ASKED = {f'agent-{number}': 'north' for number in range(5)}


class StoreProbesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.known = KNOWN
        self.sent = []
        self.confirmed = []
        self.probes = StoreProbes(
            self.sent.append,
            lambda: self.known,
            self.confirmed.append,
            self.confirmed.append,
            lambda: self.now,
        )

    def start(self):
        self.probes.start()
        sent_at = self.sent[-1].sent_at
        zones = frozenset(['north'])
        self.probes.handle_event(StoreProbeSent(sent_at, ASKED, zones))
        return sent_at

    def answer(self, sent_at, agent, end, age_s=0.0):
        event = StoreProbeAnswered(sent_at, agent, end, age_s)
        self.probes.handle_event(event)

    def test_an_agent_that_the_store_answers_confirms(self):
        sent_at = self.start()
        self.answer(sent_at, 'agent-1', KNOWN, 0.25)
        self.assertEqual([99.75], self.confirmed)

    def test_a_store_that_is_away_for_all_changes_nothing(self):
        """Restricted requests were refused although nobody could save."""
        sent_at = self.start()
        for agent in ASKED:
            self.assertEqual([], self.confirmed)
            self.answer(sent_at, agent, None)
        self.assertEqual([100.0], self.confirmed)

    def test_late_answers_to_an_earlier_probe(self):
        """Dated by the later one, they would confirm for too long."""
        early = self.start()
        self.probes.start()
        self.assertEqual(1, len(self.sent), 'one probe at a time')
        self.now += MIN_INTERVAL_S
        self.start()
        self.answer(early, 'agent-1', KNOWN)
        self.assertEqual([early], self.confirmed)

    def test_an_entry_that_has_read_nothing(self):
        self.known = None
        self.answer(self.start(), 'agent-1', KNOWN)
        self.assertEqual([], self.confirmed)
