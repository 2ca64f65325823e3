"""Tests of the membership of instances."""

from __future__ import annotations

import unittest

from burdockchute.decisions import membership
from burdockchute.decisions.membership import LinkReport
from burdockchute.decisions.membership import Membership
from burdockchute_testing.builders import fleets

FLEET = sorted(fleets.fleet(4, 20))
NAMES = [member.name for member in FLEET]


def names(state: Membership) -> list[str]:
    return [member.name for member in state.members]


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known = membership.on_list(Membership(), FLEET, {}, 0.0)

    def test_list_is_applied(self):
        self.assertEqual(NAMES, names(self.known))

    def test_leaving_is_taken_from_list_and_links(self):
        # An agent reports to its links at once that it leaves, and the list
        # shows it seconds later. Work that is placed on the agent in between
        # is refused and has to move.
        one, other = FLEET[5], FLEET[6]
        link_reports = {
            one.name: LinkReport(one, True),
            other.name: LinkReport(other, False),
        }
        listed = [m._replace(leaving=m.name == other.name) for m in FLEET]
        state = membership.on_list(self.known, listed, link_reports, 1.0)
        self.assertEqual(
            {one.name, other.name},
            {m.name for m in state.members if m.leaving},
        )
        self.assertEqual(
            [one.name],
            [
                m.name
                for m in membership.on_link_reports(
                    self.known, link_reports
                ).members
                if m.leaving
            ],
        )

    def test_unlisted_instance_stays_while_its_link_is_alive(self):
        one = FLEET[5]
        link_reports = {one.name: LinkReport(one, False)}
        listed = [m for m in FLEET if m.name != one.name]
        state = membership.on_list(self.known, listed, link_reports, 1.0)
        self.assertEqual(NAMES, names(state))
        state = membership.on_list(state, listed, {}, 2.0)
        self.assertNotIn(one.name, names(state))

    def test_loss_of_a_zone_is_applied_at_once(self):
        remaining = [m for m in FLEET if m.place.zone != 'zone-1']
        state = membership.on_list(self.known, remaining, {}, 1.0)
        self.assertEqual([m.name for m in remaining], names(state))

    def test_sudden_loss_of_most_members_has_to_persist(self):
        # The list service restarts and is empty for some seconds. Every
        # entry would drop all its links at the same moment.
        state = membership.on_list(self.known, [], {}, 10.0)
        self.assertEqual(NAMES, names(state))
        state = membership.on_list(state, FLEET[:3], {}, 39.9)
        self.assertEqual(NAMES, names(state))
        self.assertEqual(
            Membership(tuple(FLEET)),
            membership.on_list(state, FLEET, {}, 39.9),
        )
        state = membership.on_list(state, FLEET[:3], {}, 40.0)
        self.assertEqual(NAMES[:3], names(state))

    def test_bulk_restart_changes_no_membership(self):
        # Half of the agents restart with other ports, one after another.
        listed = list(FLEET)
        state = self.known
        for number, member in enumerate(FLEET[:12]):
            listed[number] = member._replace(port=9000 + number)
            state = membership.on_list(state, listed, {}, float(number))
            self.assertEqual(NAMES, names(state))
        self.assertEqual(tuple(listed), state.members)

    def test_list_is_read_less_often_the_longer_it_is(self):
        for count, interval_s in ((0, 0.5), (20, 0.5), (12_360, 197.76)):
            self.assertAlmostEqual(
                interval_s, membership.poll_interval_s(count)
            )

    def test_changes(self):
        new = [FLEET[0]._replace(port=7), *FLEET[2:]]
        self.assertEqual(
            ([new[0]], [NAMES[1]]), membership.changes(FLEET, new)
        )
        self.assertEqual(([], []), membership.changes(FLEET, FLEET))
