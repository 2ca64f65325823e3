"""Periodic work of tasks is also done while messages keep arriving."""

from __future__ import annotations

import unittest
from unittest import mock

from burdockchute.model.changes import MembersChanged
from burdockchute_entry.claim_collector import Clocks
from burdockchute_entry.claims_task import ClaimsTask
from burdockchute_entry.limits_task import LimitsTask
from burdockchute_testing.fakes.log import FakeLog

MESSAGES = 100


class TicksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0

    def check_ticks(self, task):
        # Under peak load the inbox is never empty. If a task only ticked on
        # an empty inbox, claims would never time out.
        left = iter(range(MESSAGES))

        def always_one(timeout):
            next(left)
            self.now += 0.1
            return MembersChanged(())

        task.inbox = mock.Mock(get=always_one)
        with mock.patch.object(task, 'tick', autospec=True) as tick:
            with self.assertRaises(StopIteration):
                task.run()
        self.assertGreaterEqual(tick.call_count, 5)

    def test_claims(self):
        clocks = Clocks(lambda: self.now, lambda: self.now)
        self.check_ticks(ClaimsTask('a', FakeLog(), mock.Mock(), clocks))

    def test_limits(self):
        self.check_ticks(
            LimitsTask('a', mock.Mock(), mock.Mock(), lambda: self.now)
        )
