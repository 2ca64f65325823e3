"""Assignment of slots when there are more requests than slots."""

from __future__ import annotations

import random
import time
import unittest
from unittest import mock

import gevent

from burdockchute.decisions import retry_leases
from burdockchute.decisions.engine_placement import EngineView
from burdockchute.decisions.engine_speed import SpeedUse
from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.overload import OverloadDetector
from burdockchute.decisions.placement import Work
from burdockchute.decisions.size_classes import SizeClass
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.routes import EngineCost
from burdockchute.model.upstreams import Endpoint
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.placement_round import PlacementRound
from burdockchute_entry.straight.scheduler import LEAVING
from burdockchute_entry.straight.scheduler import MIN_RUN_S
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.slot_assignment import ASSIGN_DELAY_S
from burdockchute_entry.straight.target_choice import TargetChooser
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.targets import UnstartedRequest
from burdockchute_testing.builders import requests
from burdockchute_testing.builders.upstreams import upstream

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
TARGETS = 50
SLOTS = 4

# Cost model of an engine as its operators would configure it.
COST = EngineCost(0.0093, 0.000023, 20_700.0, 5, 950.0, 95.0)


def pending(number, prompt=900, customer='own', cost=1.0):
    ctx = requests.request(
        request_id=f'q-{number}',
        customer=customer,
        target='drafts',
        deadline=6.0,
        prompt_tokens=prompt,
        max_tokens=94,
    )
    return PendingRequest(
        ctx, Work(cost, False, prompt, ()), RequestSpec('drafts', '', 0.4)
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


class PlacementRoundTest(unittest.TestCase):
    def test_full_targets_are_not_evaluated(self):
        """All engines are full while hundreds of reports arrive per second.

        An entry that evaluated each waiting request for each engine at every
        report would have no time left to forward answers.
        """
        full = targets()
        for target in full:
            target.load.reserved_for = 'somebody else'
        get_view = mock.Mock(side_effect=view_of)
        placement_round = PlacementRound(full, get_view, 0.0)
        self.assertFalse(placement_round.has_headroom(False))
        get_view.assert_not_called()

    def test_requests_above_an_unplaceable_one_are_skipped(self):
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

    def test_a_restricted_request_does_not_affect_others(self):
        placement_round = PlacementRound(targets(), view_of, 0.0)
        restricted = pending(1)
        restricted.avoided.add('i-1')
        placement_round.record_unplaceable(restricted, 0.2)
        self.assertFalse(
            placement_round.is_unplaceable(pending(2, prompt=1200), 0.1)
        )

    def test_a_request_bound_to_regions_does_not_affect_others(self):
        """Requests that may run anywhere waited behind it in each round."""
        placement_round = PlacementRound(
            targets(), view_of, 0.0, lambda bound: True
        )
        placement_round.record_unplaceable(pending(1), 0.2)
        self.assertFalse(placement_round.is_unplaceable(pending(2), 0.1))


class LargeRequestsTest(unittest.TestCase):
    """One engine, where a long prompt would start too late."""

    def setUp(self):
        self.now = 0.0
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        only = upstreams()[0]._replace(slots=16)
        self.scheduler.update(
            KnownState(
                upstreams=UpstreamList({only.id: KnownUpstream(only, 0)}, {})
            )
        )
        self.target = self.scheduler.targets()[0]
        self.queue = self.scheduler._service_queues['drafts']
        patch = cost_is(COST)
        patch.start()
        self.addCleanup(patch.stop)
        self.target.draw_share(1, 16.0, 0.5, self.now)
        for number in range(3):
            self.target.unstarted[f'u-{number}'] = UnstartedRequest(900, 0.0)

    def record_shares(self, size_class, served, of=20):
        """Record how many requests of a class of the route got a slot."""
        for number in range(of):
            other = pending(f'other-{number}')
            other.size_classes = {}
            self.queue.record_outcome(other, True)
            one = pending(f'large-{number}')
            one.size_classes = {'prompt': size_class}
            self.queue.record_outcome(one, number < served)

    def wait(self, request, size_class=None):
        request.size_classes = (
            {} if size_class is None else {'prompt': size_class}
        )
        waiting = gevent.spawn(self.scheduler.wait_for_slot, request, 6.0)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        return waiting

    def test_a_large_request_is_passed_over_while_its_class_is_served(self):
        self.record_shares(SizeClass.LARGEST, served=20)
        large = self.wait(pending(1, prompt=4000), SizeClass.LARGEST)
        small = self.wait(pending(2, prompt=100))
        gevent.sleep(0.01)
        self.assertTrue(small.ready())
        self.assertFalse(large.ready())

    def test_no_large_request_is_passed_over_once_its_class_is_behind(self):
        """It was passed over until its time was over, however many were."""
        for size_class in (SizeClass.LARGEST, SizeClass.LARGE):
            with self.subTest(size_class=size_class):
                self.record_shares(size_class, served=5)
                large = self.wait(pending(size_class, 4000), size_class)
                gevent.sleep(0.01)
                self.assertTrue(large.ready())

    def test_a_request_whose_class_is_behind_is_placed_first(self):
        """Later ones had taken the slots while others were tried first."""
        self.record_shares(SizeClass.LARGEST, served=5)
        self.target.load.reserved_for = 'somebody else'
        small = [self.wait(pending(number, 100)) for number in range(3)]
        large = self.wait(pending('large', 4000), SizeClass.LARGEST)
        self.target.load.reserved_for = ''
        self.target.share = 1
        self.target.share_until = 1.0
        self.scheduler.assign_free_slots()
        gevent.sleep(0)
        self.assertTrue(large.ready())
        self.assertFalse(any(waiting.ready() for waiting in small))

    def test_expected_wait_does_not_grow_with_ones_own_length(self):
        """Large requests were refused on arrival where small ones waited."""
        self.queue.record_unit_time(0.01)
        for number in range(8):
            other = pending(f'other-{number}', customer=f'c-{number % 2}')
            self.queue.queue.offer(other.ctx, 50.0, False, self.now)
        waits = [
            self.queue.expected_wait_s(
                pending(f'cost-{cost}', cost=cost), [self.target.load], 0.0
            )
            for cost in (10.0, 400.0)
        ]
        self.assertGreater(waits[0], 0.0)
        self.assertEqual(waits[0], waits[1])


class SchedulerTest(unittest.TestCase):
    def test_requests_without_a_slot_are_refused_before_the_exit(self):
        """An entry exits while requests wait for a slot.

        They were closed without an answer, and their callers could not know
        that they had not run.
        """
        now = 0.0
        scheduler = Scheduler(BOUNDS, lambda: now, random.Random(1))
        only = upstreams()[0]._replace(slots=1)
        scheduler.update(
            KnownState(
                upstreams=UpstreamList({only.id: KnownUpstream(only, 0)}, {})
            )
        )
        first, second, resumed, late = (pending(n) for n in range(4))
        resumed.resuming = True
        self.assertIsInstance(scheduler.wait_for_slot(first, 6.0), Slot)
        waiting = gevent.spawn(scheduler.wait_for_slot, second, 6.0)
        going_on = gevent.spawn(scheduler.wait_for_slot, resumed, 6.0)
        gevent.sleep(0.05)
        self.assertFalse(waiting.ready())
        scheduler.exit_at = MIN_RUN_S + 0.1
        scheduler.refuse_late()
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready())
        now = 0.2
        scheduler.refuse_late()
        self.assertEqual(LEAVING, waiting.get(timeout=0.1))
        self.assertEqual(LEAVING, scheduler.wait_for_slot(late, 6.0))
        self.assertFalse(going_on.ready())
        going_on.kill()

    def test_a_request_that_runs_longer_than_the_entry_gets_no_slot(self):
        """It would be passed on, and the exit would cut it off."""
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()}
        scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
        scheduler.exit_at = 4.0
        self.assertIsInstance(scheduler.wait_for_slot(pending(1), 6.0), Slot)
        scheduler._service_queues['drafts'].record_service_time(3.0)
        plain, stream = pending(2), pending(3)
        plain.ctx = plain.ctx._replace(stream=False)
        stream.ctx = stream.ctx._replace(stream=True)
        self.assertEqual(LEAVING, scheduler.wait_for_slot(plain, 6.0))
        self.assertIsInstance(scheduler.wait_for_slot(stream, 6.0), Slot)

    def test_many_reports_start_one_round(self):
        """Fifty agents report at almost the same time while requests wait.

        The slots freed by all reports are assigned in one round a moment
        later, in place of one round for each report.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()}
        scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
        for target in scheduler.targets():
            target.load.reserved_for = 'somebody else'
        waiting = [
            gevent.spawn(scheduler.wait_for_slot, pending(number), 6.0)
            for number in range(8)
        ]
        gevent.sleep(0)
        start_round = TargetChooser.start_round
        with mock.patch.object(
            TargetChooser, 'start_round', autospec=True
        ) as start_round_mock:
            start_round_mock.side_effect = start_round
            for target in scheduler.targets():
                target.load.reserved_for = ''
                address = str(target.upstream.endpoint)
                scheduler.apply_load_report(
                    address, messages.LoadReport(running=0)
                )
            start_round_mock.assert_not_called()
            gevent.joinall(waiting, timeout=5)
            self.assertEqual(1, start_round_mock.call_count)
        self.assertTrue(all(slot.value.target for slot in waiting))

    def test_later_events_of_streams_share_rounds(self):
        """All engines are full, and each sends a hundred events a second.

        A round for each event would leave no time to forward answers. What a
        round would find, such as a limit's next turn, is still found soon.
        """
        scheduler = Scheduler(BOUNDS, time.monotonic, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()[:1]}
        scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
        (target,) = scheduler.targets()
        running = pending(0)
        running.spec = running.spec._replace(model='story')
        target.versions = {'story': 1}
        slot = scheduler._assigner.take_slot(running, target, time.monotonic())
        target.load.reserved_for = 'somebody else'
        deadline = time.monotonic() + 5.0
        ctx = pending(1).ctx._replace(
            arrived=time.monotonic(), deadline=deadline
        )
        waits = PendingRequest(ctx, pending(1).work, pending(1).spec)
        waiting = gevent.spawn(scheduler.wait_for_slot, waits, deadline)
        gevent.sleep(0)
        with mock.patch.object(
            scheduler._assigner, 'assign', wraps=scheduler._assigner.assign
        ) as rounds:
            scheduler.mark_started(running, slot)
            self.assertEqual(1, rounds.call_count, 'after the first event')
            for _event in range(20):
                scheduler.mark_started(running, slot)
            self.assertEqual(1, rounds.call_count, 'after later events')
            # Headroom appears, and no report or answer tells of it.
            target.load.reserved_for = ''
            waiting.join(5 * ASSIGN_DELAY_S)
            self.assertEqual(2, rounds.call_count)
        self.assertIsInstance(waiting.value, Slot)

    def test_an_overdue_long_prompt_gets_a_free_slot(self):
        """Engines have twelve of sixteen slots occupied.

        By the estimate no engine processes a long prompt in time, so the
        request waits until it is overdue. If the last slots were reserved,
        it would be refused after two seconds with four slots free, as would
        most requests that arrive then.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {
            u.id: KnownUpstream(u._replace(slots=16), 0)
            for u in upstreams()[:6]
        }
        scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
        for target in scheduler.targets():
            target.load.apply_report(12, 16, 1, 0.0, (), 0.0)
            target.load.window = 16
        with cost_is(COST):
            slot = scheduler.wait_for_slot(pending(1, prompt=3800), 6.0)
        self.assertIsInstance(slot, Slot)


