"""Tests of how the part that crashes engines is found."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import crash_causes
from burdockchute.decisions import crash_evidence
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart

BAD = PromptPart('m/bad', 1)


def shared(number: int) -> PromptPart:
    return PromptPart(f'm/{number}', 0)


class CrashingPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.parts = CrashCauses()

    def crash(self, number: int, *parts: PromptPart, at: float) -> str | None:
        """Record a crash of a request that comes once."""
        upstream = f'i-{number}'
        self.parts.crashed(LostRequest(f'f-{number}', upstream, parts), at)
        refused = [refusal.name for refusal in self.parts.judge(at)]
        return refused[0] if refused else None

    def test_part_in_three_crashes_is_convicted(self):
        self.assertIsNone(self.crash(1, BAD, shared(1), at=0.0))
        self.assertIsNone(self.crash(2, BAD, shared(2), at=1.0))
        self.assertEqual('m/bad', self.crash(3, BAD, shared(3), at=2.0))
        names = ['m/1', 'm/bad']
        self.assertEqual(0.0, self.parts.refused_for_s(names, 2.0))
        self.assertTrue(self.parts.may_only_be_tried('m/bad'))
        self.assertFalse(self.parts.may_only_be_tried('m/1'))
        self.assertIsNone(self.crash(4, BAD, shared(4), at=3.0))
        self.assertEqual('m/bad', self.crash(5, BAD, shared(5), at=4.0))
        refuse_s = crash_evidence.REFUSE_S
        self.assertEqual(refuse_s, self.parts.refused_for_s(names, 4.0))
        self.assertEqual(0.0, self.parts.refused_for_s(['m/1'], 2.0))
        # As for requests that name no parts.
        self.assertEqual(0.0, self.parts.refused_for_s([], 2.0))

    def test_reports_of_one_crash_count_once(self):
        for at in (0.0, 0.2, 0.4):
            self.assertIsNone(self.crash(1, BAD, at=at))
        again = LostRequest('f-1', 'i-1', (BAD,))
        self.assertFalse(self.parts.crashed(again, 0.6))
        other = LostRequest('f-2', 'i-1', (shared(1),))
        self.assertTrue(self.parts.crashed(other, 0.6))

    def test_engines_that_go_down_together_convict_no_part(self):
        # A power cut ends all engines that run a widely shared part.
        for number in range(6):
            self.assertIsNone(self.crash(number, shared(1), at=0.01 * number))

    def test_one_more_crash_after_a_series_at_once_convicts(self):
        # All entries get the part at the same time, and all engines end.
        for number in range(6):
            self.assertIsNone(self.crash(number, BAD, at=0.01 * number))
        self.assertEqual('m/bad', self.crash(7, BAD, at=4.5))

    def test_part_with_a_complete_answer_is_spared(self):
        self.crash(1, BAD, shared(1), at=0.0)
        self.crash(2, BAD, shared(1), at=1.0)
        names = ['m/1', 'm/2']
        self.assertEqual(['m/1'], self.parts.answered('f-9', names, 1.5))
        self.assertEqual('m/bad', self.crash(3, BAD, shared(1), at=2.0))
        self.assertEqual(0.0, self.parts.refused_for_s(['m/1'], 2.0))

    def test_part_that_comes_with_the_crashing_one_is_spared(self):
        # Only the latter is left as an explanation of the crashes.
        for number in range(3):
            self.crash(number, BAD, shared(1), at=float(number))
        self.assertEqual([], self.parts.judge(2.0))
        self.assertIsNone(self.crash(4, BAD, shared(1), at=3.0))
        self.assertEqual('m/bad', self.crash(5, BAD, shared(1), at=4.0))
        self.assertEqual(0.0, self.parts.refused_for_s(['m/1'], 4.0))
        # It was in five crashes without a whole answer.
        self.assertTrue(self.parts.may_be_tried('f-9', ['m/1'], 4.0))
        self.assertEqual(['m/1'], self.parts.answered('f-9', ['m/1'], 4.5))
        self.assertFalse(self.parts.may_only_be_tried('m/1'))

    def test_only_a_whole_answer_frees_a_part_in_five_crashes(self):
        """Late crashes said nothing, and an answer of 0.5 s cleared it."""
        for number in range(5):
            self.assertFalse(self.parts.may_only_be_tried('m/bad'))
            late = LostRequest(f'f-{number}', f'i-{number}', (BAD,), 2, True)
            self.parts.crashed(late, float(number))
        self.parts.answered('f-9', ['m/bad'], 5.0, is_whole=False)
        self.parts.answered_elsewhere('m/bad', 5.0, 5.0)
        self.assertTrue(self.parts.may_only_be_tried('m/bad'))
        self.parts.judge(5.0 + crash_causes.CRASH_TTL_S)
        self.assertTrue(self.parts.may_only_be_tried('m/bad'))
        self.parts.answered_elsewhere('m/bad', 700.0, 700.0, True)
        self.assertFalse(self.parts.may_only_be_tried('m/bad'))

    def test_crashes_that_another_part_explains_limit_no_sound_part(self):
        """Requests with sound parts waited for each other's long answers."""
        for together, alone, was_answered, is_limited in (
            # Crashes with both parts, crashes with the crashing one alone.
            (4, 4, True, False),
            (5, 1, True, False),
            (8, 1, True, False),
            # They come together only, so either may be the cause.
            (5, 0, True, True),
            # No answer on the other one was ever complete.
            (5, 1, False, True),
        ):
            with self.subTest(together, alone=alone, answered=was_answered):
                causes = CrashCauses()
                if was_answered:
                    causes.answered('g', ['m/2'], -1.0)
                for number in range(together + alone):
                    parts = (shared(1), shared(2))[: 1 + (number < together)]
                    lost = LostRequest(f'f-{number}', f'i-{number}', parts)
                    causes.crashed(lost._replace(is_late=True), float(number))
                self.assertTrue(causes.may_only_be_tried('m/1'))
                self.assertEqual(is_limited, causes.may_only_be_tried('m/2'))
                # The first part was sound after all.
                causes.answered('g', ['m/1'], 20.0)
                self.assertFalse(causes.may_only_be_tried('m/1'))
                self.assertEqual(together > 4, causes.may_only_be_tried('m/2'))

    def test_parts_that_always_come_together_are_tried_three_times(self):
        """A first try without an outcome refused both for up to a day."""
        cases = [
            # The try, whether it crashed, seconds since, whether another may.
            (0, False, 0.0, True),
            (1, False, 0.1, True),
            (2, False, 0.1, True),
            (1, True, 5.0, False),
            (1, True, 10.0, True),
            (2, True, 5.0, False),
            (2, True, 10.0, True),
            (3, False, 0.1, False),
            (3, True, 3600.0, False),
        ]
        for number, has_crashed, since_s, may_be_tried in cases:
            with self.subTest(number=number, crashed=has_crashed, s=since_s):
                causes = CrashCauses()
                prompt = (shared(1), shared(2))
                names = [part.name for part in prompt]
                for count in range(5):
                    lost = LostRequest(f'f-{count}', f'i-{count}', prompt)
                    causes.crashed(lost._replace(is_late=True), 0.0)
                if number:
                    for name in names:
                        causes.tries.record(name, number, 5.0)
                        causes.tries.end(name, number)
                if has_crashed:
                    lost = LostRequest('f-5', 'i-5', prompt, 3.0, True)
                    causes.crashed(lost, 6.0)
                now = 5.0 + since_s
                result = causes.may_be_tried('f-9', names, now)
                self.assertEqual(may_be_tried, result)
                if 0 < number < 3:
                    # Requests with one of them show which is the cause.
                    self.assertTrue(causes.may_be_tried('f-9', ['m/1'], now))

    def test_crashes_go_on_without_the_part_that_was_convicted(self):
        # Both were in the first crashes, and the wrong one was taken.
        for number in range(3):
            self.crash(number, shared(1), BAD, at=float(number))
        for number in range(3, 5):
            self.assertIsNone(self.crash(number, shared(1), at=float(number)))
        self.assertEqual('m/1', self.crash(5, shared(1), at=5.0))

    def test_answer_clears_a_convicted_part(self):
        # It was still running at an engine that did not crash.
        for number in range(3):
            self.crash(number, shared(1), at=float(number))
        self.assertTrue(self.parts.may_only_be_tried('m/1'))
        self.assertEqual(['m/1'], self.parts.answered('f-9', ['m/1'], 2.1))
        self.assertFalse(self.parts.may_only_be_tried('m/1'))
        self.parts.refuse('m/1', 600.0, 3.0)
        self.assertEqual(['m/1'], self.parts.answered('f-9', ['m/1'], 3.1))
        self.assertFalse(self.parts.is_refused('m/1', 3.1))

    def test_only_late_crashes_in_turn_that_nothing_explains_convict(self):
        # A sound request that runs for long is in the crashes of others.
        for number in range(9):
            upstream, at = f'i-{number}', 10.0 * number
            if number < 3:
                self.parts.crashed(LostRequest('bad', upstream, ()), at)
            late = LostRequest('f-1', upstream, (), 5.0, is_late=True)
            self.parts.crashed(late, at)
            self.parts.judge(at)
            is_refused = self.parts.is_refused('request:f-1', at)
            self.assertEqual(number >= 7, is_refused)
            if number == 2:
                self.assertTrue(self.parts.is_refused('request:bad', at))
        self.parts.answered('f-1', [], 90.0, is_whole=False)
        self.assertTrue(self.parts.is_refused('request:f-1', 90.0))
        self.parts.answered('f-1', [], 91.0)
        self.assertEqual(0, self.parts.late_crash_count('f-1'))
        self.assertFalse(self.parts.is_refused('request:f-1', 91.0))

    def test_known_answer_of_another_entry_lifts_no_refusal(self):
        # It was answered until engines got a release that crashes on it.
        self.parts.answered('f-0', ['m/bad'], 0.0)
        for number in range(1, 7):
            self.crash(number, BAD, at=float(number))
        self.assertTrue(self.parts.may_only_be_tried('m/bad'))
        self.parts.answered_elsewhere('m/bad', 0.5, 6.0)
        self.assertTrue(self.parts.may_only_be_tried('m/bad'))
        self.crash(7, BAD, at=7.0)
        self.assertTrue(self.parts.is_refused('m/bad', 7.0))
        self.parts.answered_elsewhere('m/bad', 0.5, 7.0)
        self.assertTrue(self.parts.is_refused('m/bad', 7.0))

    def test_old_crashes_and_convictions_are_forgotten(self):
        later = crash_causes.CRASH_TTL_S + 1.0
        self.crash(1, BAD, at=0.0)
        self.crash(2, BAD, at=1.0)
        self.assertIsNone(self.crash(3, BAD, at=later + 1.0))
        self.parts.refuse('m/1', 60.0, 0.0)
        self.assertEqual(10.0, self.parts.refused_for_s(['m/1'], 50.0))
        self.assertEqual(0.0, self.parts.refused_for_s(['m/1'], 61.0))

    def test_sound_parts_stay_allowed_while_engines_crash(self):
        """A crash leaves parts of sound requests as evidence, too.

        Requests draw one of 60 shared parts; a tenth of them also has the
        crashing one, each of which ends its engine after 0.1 s. Refused sound
        parts would keep most requests out.
        """
        for seed in range(20):
            with self.subTest(seed=seed):
                refused = _simulate(random.Random(seed))
                self.assertEqual({'m/bad'}, refused)


