"""Versions named in quick succession, replayed in simulated time."""

from __future__ import annotations

import unittest

from burdockchute_testing.emulator.network import Fleet
from burdockchute_testing.emulator.swarm import Swarm

NAMED_AT = 1.0


def simulate(fleet, until_s, named, seed=1):
    """Simulate a fleet; `named` maps versions to the times of their naming."""
    swarm = Swarm(fleet, seed)
    for version, at in named.items():
        swarm.name_version(version, at)
    swarm.run(until_s)
    return swarm


class SwarmTest(unittest.TestCase):
    def test_an_older_version_serves_while_the_origin_is_away(self):
        """A version follows after two seconds, and the origin fails.

        An agent that drops the older copy then has no version to serve for
        six seconds after the one that serves has expired.
        """
        fleet = Fleet(origin_outages=((3.5, 9.7),))
        swarm = simulate(fleet, 19.0, {2: NAMED_AT, 3: NAMED_AT + 2.0})
        self.assertGreater(len(swarm.completion_times(2)), fleet.agents // 2)
        self.assertEqual(fleet.agents, len(swarm.completion_times(3)))
        self.assertLess(swarm.closed_s, 5.0)

    def test_the_origin_gives_out_one_copy_before_a_second(self):
        """Origin reads finish one after the other, not all at the end."""
        swarm = simulate(Fleet(), 10.0, {2: NAMED_AT})
        self.assertEqual(23, len(swarm.completion_times(2)))
        self.assertLess(swarm.origin_chunks / swarm.fleet.chunks, 1.3)
        self.assertLess(swarm.completion_times(2)[-1] - NAMED_AT, 8.0)

    def test_a_version_that_follows_at_once_is_copied_alone(self):
        """Finishing the older copy first would delay the newest version."""
        swarm = simulate(Fleet(), 12.0, {2: NAMED_AT, 3: NAMED_AT + 0.5})
        self.assertEqual([], swarm.completion_times(2))
        self.assertLess(swarm.closed_s, 0.5)

    def test_a_region_that_is_cut_off_does_not_stop_the_others(self):
        """Other agents read the chunks whose reader can't reach the origin."""
        swarm = Swarm(Fleet())
        swarm.partition_region('r1')
        swarm.name_version(2, NAMED_AT)
        swarm.run(14.0)
        reached = [
            a for a in swarm.agents.values() if a.name not in swarm.partitioned
        ]
        self.assertTrue(all(2 in agent.completed_at for agent in reached))


if __name__ == '__main__':
    unittest.main()
