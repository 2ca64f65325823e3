"""Urgent work under load, replayed with the schedulers of many entries."""

from __future__ import annotations

import unittest
from unittest import mock

from burdockchute import logs
from burdockchute_entry.straight import service_queues
from burdockchute_testing.benches.urgent_load import replay
from burdockchute_testing.emulator import deployments
from burdockchute_testing.emulator.site import Site

# Fewer engines than in the bench, and as many entries as slots of an engine
# or more, so that no entry has a slot of its own.
ENTRIES = 13
ENGINES = 6

# All answers on time differ by up to a tenth between replays of one load.
SEEDS = (1, 2, 3, 4)


class UrgentLoadTest(unittest.TestCase):
    def test_urgent_work_is_on_time_in_bursts_of_other_work(self):
        """Full engines kept urgent work waiting at the entries.

        The slots went to less urgent work at other entries: the most urgent
        kind was on time less often than the least urgent one.
        """
        for load in (0.8, 1.2, 2.5):
            pairs = [self.replay_both(load, seed) for seed in SEEDS]
            gains = [
                after.on_time_share(0) - before.on_time_share(0)
                for before, after in pairs
            ]
            sums = [
                sum(replays[number].on_time_per_s for replays in pairs)
                for number in (0, 1)
            ]
            # The least urgent kind is not starved.
            least = [
                after.by_priority[2].on_time / after.total.on_time
                for _before, after in pairs
            ]
            with self.subTest(load=load):
                self.assertGreater(min(gains), 0.03)
                self.assertGreaterEqual(sums[1], sums[0])
                self.assertGreater(min(least), 0.08)

    def replay_both(self, load, seed):
        before, after = [
            replay(load, by_urgency, ENTRIES, ENGINES, 8.0, seed)
            for by_urgency in (False, True)
        ]
        print('\n' + '\n'.join([*before.lines(), *after.lines()]))
        return before, after

    def test_one_priority_is_served_as_without_priorities(self):
        """The result is that of the code without any rule for priorities."""
        small = deployments.small()

        def served(priority):
            shapes = [s._replace(priority=priority) for s in small.shapes]
            site = Site(small, lambda now: 64.8, 1, lambda now: shapes)
            site.open_engines(range(small.engines))
            with mock.patch.object(logs, 'event', autospec=True):
                site.run(9.0)
            return site.result(2.0, 5.0)

        without_rules = mock.Mock(is_mixed=False)
        with mock.patch.object(
            service_queues,
            'UrgencyState',
            autospec=True,
            return_value=without_rules,
        ):
            expected = served(0)
        self.assertEqual(213, expected.total)
        for priority in (0, 3):
            with self.subTest(priority=priority):
                self.assertEqual(expected, served(priority))


if __name__ == '__main__':
    unittest.main()
