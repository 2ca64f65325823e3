"""A round of giving out places in a shortage."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import gevent

from burdockchute.decisions.engine_placement import EngineView
from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.overload import OverloadDetector
from burdockchute.decisions.placement import Work
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.machines import Bounds
from burdockchute.model.routes import EngineCost
from burdockchute.model.upstreams import Endpoint
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.placement_round import PlacementRound
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.targets import Target
from burdockchute_testing.builders import requests
from burdockchute_testing.builders.upstreams import upstream

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
TARGETS = 50
SLOTS = 4

# Figures of an engine as its operators would declare them.
COST = EngineCost(0.0093, 0.000023, 20_700.0, 5, 950.0, 95.0)


def pending(number, prompt=900):
    ctx = requests.request(
        request_id=f'q-{number}',
        target='drafts',
        deadline=6.0,
        prompt_tokens=prompt,
        max_tokens=94,
    )
    return PendingRequest(
        ctx, Work(1.0, False, prompt, ()), RequestSpec('drafts', '', 0.4)
    )


def upstreams():
    return [
        upstream(
            id=f'i-{number}',
            endpoint=Endpoint('127.0.0.1', 1 + number),
            zone='',
            slots=SLOTS,
            versions={},
            started_ms=None,
        )
        for number in range(TARGETS)
    ]


def cost_is(cost):
    return mock.patch.object(
        KnownTargets, 'cost', autospec=True, return_value=cost
    )


def targets():
    return [Target(upstream, 0.0) for upstream in upstreams()]


def view_of(target):
    return EngineView(target.id, 0, 0, SLOTS, 1, 0)


class SurveyTest(unittest.TestCase):
    def test_full_targets_are_not_looked_at(self):
        """All engines are full, hundreds of reports a second come in.

        An entry that weighed each waiting request against each engine at
        every report would have no time left for answers.
        """
        full = targets()
        for target in full:
            target.load.reserved_for = 'somebody else'
        look = mock.Mock(side_effect=view_of)
        placement_round = PlacementRound(full, look, 0.0)
        self.assertFalse(placement_round.has_headroom(False))
        look.assert_not_called()

    def test_what_asks_for_more_than_one_in_vain_is_passed_over(self):
        placement_round = PlacementRound(targets(), view_of, 0.0)
        placement_round.record_unplaceable(pending(1, prompt=900), 0.2)
        self.assertTrue(
            placement_round.is_unplaceable(pending(2, prompt=1200), 0.1)
        )
        self.assertFalse(
            placement_round.is_unplaceable(pending(3, prompt=300), 0.1)
        )
        self.assertFalse(
            placement_round.is_unplaceable(pending(4, prompt=1200), 0.3)
        )
        self.assertFalse(placement_round.is_unplaceable(pending(5), None))

    def test_one_that_avoids_targets_says_nothing_of_others(self):
        placement_round = PlacementRound(targets(), view_of, 0.0)
        choosy = pending(1)
        choosy.avoided.add('i-1')
        placement_round.record_unplaceable(choosy, 0.2)
        self.assertFalse(
            placement_round.is_unplaceable(pending(2, prompt=1200), 0.1)
        )


class PlacerTest(unittest.TestCase):
    def test_a_storm_of_reports_is_one_round(self):
        """Fifty agents report within a moment while callers wait.

        Each report starts no round of its own: all that came free is given
        out together a moment later.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()}
        scheduler.update(Beliefs(upstreams=UpstreamList(known, {})))
        for target in scheduler.targets():
            target.load.reserved_for = 'somebody else'
        waiting = [
            gevent.spawn(scheduler.wait_for_slot, pending(number), 6.0)
            for number in range(8)
        ]
        gevent.sleep(0)
        start_round = KnownTargets.start_round
        with mock.patch.object(
            KnownTargets, 'start_round', autospec=True
        ) as look:
            look.side_effect = start_round
            for target in scheduler.targets():
                target.load.reserved_for = ''
                address = str(target.upstream.endpoint)
                scheduler.apply_load_report(
                    address, messages.LoadReport(running=0)
                )
            look.assert_not_called()
            gevent.joinall(waiting, timeout=5)
            self.assertEqual(1, look.call_count)
        self.assertTrue(all(slot.value.target for slot in waiting))

    def test_a_long_prompt_gets_the_slot_that_stands_empty(self):
        """Engines have twelve of sixteen slots taken, and prompts come in.

        By the estimate no engine reads a long one in time, so it waits; then
        it is late. Were the last slots kept free of late work, its caller
        would be refused after two seconds beside four empty slots, and with
        most of those who come then it would be the same.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {
            u.id: KnownUpstream(u._replace(slots=16), 0)
            for u in upstreams()[:6]
        }
        scheduler.update(Beliefs(upstreams=UpstreamList(known, {})))
        for target in scheduler.targets():
            target.load.apply_report(12, 16, 1, 0.0, (), 0.0)
            target.load.window = 16
        with cost_is(COST):
            slot = scheduler.wait_for_slot(pending(1, prompt=3800), 6.0)
        self.assertIsInstance(slot, Slot)


class OverloadTest(unittest.TestCase):
    def test_returned_callers_are_no_new_ones_that_miss(self):
        """A burst is over and those sent away come back, past their aim.

        Counted as new ones, they alone kept half of each engine closed to
        themselves.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()}
        scheduler.update(Beliefs(upstreams=UpstreamList(known, {})))
        with mock.patch.object(
            OverloadDetector, 'record', autospec=True
        ) as note:
            for number in range(20):
                returned = pending(number)
                returned.spec = returned.spec._replace(elapsed_s=1.5)
                plan = scheduler.plan(returned, 6.0)
                for stage in plan.stages:
                    scheduler.start_stage(returned, stage, plan.retry_s)
        self.assertEqual([], note.call_args_list)


