"""Tests of how the starts of upstreams are told apart that keep their ids."""

from __future__ import annotations

import unittest

from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import request_cause
from burdockchute.decisions.ended_starts import EndedStarts
from burdockchute.model.crash_reports import LostRequest

RAN_S = 0.1


def lost(name, started_ms=None, ran_s=RAN_S, upstream='i-1', is_late=False):
    return LostRequest(name, upstream, (), ran_s, is_late, started_ms)


class EndedStartsTest(unittest.TestCase):
    def setUp(self):
        self.starts = EndedStarts()

    def record(self, at, started_ms=None, ran_s=RAN_S):
        return self.starts.record(lost('f-1', started_ms, ran_s), at)

    def test_reports_of_one_end(self):
        """Other entries' reports are delayed, and may not name the start."""
        first = self.record(5.0, 1000)
        self.assertEqual(first, self.record(5.3, 1000))
        self.assertEqual(first, self.record(5.3))

    def test_end_that_a_suspended_entry_notices_late(self):
        first = self.record(5.0, 1000)
        self.assertEqual(first, self.record(9.0, 1000, ran_s=4.5))
        self.assertNotEqual(first, self.record(9.2, 1000))

    def test_later_starts(self):
        """They are known by their time of start, or by that of the request.

        The list may still show the start before.
        """
        names = {
            self.record(5.0, 1000),
            self.record(5.2, 3000),
            self.record(9.0, 3000),
            self.record(12.0),
        }
        self.assertEqual(4, len(names))

    def test_reports_that_arrive_in_reverse(self):
        """The store is read late, after a crash that was noticed here."""
        second = self.record(9.0)
        self.assertNotEqual(second, self.record(5.0))

    def test_end_of_an_earlier_start_is_none_of_the_present_one(self):
        """An upstream that does not respond was taken as ended."""
        self.record(5.0, 1000)
        self.assertTrue(self.starts.has_ended('i-1', 1000, 4.9))
        self.assertFalse(self.starts.has_ended('i-1', 1000, 8.0))
        self.assertFalse(self.starts.has_ended('i-1', 3000, 4.9))

    def test_old_ends_are_forgotten(self):
        first = self.record(5.0, 1000)
        self.starts.drop_before(4.0)
        self.assertEqual([first], self.starts.names('i-1'))
        self.starts.drop_before(6.0)
        self.assertEqual([], self.starts.names('i-1'))


class KeptIdsTest(unittest.TestCase):
    def crash_in_turn(self, is_late):
        """Let two requests crash three upstreams that keep their ids."""
        causes = CrashCauses()
        for second, name in enumerate(['bad1'] * 6 + ['bad2'] * 6):
            report = lost(
                name,
                started_ms=second // 3,
                upstream=f'i-{second % 3}',
                is_late=is_late,
            )
            causes.crashed(report, 4.0 * second)
            causes.judge(4.0 * second)
        return causes.refused(44.0)

    def test_crashes_of_a_second_request_count(self):
        """They were taken for those of the first one, which explained them."""
        names = {request_cause('bad1'), request_cause('bad2')}
        self.assertEqual(names, set(self.crash_in_turn(is_late=False)))

    def test_late_crashes_of_a_request_count(self):
        names = {request_cause('bad1'), request_cause('bad2')}
        self.assertEqual(names, set(self.crash_in_turn(is_late=True)))