class TwoEnginesTestCase(unittest.TestCase):
    SPEED_USE = SpeedUse.REPORTED

    def setUp(self):
        self.now = 0.0
        self.scheduler = Scheduler(
            BOUNDS,
            lambda: self.now,
            random.Random(1),
            speed_use=self.SPEED_USE,
        )
        known = {
            u.id: KnownUpstream(u._replace(slots=16), 0)
            for u in upstreams()[:2]
        }
        self.scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
        patch = cost_is(COST)
        patch.start()
        self.addCleanup(patch.stop)

    def place(self, count):
        chosen = []
        for number in range(count):
            slot = self.scheduler.wait_for_slot(
                pending(number), self.now + 6.0
            )
            chosen.append(slot.target.id)
        return chosen


class EngineReportTest(TwoEnginesTestCase):
    """One of them reports that it is slow or short of memory."""

    def report(self, **fields):
        for number, target in enumerate(self.scheduler.targets()):
            report = messages.LoadReport(
                running=0, entries=1, **(fields if number == 0 else {})
            )
            self.scheduler.apply_load_report(
                str(target.upstream.endpoint), report
            )

    def test_a_slow_engine_gets_fewer_requests_while_it_reports_so(self):
        self.report(slowness=2.5)
        self.assertEqual(['i-1'] * 2, self.place(2))
        self.report()
        self.assertIn('i-0', self.place(2))

    def test_requests_sent_since_the_report_take_memory(self):
        """It has memory for one request, and reports again only later."""
        self.report(memory_free=1500)
        self.assertEqual(1, self.place(4).count('i-0'))

    def test_a_report_that_has_ended_no_longer_counts(self):
        """The agent is cut off while its engine is slow."""
        self.report(slowness=8.0)
        target = self.scheduler.targets()[0]
        self.assertEqual(8.0, target.slowness(self.now))
        self.assertEqual(1.0, target.slowness(self.now + 6.0))


