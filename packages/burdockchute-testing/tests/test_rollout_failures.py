"""Real processes that fail while weights are distributed.

Callers send requests continuously. Whatever fails, each answer must come
completely from one version that the table has named, and the copy must
resume as soon as the fault allows.
"""

from __future__ import annotations

import functools
import unittest

import gevent

from burdockchute_testing import client
from burdockchute_testing import harness
from burdockchute_testing.traffic import Traffic

WEIGHTS_BYTES = 512 * 1024
CHUNK_BYTES = 16 * 1024
# A copy takes two seconds, so that a fault can be injected half way.
LINK_BYTES_PER_S = 256 * 1024


class RolloutCase(unittest.TestCase):
    engine_options: dict[str, object] = {}

    def setUp(self) -> None:
        self.system = harness.System()
        self.addCleanup(self.system.close)
        self.system.add_platform(store={'bytes_per_s': 2 * LINK_BYTES_PER_S})
        self.system.add_entry('e1')
        self.system.wait_ready('e1')
        self.traffic = Traffic(self.system, 'e1', 'story')
        self.traffic.add_customer()
        self.digests: list[str] = []

    def start(self, count: int) -> None:
        for number in range(count):
            self.add(f'a{number}', f'm{number}')
        self.save(1)
        self.wait_open(self.digests[0], *self.system.agents)
        self.traffic.start()

    def add(self, agent: str, engine: str) -> None:
        if engine not in self.system.processes:
            self.system.add_engine(engine, **self.engine_options)
        self.system.add_agent(
            agent,
            engine,
            uplink_bytes_per_s=LINK_BYTES_PER_S,
            downlink_bytes_per_s=LINK_BYTES_PER_S,
        )

    def save(self, seed: int) -> str:
        digest = self.system.publish('story', WEIGHTS_BYTES, CHUNK_BYTES, seed)
        self.digests.append(digest)
        self.system.set_row(
            'model', 'story', version=f'v{seed}', digest=digest
        )
        return digest

    def wait_open(self, digest: str, *agents: str) -> None:
        for agent in agents:
            harness.wait_until(
                functools.partial(self.is_open, digest, agent),
                f'{digest[:8]} is open at {agent}',
            )

    def is_open(self, digest: str, agent: str) -> bool:
        return self.system.open_digests(agent) == {digest}

    def chunks_held(self, agent: str, digest: str) -> int:
        return sum(
            state['chunks_held']
            for state in self.system.status(agent)['weights']
            if state['digest'] == digest
        )

    def wait_half_way(self, digest: str, agent: str) -> None:
        half = WEIGHTS_BYTES // CHUNK_BYTES // 2
        harness.wait_until(
            lambda: self.chunks_held(agent, digest) >= half, 'half a copy'
        )

    def copies_read(self, digest: str) -> float:
        stats = client.get(f'{self.system.url("store")}/stats').json()
        return stats['by_digest'].get(digest, 0) / WEIGHTS_BYTES

    def finish_and_check(self) -> None:
        self.traffic.stop()
        self.assertGreater(self.traffic.answered(), 10)
        self.assertEqual([], self.traffic.findings(*self.digests))


class KilledAgentsTest(RolloutCase):
    def test_half_of_the_agents_die_in_mid_copy(self):
        # A rack loses its power while a version is being copied. The other
        # agents, and an instance that replaces a dead one, must still get the
        # version, and read only those chunks from the origin that had not yet
        # reached them.
        self.start(4)
        digest = self.save(2)
        self.wait_half_way(digest, 'a0')
        for name in ('a2', 'a3'):
            self.system[name].kill()
            self.system.unlist_instance(name)
        self.add('a4', 'm4')
        self.wait_open(digest, 'a0', 'a1', 'a4')
        self.assertLess(self.copies_read(digest), 1.6)
        self.finish_and_check()

    def test_all_but_one_reader_of_the_origin_die(self):
        # All agents but one that read the origin are killed. The remaining
        # one misses chunks that no other agent has.
        self.start(4)
        digest = self.save(2)
        self.wait_half_way(digest, 'a0')
        for name in ('a1', 'a2', 'a3'):
            self.system[name].kill()
        self.wait_open(digest, 'a0')
        self.finish_and_check()


class PausedAgentTest(RolloutCase):
    def test_agent_paused_across_a_switch(self):
        # An agent is paused while the row names the next version and the one
        # after it; when it resumes, it still has the first version as the
        # current one.
        self.start(3)
        self.system['a0'].pause()
        self.addCleanup(self.system['a0'].resume)
        second = self.save(2)
        self.wait_open(second, 'a1', 'a2')
        third = self.save(3)
        self.wait_open(third, 'a1', 'a2')
        self.system['a0'].resume()
        self.wait_open(third, 'a0')
        before = len(self.traffic.calls)
        harness.wait_until(
            lambda: len(self.traffic.calls) > before + 10, 'more calls'
        )
        self.finish_and_check()


class SecondAgentTest(RolloutCase):
    """Two agents for one instance, one of them paused before an order."""

    def replace_paused_agent(self) -> None:
        # An agent hangs while it copies, and the platform starts another one
        # for the same engine. The first resumes later, with an order pending
        # that is outdated.
        self.start(2)
        second = self.save(2)
        self.wait_half_way(second, 'a0')
        self.system['a0'].pause()
        self.addCleanup(self.system['a0'].resume)
        self.system.unlist_instance('a0')
        self.add('b0', 'm0')
        third = self.save(3)
        self.wait_open(third, 'a1', 'b0')
        self.system['a0'].resume()
        harness.wait_until(
            lambda: 'event=superseded' in self.system['a0'].log(),
            'the first agent finds that it was replaced',
        )
        gevent.sleep(1.0)
        self.wait_open(third, 'a1', 'b0')
        before = len(self.traffic.calls)
        harness.wait_until(
            lambda: len(self.traffic.calls) > before + 10, 'more calls'
        )
        self.assertEqual(set(), self.system.open_digests('a0'))
        self.finish_and_check()


class CheckingEngineTest(SecondAgentTest):
    def test_engine_that_checks_numbers(self):
        self.replace_paused_agent()
        self.assertEqual({self.digests[-1]}, self.system.engine_digests('m0'))


class IgnoringEngineTest(SecondAgentTest):
    engine_options = {'ignores_fencing': True}

    def test_engine_that_ignores_numbers(self):
        self.replace_paused_agent()
