"""Order of waiting requests and displacement from a full queue."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from burdockchute.decisions.fair_queue import AGING_INTERVAL_S
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute_testing.builders import requests

LIMIT = 6


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FairQueue(max_waiting=10)

    def offer(
        self,
        name,
        now=0.0,
        is_long=False,
        cost=1.0,
        goes_first=False,
        **changes,
    ):
        ctx = requests.request(request_id=name, **changes)
        refused = self.queue.offer(
            ctx, cost, is_long, now, goes_first=goes_first
        )
        return [item.ctx.request_id for item in refused]

    def order(self, now=0.0):
        names = []
        while (item := self.queue.pop(now)) is not None:
            names.append(item.ctx.request_id)
        return names

    def test_earliest_deadline_first_within_a_customer(self):
        self.offer('late', deadline=9.0)
        self.offer('soon', deadline=1.0)
        self.assertEqual(['soon', 'late'], self.order())

    def test_customers_take_turns(self):
        for number in range(4):
            self.offer(f'flood{number}', customer='a', deadline=1.0)
        self.offer('one', customer='b', deadline=9.0)
        self.assertIn('one', self.order()[:2])

    def test_requests_that_go_first_take_no_turn_of_other_customers(self):
        """Large requests of a flood were placed before other customers."""
        self.offer('soon', customer='a', deadline=1.0)
        for number in range(4):
            self.offer(
                f'first{number}', customer='a', deadline=9.0, goes_first=True
            )
        self.offer('one', customer='b', deadline=9.0)
        order = self.order()
        self.assertIn('one', order[:2])
        self.assertEqual('soon', order[-1])

    def test_turns_are_by_work_not_by_requests(self):
        for number in range(3):
            self.offer(f'big{number}', customer='a', cost=10.0)
            self.offer(f'small{number}', customer='b', cost=1.0)
        order = self.order()
        self.assertLess(order.index('small2'), order.index('big1'))

    def test_idle_customer_saves_no_turns(self):
        for number in range(5):
            self.offer(f'a{number}', customer='a')
        for _ in range(4):
            self.queue.pop(0.0)
        for number in range(3):
            self.offer(f'b{number}', customer='b')
        self.assertIn('a4', self.order()[:2])

    def test_priority_goes_first_and_age_raises_it(self):
        self.offer('low', now=0.0, priority=-1, deadline=1.0)
        self.offer('high', now=2 * AGING_INTERVAL_S, priority=0, deadline=9.0)
        self.assertEqual(['low', 'high'], self.order(2 * AGING_INTERVAL_S))
        self.offer('low', now=0.0, priority=-1, deadline=1.0)
        self.offer('high', now=0.0, priority=0, deadline=9.0)
        self.assertEqual(['high', 'low'], self.order(0.0))

    def test_full_queue_displaces_the_flood_not_the_newcomer(self):
        for number in range(9):
            self.offer(f'flood{number}', customer='a')
        self.offer('other', customer='b')
        self.assertEqual(['flood8'], self.offer('new', customer='c'))
        self.assertEqual(['more'], self.offer('more', customer='a'))

    def test_full_queue_of_a_lower_priority_makes_room(self):
        for number in range(10):
            self.offer(f'r{number}', priority=-1)
        self.assertEqual(['r9'], self.offer('high', priority=0))
        self.assertEqual(['lower'], self.offer('lower', priority=-2))

    def test_expected_work_does_not_grow_with_anothers_flood(self):
        for number in range(8):
            self.offer(f'flood{number}', customer='a')
        ctx = requests.request(customer='b')
        self.assertEqual(1.0, self.queue.work_ahead_of(ctx))


class QueueMachine(stateful.RuleBasedStateMachine):
    """Each request comes out exactly once, and the queue stays bounded."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(LIMIT)
        self.inside: dict[str, tuple[int, bool]] = {}
        self.popped: list = []
        self.now = 0.0
        self.count = 0

    @stateful.rule(
        customer=st.sampled_from('abc'),
        priority=st.integers(-1, 1),
        is_long=st.booleans(),
        deadline=st.floats(1, 9),
        cost=st.sampled_from([1.0, 20.0]),
    )
    def offer(self, customer, priority, is_long, deadline, cost):
        # Ids are counted here: those of the builder continue from test to
        # test, so their order would depend on which tests ran before.
        self.count += 1
        ctx = requests.request(
            request_id=f'q{self.count:04}',
            customer=customer,
            priority=priority,
            deadline=deadline,
        )
        self.inside[ctx.request_id] = (priority, is_long)
        for item in self.queue.offer(ctx, cost, is_long, self.now):
            assert self.inside.pop(item.ctx.request_id)[0] <= priority

    @stateful.rule(allow_long=st.booleans())
    def pop(self, allow_long):
        item = self.queue.pop(self.now, allow_long)
        if item is None:
            assert all(not allow_long and lng for _, lng in self.waiting())
            return
        priority, is_long = self.inside.pop(item.ctx.request_id)
        assert allow_long or not is_long
        fit = [p for p, lng in self.waiting() if allow_long or not lng]
        assert priority >= max(fit, default=priority)
        self.popped.append(item)

    @stateful.precondition(lambda self: self.popped)
    @stateful.rule()
    def put_back(self):
        item = self.popped.pop()
        if len(self.inside) < LIMIT:
            self.queue.put_back(item)
            self.inside[item.ctx.request_id] = (
                item.ctx.priority,
                item.is_long,
            )

    @stateful.precondition(lambda self: self.inside)
    @stateful.rule(data=st.data())
    def remove(self, data):
        name = data.draw(st.sampled_from(sorted(self.inside)))
        assert self.queue.remove(name) is not None
        assert self.queue.remove(name) is None
        del self.inside[name]

    @stateful.invariant()
    def holds_what_it_should(self):
        assert len(self.queue) == len(self.inside) <= LIMIT
        assert (self.queue.work() > 0.5) == bool(self.inside)

    def waiting(self):
        return self.inside.values()


QueueMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
QueueMachineTest = QueueMachine.TestCase
