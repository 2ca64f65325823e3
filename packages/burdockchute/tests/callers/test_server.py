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

    def read_all(self, conn):
        """Read up to the end; a reset connection is an error."""
        received = b''
        while data := conn.recv(4096):
            received += data
        return received

    def test_answers_can_be_read_while_the_request_is_being_sent(self):
        """A request is refused before its body was read.

        The connection was closed with unread bytes, so the system reset it,
        and the caller lost the answer that said why.
        """
        head = b'POST /a HTTP/1.1\r\nHost: h\r\n'
        cases = {
            'long body': head + b'Content-Length: 900000\r\n\r\n',
            'chunks': head + b'Transfer-Encoding: chunked\r\n\r\n40000\r\n',
            'refused head': b'POST /a HTTP/9.9\r\nHost: h\r\n\r\n',
        }
        for name, request in cases.items():
            with self.subTest(name):
                conn = self.new_connection()
                conn.sendall(request)
                for _part in range(20):
                    gevent.sleep(0.01)
                    conn.sendall(bytes(10_000))
                self.assertRegex(self.read_all(conn), b'^HTTP/1.1 [45]0')

    def test_requests_behind_a_closed_connection_keep_the_answer_whole(self):
        """Pipelined requests follow an answer that closes the connection.

        They are unread, so the system reset it, and the caller lost the
        answers before them.
        """
        conn = self.new_connection()
        last = REQUEST.replace(b'Host', b'Connection: close\r\nHost')
        conn.sendall(REQUEST + last + REQUEST * 2000)
        gevent.sleep(0.3)
        self.assertEqual(2, self.read_all(conn).count(b' 503 '))

    def test_callers_that_never_close_are_closed(self):
        conn = self.new_connection()
        conn.sendall(REQUEST.replace(b'Host', b'Connection: close\r\nHost'))
        gevent.sleep(server.LINGER_SILENCE_S + 0.5)
        self.assertEqual(set(), self.server.connections)


if __name__ == '__main__':
    unittest.main()
