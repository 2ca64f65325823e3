"""Placement on engines under the loads that it is designed for."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import engine_placement
from burdockchute.decisions.engine_placement import EngineView
from burdockchute.decisions.engine_placement import RequestSize
from burdockchute.model.routes import EngineCost

# An engine as its operators would declare it.
COST = EngineCost(0.009, 0.00004, 19_000.0, 5, 950.0, 95.0)
PROMPT = 950


def view(name, ours=0, others=0, **changes):
    headroom = 16 - ours - others
    base = EngineView(name, ours, others, 16, headroom, 0)
    return base._replace(**changes)


def choose(views, left_s=0.4, prompt=PROMPT, answer=95):
    found = engine_placement.choose_engine(
        views, RequestSize(prompt, answer), COST, left_s
    )
    return found.name if found else None


class EnginePlacementTest(unittest.TestCase):
    def test_a_restarted_engine_does_not_get_every_request(self):
        """One engine restarts empty while the others are half full.

        Six entries see it at the same moment and each sends its requests.
        Counting free slots, it would get sixteen prompts at once and the last
        would wait for most of a second.
        """
        others = [view(f'busy-{n}', ours=1, others=7) for n in range(5)]
        sent = 0
        while True:
            back = view('back', ours=sent, unread_tokens=sent * PROMPT)
            back = back._replace(unreported=5 * sent)
            if choose([back, *others]) != 'back':
                break
            sent += 1
        self.assertEqual(1, sent)

    def test_an_engine_without_memory_for_a_request_is_avoided(self):
        """It is idle by its slots, but the prompt would wait for memory."""
        short = view('short', free_tokens=1000)
        busy = view('busy', others=6)
        self.assertEqual('busy', choose([short, busy]))
        self.assertEqual('short', choose([short, busy], prompt=400))

    def test_engines_that_are_all_short_of_memory_still_get_requests(self):
        """Otherwise a shortage of memory would refuse every request."""
        short = [view(f'e-{n}', free_tokens=0) for n in range(3)]
        self.assertIsNotNone(choose(short))

    def test_entries_share_the_free_slots(self):
        """36 entries see five free slots at the same moment.

        If each took all that it sees, 36 requests would be sent there, of
        which 31 wait in the engine.
        """
        rng = random.Random(1)
        taken = [
            sum(
                engine_placement.random_share(5, 36, rng.random())
                for _e in range(36)
            )
            for _report in range(300)
        ]
        self.assertAlmostEqual(5.0, sum(taken) / len(taken), delta=0.5)
        self.assertEqual(5, engine_placement.random_share(5, 1, 0.99))
        self.assertEqual(0, engine_placement.random_share(-2, 4, 0.99))

    def test_the_remainder_of_a_stream_is_not_bound_by_the_share(self):
        """Its caller has a part of the answer; new requests draw a share."""
        views = [view('a', share=0)]
        size = RequestSize(PROMPT, 95)
        self.assertIsNone(
            engine_placement.choose_engine(views, size, COST, 0.4)
        )
        found = engine_placement.choose_engine(
            views, size, COST, 1.2, started=True
        )
        self.assertIsNotNone(found)

    def test_few_engines_are_compared_most_of_them_local(self):
        """With all engines, every entry would choose the same best one."""
        rng = random.Random(1)
        views = [view(f'near-{n}') for n in range(9)]
        views += [view(f'far-{n}', is_remote=True) for n in range(30)]
        drawn = engine_placement.sample_engines(views, rng)
        self.assertEqual(
            engine_placement.LOCAL_SAMPLE, sum(not v.is_remote for v in drawn)
        )
        self.assertEqual(
            engine_placement.REMOTE_SAMPLE, sum(v.is_remote for v in drawn)
        )
        self.assertEqual(
            views[:1], engine_placement.sample_engines(views[:1], rng)
        )

    def test_overdue_requests_leave_a_reserve(self):
        """New requests are late while overdue ones fill the engines."""
        views = [view('a', others=9)]
        size = RequestSize(PROMPT, 95)
        self.assertIsNotNone(
            engine_placement.choose_engine(views, size, COST, None)
        )
        self.assertIsNone(
            engine_placement.choose_engine(views, size, COST, None, 0.5)
        )
        self.assertIsNotNone(
            engine_placement.choose_engine(views, size, COST, 0.4, 0.5)
        )

    def test_least_expected_time_wins(self):
        self.assertEqual(
            'b', choose([view('a', others=12), view('b', others=3)])
        )
        slow = view('a', others=3, slowness=3.0)
        self.assertEqual('b', choose([slow, view('b', others=5)]))

    def test_no_engine_is_chosen_if_all_would_be_late(self):
        """All engines process prompts; one more request would be late.

        It waits at the entry, where the next free slot of any engine counts,
        and does not slow down the requests that are on time.
        """
        full = [view('a', ours=4, unread_tokens=6 * PROMPT)]
        self.assertIsNone(choose(full))

    def test_a_long_prompt_is_not_refused_for_its_own_length(self):
        self.assertEqual('a', choose([view('a')], prompt=8000))

    def test_overdue_requests_take_free_slots_only(self):
        """Overdue requests wait while engines have empty slots.

        An empty slot gains the running requests next to nothing, while the
        overdue one would wait until it is refused. A full engine takes none of
        them.
        """
        self.assertEqual('a', choose([view('a', others=15)], left_s=None))
        self.assertIsNone(choose([view('a', others=16)], left_s=None))
        unreported = view('a', others=13, unreported=3)
        self.assertIsNone(choose([unreported], left_s=None))

    def test_long_answers_avoid_an_engine_that_is_about_to_load(self):
        """An engine closes in a second, to load a version.

        With a long answer left it would work for two seconds on that alone,
        while requests wait for the other engines.
        """
        closing = view('closing', closes_in_s=1.0)
        views = [closing, view('stays', others=4)]
        self.assertEqual('stays', choose(views, answer=200))
        self.assertEqual('closing', choose(views, answer=20))
        self.assertEqual('closing', choose([closing], answer=200))

    def test_a_stream_is_not_moved_to_an_engine_that_closes_next(self):
        self.assertTrue(engine_placement.stays_open(view('a'), 2.0))
        closing = view('a', closes_in_s=1.0)
        self.assertFalse(engine_placement.stays_open(closing, 2.0))
        self.assertTrue(engine_placement.stays_open(closing, 0.5))

    def test_a_local_engine_is_chosen_among_equals(self):
        far = view('far', others=3, is_remote=True)
        self.assertEqual('near', choose([far, view('near', others=4)]))
        self.assertEqual('far', choose([far, view('near', others=14)]))

    def test_an_engine_without_headroom_gets_nothing(self):
        self.assertIsNone(choose([view('a', headroom=0)]))