class MeasuredSpeedTest(TwoEnginesTestCase):
    """They report nothing of their speed."""

    SPEED_USE = SpeedUse.MEASURED

    def start_two_at_each(self, first_s, second_s):
        """Send two requests to each engine and let them start."""
        sent = []
        for number, target in enumerate(self.scheduler.targets() * 2):
            item = pending(number)
            item.ctx = item.ctx._replace(
                arrived=self.now, deadline=self.now + 6.0
            )
            item.spec = item.spec._replace(model='story')
            item.avoided = {'i-0', 'i-1'} - {target.id}
            target.versions = {'story': 1}
            slot = self.scheduler.wait_for_slot(item, self.now + 6.0)
            took_s = first_s if target.id == 'i-0' else second_s
            sent.append((self.now + took_s, number, item, slot))
        for at, _number, item, slot in sorted(sent):
            self.now = at
            self.scheduler.mark_started(item, slot)
            self.scheduler.release(item, slot)

    def slowness(self):
        return [t.slowness(self.now) for t in self.scheduler.targets()]

    def test_an_engine_that_starts_late_is_avoided_for_a_while(self):
        for _round in range(3):
            self.start_two_at_each(0.1, 0.1)
            self.now += 1.0
        self.assertEqual([1.0, 1.0], self.slowness())
        self.start_two_at_each(0.4, 0.1)
        first, second = self.slowness()
        self.assertGreater(first, 2.0)
        self.assertEqual(1.0, second)
        self.assertEqual(['i-1'], self.place(1))
        self.now += 2.1
        self.assertEqual([1.0, 1.0], self.slowness())

    def test_engines_that_are_all_slow_soon_count_as_usual(self):
        """All would seem to miss the objective, and requests would wait."""
        for took_s in [0.1] * 12 + [0.4] * 12:
            self.start_two_at_each(took_s, took_s)
            self.now += 0.5
        self.assertEqual([1.0, 1.0], self.slowness())


