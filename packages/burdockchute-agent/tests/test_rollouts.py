"""Rollouts of weights to several agents, with faults of all parties.

Agents run in this process, with stand-ins for the store and the engines on
real sockets.
"""

from __future__ import annotations

import unittest

import gevent

from burdockchute.model.members import Place
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import ModelRow
from burdockchute.weights import manifest as manifests
from burdockchute_testing import fake_weights
from burdockchute_testing.fakes import fleet as fleets
from burdockchute_testing.fakes.fleet import CHUNK
from burdockchute_testing.fakes.fleet import FakePeer
from burdockchute_testing.fakes.relay import Relay


def story(digest: str, **columns) -> ModelRow:
    return ModelRow('story', 'v', digest, **columns)


class RolloutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleets.Fleet(self)

    def start(self, count: int, **options) -> None:
        for number in range(count):
            place = Place(f'z{number % 3}', f'r{number % 2}', 'main')
            self.fleet.add(f'a{number}', place=place, **options)
        self.fleet.send_members()

    def test_new_version_reaches_all_with_one_copy_from_the_origin(self):
        self.start(6)
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2)
        for digest in (first, second):
            self.fleet.set_rows(story(digest))
            self.fleet.wait_open(digest)
            self.assertEqual(1.0, self.fleet.origin_copies(digest))

    def test_late_joiner_reads_nothing_from_the_origin(self):
        # An instance is replaced hours after the rollout. If it read the
        # store, 1,800 restarts a day would cost 1,800 copies over a link that
        # is paid by volume.
        self.start(3)
        digest = self.fleet.publish()
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        late = self.fleet.add('late')
        self.fleet.send_members()
        self.fleet.send_table(late)
        self.fleet.wait_open(digest)
        self.assertEqual(1.0, self.fleet.origin_copies(digest))

    def test_versions_changed_back_and_forth(self):
        # An operator reverts a version while it is being copied, and then
        # applies it again. Every instance must end with the last version and
        # free the memory of the other one.
        self.start(3)
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2, chunks=64)
        self.fleet.set_rows(story(first))
        self.fleet.wait_open(first)
        for digest in (second, first, second, first):
            self.fleet.set_rows(story(digest))
            gevent.sleep(0.1)
        self.fleet.wait_open(first)
        for agent in self.fleet.agents.values():
            self.fleet.wait_loaded(agent, {first})
            self.fleet.wait_held_bytes(agent, 16 * CHUNK - 5)

    def test_version_replaced_during_its_copy_frees_its_memory(self):
        # The row names another version while megabytes of the previous one
        # are held. If they were kept, they would add up with each change.
        self.start(2, link=100_000.0)
        first = self.fleet.publish(seed=1, chunks=200)
        self.fleet.set_rows(story(first))
        agents = list(self.fleet.agents.values())
        self.fleet.wait(lambda: agents[0].task.held_bytes() > 20 * CHUNK)
        second = self.fleet.publish(seed=2, chunks=2)
        self.fleet.set_rows(story(second))
        self.fleet.wait_open(second)
        for agent in agents:
            self.assertEqual(2 * CHUNK - 5, agent.task.held_bytes())
        self.assertLess(self.fleet.origin_copies(first), 1.0)

    def test_removed_row_frees_everything(self):
        self.start(2)
        digest = self.fleet.publish()
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        self.fleet.set_rows()
        for agent in self.fleet.agents.values():
            self.fleet.wait_loaded(agent, set())
            self.assertEqual(set(), agent.open_digests())
            self.assertEqual(0, agent.task.held_bytes())

    def test_request_in_flight_delays_a_switch_without_spare_memory(self):
        # The engine has memory for one version, and a request is in flight
        # when the row names the next one. The request must be finished by the
        # weights that started it.
        self.start(1, engine_options={'memory_models': 1})
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2)
        self.fleet.set_rows(story(first))
        self.fleet.wait_open(first)
        agent = self.fleet.agents['a0']
        self.assertIsNone(agent.task.gate.enter('story', first, ''))
        self.fleet.set_rows(story(second))
        self.fleet.wait(lambda: agent.open_digests() == set())
        # Long enough for an order to be sent and executed.
        gevent.sleep(2.5)
        self.assertEqual({first}, agent.loaded())
        agent.task.gate.leave('story', first, '')
        self.fleet.wait_open(second)
        self.assertEqual({second}, agent.loaded())

    def test_version_that_no_engine_can_load_keeps_the_previous_one(self):
        """A version is published whose load fails on every engine.

        Engines have memory for both versions. Agents used to unload the
        serving version after two failures, so that no engine served the model.
        """
        self.start(2)
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2)
        self.fleet.set_rows(story(first))
        self.fleet.wait_open(first)
        for agent in self.fleet.agents.values():
            agent.set_faults(fail_orders=True)
        self.fleet.set_rows(story(second))
        # Long enough for three orders with growing retry delays.
        gevent.sleep(8.0)
        for agent in self.fleet.agents.values():
            self.assertEqual({first}, agent.open_digests())
            agent.set_faults()
        self.fleet.wait_open(second)

    def test_adapter_opens_with_its_base(self):
        self.start(2)
        base = self.fleet.publish(seed=1)
        rhymes = self.fleet.publish(seed=3, chunks=2, name='rhymes')
        self.fleet.set_rows(
            story(base), AdapterRow('rhymes', 'v', rhymes, 'story')
        )
        for agent in self.fleet.agents.values():
            self.fleet.wait_open_digests(agent, {base, rhymes})
            gate = agent.task.gate
            self.assertIsNone(gate.enter('rhymes', base, rhymes))

    def test_replicas_switch_one_at_a_time(self):
        # A replica without memory for two versions doesn't serve while it
        # loads. If all three loaded at once, none would serve.
        options = {'memory_models': 1, 'load_s': 0.4}
        self.start(3, engine_options=options)
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2)
        self.fleet.set_rows(story(first))
        self.fleet.wait_open(first)
        self.fleet.set_rows(story(second, loading_share=0.34))
        agents = self.fleet.agents.values()
        fewest = len(agents)
        while not all(agent.open_digests() == {second} for agent in agents):
            serving = sum(1 for agent in agents if agent.open_digests())
            fewest = min(fewest, serving)
            gevent.sleep(0.02)
        self.assertEqual(2, fewest)


class CorruptionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleets.Fleet(self)

    def fake_peer(self, digest: str, answer) -> FakePeer:
        weights = self.fleet.store._weights[digest]
        document = fake_weights.manifest_of(weights)
        peer = FakePeer(
            self,
            'bad',
            digest,
            len(document['chunks']),
            answer,
            manifests.serialize_manifest(
                manifests.build(
                    weights.name,
                    fake_weights.read(weights, 0, weights.size),
                    weights.chunk_size,
                )
            ),
        )
        self.fleet.extra_members.append(peer.member)
        return peer

    def test_origin_sends_corrupt_chunks(self):
        # The store's reply is corrupted in transit. The agent must read the
        # chunk again and never serve the corrupt one.
        self.fleet.set_faults(corrupt=0.5, seed=3)
        self.fleet.add('a0')
        digest = self.fleet.publish()
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        self.assertGreater(self.fleet.origin_copies(digest), 1.0)

    def test_peer_that_always_corrupts_is_banned(self):
        # A peer with faulty memory claims to hold all chunks, and each chunk
        # that it sends is corrupt. If the agent kept requesting from it, the
        # copy would never complete.
        digest = self.fleet.publish()
        peer = self.fake_peer(digest, lambda index: b'x' * CHUNK)
        self.fleet.add('a0')
        self.fleet.send_members()
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        self.assertLessEqual(len(peer.requested_chunks), 4)

    def test_stalled_peer_near_the_end_of_a_copy(self):
        # A link stalls after most chunks were received over it; it stays open
        # and no request is refused. A copy that waited for its last chunks
        # would be delayed until the link recovers.
        digest = self.fleet.publish()
        weights = self.fleet.store._weights[digest]
        sent: list[int] = []

        def answer(index: int) -> bytes | None:
            if len(sent) >= 13:
                return None
            sent.append(index)
            start = index * CHUNK
            return fake_weights.read(weights, start, start + CHUNK)

        self.fake_peer(digest, answer)
        self.fleet.add('a0')
        self.fleet.send_members()
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        self.assertEqual(13, len(sent))


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleets.Fleet(self)
        for number in range(3):
            self.fleet.add(f'a{number}')
        self.fleet.send_members()

    def test_recovered_store_is_not_overloaded(self):
        # The store fails in the middle of a copy. When it is back, every
        # agent has waited long enough to read it; if all of them did, the
        # store would have to send one copy to each.
        digest = self.fleet.publish(chunks=64)
        self.fleet.set_faults(bytes_per_s=100_000)
        self.fleet.set_rows(story(digest))
        agents = self.fleet.agents.values()
        self.fleet.wait(
            lambda: all(agent.task.held_bytes() > 0 for agent in agents)
        )
        self.fleet.set_faults(outage=True, bytes_per_s=100_000)
        gevent.sleep(4.0)
        self.fleet.set_faults(bytes_per_s=100_000)
        self.fleet.wait_open(digest)
        self.assertLessEqual(self.fleet.origin_copies(digest), 1.25)

    def test_store_is_down_when_a_version_is_named(self):
        digest = self.fleet.publish()
        self.fleet.set_faults(outage=True)
        self.fleet.set_rows(story(digest))
        gevent.sleep(1.0)
        self.fleet.set_faults()
        self.fleet.wait_open(digest)
        self.assertLessEqual(self.fleet.origin_copies(digest), 1.5)

    def test_slow_store(self):
        digest = self.fleet.publish(chunks=4)
        self.fleet.set_faults(slow_s=0.5)
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)
        self.assertEqual(1.0, self.fleet.origin_copies(digest))

    def test_lost_replies_of_the_store(self):
        # The store has sent and counted the bytes, but the reply is lost.
        digest = self.fleet.publish()
        self.fleet.set_faults(lose_replies=0.5, seed=5)
        self.fleet.set_rows(story(digest))
        self.fleet.wait_open(digest)


class CutOffRegionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = fleets.Fleet(self)
        port = int(self.fleet.store_url.rpartition(':')[2])
        self.relays: list[Relay] = []
        store_port = self.relay_to(port)
        store_url = f'http://127.0.0.1:{store_port}'
        for number in range(2):
            self.fleet.add(f'near{number}', place=Place('z1', 'r1', 'main'))
            self.fleet.add(
                f'far{number}',
                place=Place('z9', 'r9', 'main'),
                store_url=store_url,
            )
        ports = {}
        for name, agent in self.fleet.agents.items():
            ports[name] = self.relay_to(agent.member.port)
        self.fleet.send_members(ports)

    def relay_to(self, port: int) -> int:
        relay = Relay(port)
        self.addCleanup(relay.close)
        self.relays.append(relay)
        return relay.port

    def test_region_is_cut_off_during_a_copy(self):
        # A region is cut off from the others and the store while a version is
        # applied; its instances keep serving the previous one. Once connected
        # again it must copy from the other regions, not from the origin.
        first = self.fleet.publish(seed=1)
        second = self.fleet.publish(seed=2)
        self.fleet.set_rows(story(first))
        self.fleet.wait_open(first)
        for relay in self.relays:
            relay.cut()
        self.fleet.set_rows(story(second))
        self.fleet.wait_open(second, 'near0', 'near1')
        for name in ('far0', 'far1'):
            self.assertEqual({first}, self.fleet.agents[name].open_digests())
        for relay in self.relays:
            relay.restore()
        self.fleet.wait_open(second, 'far0', 'far1')
        self.assertLess(self.fleet.origin_copies(second), 1.3)
