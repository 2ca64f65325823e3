"""Links between our own processes."""

from __future__ import annotations

import hashlib
import socket
import unittest
from unittest import mock

import gevent
from gevent import queue
from gevent import server

from burdockchute.decisions import flow_control
from burdockchute.nodes import fragments
from burdockchute.nodes import links
from burdockchute.wire import messages

HELLO = messages.Hello('a', 'agent', 'z', 'r', 'i', -1, links.PROTOCOL)
HELLO_WITH_FRAGMENTS = messages.Hello(
    'a', 'agent', 'z', 'r', 'i', -1, links.PROTOCOL, True
)


def no_offset() -> int:
    return -1


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hello = HELLO
        self.server_inbox: queue.Queue = queue.Queue()
        self.client_inbox: queue.Queue = queue.Queue()
        self.listener = links.listen(
            '127.0.0.1', 0, lambda: self.hello, self.server_inbox, no_offset
        )
        self.addCleanup(self.listener.stop)
        self.port = self.listener.server_port

    def dial(self) -> links.Link:
        link = links.dial(
            '127.0.0.1', self.port, HELLO, self.client_inbox, no_offset
        )
        self.addCleanup(link.close, 'test ends')
        return link

    def dial_with_fragments(self, pace) -> links.Link:
        self.hello = HELLO_WITH_FRAGMENTS
        link = self.dial()
        link.pace(pace)
        return link

    def test_hello_that_trickles_is_not_waited_for(self):
        """Each byte began the time limit anew, and no link was opened."""

        def trickle(sock, _address):
            sock.sendall((1000).to_bytes(4, 'big'))
            try:
                while True:
                    sock.sendall(b'\0')
                    gevent.sleep(0.1)
            except OSError:
                sock.close()

        listener = server.StreamServer(('127.0.0.1', 0), trickle)
        listener.start()
        self.addCleanup(listener.stop, 0.1)
        self.port = listener.server_port
        with mock.patch.object(links, 'SILENCE_TIMEOUT_S', 0.5):
            with gevent.Timeout(2.0):
                self.assertRaises(links.LinkError, self.dial)

    def test_a_link_that_can_not_be_read_or_written_is_closed(self):
        """Its owner kept a link on which nothing arrived any more."""
        for name in ('_dispatch', '_next_write'):
            with self.subTest(name):
                with mock.patch.object(
                    links.Link, name, autospec=True, side_effect=MemoryError
                ):
                    link = self.dial()
                    self.server_inbox.get(timeout=2)
                    link.send(messages.Cancel('r'))
                    found = self.server_inbox.get(timeout=2)
                self.assertIsInstance(found, links.Closed)

    def test_addresses_that_can_not_be_looked_up_are_no_link(self):
        """A name and a port raised no network error, and ended the dial."""
        for address, port in (('a..b', 80), ('127.0.0.1', 65536)):
            with self.assertRaises(links.LinkError):
                links.dial(address, port, HELLO, self.client_inbox, no_offset)

    def test_a_dial_without_threads_is_no_link(self):
        with mock.patch.object(
            gevent.socket,
            'getaddrinfo',
            autospec=True,
            side_effect=RuntimeError("can't start new thread"),
        ):
            self.assertRaises(links.LinkError, self.dial)

    def test_messages_arrive_in_order(self):
        link = self.dial()
        for number in range(50):
            link.send(messages.AnswerPart('r', number, b'x' * number * 1000))
        self.assertIsInstance(self.server_inbox.get(timeout=2), links.Opened)
        received = [
            self.server_inbox.get(timeout=2).message for _ in range(50)
        ]
        self.assertEqual(list(range(50)), [part.sequence for part in received])

    def test_small_messages_pass_between_the_fragments_of_a_large_one(self):
        """Otherwise small messages would wait behind a chunk of 50 KB."""
        link = self.dial_with_fragments(pace=lambda size: 0.0)
        large = messages.Chunk('d', 0, b'x' * 50_000, '', 0)
        link.send(large)
        link.send(messages.Cancel('r'))
        self.assertIsInstance(self.server_inbox.get(timeout=2), links.Opened)
        received = [self.server_inbox.get(timeout=2).message for _ in range(2)]
        self.assertEqual([messages.Cancel('r'), large], received)
        self.assertTrue(link.flush(2))
        self.assertEqual(0, link.queued_bytes)

    def test_few_fragments_are_out_before_a_link_that_narrows(self):
        """Requests to an engine queue behind everything sent before them.

        The link stops transferring, as when its bandwidth drops.
        """
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        accepted: queue.Queue = queue.Queue()

        def serve():
            conn, _address = listener.accept()
            accepted.put(conn)
            conn.sendall(links.encode_frame(HELLO_WITH_FRAGMENTS))

        gevent.spawn(serve)
        port = listener.getsockname()[1]
        link = links.dial(
            '127.0.0.1',
            port,
            HELLO_WITH_FRAGMENTS,
            self.client_inbox,
            no_offset,
        )
        self.addCleanup(link.close, 'test ends')
        link.pace(lambda size: 0.0)
        link.send(messages.Chunk('d', 0, bytes(50_000), '', 0))
        self.assertFalse(link.flush(0.2))
        in_flight = 50_000 - link.queued_bytes
        self.assertLessEqual(
            in_flight,
            flow_control.WINDOW_FRAGMENTS * fragments.FRAGMENT_BYTES,
            'bytes in flight',
        )
        # The next fragment is sent only after an acknowledgement.
        conn = accepted.get(timeout=2)
        conn.sendall(links.encode_frame(messages.FragmentTaken()))
        self.assertFalse(link.flush(1.0))
        self.assertEqual(
            fragments.FRAGMENT_BYTES, 50_000 - link.queued_bytes - in_flight
        )

    def test_a_peer_that_takes_no_fragments_gets_the_whole_message(self):
        """During an upgrade, the peer runs the previous release."""
        link = self.dial()
        link.pace(lambda size: 0.0)
        large = messages.Chunk('d', 0, b'x' * 50_000, '', 0)
        link.send(large)
        self.assertIsInstance(self.server_inbox.get(timeout=2), links.Opened)
        self.assertEqual(large, self.server_inbox.get(timeout=2).message)

    def test_link_that_goes_silent_is_closed(self):
        # Something between the two ends has lost the connection's state:
        # neither bytes nor an error arrive. Without heartbeats a caller
        # would wait on the link for ever.
        with mock.patch.object(links, 'SILENCE_TIMEOUT_S', 0.2):
            silent = socket.create_connection(('127.0.0.1', self.port))
            self.addCleanup(silent.close)
            silent.sendall(links.encode_frame(HELLO))
            self.assertIsInstance(
                self.server_inbox.get(timeout=2), links.Opened
            )
            closed = self.server_inbox.get(timeout=2)
        self.assertEqual('silent', closed.reason)

    def connect_raw(self) -> socket.socket:
        sock = socket.create_connection(('127.0.0.1', self.port))
        self.addCleanup(sock.close)
        sock.sendall(links.encode_frame(HELLO))
        return sock

    def test_link_whose_peer_reads_nothing_is_closed(self):
        """The peer still sends, but what it is sent stays in the buffers."""
        with mock.patch.object(links, 'SILENCE_TIMEOUT_S', 0.3):
            sock = self.connect_raw()
            link = self.server_inbox.get(timeout=2).link
            for _frame in range(20):
                link.send(messages.Chunk('d', 0, bytes(1_000_000), '', 0))
            heartbeat = links.encode_frame(messages.Heartbeat(1, 0))
            for _number in range(20):
                if not self.server_inbox.empty():
                    break
                sock.sendall(heartbeat)
                gevent.sleep(0.1)
            self.assertEqual('timed out', self.server_inbox.get().reason)

    def test_messages_beyond_the_buffers_arrive_in_order(self):
        """The peer pauses; the first messages fill the socket's buffers.

        The rest of a message that was written in part comes before others.
        """
        sock = self.connect_raw()
        link = self.server_inbox.get(timeout=2).link
        frames = []
        for number in range(150):
            part = messages.AnswerPart('r', number, b'x' * 100_000)
            frames.append(links.encode_frame(part))
            link.send(part)
        self.assertGreater(link.queued_bytes, 0, 'buffers took everything')
        sock.settimeout(2)
        expected = links.encode_frame(HELLO) + b''.join(frames)
        received = bytearray()
        while len(received) < len(expected):
            received += sock.recv(1_000_000)
        self.assertEqual(
            hashlib.sha256(expected).digest(),
            hashlib.sha256(received).digest(),
        )
        self.assertTrue(link.flush(1))

    def test_garbage_closes_the_link(self):
        # A process that speaks another protocol connects to the port.
        link = self.dial()
        self.assertIsInstance(self.server_inbox.get(timeout=2), links.Opened)
        link._sock.sendall(b'\x00\x00\x00\x03GET')
        self.assertIn('not a message', self.server_inbox.get(timeout=2).reason)

    def test_second_listener_on_an_address_is_refused(self):
        # Two agents are started for one instance by mistake. If both ran,
        # each would send its own load orders to the upstream.
        with self.assertRaises(links.LinkError) as caught:
            links.listen(
                '127.0.0.1',
                self.port,
                lambda: HELLO,
                self.server_inbox,
                no_offset,
            )
        self.assertEqual(
            f'127.0.0.1:{self.port} is in use', str(caught.exception)
        )
