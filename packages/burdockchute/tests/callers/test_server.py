"""Tests of the server for callers' connections."""

from __future__ import annotations

import time
import unittest

import gevent
from gevent import monkey
from gevent import socket

from burdockchute.callers import server

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


def refuse(_environ, start_response):
    start_response('503 Leaving', [('Content-Length', '0')])
    return [b'']


class CallersServerTest(unittest.TestCase):
    def setUp(self):
        self.server = server.make_server('127.0.0.1', 0, refuse)
        self.server.start()
        self.addCleanup(self.server.stop)

    def kept_connection(self):
        """Return a connection on which one request was answered."""
        conn = socket.create_connection(
            ('127.0.0.1', self.server.server_port), 2
        )
        self.addCleanup(conn.close)
        conn.sendall(REQUEST)
        self.assertIn(b' 503 ', conn.recv(4096))
        return conn

    def test_idle_connections_are_closed_before_the_process_exits(self):
        """A process takes 0.25 s to exit after its last answer.

        A request that came on a kept connection meanwhile was closed without
        an answer only then. One that has come before is answered.
        """
        idle, late = self.kept_connection(), self.kept_connection()
        gevent.sleep(0.05)
        late.sendall(REQUEST)
        self.server.close()
        self.server.close_idle()
        self.assertEqual(b'', idle.recv(4096))
        self.assertIn(b' 503 ', late.recv(4096))
        self.assertEqual(b'', late.recv(4096))
        self.assertEqual(set(), self.server.idle)

    def new_connection(self):
        """Return a connection that the server has not accepted yet."""
        # A socket that does not let the event loop run.
        conn = monkey.get_original('socket', 'socket')()
        self.addCleanup(conn.close)
        conn.connect(('127.0.0.1', self.server.server_port))
        conn.settimeout(2)
        return conn

    def test_connections_that_are_not_accepted_yet_are_answered(self):
        """A busy process ends before it has accepted a connection.

        The system reset it, and its request was closed without an answer.
        """
        conn = self.new_connection()
        conn.sendall(REQUEST)
        self.server.finish()
        self.assertIn(b' 503 ', conn.recv(4096))

    def test_first_request_of_an_accepted_connection_is_answered(self):
        """A process ends between the accept and the request of a connection.

        It was closed without an answer as the process exited.
        """
        conn = self.new_connection()
        gevent.spawn_later(0.05, conn.sendall, REQUEST)
        self.server.finish()
        self.assertIn(b' 503 ', conn.recv(4096))

    def test_connections_without_a_request_do_not_delay_the_exit(self):
        conn = self.new_connection()
        started = time.monotonic()
        self.server.finish()
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(b'', conn.recv(4096))

    def test_idle_connections_are_closed_at_once(self):
        kept = self.kept_connection()
        gevent.sleep(0.05)
        started = time.monotonic()
        self.server.finish()
        self.assertLess(time.monotonic() - started, server.FINISH_S / 2)
        self.assertEqual(b'', kept.recv(4096))


if __name__ == '__main__':
    unittest.main()
