"""Tests of how requests that crash upstreams are told from sound ones."""

from __future__ import annotations

import unittest

from burdockchute.decisions import crash_evidence
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import request_cause
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart
from tests.decisions import crash_simulation
from tests.decisions.crash_simulation import CRASHING_PART
from tests.decisions.crash_simulation import power_cut
from tests.decisions.crash_simulation import Scenario

PART = PromptPart('m/1', 0)
SEEDS = range(5)

# By the users' pages: how many crashes there may be, and how many more sends
# later than CONTACT_S after the last of them.
CRASHES, CRASHES_OF_PART = 3, 5
CONTACT_S = 3.0
MAX_FURTHER_SENDS = 3


class CrashingRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.causes = CrashCauses()
        self.causes.upstreams = 12
        self.crashes = 0

    def crash(self, at, *names, ran_s=0.05):
        """Crash an upstream with requests that were sent just before."""
        self.crashes += 1
        for name in names:
            lost = LostRequest(name, f'i-{self.crashes}', (PART,), ran_s)
            self.causes.crashed(lost, at)
        return self.judge(at)

    def judge(self, at):
        """Return for how long each cause is newly refused, in seconds."""
        return {
            refusal.name: round(refusal.for_s)
            for refusal in self.causes.judge(at)
        }

    def refused_s(self, name, now):
        return self.causes.refused_for_s([request_cause(name)], now)

    def test_third_crash_convicts(self):
        self.assertEqual({}, self.crash(0.0, 'bad'))
        self.assertEqual({}, self.crash(1.0, 'bad'))
        refused = self.crash(2.0, 'bad')
        self.assertEqual({'request:bad': crash_evidence.REFUSE_S}, refused)
        self.assertEqual(590.0, self.refused_s('bad', 12.0))
        self.assertEqual(0.0, self.refused_s('bad', 603.0))

    def test_answer_clears_a_request(self):
        """A sound request is in two crashes, is answered, and in two more."""
        for at in (0.0, 1.0):
            self.crash(at, 'good')
        suspected = self.causes.answered('good', ['m/1'], 1.5)
        self.assertEqual(['request:good', 'm/1'], suspected)
        for at in (2.0, 3.0):
            self.assertEqual({}, self.crash(at, 'good'))

    def test_answer_ends_a_refusal(self):
        for at in (0.0, 1.0, 2.0):
            self.crash(at, 'good')
        self.causes.answered('good', ['m/1'], 2.5)
        self.assertEqual(0.0, self.refused_s('good', 2.5))

    def test_crashes_with_other_candidates_are_weaker_evidence(self):
        """Nothing tells the requests in three crashes from each other.

        Once one is answered, the other one explains them.
        """
        for at in (0.0, 1.0, 2.0):
            self.assertEqual({}, self.crash(at, 'bad', 'good'))
        self.causes.answered('good', [], 2.5)
        self.assertEqual({'request:bad': 600}, self.judge(2.5))

    def test_requests_beside_a_refused_one_are_not_accused(self):
        """It explains the crashes that they were in."""
        for at in (0.0, 1.0, 2.0):
            self.crash(at, 'bad')
        for at in (2.1, 2.2, 2.3):
            self.assertEqual({}, self.crash(at, 'bad', 'good'))

    def test_runs_side_by_side_are_not_evidence_of_one_another(self):
        """A power cut ends all upstreams that run copies of a look-up."""
        for number in range(8):
            refused = self.crash(0.01 * number, 'look-up', ran_s=0.2)
            self.assertEqual({}, refused)

    def test_retries_in_an_outage_count_once(self):
        """Racks go down within a second, and sound requests are retried."""
        self.causes.answered('earlier', ['m/1'], -1.0)
        for number in range(4):
            self.crash(0.2 * number, f'other-{number}')
            self.assertEqual({}, self.crash(0.2 * number + 0.1, 'good'))

    def test_five_crashes_in_turn_convict_in_any_outage(self):
        for number in range(5):
            self.crash(0.2 * number, f'other-{number}')
            refused = self.crash(0.2 * number + 0.1, 'bad')
        self.assertEqual(600, refused['request:bad'])

    def test_part_of_requests_that_come_again_is_spared(self):
        """Two requests share a part that no other one uses."""
        for number in range(3):
            self.crash(1.0 * number, 'bad1')
            self.crash(1.0 * number + 0.5, 'bad2')
        refused = self.causes.refused(3.0)
        self.assertEqual({'request:bad1', 'request:bad2'}, set(refused))

    def test_part_of_different_requests_is_refused(self):
        """Each comes twice, as entries repeat what is lost."""
        for number in range(3):
            self.crash(1.0 * number, f'q-{number}')
            self.crash(1.0 * number + 0.1, f'q-{number}')
        self.assertEqual({}, self.causes.refused(2.1), 'weak evidence')
        self.assertTrue(self.causes.may_only_be_tried('m/1'))
        self.crash(3.0, 'q-4')
        refused = self.crash(4.0, 'q-5')
        self.assertEqual({'m/1': crash_evidence.REFUSE_S}, refused)

    def test_unknown_part_in_an_outage_is_not_refused(self):
        """An entry has just started and knows no answer on the part."""
        for number in range(4):
            self.crash(0.2 * number, f'q-{number}')
        self.assertEqual({}, self.causes.refused(0.6))
        self.causes.answered('good', ['m/1'], 0.7)
        self.assertFalse(self.causes.may_only_be_tried('m/1'))

    def test_reports_without_a_request(self):
        """Entries of an earlier release report all parts of a crash."""
        for number in range(3):
            lost = LostRequest('', f'i-{number}', (PART,))
            self.assertTrue(self.causes.crashed(lost, 1.0 * number))
        self.assertEqual({'m/1': 0}, self.judge(2.0))
        self.assertTrue(self.causes.may_only_be_tried('m/1'))


