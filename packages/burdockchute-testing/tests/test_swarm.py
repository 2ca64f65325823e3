"""Versions that are named in quick succession, replayed in simulated time."""

from __future__ import annotations

import unittest

from burdockchute_testing.emulator.network import Fleet
from burdockchute_testing.emulator.swarm import Swarm

NAMED_AT = 1.0


def play(fleet, until_s, named, seed=1):
    """Play a fleet to a time; `named` gives when versions are named."""
    swarm = Swarm(fleet, seed)
    for version, at in named.items():
        swarm.name_version(version, at)
    swarm.run(until_s)
    return swarm


class SwarmTest(unittest.TestCase):
    def test_an_older_version_serves_while_the_origin_is_away(self):
        """A version follows the last one after two seconds; the origin fails.

        An agent that drops the older copy then has none for six seconds
        after the version that serves is out of time.
        """
        fleet = Fleet(origin_away=((3.5, 9.7),))
        swarm = play(fleet, 19.0, {2: NAMED_AT, 3: NAMED_AT + 2.0})
        self.assertGreater(len(swarm.wholes(2)), fleet.agents // 2)
        self.assertEqual(fleet.agents, len(swarm.wholes(3)))
        self.assertLess(swarm.closed_s, 5.0)

    def test_the_origin_gives_out_one_copy_before_a_second(self):
        """Its reads end one after the other, not all at its end."""
        swarm = play(Fleet(), 10.0, {2: NAMED_AT})
        self.assertEqual(23, len(swarm.wholes(2)))
        self.assertLess(swarm.origin_chunks / swarm.fleet.chunks, 1.3)
        self.assertLess(swarm.wholes(2)[-1] - NAMED_AT, 8.0)

    def test_a_version_that_follows_at_once_is_copied_alone(self):
        """Finishing the older copy first would delay what is wanted."""
        swarm = play(Fleet(), 12.0, {2: NAMED_AT, 3: NAMED_AT + 0.5})
        self.assertEqual([], swarm.wholes(2))
        self.assertLess(swarm.closed_s, 0.5)

    def test_a_region_that_is_cut_off_does_not_stop_the_others(self):
        """Chunks whose reader can't reach the origin are read by others."""
        swarm = Swarm(Fleet())
        swarm.cut_off('r1')
        swarm.name_version(2, NAMED_AT)
        swarm.run(14.0)
        reached = [a for a in swarm.agents.values() if a.name not in swarm.cut]
        self.assertTrue(all(2 in agent.whole_at for agent in reached))


if __name__ == '__main__':
    unittest.main()