class RetryShareTest(unittest.TestCase):
    ENTRIES = 36

    def test_agents_that_have_restarted_do_not_raise_the_retries(self):
        """Half of the agents restart, and entries link to them one by one.

        Such an agent reports one entry. Each entry then took all retries that
        operators allow, at the moment when the most requests fail.
        """
        now = 0.0
        bounds = BOUNDS._replace(retry_extra=204.0)
        entries = [
            Scheduler(bounds, lambda: now, random.Random(n))
            for n in range(self.ENTRIES)
        ]
        for scheduler in entries[: retry_leases.LEASES]:
            leases = scheduler.retry_budgets.own_leases
            leases.grant({'drafts': 1}, retry_leases.LEASE_S)
        retried_at = []
        for step in range(2000):
            now = step / 100
            restarted = 5.0 <= now < 8.0 and step % 2 == 0
            report = messages.LoadReport(
                running=0, entries=1 if restarted else self.ENTRIES
            )
            for scheduler in entries:
                scheduler.apply_load_report('127.0.0.1:1', report)
                budgets = scheduler.retry_budgets
                if step % 100 == 0:
                    budgets.record_first_attempt('drafts', now)
                if budgets.take('drafts', now):
                    retried_at.append(now)
        firsts = self.ENTRIES * bounds.retry_window_s
        allowed = bounds.retry_ratio * firsts + bounds.retry_extra
        most = max(
            sum(
                at <= other < at + bounds.retry_window_s
                for other in retried_at
            )
            for at in retried_at
        )
        self.assertLessEqual(most, allowed)


