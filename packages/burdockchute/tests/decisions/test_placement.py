"""Which instance a request goes to."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import placement
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.placement import Work

WORK = Work(cost=10.0, is_long=False, prompt_tokens=640, prefixes=())
WARM = WORK._replace(prefixes=('p1', 'p2'))


def load_of(name, in_flight=0, slots=8, prefixes=()):
    load = InstanceLoad(name, 0.0)
    load.report(in_flight, slots, 100.0, prefixes, 0.0)
    load.window = 100.0
    return load


class PlacementTest(unittest.TestCase):
    def choose(self, loads, work=WORK, now=0.0):
        chosen = placement.choose(loads, work, 0.1, now, random.Random(1))
        return chosen.name if chosen else None

    def test_late_report_counts_what_was_sent_since(self):
        # Both reported themselves idle a while ago. Whoever believes that
        # sends a whole burst to one of them.
        loads = [load_of('a'), load_of('b')]
        for _ in range(8):
            name = self.choose(loads)
            next(load for load in loads if load.name == name).sent(WORK)
        self.assertEqual([4, 4], [load.ours for load in loads])

    def test_old_report_of_others_load_is_forgotten(self):
        loads = [load_of('a', in_flight=10)]
        self.assertIsNone(self.choose(loads, now=1.0))
        self.assertEqual('a', self.choose(loads, now=10.0))

    def test_warm_prefix_wins_until_its_queue_costs_more(self):
        warm = load_of('warm', prefixes=('p1', 'p2'))
        cold = [load_of(name) for name in 'abc']
        self.assertEqual('warm', self.choose([warm, *cold], WARM))
        warm.report(9, 8, 100.0, (), 0.0)
        self.assertNotEqual('warm', self.choose([warm, *cold], WARM))

    def test_evicted_prefix_is_not_counted(self):
        load = load_of('warm', prefixes=('p1', 'p2'))
        self.assertEqual(128, load.warm_tokens(WARM))
        load.evicted(['p2'])
        self.assertEqual(64, load.warm_tokens(WARM))

    def test_failures_take_load_off_and_leave_a_probe(self):
        load = load_of('a')
        load.window = 8.0
        for _ in range(5):
            load.sent(WORK)
            load.failed(WORK)
        self.assertEqual(1, load.room(0.0))

    def test_window_opens_with_answers(self):
        load = InstanceLoad('a', 0.0)
        load.report(0, 8, 0.0, (), 0.0)
        self.assertEqual(4, load.room(0.0))
        for _ in range(10):
            load.sent(WORK)
            load.answered(WORK, 1.0, 0.1, 0.0)
        self.assertEqual(10, load.room(0.0))

    def test_long_work_always_has_one_slot_and_never_all(self):
        load = load_of('a', slots=1)
        self.assertTrue(load.may_take_long(0.1))
        load.sent(WORK._replace(is_long=True))
        self.assertFalse(load.may_take_long(0.5))