class SimulationTest(unittest.TestCase):
    """Engines crash by requests and parts, by themselves and in outages."""

    def assert_limits(self, scenario):
        """Check the users' limits, and that nothing sound is refused long."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = crash_simulation.play(scenario, seed)
                for name, sent_at in outcome.sent_at.items():
                    is_part = name == CRASHING_PART.name
                    crashes = CRASHES_OF_PART if is_part else CRASHES
                    until = sorted(sent_at)[:crashes][-1] + CONTACT_S
                    until += scenario.crash_after_s
                    further = [at for at in sent_at if at > until]
                    self.assertLessEqual(
                        len(further), MAX_FURTHER_SENDS, (name, sent_at)
                    )
                self.assertEqual({}, outcome.refused)

    def test_three_requests_at_once(self):
        self.assert_limits(Scenario(3))

    def test_copies_that_come_at_the_same_time(self):
        """They were all sent when a refusal ended, before the next crash."""
        self.assert_limits(Scenario(2, engines=20, copies=12, queue_s=0.3))

    def test_copies_beside_crashes_of_other_causes(self):
        self.assert_limits(
            Scenario(2, engines=20, copies=12, queue_s=0.3, faults=0.5)
        )

    def test_requests_beside_crashes_of_other_causes(self):
        self.assert_limits(Scenario(3, faults=0.5))

    def test_requests_beside_a_part(self):
        self.assert_limits(Scenario(2, part_rate=2.0))

    def test_part_at_entries_that_have_just_started(self):
        """Nobody has seen an answer on any part yet."""
        self.assert_limits(Scenario(engines=6, part_rate=3.0, begin_s=0.3))

    def test_sound_parts_at_entries_that_have_just_started(self):
        """They are in three crashes by chance, and were refused mostly.

        Requests on trial began beside others.
        """
        scenario = Scenario(
            3, engines=6, rate=20.0, faults=0.5, part_rate=3.0, begin_s=0.3
        )
        seeds = range(20)
        refused = sum(
            bool(crash_simulation.play(scenario, seed).refused)
            for seed in seeds
        )
        self.assertLess(refused, len(seeds) / 2)

    def test_part_beside_crashes_of_other_causes(self):
        self.assert_limits(Scenario(engines=12, faults=0.3, part_rate=2.0))

    def test_part_that_crashes_engines_late_in_answers(self):
        """Such crashes said nothing, and the answers cleared the part."""
        for crash_after_s in (0.3, 0.6, 1.5, 3.0):
            self.assert_limits(
                Scenario(
                    engines=12, part_rate=2.0, crash_after_s=crash_after_s
                )
            )

    def test_outages(self):
        """All engines lose power, quickly and then one after another."""
        ends = power_cut(8.0, 20, 0.2) + power_cut(16.0, 20, 1.0)
        self.assert_limits(Scenario(engines=20, rate=60.0, ends=ends))

    def test_requests_that_crash_engines_around_outages(self):
        ends = power_cut(6.0, 20, 0.2) + power_cut(12.0, 20, 4.0)
        scenario = Scenario(3, engines=20, rate=60.0, ends=ends)
        self.assert_limits(scenario)
