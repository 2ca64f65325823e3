"""Tests of how tries of what crashes upstreams are counted."""

from __future__ import annotations

import unittest

from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import request_cause
from burdockchute.decisions.tries import MAX_TRIES
from burdockchute.decisions.tries import MAX_TRY_S
from burdockchute.decisions.tries import Tries
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart

NAME = request_cause('bad')
PART = PromptPart('m/1', 0)


class TriesTest(unittest.TestCase):
    def setUp(self):
        self.tries = Tries()

    def test_one_at_a_time(self):
        """A try of a long answer was over after 2 s, and another one began."""
        self.tries.record(NAME, 1, 5.0)
        self.assertEqual(MAX_TRY_S - 1.0, self.tries.open_for_s(NAME, 6.0))
        self.assertEqual(0.0, self.tries.open_for_s(NAME, 5.0 + MAX_TRY_S))
        self.assertTrue(self.tries.end(NAME, 1))
        self.assertEqual(0.0, self.tries.open_for_s(NAME, 6.0))

    def test_crash_ends_the_open_try(self):
        self.tries.record(NAME, 1, 5.0)
        self.tries.crashed(NAME, 4.9)
        self.assertGreater(self.tries.open_for_s(NAME, 5.1), 0)
        self.tries.crashed(NAME, 5.1)
        self.assertEqual(0.0, self.tries.open_for_s(NAME, 5.1))

    def test_records_that_are_read_again_count_once(self):
        for number in (1, 1, 2, 1):
            self.tries.record(NAME, number, 5.0 + number)
        self.assertEqual(2, self.tries.count(NAME))
        self.tries.record(NAME, MAX_TRIES, 9.0)
        self.assertTrue(self.tries.are_used_up(NAME))

    def test_answer_before_the_newest_try_does_not_end_the_count(self):
        self.tries.record(NAME, 1, 5.0)
        self.tries.forget(NAME, 4.0)
        self.assertEqual(1, self.tries.count(NAME))
        self.tries.forget(NAME, 5.5)
        self.assertEqual(0, self.tries.count(NAME))


class LimitedCausesTest(unittest.TestCase):
    def setUp(self):
        self.causes = CrashCauses()
        self.causes.upstreams = 12

    def crash(self, number, *names):
        for name in names:
            lost = LostRequest(name, f'i-{number}', (PART,), 0.05)
            self.causes.crashed(lost, float(number))
        self.causes.judge(float(number))

    def test_request_in_three_crashes_that_are_not_judged_yet(self):
        for number in range(3):
            self.assertFalse(self.causes.may_only_be_tried(NAME))
            self.crash(number, 'bad', f'good-{number}')
        self.assertEqual({}, self.causes.refused(2.0))
        self.assertTrue(self.causes.may_only_be_tried(NAME))
        self.assertFalse(self.causes.may_only_be_tried('request:good-1'))

    def test_answer_allows_a_request(self):
        for number in range(3):
            self.crash(number, 'bad', f'good-{number}')
        self.causes.tries.record(NAME, 1, 2.5)
        self.assertIn(NAME, self.causes.answered('bad', [], 3.0))
        self.assertFalse(self.causes.may_only_be_tried(NAME))

    def test_part_whose_refusal_has_ended(self):
        for number in range(5):
            self.crash(number, f'bad-{number}')
        self.assertTrue(self.causes.is_refused('m/1', 4.0))
        self.causes.judge(700.0)
        self.assertFalse(self.causes.is_refused('m/1', 700.0))
        self.assertTrue(self.causes.may_only_be_tried('m/1'))
        self.causes.answered('good', ['m/1'], 701.0)
        self.assertFalse(self.causes.may_only_be_tried('m/1'))

    def test_refusal_that_ended_before_this_entry_began(self):
        self.causes.was_refused(NAME, 5.0)
        self.assertFalse(self.causes.is_refused(NAME, 6.0))
        self.assertTrue(self.causes.may_only_be_tried(NAME))

    def test_answer_that_another_entry_saw_allows_a_part(self):
        self.causes.answered('good', ['m/1'], 0.0)
        self.causes.refuse('m/1', 10.0, 3.0)
        self.causes.tries.record('m/1', 1, 14.0)
        # Only a whole answer shows that a part that was tried is sound.
        self.causes.answered_elsewhere('m/1', 15.0, 15.5)
        self.assertTrue(self.causes.may_only_be_tried('m/1'))
        self.causes.answered_elsewhere('m/1', 15.0, 15.5, is_whole=True)
        self.assertFalse(self.causes.may_only_be_tried('m/1'))

    def test_operators_allow_a_cause(self):
        self.causes.refuse(NAME, 10.0, 3.0)
        self.causes.tries.record(NAME, MAX_TRIES, 14.0)
        self.causes.clear(NAME, 15.0)
        self.assertFalse(self.causes.may_only_be_tried(NAME))


class AmbiguousTriesTest(unittest.TestCase):
    """A crash of a request with several suspects shows no cause."""

    def setUp(self):
        self.causes = CrashCauses()
        for name in ('m/1', 'm/2'):
            self.causes.was_refused(name, 0.0)

    def may_be_tried(self, *limited, name='new'):
        return self.causes.may_be_tried(name, limited, 20.0)

    def test_first_try_may_be_ambiguous(self):
        """Both may come together only."""
        self.assertTrue(self.may_be_tried('m/1', 'm/2'))
        self.causes.tries.record('m/1', 1, 10.0)
        self.assertFalse(self.may_be_tried('m/1', 'm/2'))
        self.assertTrue(self.may_be_tried('m/1'))

    def test_request_that_was_in_a_crash_is_ambiguous(self):
        """Requests that crash upstreams used up the tries of their parts."""
        self.causes.crashed(LostRequest('bad', 'i-1', (PART,), 0.1), 5.0)
        self.causes.tries.record('m/1', 1, 10.0)
        self.assertFalse(self.may_be_tried('m/1', name='bad'))
        self.assertTrue(self.may_be_tried('m/1'))
