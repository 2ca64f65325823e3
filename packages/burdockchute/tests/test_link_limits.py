"""Tests of what peers and strangers can make the listener for links hold."""

from __future__ import annotations

from itertools import pairwise
import unittest

import gevent
from gevent import queue
from gevent import socket

from burdockchute.decisions.connection_limits import LinkLimits
from burdockchute.nodes import links
from burdockchute.nodes.link_server import UnfinishedMessages
from burdockchute.wire import messages

MOST = 4
HELLO = links.encode_frame(
    messages.Hello('x', 'entry', 'n', 'n', 'i', 0, links.PROTOCOL)
)
PROBE = links.encode_frame(messages.LinkProbe())


class LinkLimitsTest(unittest.TestCase):
    def setUp(self):
        self.inbox = queue.Queue()
        self.server = links.make_server(
            '127.0.0.1',
            0,
            lambda: messages.Hello(name='own', protocol=links.PROTOCOL),
            self.inbox,
            lambda: 0,
            LinkLimits(links=MOST, unopened=MOST - 1),
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self, data=b''):
        conn = socket.create_connection(
            ('127.0.0.1', self.server.server_port), 2
        )
        self.addCleanup(conn.close)
        conn.sendall(data)
        gevent.sleep(0.02)
        return conn

    def is_open(self, conn):
        conn.settimeout(0.05)
        try:
            while conn.recv(4096):
                pass
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    def test_links_at_the_limit_and_beyond(self):
        """Connections to the port took all descriptors of an agent."""
        conns = [self.connect(HELLO) for _number in range(MOST)]
        self.assertTrue(all(map(self.is_open, conns)))
        self.assertFalse(self.is_open(self.connect(HELLO)))
        self.assertTrue(all(map(self.is_open, conns)))
        self.assertEqual(MOST, self.server.connections)

    def test_connections_without_a_hello_make_room(self):
        unopened = [self.connect() for _number in range(MOST - 1)]
        self.assertTrue(all(map(self.is_open, unopened)))
        opened = self.connect(HELLO)
        self.assertTrue(self.is_open(opened))
        self.assertEqual(
            [False, True, True], [self.is_open(conn) for conn in unopened]
        )

    def test_a_flood_of_messages_lets_other_tasks_run(self):
        """All that a link had received was read in one turn."""
        conn = self.connect(HELLO)
        queued = [self.inbox.qsize()]

        def count_queued():
            while True:
                queued.append(self.inbox.qsize())
                gevent.sleep(0)

        self.addCleanup(gevent.spawn(count_queued).kill)
        sent = conn._sock.send(PROBE * 4000) // len(PROBE)
        self.assertGreater(sent, links.TURN_MESSAGES)
        with gevent.Timeout(10):
            while queued[-1] < sent:
                gevent.sleep(0.001)
        in_a_turn = [after - before for before, after in pairwise(queued)]
        self.assertLessEqual(max(in_a_turn), links.TURN_MESSAGES)

    def test_nothing_follows_the_end_of_a_link(self):
        """A link was closed while its task let others run."""
        conn = self.connect(HELLO)
        link = self.inbox.get(timeout=2).link
        events = []

        def close_at_first_message():
            events.append(self.inbox.get())
            link.close('test')
            while True:
                events.append(self.inbox.get())

        self.addCleanup(gevent.spawn(close_at_first_message).kill)
        conn._sock.send(PROBE * links.TURN_MESSAGES * 4)
        link.wait_closed()
        gevent.sleep(0.02)
        self.assertIsInstance(events[-1], links.Closed)

    def test_unfinished_messages_at_the_limit_and_beyond(self):
        """Each of many links held most of a message of 16 MB."""
        closed = []
        unfinished = UnfinishedMessages(closed.append, most=100)
        unfinished.set('a', 60)
        unfinished.set('b', 40)
        self.assertEqual([], closed)
        unfinished.set('b', 41)
        self.assertEqual(['a'], closed)
        unfinished.set('b', 0)
        self.assertEqual(0, unfinished.total)


if __name__ == '__main__':
    unittest.main()
