"""A customer's limit divided between three entries."""

from __future__ import annotations

from types import SimpleNamespace
import unittest

from burdockchute.decisions.limits import Demand
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute_entry.limits_task import DemandMeasured
from burdockchute_entry.limits_task import LimitsTask
from burdockchute_testing.builders import requests

NAMES = ('one', 'two', 'three')
ROW = requests.LINDWURM._replace(requests_per_s=30.0, tokens_per_s=3000.0)


class LimitsTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.cut: set[str] = set()
        self.published: dict = {}
        self.tasks = {name: self.start(name) for name in NAMES}
        members = tuple(
            Member(name, 'entry', '127.0.0.1', 1, Place('', '', ''))
            for name in NAMES
        )
        for task in self.tasks.values():
            task.handle(TableChanged(requests.table_of(ROW)))
            task.handle(MembersChanged(members))

    def start(self, name):
        return LimitsTask(
            name,
            lambda to, message: self.carry(name, to, message),
            lambda changed: self.published.update({name: changed}),
            lambda: self.now,
        )

    def carry(self, sender, receiver, message):
        if not self.cut & {sender, receiver}:
            link = SimpleNamespace(peer=SimpleNamespace(name=sender))
            self.tasks[receiver].handle(links.Received(link, message))

    def second(self, **demands):
        self.now += 1.0
        for name, per_s in demands.items():
            demand = Demand(float(per_s), per_s * 100.0)
            self.tasks[name].handle(DemandMeasured({'lindwurm': demand}))
        for task in self.tasks.values():
            task.tick()

    def share(self, name):
        return self.published[name].shares['lindwurm'].requests_per_s

    def test_shares_follow_demand(self):
        self.second(one=2, two=100)
        self.assertEqual((2.0, 28.0), (self.share('one'), self.share('two')))
        self.second(one=100, two=2)
        self.assertEqual((28.0, 2.0), (self.share('one'), self.share('two')))

    def test_entry_that_is_cut_off_loses_its_share(self):
        self.second(one=100, two=100)
        self.assertEqual(15.0, self.share('one'))
        answers = [n for n in NAMES if self.tasks[n]._reported]
        away = next(n for n in ('one', 'two') if n not in answers)
        self.cut = {away}
        for _ in range(8):
            self.second(one=100, two=100)
        self.assertNotIn('lindwurm', self.published[away].shares)
