"""Turns to send requests to upstreams that name a limit."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import backpressure
from burdockchute.decisions.backpressure import EntryCount
from burdockchute.decisions.backpressure import RateLimit
from burdockchute.model.exchanges import Backpressure

STEP_S = 0.05
WINDOW_S = 4.0


def allowed(rate):
    """Return the requests that a limit allows in a window."""
    return 1.5 * rate * WINDOW_S + 5


def most_in_window(times):
    return max(
        sum(begin <= at <= begin + WINDOW_S for at in times) for begin in times
    )


def send_turns(rate, entries, seed, has_requests, seconds=30.0):
    """Return when entries send that have the same upstream."""
    rng = random.Random(seed)
    limits = [
        backpressure.limit_after_answer(
            None, Backpressure(rate), 0.0, entries, rng.random(), rng.random()
        )
        for _entry in range(entries)
    ]
    times = []
    for step in range(round(seconds / STEP_S)):
        now = 1.0 + step * STEP_S
        for number, limit in enumerate(limits):
            if not has_requests(now):
                continue
            if backpressure.next_turn_at(limit, now) <= now:
                limits[number] = backpressure.take_turn(limit, now)
                times.append(now)
    return times


class TurnsTest(unittest.TestCase):
    def test_all_entries_together_keep_the_limit(self):
        for rate, entries in ((0.3, 5), (1.0, 5), (1.8, 40), (9.0, 6)):
            with self.subTest(rate=rate, entries=entries):
                times = send_turns(rate, entries, 1, lambda now: True)
                self.assertLessEqual(most_in_window(times), allowed(rate))
                self.assertGreater(len(times), 0.4 * rate * 30)

    def test_idle_entries_do_not_save_turns_for_a_burst(self):
        """Callers come to all of forty entries at once after a pause."""
        times = send_turns(1.0, 40, 2, lambda now: now % 10 > 9)
        self.assertLessEqual(most_in_window(times), allowed(1.0))

    def test_a_limit_stays_shared_while_the_number_of_entries_changes(self):
        limit = RateLimit(2.0, 4, 2.0, 0.0)
        fewer = backpressure.shared_among(limit, 2, 1.0)
        self.assertEqual((1.5, 1.25), (fewer.next_at, fewer.interval_s))
        self.assertEqual(limit, backpressure.shared_among(fewer, 4, 1.0))


class StatementsTest(unittest.TestCase):
    def setUp(self):
        self.limit = RateLimit(2.0, 4, 2.25, 1.0)

    def after(self, *stated, sent_at, now=1.5):
        return backpressure.limit_after_answer(
            self.limit, Backpressure(*stated), sent_at, 4, 0.5, now
        )

    def test_an_overtaken_answer_does_not_lift_a_limit(self):
        """The answer was on its way when the limit was named or lowered."""
        self.assertEqual(self.limit, self.after(sent_at=0.9))
        self.assertEqual(self.limit, self.after(8.0, sent_at=0.9))

    def test_an_answer_to_a_later_request_changes_the_limit(self):
        self.assertIsNone(self.after(sent_at=1.0))
        self.assertEqual(8.0, self.after(8.0, sent_at=1.0).rate)

    def test_a_lower_limit_applies_at_once(self):
        self.assertEqual(1.0, self.after(1.0, sent_at=0.9).rate)

    def test_an_unreadable_limit_leaves_the_one_in_force(self):
        stated = Backpressure(unreadable=('Server-Limit: few',))
        found = backpressure.limit_after_answer(
            self.limit, stated, 1.0, 4, 0.5, 1.5
        )
        self.assertEqual(self.limit, found)

    def test_repeating_a_limit_does_not_renew_a_turn(self):
        """Each answer repeats the limit while the entry has no requests."""
        self.limit = RateLimit(1.0, 5, 0.2, 0.0)
        for step in range(10):
            now = 0.1 * step
            self.limit = self.after(1.0, sent_at=now, now=now)
        self.assertEqual(6.45, backpressure.next_turn_at(self.limit, 0.9))

    def test_a_limit_of_zero_is_asked_about_now_and_then(self):
        """Without any request, nothing would tell that it was taken back."""
        times = send_turns(0.0, 5, 3, lambda now: True)
        self.assertLessEqual(most_in_window(times), allowed(0.0))
        self.assertGreater(len(times), 2)


class RestTest(unittest.TestCase):
    def test_only_a_longer_rest_changes_one_in_force(self):
        """Requests that were sent together are turned away one by one."""
        restrictions = backpressure.Restrictions(rests_until=4.0)
        for rest_s, until in ((1.0, 4.0), (None, 4.0), (0.0, 4.0), (3.5, 4.5)):
            with self.subTest(rest_s=rest_s):
                stated = Backpressure(rest_s=rest_s)
                found = backpressure.after_answer(
                    restrictions, stated, 0.9, 4, 0.5, 1.0
                )
                self.assertEqual(until, found.rests_until)


class EntryCountTest(unittest.TestCase):
    def setUp(self):
        self.count = EntryCount()

    def test_entries_in_the_store_count_where_agents_know_fewer(self):
        """Each side of a cut, and an entry without agents, took too much."""
        self.count.registered = 6
        self.assertEqual(6, self.count.value)
        self.count.record(2, 0.0)
        self.assertEqual(6, self.count.value)
        self.count.record(8, 1.0)
        self.assertEqual(8, self.count.value)

    def test_an_agent_that_has_just_started_does_not_lower_it(self):
        """It reports the first entry that is linked to it, and no other."""
        self.count.record(6, 0.0)
        self.count.record(1, 1.0)
        self.assertEqual(6, self.count.value)
        self.count.record(7, 2.0)
        self.assertEqual(7, self.count.value)

    def test_entries_that_left_stop_counting(self):
        for second in range(25):
            self.count.record(6 if second < 2 else 4, float(second))
        self.assertEqual(4, self.count.value)

    def test_an_entry_that_is_cut_off_keeps_the_number_it_knew(self):
        self.count.record(6, 0.0)
        self.assertEqual(6, self.count.value)

    def test_before_any_report_several_entries_are_assumed(self):
        self.assertEqual(backpressure.ASSUMED_ENTRIES, self.count.value)


if __name__ == '__main__':
    unittest.main()