class OpeningTest(unittest.TestCase):
    """All engines have restarted and copy their weights."""

    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()[:2]}
        self.scheduler.update(Beliefs(upstreams=UpstreamList(known, {})))
        patch = cost_is(COST)
        patch.start()
        self.addCleanup(patch.stop)

    def report(self, opens_in_ms, digest=None):
        states = [messages.WeightsState(digest=digest)] if digest else []
        for target in self.scheduler.targets():
            report = messages.LoadReport(
                running=0,
                slots=SLOTS,
                entries=1,
                weights=states,
                opens_in_ms=opens_in_ms,
            )
            self.scheduler.apply_load_report(
                str(target.upstream.endpoint), report
            )

    def ask(self, number):
        ctx = pending(number).ctx._replace(
            arrived=self.now, deadline=self.now + 6.0
        )
        spec = RequestSpec('drafts', 'story', 0.4)
        asked = PendingRequest(ctx, Work(1.0, False, 900, ()), spec)
        return gevent.spawn(self.scheduler.wait_for_slot, asked, ctx.deadline)

    def test_as_many_as_the_engines_can_take_wait_for_them(self):
        """Copies are whole in three seconds; callers have six.

        Refused until then, each would come back once, be refused again and
        have nothing, while the engines open and stand empty.
        """
        self.report(opens_in_ms=3000)
        waiting = [self.ask(number) for number in range(2 * SLOTS)]
        gevent.sleep(0.01)
        self.assertFalse(any(asked.ready() for asked in waiting))
        refused = self.ask(99)
        gevent.sleep(0.01)
        self.assertEqual(503, refused.value.status)
        for target in self.scheduler.targets():
            target.load.window = SLOTS
        self.report(opens_in_ms=None, digest='story@1')
        gevent.joinall(waiting, timeout=5)
        self.assertTrue(all(isinstance(w.value, Slot) for w in waiting))

    def test_who_has_no_time_for_it_hears_so_at_once(self):
        """Copies are whole in five and a half seconds, answers take one.

        Whoever waited would hear nothing but its own deadline.
        """
        self.report(opens_in_ms=5500)
        refused = self.ask(1)
        gevent.sleep(0.01)
        self.assertEqual(503, refused.value.status)
        self.assertEqual(5.5, refused.value.retry_after_s)


if __name__ == '__main__':
    unittest.main()


class RestTest(unittest.TestCase):
    """The rest of a stream beside new requests, at one upstream."""

    def setUp(self):
        self.now = 0.0
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        only = upstreams()[0]._replace(slots=1)
        known = UpstreamList({only.id: KnownUpstream(only, 0)}, {})
        self.scheduler.update(Beliefs(upstreams=known))
        self.target = self.scheduler.targets()[0]

    def wait(self, number, resuming):
        item = pending(number)
        item.resuming = resuming
        waiting = gevent.spawn(self.scheduler.wait_for_slot, item, 6.0)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        return waiting

    def test_a_rest_gets_the_first_place(self):
        """A new request waits for the only place, and then a stream's rest.

        A caller who had a part of its answer waited behind one who had none.
        """
        self.target.load.reserved_for = 'somebody else'
        new = self.wait(1, resuming=False)
        rest = self.wait(2, resuming=True)
        self.target.load.reserved_for = ''
        self.scheduler.assign_free_slots()
        gevent.sleep(0)
        self.assertIsInstance(rest.value, Slot)
        self.assertFalse(new.ready())

    def test_a_rest_waits_for_an_upstream_that_is_left_alone(self):
        """The only upstream reset a connection a moment ago.

        A caller who had a part of its answer was told that nobody is there.
        """
        self.target.record_failure(self.now)
        rest = self.wait(1, resuming=True)
        self.assertFalse(rest.ready())
        self.now += 1.0
        self.scheduler.assign_free_slots()
        gevent.sleep(0)
        self.assertIsInstance(rest.value, Slot)
