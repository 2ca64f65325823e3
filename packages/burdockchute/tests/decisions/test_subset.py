"""Tests of the choice of agents that an entry links to."""

from __future__ import annotations

import collections
import unittest

from burdockchute.decisions import subset
from burdockchute.model.members import Member
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute_testing.builders import fleets
from burdockchute_testing.builders import tables

TABLE = tables.table_of(
    tables.model('large', placement='pool:gpu-a'),
    tables.model('small', placement='*', replicas=4),
    tables.service('proofs', placement='zone:zone-3'),
)


def links(members: list[Member], table: Table = EMPTY_TABLE) -> dict[str, set]:
    """Return the agents that each entry links to."""
    found = {}
    for member in members:
        if member.role == 'entry':
            choice = subset.Subset(member.name)
            choice.set_members(members)
            while not choice.step(100):
                pass
            found[member.name] = choice.wanted(table)
    return found


def counts_of(found: dict[str, set]) -> collections.Counter:
    return collections.Counter(a for agents in found.values() for a in agents)


class SubsetTest(unittest.TestCase):
    def setUp(self) -> None:
        # Two entries in each zone and some agents to each entry.
        self.members = fleets.fleet(28, 420)
        self.place = {m.name: m.place for m in self.members}

    def test_every_agent_has_its_links_and_no_entry_too_many(self):
        found = links(self.members)
        counts = counts_of(found)
        self.assertEqual(
            {subset.LOCAL_ENTRIES + subset.REMOTE_ENTRIES},
            {counts[f'agent-{number}'] for number in range(420)},
        )
        mean = 420 * (subset.LOCAL_ENTRIES + subset.REMOTE_ENTRIES) / 28
        self.assertLess(max(map(len, found.values())), 1.5 * mean)

    def test_links_of_an_agent_are_in_several_zones(self):
        # A zone fails. An agent whose entries were all in that zone would get
        # no requests until the list has informed other entries.
        for agents in (40, 420):
            zones = collections.defaultdict(set)
            for entry, wanted in links(fleets.fleet(28, agents)).items():
                for agent in wanted:
                    zones[agent].add(self.place[entry].zone)
            self.assertLessEqual(3, min(map(len, zones.values())))

    def test_every_entry_reaches_every_target(self):
        hosts = {
            'large': lambda m: m.place.pool == 'gpu-a',
            'proofs': lambda m: m.place.zone == 'zone-3',
        }
        found = links(self.members, TABLE)
        for name, is_host in hosts.items():
            of_row = {m.name for m in self.members if is_host(m)}
            for entry, wanted in found.items():
                with self.subTest(row=name, entry=entry):
                    self.assertLessEqual(
                        subset.MIN_HOSTS, len(of_row & wanted)
                    )

    def test_removed_agent_changes_no_other_links(self):
        before = links(self.members)
        after = links([m for m in self.members if m.name != 'agent-7'])
        for entry, wanted in before.items():
            self.assertEqual(wanted - {'agent-7'}, after[entry])

    def test_removed_entry_changes_only_links_of_its_agents(self):
        before = links(self.members)
        gone = before.pop('entry-5')
        after = links([m for m in self.members if m.name != 'entry-5'])
        for entry, wanted in before.items():
            self.assertLessEqual(wanted, after[entry])
            self.assertLessEqual(after[entry] - wanted, gone)

    def test_regions_that_lose_contact_keep_their_links(self):
        # Each region sees only its own instances for an hour. If all links
        # were chosen again, every entry would dial hundreds of agents at
        # once, and again when the regions are connected again.
        before = links(self.members)
        side = [m for m in self.members if m.place.region in ('region-0',)]
        apart = links(side)
        for entry, wanted in apart.items():
            kept = {
                agent
                for agent in before[entry]
                if self.place[agent].region == 'region-0'
            }
            self.assertLessEqual(kept, wanted)
        self.assertEqual(before, links(self.members))

    def test_loss_of_a_zone_leaves_every_agent_with_links(self):
        remaining = [m for m in self.members if m.place.zone != 'zone-2']
        counts = counts_of(links(remaining))
        self.assertEqual(
            {subset.LOCAL_ENTRIES + subset.REMOTE_ENTRIES},
            {counts[m.name] for m in remaining if m.role == 'agent'},
        )

    def test_small_site_links_all(self):
        found = links(fleets.fleet(3, 20))
        self.assertEqual([20] * 3, [len(agents) for agents in found.values()])

    def test_leaving_members_are_not_chosen(self):
        members = [
            m._replace(leaving=m.name in ('agent-3', 'entry-3'))
            for m in self.members
        ]
        found = links(members)
        self.assertNotIn('agent-3', counts_of(found))
        counts = counts_of({e: a for e, a in found.items() if e != 'entry-3'})
        self.assertEqual({4}, set(counts.values()))

    def test_old_choice_stays_until_agents_are_ranked_again(self):
        choice = subset.Subset('entry-0')
        choice.set_members(self.members)
        while not choice.step(100):
            pass
        before = choice.wanted(EMPTY_TABLE)
        choice.set_members([m for m in self.members if m.name != 'entry-1'])
        self.assertEqual(before, choice.wanted(EMPTY_TABLE))
        self.assertFalse(choice.step(100))
