"""Urgent work on full engines, and what an entry does without reports."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import gevent

from burdockchute.decisions import urgency
from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.decisions.placement import Work
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute.model.routes import EngineCost
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.urgency_round import UrgencyRound
from burdockchute_testing.builders import requests
from burdockchute_testing.builders.upstreams import upstream

BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
COST = EngineCost(0.0093, 0.000023, 20_700.0, 5, 950.0, 95.0)
SLOTS = 12
SERVICE = 'drafts'
URGENT, LESS_URGENT = 0, -2


class UrgentWorkTest(unittest.TestCase):
    def setUp(self):
        cost = mock.patch.object(
            KnownTargets, 'cost', autospec=True, return_value=COST
        )
        cost.start()
        self.addCleanup(cost.stop)
        self.now = 0.0
        self.numbers = iter(range(1000))
        self.scheduler = Scheduler(BOUNDS, lambda: self.now, random.Random(1))
        engine = upstream(id='i-1', zone='', slots=SLOTS, versions={})
        self.address = str(engine.endpoint)
        listed = {'i-1': KnownUpstream(engine, None)}
        self.scheduler.update(KnownState(upstreams=UpstreamList(listed, {})))
        self.target = self.scheduler.targets()[0]
        self.target.load.window = 100
        queue = self.scheduler._service_queues[SERVICE]
        queue.service_s = 0.5
        for priority in (URGENT, LESS_URGENT):
            queue.urgency.record_arrival(priority, self.now)

    def report(self, running):
        self.scheduler.apply_load_report(
            self.address,
            messages.LoadReport(running=running, slots=SLOTS, entries=1),
        )

    def ask(self, priority):
        ctx = requests.request(
            request_id=f'q-{next(self.numbers)}',
            target=SERVICE,
            arrived=self.now,
            deadline=self.now + 6.0,
            prompt_tokens=300,
            priority=priority,
        )
        spec = RequestSpec(SERVICE, '', 0.405)
        pending = PendingRequest(ctx, Work(1.0, False, 300, ()), spec)
        waiting = gevent.spawn(
            self.scheduler.wait_for_slot, pending, ctx.deadline
        )
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        return pending

    def test_only_urgent_work_is_sent_to_a_full_engine(self):
        self.report(SLOTS)
        self.assertFalse(self.ask(LESS_URGENT).slot.ready())
        self.assertTrue(self.ask(URGENT).slot.ready())

    def test_engine_that_is_full_for_ever_gets_few_requests(self):
        """The engine's queue would fill with work that never starts."""
        for _period in range(40):
            self.report(SLOTS + self.target.load.ours)
            self.ask(URGENT)
            self.now += 0.2
        self.assertLessEqual(self.target.load.ours, urgency.MAX_PLACES)

    def test_nothing_goes_beyond_the_slots_without_reports(self):
        """Without reports, an entry can't know how many requests wait."""
        self.report(SLOTS)
        self.now += urgency.MAX_REPORT_AGE_S + 0.1
        self.assertFalse(self.ask(URGENT).slot.ready())

    def test_entry_that_was_suspended_waits_for_a_report(self):
        """Entries that resumed together sent all they had at once."""
        self.report(SLOTS)
        self.now += 3.0
        first = self.ask(URGENT)
        self.assertFalse(first.slot.ready())
        self.report(SLOTS)
        self.scheduler.assign_free_slots()
        self.assertTrue(first.slot.ready())

    def test_work_of_one_priority_is_not_sent_to_a_full_engine(self):
        self.now += urgency.PRIORITY_VALID_S + 1.0
        self.report(SLOTS)
        for _number in range(5):
            self.assertFalse(self.ask(URGENT).slot.ready())

    def test_overdue_work_waits_for_more_urgent_work_on_time(self):
        """Overdue work took the slots that urgent work on time waited for."""
        self.report(SLOTS + 4)
        urgent, overdue = self.ask(URGENT), self.ask(LESS_URGENT)
        overdue.is_overdue = True
        by_urgency = UrgencyRound(
            SERVICE,
            self.scheduler._service_queues[SERVICE],
            COST,
            SLOTS,
            SLOTS,
            self.now,
        )
        self.assertFalse(by_urgency.is_passed_over(overdue))
        by_urgency.record_no_slot(urgent)
        self.assertTrue(by_urgency.is_passed_over(overdue))

    def test_less_urgent_work_goes_as_urgent_until_it_has_its_share(self):
        """Engines admitted it behind all urgent work, so it never started."""
        queue = self.scheduler._service_queues[SERVICE]
        for _number in range(10):
            queue.urgency.record_start(URGENT, self.now)
        self.report(SLOTS)
        lent = self.ask(LESS_URGENT)
        self.assertTrue(lent.slot.ready())
        self.assertEqual(URGENT, lent.lent_priority)
        own = self.ask(LESS_URGENT)
        self.assertIsNone(own.lent_priority)


if __name__ == '__main__':
    unittest.main()
