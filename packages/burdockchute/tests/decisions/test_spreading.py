"""Tests of neighbours, chunk policies, origin readers, pacing and rates."""

from __future__ import annotations

from collections import Counter
import random
import unittest

from burdockchute.decisions import chunks
from burdockchute.decisions import copy_rates
from burdockchute.decisions import neighbours
from burdockchute.decisions import pacing
from burdockchute.decisions import sources
from burdockchute.decisions.chunks import Choice
from burdockchute.decisions.chunks import Offer
from burdockchute.decisions.pacing import Predecessor
from burdockchute.decisions.sources import ChunkArrivals
from burdockchute.model.members import Member
from burdockchute.model.members import Place


def fleet(count: int, zones: int = 4) -> list[Member]:
    return [
        Member(
            f'a{number}',
            'agent',
            '',
            0,
            Place(f'z{number % zones}', f'r{number % zones // 2}', 'p'),
        )
        for number in range(count)
    ]


class NeighboursTest(unittest.TestCase):
    def test_links_are_few_and_evenly_spread(self):
        # 2,700 instances copy the same row. Each must reach every other one
        # over a few links, or parts of the fleet would have to read the
        # origin.
        members = fleet(2700, zones=14)
        links: dict[str, set[str]] = {m.name: set() for m in members}
        for member in members[:]:
            if int(member.name[1:]) % 9:
                continue
            for name in neighbours.neighbours('model/s', member, members):
                links[member.name].add(name)
        dialled = {name: found for name, found in links.items() if found}
        self.assertEqual({8}, {len(found) for found in dialled.values()})
        incoming = Counter(n for found in dialled.values() for n in found)
        self.assertLess(max(incoming.values()), 10)

    def test_all_instances_are_connected(self):
        members = fleet(200, zones=14)
        links: dict[str, set[str]] = {m.name: set() for m in members}
        for member in members:
            for name in neighbours.neighbours('model/s', member, members):
                links[member.name].add(name)
                links[name].add(member.name)
        reached = {'a0'}
        hops = 0
        while len(reached) < len(members):
            reached |= {n for name in reached for n in links[name]}
            hops += 1
        self.assertLessEqual(hops, 4)

    def test_most_are_near(self):
        members = fleet(200)
        own = members[0]
        by_name = {member.name: member for member in members}
        found = Counter(
            neighbours.distance(own.place, by_name[name].place)
            for name in neighbours.neighbours('model/s', own, members)
        )
        self.assertEqual({0: 4, 1: 2, 2: 2}, found)

    def test_only_instance_of_a_zone_has_as_many_links(self):
        lone = Member('x', 'agent', '', 0, Place('far', 'away', 'p'))
        found = neighbours.neighbours('model/s', lone, [*fleet(40), lone])
        self.assertEqual(8, len(set(found)))
        few = neighbours.neighbours('model/s', lone, [*fleet(3), lone])
        self.assertEqual({'a0', 'a1', 'a2'}, set(few))

    def test_removed_instance_changes_one_neighbour(self):
        members = fleet(100)
        own = members[0]
        before = neighbours.neighbours('model/s', own, members)
        remaining = [m for m in members if m.name != before[0]]
        after = neighbours.neighbours('model/s', own, remaining)
        self.assertEqual(set(before[1:]), set(before) & set(after))


