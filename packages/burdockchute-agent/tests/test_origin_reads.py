"""The reuse and closing of connections to the origin of weights."""

from __future__ import annotations

import unittest

import gevent
from returns.result import Failure
from returns.result import Success

from burdockchute.weights import manifest as manifests
from burdockchute.weights.origin import OriginError
from burdockchute_agent.origin_reads import IDLE_CLIENT_S
from burdockchute_agent.origin_reads import OriginReads

MANIFEST = manifests.build('story', b'abcdefgh', 2)


class CappedOrigin:
    """Accepts two connections at once and resets each further one."""

    CAP = 2

    def __init__(self) -> None:
        self.open: set[FakeClient] = set()

    def connect(self):
        return FakeClient(self)


class FakeClient:
    """Connects with its first read and keeps that connection."""

    def __init__(self, origin) -> None:
        self.bytes_read = 0
        self._origin = origin

    def chunk(self, manifest, index):
        origin = self._origin
        if self not in origin.open and len(origin.open) >= origin.CAP:
            return Failure(OriginError('connection closed'))
        origin.open.add(self)
        return Success(b'ab')

    def close(self):
        self._origin.open.discard(self)


class OriginReadsTest(unittest.TestCase):
    def setUp(self):
        self.origin = CappedOrigin()

    def reads(self):
        results = []
        return OriginReads(self.origin.connect, results.append), results

    def read(self, reads, index=0):
        reads.read_chunk(MANIFEST, index)
        gevent.sleep(0)

    def test_agents_that_have_read_close_their_connections(self):
        """Idle connections must not block agents that read later.

        An origin accepts fewer connections than there are agents. If each
        agent kept its connections after a chunk or two, later readers would
        be refused, and the chunks that only they read would reach no agent.
        """
        early = [self.reads()[0] for _agent in range(2)]
        for reads in early:
            self.read(reads)
        late, results = self.reads()
        self.read(late)
        self.assertIsInstance(results[0].outcome, OriginError)
        for reads in early:
            reads.close_idle(reads.last_used + IDLE_CLIENT_S + 0.01)
        self.read(late, 1)
        self.assertEqual(b'ab', results[1].outcome)

    def test_consecutive_reads_share_a_connection(self):
        reads, results = self.reads()
        for index in range(4):
            self.read(reads, index)
            reads.close_idle(reads.last_used + IDLE_CLIENT_S - 0.01)
        self.assertEqual([b'ab'] * 4, [read.outcome for read in results])
        self.assertEqual(1, len(self.origin.open))


if __name__ == '__main__':
    unittest.main()
