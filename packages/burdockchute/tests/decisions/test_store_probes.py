"""Tests of what agents' answers tell of a store that does not answer."""

from __future__ import annotations

import unittest

from burdockchute.decisions import store_probes
from burdockchute.decisions.store_probes import Outcome
from burdockchute.decisions.store_probes import Probe
from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeSent

KNOWN = LogEnd(2, 40)
ZONES = ('north', 'south', 'west')
ASKED = {f'{zone}-{number}': zone for zone in ZONES for number in (1, 2)}


def probe(answers, asked=ASKED, zones=ZONES):
    """Return a probe with the ends that agents answered, by agent."""
    result = Probe(StoreProbeSent(5.0, asked, frozenset(zones)))
    for agent, end in answers.items():
        answer = StoreProbeAnswered(5.0, agent, end, 0.2)
        result = store_probes.on_answer(result, answer)
    return result


def outcome(*args, **kwargs):
    return store_probes.outcome(probe(*args, **kwargs), KNOWN)


class StoreProbesTest(unittest.TestCase):
    def test_one_agent_that_the_store_answers_is_enough(self):
        for end, expected in (
            (KNOWN, Outcome.CONFIRMED),
            (LogEnd(2, 41), Outcome.OUTDATED),
            (LogEnd(3, 1), Outcome.OUTDATED),
            (LogEnd(2, 39), Outcome.UNKNOWN),
        ):
            answers = dict.fromkeys(ASKED) | {'south-1': end}
            self.assertEqual(expected, outcome(answers))
        found = probe({'south-1': KNOWN})
        self.assertEqual(4.8, store_probes.confirmed_at(found, KNOWN))
        self.assertIsNone(store_probes.confirmed_at(probe({}), KNOWN))

    def test_a_newer_end_outweighs_an_older_one(self):
        """Agents are answered one after the other, across a save."""
        answers = {'south-1': KNOWN, 'west-1': LogEnd(2, 41)}
        self.assertEqual(Outcome.OUTDATED, outcome(answers))

    def test_a_store_that_answers_nobody_is_away(self):
        self.assertEqual(Outcome.STORE_AWAY, outcome(dict.fromkeys(ASKED)))

    def test_a_store_that_may_answer_others_is_not_taken_as_away(self):
        """Operators may save a configuration meanwhile."""
        silent = dict.fromkeys(ASKED)
        some = {agent: None for agent in ASKED if agent != 'north-1'}
        self.assertEqual(Outcome.UNKNOWN, outcome(some), 'one is missing')
        self.assertEqual(
            Outcome.UNKNOWN,
            outcome(silent, zones=(*ZONES, 'east')),
            'no agent of a zone is linked',
        )
        few = {agent: ASKED[agent] for agent in list(ASKED)[:4]}
        found = outcome(dict.fromkeys(few), asked=few, zones=ZONES[:2])
        self.assertEqual(Outcome.UNKNOWN, found, 'too few agents')
        self.assertEqual(Outcome.UNKNOWN, outcome({}, asked={}, zones=()))

    def test_answers_to_another_probe_are_ignored(self):
        """They were made before it, and would confirm what is outdated."""
        before = probe({})
        for answer in (
            StoreProbeAnswered(4.0, 'south-1', KNOWN, 0.0),
            StoreProbeAnswered(5.0, 'unasked', KNOWN, 0.0),
        ):
            self.assertEqual(before, store_probes.on_answer(before, answer))
