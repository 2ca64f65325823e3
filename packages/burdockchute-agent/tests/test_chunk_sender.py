"""Sending chunks over paced links."""

from __future__ import annotations

import unittest
from unittest import mock

from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.chunk_sender import ChunkSender
from burdockchute_agent.chunk_sender import MAX_PACED_QUEUE_BYTES
from burdockchute_agent.weights_metrics import WeightsMetrics

CHUNK_BYTES = 48 * 1024
CHUNKS = 4


class FakeLink:
    """Queues what is sent and writes nothing."""

    def __init__(self) -> None:
        self.queued_bytes = 0
        self.slow = False

    def is_slow(self, _now):
        return self.slow


class FakePeer:
    def __init__(self, name):
        self.name = name
        self.link = FakeLink()
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        self.link.queued_bytes += len(message.data)


class PacedServingTest(unittest.TestCase):
    def setUp(self):
        content = bytes(CHUNKS * CHUNK_BYTES)
        copy = Copy(manifests.build('d', content, CHUNK_BYTES))
        for index in range(CHUNKS):
            copy.add(index, bytes(CHUNK_BYTES))
        self.peers = {name: FakePeer(name) for name in ('a', 'b', 'c')}
        self.sender = ChunkSender(
            self.peers,
            lambda digest: copy,
            Bandwidth(1e6, 1e6, 0.0),
            mock.create_autospec(WeightsMetrics, instance=True),
            paced=True,
        )

    def request_chunks(self, name, *indexes):
        for index in indexes:
            request = messages.ChunkRequest('d', index)
            self.sender.handle_request(self.peers[name], request)

    def test_a_peer_that_reads_nothing_does_not_keep_the_agent_busy(self):
        """No immediate retry while the uplink has room but the queues don't.

        An agent that retried at once used a whole core.
        """
        self.request_chunks('a', 0, 1, 2)
        self.assertIsNone(self.sender.send_due(1.0))
        self.assertLess(len(self.peers['a'].sent), 3)
        self.assertIsNone(self.sender.send_due(1.1))

    def test_peers_behind_slow_links_do_not_block_others(self):
        for name in ('a', 'b'):
            self.peers[name].link.queued_bytes = MAX_PACED_QUEUE_BYTES
            self.peers[name].link.slow = True
        self.request_chunks('c', 0)
        self.sender.send_due(1.0)
        self.assertEqual([0], [chunk.index for chunk in self.peers['c'].sent])


if __name__ == '__main__':
    unittest.main()
