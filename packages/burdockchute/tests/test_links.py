"""Links between our own processes."""

from __future__ import annotations

import socket
import unittest
from unittest import mock

import gevent
from gevent import queue

from burdockchute.decisions import flow_control
from burdockchute.nodes import fragments
from burdockchute.nodes import links
from burdockchute.wire import messages

HELLO = messages.Hello('a', 'agent', 'z', 'r', 'i', -1, links.PROTOCOL)
HELLO_IN_FRAGMENTS = messages.Hello(
    'a', 'agent', 'z', 'r', 'i', -1, links.PROTOCOL, True
)


def no_offset() -> int:
    return -1


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hello = HELLO
        self.served: queue.Queue = queue.Queue()
        self.dialled: queue.Queue = queue.Queue()
        self.listening = links.listen(
            '127.0.0.1', 0, lambda: self.hello, self.served, no_offset
        )
        self.addCleanup(self.listening.stop)
        self.port = self.listening.server_port

    def dial(self) -> links.Link:
        link = links.dial(
            '127.0.0.1', self.port, HELLO, self.dialled, no_offset
        )
        self.addCleanup(link.close, 'test ends')
        return link

    def dial_in_fragments(self, pace) -> links.Link:
        self.hello = HELLO_IN_FRAGMENTS
        link = self.dial()
        link.pace(pace)
        return link

    def test_messages_arrive_in_order(self):
        link = self.dial()
        for number in range(50):
            link.send(messages.AnswerPart('r', number, b'x' * number * 1000))
        self.assertIsInstance(self.served.get(timeout=2), links.Opened)
        seen = [self.served.get(timeout=2).message for _ in range(50)]
        self.assertEqual(list(range(50)), [part.sequence for part in seen])

    def test_small_messages_pass_between_the_fragments_of_a_large_one(self):
        """News and requests for chunks would wait behind a chunk of 50 KB."""
        link = self.dial_in_fragments(pace=lambda size: 0.0)
        large = messages.Chunk('d', 0, b'x' * 50_000, '', 0)
        link.send(large)
        link.send(messages.Cancel('r'))
        self.assertIsInstance(self.served.get(timeout=2), links.Opened)
        seen = [self.served.get(timeout=2).message for _ in range(2)]
        self.assertEqual([messages.Cancel('r'), large], seen)
        self.assertTrue(link.flush(2))
        self.assertEqual(0, link.queued_bytes)

    def test_few_fragments_are_out_before_a_link_that_narrows(self):
        """Requests to an engine stand behind all that was sent before."""
        listening = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listening.close)
        taken: queue.Queue = queue.Queue()

        def serve():
            conn, _address = listening.accept()
            taken.put(conn)
            conn.sendall(links.encode_frame(HELLO_IN_FRAGMENTS))

        gevent.spawn(serve)
        port = listening.getsockname()[1]
        link = links.dial(
            '127.0.0.1', port, HELLO_IN_FRAGMENTS, self.dialled, no_offset
        )
        self.addCleanup(link.close, 'test ends')
        link.pace(lambda size: 0.0)
        link.send(messages.Chunk('d', 0, bytes(50_000), '', 0))
        self.assertFalse(link.flush(0.2))
        out = 50_000 - link.queued_bytes
        self.assertLessEqual(
            out,
            flow_control.WINDOW_FRAGMENTS * fragments.FRAGMENT_BYTES,
            'bytes under way',
        )
        # The other side goes on only once a fragment was acknowledged.
        conn = taken.get(timeout=2)
        conn.sendall(links.encode_frame(messages.FragmentTaken()))
        self.assertFalse(link.flush(1.0))
        self.assertEqual(
            fragments.FRAGMENT_BYTES, 50_000 - link.queued_bytes - out
        )

    def test_a_peer_that_takes_no_fragments_gets_the_whole_message(self):
        """It runs the version before, during an upgrade."""
        link = self.dial()
        link.pace(lambda size: 0.0)
        large = messages.Chunk('d', 0, b'x' * 50_000, '', 0)
        link.send(large)
        self.assertIsInstance(self.served.get(timeout=2), links.Opened)
        self.assertEqual(large, self.served.get(timeout=2).message)

    def test_link_that_goes_silent_is_closed(self):
        # Something between the two ends forgets the connection: no bytes
        # and no error arrive any more. Without heartbeats a caller would
        # wait on it for ever.
        with mock.patch.object(links, 'SILENCE_TIMEOUT_S', 0.2):
            mute = socket.create_connection(('127.0.0.1', self.port))
            self.addCleanup(mute.close)
            mute.sendall(links.encode_frame(HELLO))
            self.assertIsInstance(self.served.get(timeout=2), links.Opened)
            closed = self.served.get(timeout=2)
        self.assertEqual('silent', closed.reason)

    def test_garbage_closes_the_link(self):
        # A process of another kind connects to our port.
        link = self.dial()
        self.assertIsInstance(self.served.get(timeout=2), links.Opened)
        link._sock.sendall(b'\x00\x00\x00\x03GET')
        self.assertIn('not a message', self.served.get(timeout=2).reason)

    def test_second_listener_on_an_address_is_refused(self):
        # Two agents are started for one instance by mistake. If both ran,
        # each would give the upstream its own orders.
        with self.assertRaises(links.LinkError) as caught:
            links.listen(
                '127.0.0.1', self.port, lambda: HELLO, self.served, no_offset
            )
        self.assertEqual(
            f'127.0.0.1:{self.port} is in use', str(caught.exception)
        )
