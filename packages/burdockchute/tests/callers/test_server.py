"""Tests of the server for callers' connections."""

from __future__ import annotations

import unittest

import gevent
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


if __name__ == '__main__':
    unittest.main()
