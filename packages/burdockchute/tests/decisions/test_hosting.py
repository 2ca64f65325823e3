"""Which rows an instance hosts."""

from __future__ import annotations

import unittest

from burdockchute.decisions import hosting
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import key_of
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import Revisioned
from burdockchute.model.table import Table


def member(name: str, zone: str = 'z1', pool: str = 'p') -> Member:
    place = Place(zone, 'region-of-' + zone, pool)
    return Member(name, 'agent', '127.0.0.1', 1, place)


def table(*rows) -> Table:
    return Table(1, {key_of(row): Revisioned(row, 1) for row in rows})


MEMBERS = tuple(member(f'a{number}') for number in range(20))


class HostingTest(unittest.TestCase):
    def test_placement_matches_one_term_of_each_kind(self):
        place = Place('z1', 'r1', 'p1')
        cases = {
            '*': True,
            '': False,
            'pool:p1': True,
            'pool:p1,zone:z2': False,
            'pool:p1,zone:z2,zone:z1': True,
            'region:r1, instance:a': True,
            'region:r2': False,
            'rack:7': False,
        }
        for placement, wanted in cases.items():
            with self.subTest(placement=placement):
                self.assertEqual(
                    wanted, hosting.matches(placement, 'a', place)
                )

    def test_replicas_limit_the_hosts(self):
        row = ModelRow('story', 'v1', 'd', replicas=5)
        self.assertEqual(5, len(hosting.hosts(row, MEMBERS)))
        self.assertEqual(
            20, len(hosting.hosts(row._replace(replicas=0), MEMBERS))
        )

    def test_an_instance_that_leaves_moves_only_its_own_row(self):
        row = ModelRow('story', 'v1', 'd', replicas=5)
        before = set(hosting.hosts(row, MEMBERS))
        gone = sorted(before)[0]
        left = [m for m in MEMBERS if m.name != gone]
        after = set(hosting.hosts(row, left))
        self.assertEqual(before - {gone}, after & before)
        self.assertEqual(5, len(after))

    def test_successor_copies_while_the_leaving_instance_serves(self):
        row = ModelRow('story', 'v1', 'd', replicas=1)
        (name,) = hosting.hosts(row, MEMBERS)
        leaving = [m._replace(leaving=m.name == name) for m in MEMBERS]
        self.assertNotEqual((name,), hosting.hosts(row, leaving))
        own = next(m for m in leaving if m.name == name)
        self.assertEqual(
            [row], hosting.hosted_models(table(row), leaving, own)
        )

    def test_adapter_is_hosted_with_its_base(self):
        model = ModelRow('story', 'v1', 'd', placement='instance:a1')
        adapter = AdapterRow('rhymes', 'v1', 'e', 'story')
        orphan = AdapterRow('verses', 'v1', 'f', 'gone')
        rows = table(model, adapter, orphan)
        self.assertEqual(
            [adapter], hosting.hosted_adapters(rows, MEMBERS, MEMBERS[1])
        )
        self.assertEqual(
            [], hosting.hosted_adapters(rows, MEMBERS, MEMBERS[2])
        )

    def test_instance_that_is_not_listed_yet_still_hosts(self):
        row = ServiceRow('proofs', 'pool:fresh')
        own = member('fresh-1', pool='fresh')
        self.assertEqual(
            [row], hosting.hosted_services(table(row), MEMBERS, own)
        )