def _simulate(rng: random.Random, engines: int = 12) -> set[str]:
    """Play 20 s of requests; return all causes that were ever refused."""
    causes = CrashCauses()
    running: list[tuple[float, int, LostRequest, float]] = []
    down_until = [0.0] * engines
    refused: set[str] = set()
    starts = 0
    for step in range(2000):
        now = step * 0.01
        if rng.random() < 0.5:
            prompt = [shared(min(rng.randrange(60), rng.randrange(60)))]
            if rng.random() < 0.1:
                prompt.append(BAD)
            up = [n for n in range(engines) if down_until[n] <= now]
            names = [part.name for part in prompt]
            if up and not causes.refused_for_s(names, now):
                ends_at = now + (0.1 if BAD in prompt else rng.uniform(0.3, 2))
                request = LostRequest(f'f-{step}', '', tuple(prompt))
                running.append((ends_at, rng.choice(up), request, now))
        for ends_at, engine, request, _since in list(running):
            if ends_at > now or down_until[engine] > now:
                continue
            if BAD not in request.parts:
                names = [part.name for part in request.parts]
                causes.answered(request.fingerprint, names, now)
                continue
            starts += 1
            down_until[engine] = now + 4.0
            for _ends, at, lost, since in running:
                if at == engine and now - since < crash_evidence.JUST_BEGUN_S:
                    upstream = f'i-{engine}-{starts}'
                    ran_s = now - since
                    item = lost._replace(upstream=upstream, ran_s=ran_s)
                    causes.crashed(item, now)
            refused |= {refusal.name for refusal in causes.judge(now)}
        running = [
            item for item in running if item[0] > now >= down_until[item[1]]
        ]
    return refused


class AnsweredRequestsTest(unittest.TestCase):
    def test_a_part_is_judged_though_its_requests_were_answered(self):
        """The judgement failed if no request of a crash was a candidate."""
        crashes = [
            crash_evidence.Crash(float(at), {}, frozenset({'a1'}))
            for at in range(8)
        ]
        evidence = crash_evidence.CrashEvidence(crashes, frozenset(), (), 8)
        found = [found.name for _rank, found in evidence.against_parts()]
        self.assertEqual(['a1'], found)