class ChunkPoliciesTest(unittest.TestCase):
    OFFERS = (Offer('p', 0b0111, 3, 1), Offer('q', 0b1010, 0, 1))
    HOLDERS = (2, 2, 1, 2)

    def choose(self, name: str, rng=None) -> Choice:
        rng = rng or random.Random(1)
        return chunks.CHUNK_POLICIES[name](self.OFFERS, self.HOLDERS, rng)

    def test_every_policy_chooses_an_offered_chunk(self):
        useful = {offer.peer: offer.useful for offer in self.OFFERS}
        rng = random.Random(2)
        for name in chunks.CHUNK_POLICIES:
            for _ in range(50):
                choice = self.choose(name, rng)
                with self.subTest(name=name, choice=choice):
                    self.assertTrue(useful[choice.peer] >> choice.chunk & 1)

    def test_rarest_goes_first(self):
        self.assertEqual(Choice('p', 2), self.choose('rarest'))
        self.assertEqual(Choice('p', 2), self.choose('rarest-least-loaded'))

    def test_least_loaded_peer(self):
        self.assertEqual('q', self.choose('least-loaded').peer)

    def test_lottery_draws_by_useful_chunks(self):
        rng = random.Random(4)
        drawn = Counter(self.choose('lottery', rng).peer for _ in range(500))
        self.assertAlmostEqual(0.6, drawn['p'] / 500, delta=0.07)

    def test_near_offers_go_before_far_ones(self):
        offers = [
            Offer('far', 0b11, 0, 2),
            Offer('near', 0b01, 9, 0),
            Offer('empty', 0, 0, 0),
        ]
        self.assertEqual([offers[1]], chunks.nearest(offers))
        self.assertEqual([offers[0]], chunks.nearest([offers[0], offers[2]]))
        self.assertEqual([], chunks.nearest([offers[2]]))


class ReaderGroupTest(unittest.TestCase):
    NAMES = tuple(f'a{number}' for number in range(12))

    def ranks(self, chunk: int) -> dict[str, int]:
        return {
            name: sources.reader_rank(
                sources.reader_group('d', name, self.NAMES), chunk
            )
            for name in self.NAMES
        }

    def test_all_agents_compute_the_same_order(self):
        for chunk in range(8):
            ranks = self.ranks(chunk)
            self.assertEqual(set(range(12)), set(ranks.values()))

    def test_reads_are_evenly_distributed(self):
        first = Counter(
            min(self.ranks(chunk), key=self.ranks(chunk).get)
            for chunk in range(120)
        )
        self.assertEqual(12, len(first))
        self.assertEqual(10, max(first.values()))

    def test_positions_are_kept_when_a_reader_is_unreachable(self):
        """Agents see different ones as gone, but read no chunk twice."""
        known = sources.reader_group('d', 'a3', self.NAMES)
        others = {name for name in self.NAMES if name != 'a3'}
        for chunk in range(12):
            rank = sources.reader_rank(known, chunk)
            one_gone = known._replace(unreachable=frozenset({'a5'}))
            self.assertIn(rank - sources.reader_rank(one_gone, chunk), (0, 1))
            alone = known._replace(unreachable=frozenset(others))
            self.assertEqual(0, sources.reader_rank(alone, chunk))

    def test_groups_follow_each_other(self):
        names = tuple(f'a{number}' for number in range(200))
        steps = Counter(
            sources.reader_group('d', name, names).group_index
            for name in names
        )
        self.assertEqual({0: 64, 1: 64, 2: 64, 3: 8}, steps)

    def test_first_reader_reads_at_once_and_the_next_waits(self):
        arrivals = ChunkArrivals(last=10.0, interval_s=0.0)
        times = [
            sources.earliest_read_at(rank, 0, 1, 10.0, arrivals)
            for rank in range(3)
        ]
        self.assertEqual([10.5, 11.5, 12.5], times)

    def test_more_copies_let_more_read_at_once(self):
        arrivals = ChunkArrivals(last=10.0, interval_s=0.0)
        times = [
            sources.earliest_read_at(rank, 0, 4, 10.0, arrivals)
            for rank in range(5)
        ]
        self.assertEqual([10.5] * 4 + [11.5], times)

    def test_second_group_reads_when_the_first_yields_nothing(self):
        # All readers of the first group are killed. The other agents must not
        # wait for 64 dead readers in sequence.
        arrivals = ChunkArrivals(last=10.0, interval_s=0.0)
        after = sources.earliest_read_at(0, 1, 1, 10.0, arrivals)
        self.assertEqual(17.5, after)

    def test_slow_store_causes_no_reads_by_other_agents(self):
        # The store sends a chunk every two seconds. If the other agents took
        # the readers for dead after a second, each would add to its load.
        arrivals = ChunkArrivals(last=0.0, interval_s=0.0)
        for now in (2.0, 4.0, 6.0):
            arrivals = sources.on_new_chunk(arrivals, now)
        due = sources.earliest_read_at(1, 0, 1, 0.0, arrivals)
        self.assertEqual(6.0 + sources.STALL_INTERVALS * 2.0, due)

    def test_fraction_of_a_copy(self):
        counts = [
            sources.readers_per_chunk(1.25, chunk) for chunk in range(100)
        ]
        self.assertEqual(125, sum(counts))
        self.assertEqual(1, sources.readers_per_chunk(0.1, 0))

    def test_backoff_is_bounded(self):
        rng = random.Random(1)
        waits = [sources.backoff_s(n, rng) for n in range(1, 40)]
        self.assertLessEqual(max(waits), sources.MAX_BACKOFF_S)
        self.assertGreaterEqual(min(waits), sources.MIN_BACKOFF_S / 2)


