"""Links between our own processes."""

from __future__ import annotations

import socket
import unittest
from unittest import mock

from gevent import queue

from burdockchute.nodes import links
from burdockchute.wire import messages

HELLO = messages.Hello('a', 'agent', 'z', 'r', 'i', -1, links.PROTOCOL)


def no_offset() -> int:
    return -1


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.served: queue.Queue = queue.Queue()
        self.dialled: queue.Queue = queue.Queue()
        self.listening = links.listen(
            '127.0.0.1', 0, lambda: HELLO, self.served, no_offset
        )
        self.addCleanup(self.listening.stop)
        self.port = self.listening.server_port

    def dial(self) -> links.Link:
        link = links.dial(
            '127.0.0.1', self.port, HELLO, self.dialled, no_offset
        )
        self.addCleanup(link.close, 'test ends')
        return link

    def test_messages_arrive_in_order(self):
        link = self.dial()
        for number in range(50):
            link.send(messages.AnswerPart('r', number, b'x' * number * 1000))
        self.assertIsInstance(self.served.get(timeout=2), links.Opened)
        seen = [self.served.get(timeout=2).message for _ in range(50)]
        self.assertEqual(list(range(50)), [part.sequence for part in seen])

    def test_link_that_goes_silent_is_closed(self):
        # Something between the two ends forgets the connection: no bytes
        # and no error arrive any more. Without heartbeats a caller would
        # wait on it for ever.
        with mock.patch.object(links, 'SILENCE_S', 0.2):
            mute = socket.create_connection(('127.0.0.1', self.port))
            self.addCleanup(mute.close)
            mute.sendall(links.frame_of(HELLO))
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
