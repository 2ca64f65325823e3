"""Cold upstreams that several entries share."""

from __future__ import annotations

from collections import Counter
import random
import unittest

from burdockchute.model.feeds import Batch
from burdockchute.model.known_state import apply_upstreams
from burdockchute.model.positions import Position
from burdockchute.model.upstreams import UpstreamListed
from burdockchute_testing.builders import cold_fleets
from burdockchute_testing.builders.cold_fleets import ALLOWED
from burdockchute_testing.builders.cold_fleets import COLD_RATE
from burdockchute_testing.builders.cold_fleets import SimulatedEntry

UPSTREAMS = 20
COLD = 14
COLD_S = 8.0

# Five sixths of what the upstreams carry when all are warm.
RATE = 400.0

# Least share of its rate that a cold upstream gets under this load.
MIN_USED = 0.5


def cold_entries(count, seed=1):
    listed = cold_fleets.fleet(UPSTREAMS, COLD, COLD_S)
    state = cold_fleets.known_state(listed, 0.0)
    in_flight = Counter()
    return [
        SimulatedEntry(state, seed * 1000 + number, in_flight)
        for number in range(count)
    ]


def cold_sends(entries):
    return sum(
        send.at < COLD_S and int(send.upstream[2:]) < COLD
        for entry in entries
        for send in entry.sends
    )


class ColdFleetTest(unittest.TestCase):
    """Seven tenths of the upstreams have started at once."""

    def test_no_cold_upstream_gets_more_than_allowed_in_any_second(self):
        for count in (4, 13, 22, 60):
            for seed in (1,):
                entries = cold_entries(count, seed)
                for entry in entries:
                    entry.report_entries(count, 0.0)
                cold_fleets.run(entries, RATE, 14.0, random.Random(seed))
                most = cold_fleets.most_in_a_second(entries, COLD_S)
                cold = [f'i-{n}' for n in range(COLD)]
                with self.subTest(entries=count, seed=seed):
                    worst = max(most.get(name, 0) for name in cold)
                    self.assertLessEqual(worst, ALLOWED)
                    self.assertGreater(
                        cold_sends(entries),
                        MIN_USED * COLD_RATE * COLD * COLD_S,
                    )
                    late = [
                        at
                        for entry in entries
                        for at in entry.refused
                        if at > COLD_S + 1.0
                    ]
                    self.assertEqual([], late)


class ColdFailureTest(unittest.TestCase):
    def test_entries_without_reports_assume_eight(self):
        """Agents are cut off from all entries, or have not linked yet."""
        entries = cold_entries(8)
        cold_fleets.run(entries, RATE, COLD_S, random.Random(1))
        most = cold_fleets.most_in_a_second(entries, COLD_S)
        self.assertLessEqual(max(most[f'i-{n}'] for n in range(COLD)), ALLOWED)

    def test_an_entry_that_resumes_sends_no_burst(self):
        """One of 22 entries is suspended for three seconds under load.

        Its requests have waited meanwhile, and its sends were not used.
        """
        entries = cold_entries(22)
        rng = random.Random(1)
        for entry in entries:
            entry.report_entries(22, 0.0)
        cold_fleets.run(entries, RATE, 2.0, rng)
        cold_fleets.run(entries[1:], RATE, 3.0, rng, since=2.0)
        entries[0].waiting.extend([5.0] * 100)
        cold_fleets.run(entries, RATE, 3.0, rng, since=5.0)
        most = cold_fleets.most_in_a_second(entries, COLD_S)
        self.assertLessEqual(max(most[f'i-{n}'] for n in range(COLD)), ALLOWED)
        alone = cold_fleets.most_in_a_second(entries[:1], COLD_S)
        for number in range(COLD, UPSTREAMS):
            alone.pop(f'i-{number}', None)
        self.assertEqual(1, max(alone.values()))

    def test_the_last_read_time_counts_down_while_the_list_is_stale(self):
        entry = cold_entries(1)[0]
        target = entry.known.all_targets()[0]
        self.assertTrue(target.is_cold(COLD_S - 0.1))
        self.assertFalse(target.is_cold(COLD_S))
        entry.known.record_cold_answer(target, 5.0, 6.0)
        self.assertTrue(target.is_cold(10.9))
        entry.known.record_cold_answer(target, 1.0, 7.0)
        self.assertTrue(target.is_cold(10.9))

    def test_an_upstream_that_only_becomes_cold_is_noticed(self):
        """Nothing else changes in its entry of the list.

        Entries learn only of changes that are logged, so they would send it
        its full load.
        """
        listed = cold_fleets.fleet(1)
        state = cold_fleets.known_state([], 0.0)
        for offset, (cold_s, changes) in enumerate(
            ((0.0, 1), (3.0, 1), (2.0, 0), (2.5, 1))
        ):
            item = listed[0]._replace(warm_in_s=cold_s)
            batch = Batch(
                Position(0, offset + 1),
                False,
                (UpstreamListed(Position(0, offset), item),),
            )
            state, found = apply_upstreams(state, batch, 10.0 * offset)
            self.assertEqual(changes, len(found))
        self.assertEqual(32.5, state.upstreams.known['i-0'].cold_until)

    def test_a_restart_under_traffic_starts_cold(self):
        """The list does not say so yet, or is never written again."""
        listed = cold_fleets.fleet(2)
        state = cold_fleets.known_state(listed, 0.0)
        entry = SimulatedEntry(state, 1, Counter())
        self.assertFalse(
            any(t.is_cold(0.0) for t in entry.known.all_targets())
        )
        entry.waiting.append(1.0)
        entry.step(1.0)
        listed[0] = listed[0]._replace(started_ms=2000)
        entry.known.update(cold_fleets.known_state(listed, 2.0), 2.0)
        cold = [t.is_cold(9.9) for t in entry.known.all_targets()]
        self.assertEqual([True, False], cold)

    def test_an_upstream_that_is_listed_again_stays_cold(self):
        """Its entry of the list expired while it was cold."""
        entry = cold_entries(1)[0]
        entry.known.update(cold_fleets.known_state([], 1.0), 1.0)
        listed = cold_fleets.fleet(UPSTREAMS)
        entry.known.update(cold_fleets.known_state(listed, 2.0), 2.0)
        self.assertTrue(entry.known.all_targets()[0].is_cold(COLD_S - 0.1))


if __name__ == '__main__':
    unittest.main()