class PacingTest(unittest.TestCase):
    NAMES = tuple(f'a{number}' for number in range(10))

    def test_each_replica_has_its_own_predecessor(self):
        before = {
            name: pacing.predecessor('model/s/d', name, self.NAMES, 0.2)
            for name in self.NAMES
        }
        self.assertEqual(2, list(before.values()).count(None))
        watched = [name for name in before.values() if name]
        self.assertEqual(len(watched), len(set(watched)))

    def test_load_waits_until_the_predecessor_serves_or_is_gone(self):
        not_open = Predecessor(is_open=False, gone=False)
        cases = [
            (None, not_open, 0.0, True),
            ('a', not_open, 5.0, False),
            ('a', Predecessor(True, False), 5.0, True),
            ('a', Predecessor(False, True), 5.0, True),
            ('a', not_open, pacing.PREDECESSOR_TIMEOUT_S + 0.1, True),
        ]
        for watched, known, now, wanted in cases:
            with self.subTest(watched=watched, known=known, now=now):
                self.assertEqual(
                    wanted, pacing.may_load(watched, known, 0.0, now)
                )


class CopyRatesTest(unittest.TestCase):
    def test_rate_is_kept_over_time(self):
        bucket = copy_rates.Bucket(0.0, 0.0)
        sent = 0
        now = 0.0
        while now < 10.0:
            bucket = copy_rates.refill(bucket, 1000.0, now)
            if bucket.level > 0:
                bucket = copy_rates.take(bucket, 64)
                sent += 64
            now += max(0.001, copy_rates.wait_s(bucket, 1000.0))
        self.assertAlmostEqual(10_000, sent, delta=200)

    def test_idle_time_gives_no_burst_beyond_the_bucket(self):
        bucket = copy_rates.refill(copy_rates.Bucket(0.0, 0.0), 1000.0, 3600.0)
        self.assertEqual(1000.0 * copy_rates.BURST_S, bucket.level)

    def test_copies_yield_to_live_requests(self):
        # Answers to callers use half of the link. If a copy kept its rate,
        # each token would queue behind chunks.
        meter = copy_rates.Meter(0.0, 0.0)
        for step in range(100):
            meter = copy_rates.measure(meter, 50.0, step * 0.1)
        self.assertAlmostEqual(500.0, meter.rate, delta=60.0)
        self.assertAlmostEqual(
            400.0, copy_rates.max_copy_rate(1000.0, meter.rate), delta=60
        )
        later = copy_rates.measure(meter, 0.0, 20.0)
        self.assertAlmostEqual(
            900.0, copy_rates.max_copy_rate(1000.0, later.rate), delta=1
        )
