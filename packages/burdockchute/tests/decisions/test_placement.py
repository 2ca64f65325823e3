"""On which instance a request is placed."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import hosting
from burdockchute.decisions import placement
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.placement import Work

WORK = Work(cost=10.0, is_long=False, prompt_tokens=640, prefixes=())
WARM = WORK._replace(prefixes=('p1', 'p2'))


def load_of(name, in_flight=0, slots=8, prefixes=()):
    load = InstanceLoad(name, 0.0)
    load.apply_report(in_flight, slots, 99, 100.0, prefixes, 0.0)
    load.window = 100.0
    return load


class PlacementTest(unittest.TestCase):
    def choose(self, loads, work=WORK, now=0.0):
        chosen = placement.choose_instance(
            loads, work, 0.1, now, random.Random(1)
        )
        return chosen.name if chosen else None

    def test_late_report_counts_what_was_sent_since(self):
        # Both reported no load a while ago. An entry that relies on that sends
        # a whole burst to one of them.
        loads = [load_of('a'), load_of('b')]
        for _ in range(8):
            name = self.choose(loads)
            next(load for load in loads if load.name == name).on_sent(
                WORK, 0.0
            )
        self.assertEqual([4, 4], [load.ours for load in loads])

    def test_old_report_of_other_entries_load_is_ignored(self):
        loads = [load_of('a', in_flight=10)]
        self.assertIsNone(self.choose(loads, now=1.0))
        self.assertEqual('a', self.choose(loads, now=10.0))

    def test_home_then_warm_until_the_queue_costs_more(self):
        home, warm, *cold = hosting.ranked('p1', 'abcd')
        loads = {name: load_of(name) for name in 'abcd'}
        loads[warm].apply_report(0, 8, 99, 100.0, ('p1', 'p2'), 0.0)
        self.assertEqual(home, self.choose(list(loads.values()), WARM))
        del loads[home]
        loads[cold[0]].window = 0.0
        self.assertEqual(warm, self.choose(list(loads.values()), WARM))
        loads[cold[0]].window = 100.0
        loads[warm].apply_report(9, 8, 99, 100.0, ('p1', 'p2'), 0.0)
        self.assertIn(self.choose(list(loads.values()), WARM), cold)

    def test_entries_send_prompts_that_start_alike_to_one_instance(self):
        # Neither entry has seen the requests of the other. If each chose on
        # its own, every cache would hold a little of everything.
        chosen = set()
        for seed in range(10):
            loads = [load_of(name) for name in 'abcdef']
            rng = random.Random(seed)
            load = placement.choose_instance(loads, WARM, 0.1, 0.0, rng)
            chosen.add(load.name)
        self.assertEqual(1, len(chosen))

    def test_two_entries_leave_slots_for_short_work(self):
        load = load_of('a', in_flight=4, slots=8)
        load.on_sent(WORK._replace(is_long=True), 0.0)
        load.on_sent(WORK._replace(is_long=True), 0.0)
        self.assertFalse(load.accepts_long(0.5))

    def test_prefix_counts_until_the_report_would_show_it(self):
        # Caches evict prefixes. One that was sent once and is not reported any
        # more must not draw requests to an instance that computes it again.
        load = load_of('a')
        load.on_sent(WARM, 0.0)
        self.assertEqual(128, load.warm_tokens(WARM, 1.0))
        self.assertEqual(0, load.warm_tokens(WARM, placement.WARM_S))
        load.apply_report(0, 8, 1, 100.0, ('p1',), 5.0)
        self.assertEqual(64, load.warm_tokens(WARM, 5.0))

    def test_entry_gets_its_even_share_of_a_full_instance(self):
        # The other entry was first and has every slot.
        load = load_of('a')
        load.apply_report(8, 8, 2, 100.0, (), 0.0)
        self.assertEqual(4, load.headroom(0.0))
        for _ in range(4):
            load.on_sent(WORK, 0.0)
        self.assertEqual(0, load.headroom(0.0))

    def test_failures_reduce_load_and_leave_a_probe(self):
        load = load_of('a')
        load.window = 8.0
        for _ in range(5):
            load.on_sent(WORK, 0.0)
            load.on_failed(WORK, 0.1, 0.1, 0.0)
        self.assertEqual(1, load.headroom(0.0))

    def test_window_opens_with_answers(self):
        load = InstanceLoad('a', 0.0)
        load.apply_report(0, 8, 1, 0.0, (), 0.0)
        self.assertEqual(4, load.headroom(0.0))
        for _ in range(10):
            load.on_sent(WORK, 0.0)
            load.on_answered(WORK, 1.0, 0.1, 0.0)
        self.assertEqual(8, load.headroom(0.0))

    def test_long_work_always_has_one_slot_and_never_all(self):
        load = load_of('a', slots=1)
        self.assertTrue(load.accepts_long(0.1))
        load.on_sent(WORK._replace(is_long=True), 0.0)
        self.assertFalse(load.accepts_long(0.5))
