"""Tests of the suspects of crashes."""

from __future__ import annotations

import unittest

from burdockchute.decisions import suspects
from burdockchute.decisions.suspects import Suspects
from burdockchute.model.crash_reports import CrashReport
from burdockchute.model.crash_reports import PeerCrashReport


class SuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = Suspects()

    def test_second_crash_alone_convicts(self):
        self.assertFalse(self.suspects.crashed('p', 'a', False, 0.0))
        self.assertTrue(self.suspects.crashed('p', 'b', True, 5.0))
        self.assertEqual(
            suspects.REFUSE_S, self.suspects.refused_for_s('p', 5.0)
        )
        self.assertEqual(
            0.0, self.suspects.refused_for_s('p', 6.0 + suspects.REFUSE_S)
        )

    def test_copies_in_one_crash_count_once(self):
        # A health check is sent every second, and three of them are in flight
        # when the upstream crashes for another reason.
        for _ in range(3):
            self.assertFalse(self.suspects.crashed('p', 'a', False, 0.0))
        self.assertEqual(0.0, self.suspects.refused_for_s('p', 0.0))

    def test_uninvolved_request_in_two_crashes_is_not_convicted(self):
        # Two entries retry suspects of one crash on the same instance, since
        # neither knows of the other's.
        self.suspects.crashed('p', 'a', False, 0.0)
        self.assertFalse(self.suspects.crashed('p', 'b', False, 5.0))
        self.assertTrue(self.suspects.crashed('p', 'c', False, 20.0))

    def test_outage_convicts_no_request(self):
        # A power cut stops all upstreams. A request that was in flight is
        # retried alone and is affected a second time; refused for ten minutes
        # it would miss its deadline without having caused a crash.
        for upstream in 'abc':
            self.suspects.crashed(f'in flight at {upstream}', upstream, 0, 0.0)
        self.suspects.crashed('p', 'a', False, 0.0)
        self.assertFalse(self.suspects.crashed('p', 'b', True, 2.0))
        self.assertEqual(0.0, self.suspects.refused_for_s('p', 2.0))

    def test_requests_that_crash_upstreams_in_turn_are_convicted(self):
        """Each was taken for an outage because of the crashes of the other.

        Both crashed instance after instance.
        """
        self.suspects.crashed('p', 'a', False, 0.0)
        self.suspects.crashed('q', 'b', False, 0.5)
        self.suspects.crashed('p', 'c', True, 2.0)
        self.assertTrue(self.suspects.crashed('q', 'd', True, 2.5))
        self.assertTrue(self.suspects.crashed('p', 'e', True, 4.0))

    def test_answer_clears(self):
        self.suspects.crashed('p', 'a', False, 0.0)
        self.suspects.answered('p')
        self.assertFalse(self.suspects.is_suspect('p'))

    def test_old_crash_is_forgotten(self):
        self.suspects.crashed('p', 'a', False, 0.0)
        later = suspects.RECORD_TTL_S + 1
        self.assertFalse(self.suspects.crashed('p', 'b', True, later))
        self.assertEqual(1, len(self.suspects))

    def test_upstream_that_loses_answers_convicts_no_frequent_request(self):
        """A server aborts one answer in thirty, to all entries.

        If all reports counted, a look-up that many callers make would soon be
        refused to all of them for ten minutes.
        """
        for second in range(9):
            seen = CrashReport('p', 'a', True, False)
            self.suspects.peer_reported(
                PeerCrashReport(seen, 0.0), 2.0 * second
            )
        self.assertEqual(0.0, self.suspects.refused_for_s('p', 20.0))
        seen = CrashReport('p', 'b', True, False)
        self.suspects.peer_reported(PeerCrashReport(seen, 0.0), 20.0)
        self.assertGreater(self.suspects.refused_for_s('p', 20.0), 0.0)

    def test_conviction_of_another_entry_is_applied(self):
        self.suspects.refuse('p', 60.0, 0.0)
        self.assertEqual(50.0, self.suspects.refused_for_s('p', 10.0))