class OverloadTest(unittest.TestCase):
    def test_returning_callers_do_not_count_as_overload(self):
        """Refused callers return after a burst, past their objective.

        When they were counted as new requests that miss it, they alone
        sustained the overload state, which kept half of each engine's slots
        reserved and so closed to themselves.
        """
        scheduler = Scheduler(BOUNDS, lambda: 0.0, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()}
        scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
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
    """All engines have restarted and are copying their weights."""

    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        known = {u.id: KnownUpstream(u, 0) for u in upstreams()[:2]}
        self.scheduler.update(KnownState(upstreams=UpstreamList(known, {})))
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

    def test_requests_wait_for_the_slots_of_opening_engines(self):
        """Copies are complete in three seconds; callers have six.

        If callers were refused until then, each would retry once, be refused
        again and get nothing, while the engines open and stay idle.
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

    def test_requests_without_time_to_wait_are_refused_at_once(self):
        """Copies are complete in five and a half seconds, answers take one.

        A waiting caller would only reach its deadline.
        """
        self.report(opens_in_ms=5500)
        refused = self.ask(1)
        gevent.sleep(0.01)
        self.assertEqual(503, refused.value.status)
        self.assertEqual(5.5, refused.value.retry_after_s)


if __name__ == '__main__':
    unittest.main()


class ResumedStreamTest(unittest.TestCase):
    """An interrupted stream and new requests at a single upstream."""

    def setUp(self):
        self.now = 0.0
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        only = upstreams()[0]._replace(slots=1)
        known = UpstreamList({only.id: KnownUpstream(only, 0)}, {})
        self.scheduler.update(KnownState(upstreams=known))
        self.target = self.scheduler.targets()[0]

    def wait(self, number, resuming):
        item = pending(number)
        item.resuming = resuming
        waiting = gevent.spawn(self.scheduler.wait_for_slot, item, 6.0)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        return waiting

    def test_a_resumed_stream_gets_the_first_slot(self):
        """A new request waits for the only slot, then an interrupted stream.

        A caller that already had a part of its answer waited behind one that
        had none.
        """
        self.target.load.reserved_for = 'somebody else'
        new = self.wait(1, resuming=False)
        resumed = self.wait(2, resuming=True)
        self.target.load.reserved_for = ''
        self.scheduler.assign_free_slots()
        gevent.sleep(0)
        self.assertIsInstance(resumed.value, Slot)
        self.assertFalse(new.ready())

    def test_a_resumed_stream_waits_for_an_upstream_that_failed(self):
        """The only upstream reset a connection a moment ago.

        A caller that had a part of its answer was refused because no
        upstream was usable.
        """
        self.target.record_failure(self.now)
        resumed = self.wait(1, resuming=True)
        self.assertFalse(resumed.ready())
        self.now += 1.0
        self.scheduler.assign_free_slots()
        gevent.sleep(0)
        self.assertIsInstance(resumed.value, Slot)
