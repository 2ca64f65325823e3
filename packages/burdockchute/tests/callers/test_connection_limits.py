"""Tests of the limits that the connections of a listener share."""

from __future__ import annotations

import unittest
from unittest import mock

import gevent
from gevent import event
from gevent import socket

from burdockchute import http_admin
from burdockchute.callers import environment
from burdockchute.callers import handler
from burdockchute.callers import http
from burdockchute.callers import parse
from burdockchute.callers import server
from burdockchute.callers.open_work import Stage
from burdockchute.decisions import connection_limits
from burdockchute.decisions.connection_limits import ConnectionLimits
from burdockchute.decisions.connection_limits import RequestLimits

MOST = 4
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
UPLOAD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
REFUSED = b'HTTP/1.1 503 Service Unavailable\r\n'


def receive_buffer(environ):
    """Return the limit of what the system receives for a request."""
    return environ[environment.SOCKET_KEY].getsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF
    )


class ConnectionLimitsTest(unittest.TestCase):
    def setUp(self):
        self.is_done = event.Event()
        self.start(ConnectionLimits(MOST, 1 << 20), RequestLimits())

    def start(self, limits, request_limits):
        self.server = server.make_server(
            '127.0.0.1', 0, self.app, limits, lambda: request_limits
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def app(self, environ, start_response):
        body = http.read_body(environ, http.Limits())
        if isinstance(body, parse.Rejection):
            start_response(f'{body.status} No', [('Content-Length', '0')])
            return [b'']
        if environ['PATH_INFO'] == '/wait':
            self.is_done.wait(10)
        start_response('200 OK', [('Content-Length', '0')])
        return [b'']

    def connect(self, data=b'', receive_bytes=None):
        conn = socket.socket()
        self.addCleanup(conn.close)
        conn.settimeout(5)
        if receive_bytes is not None:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        conn.connect(('127.0.0.1', self.server.server_port))
        conn.sendall(data)
        gevent.sleep(0.02)
        return conn

    def assert_served(self, conn):
        conn.sendall(REQUEST)
        self.assertIn(b' 200 ', conn.recv(4096))

    def test_all_are_served_at_the_limit(self):
        conns = [self.connect() for _number in range(MOST)]
        for _request in range(2):
            for conn in conns:
                self.assert_served(conn)
        self.assertEqual({}, dict(self.server.refusals.counts))

    def test_what_makes_room_beyond_the_limit(self):
        """Idle connections took all descriptors, and nobody got in."""
        for name, begun, answer in (
            ('unused', b'', b''),
            ('heads', REQUEST[:9], REFUSED),
            ('bodies', UPLOAD + b'ab', b'HTTP/1.1 503 No\r\n'),
        ):
            with self.subTest(name):
                first, *others = [self.connect(begun) for _n in range(MOST)]
                new = self.connect()
                self.assert_served(new)
                self.assertEqual(answer, first.recv(4096)[: len(answer)])
                self.assertIn(f'crowded_{name}', self.server.refusals.counts)
                for conn in (*others, new):
                    conn.close()
                gevent.sleep(0.05)

    def test_idle_connections_make_room_after_unused_ones(self):
        idle = [self.connect(REQUEST) for _number in range(MOST - 1)]
        unused = self.connect()
        self.assert_served(self.connect())
        self.assertEqual(b'', unused.recv(4096))
        self.assert_served(self.connect())
        self.assertIn(b' 200 ', idle[0].recv(4096))
        self.assertEqual(b'', idle[0].recv(4096))

    def test_running_requests_stay(self):
        """A request that was passed on has its answer."""
        running = [
            self.connect(REQUEST.replace(b'/a', b'/wait'))
            for _number in range(MOST)
        ]
        refused = self.connect().recv(4096)
        self.assertIn(REFUSED, refused)
        self.assertIn(b'Retry-After: 1.00\r\n', refused)
        self.is_done.set()
        for conn in running:
            self.assertIn(b' 200 ', conn.recv(4096))

    def test_answers_that_are_not_read_make_room(self):
        """Pipelines whose answers nobody read took all places for 30 s."""
        server.limit_send_buffers(self.server)
        with mock.patch.object(server, 'STALLED_S', 0.05):
            for _number in range(MOST):
                conn = self.connect(receive_bytes=4096)
                conn.setblocking(False)
                conn.send(REQUEST * 10_000)
            with gevent.Timeout(10):
                while self.server.work.count(Stage.ANSWER) < MOST:
                    gevent.sleep(0.1)
            gevent.sleep(0.1)
            self.assert_served(self.connect())

    def test_heads_share_a_limit(self):
        """The oldest head makes room, and what was held is given up."""
        self.start(ConnectionLimits(100, 2000), RequestLimits(1500))
        part = b'GET /a HTTP/1.1\r\nX: ' + b'x' * 980
        first, second = self.connect(part), self.connect(part)
        self.assertEqual(2000, self.server.held_bytes)
        second.sendall(b'y')
        self.assertIn(REFUSED, first.recv(4096))
        second.sendall(b'\r\n\r\n')
        self.assertIn(b' 200 ', second.recv(4096))
        self.assertEqual(0, self.server.held_bytes)

    def test_idle_connections_are_kept_for_longer_than_a_write(self):
        """The time limit of a write closed them, too, after 30 s."""
        with mock.patch.object(handler, 'WRITE_TIMEOUT_S', 0.1):
            conn = self.connect(REQUEST)
            self.assertIn(b' 200 ', conn.recv(4096))
            gevent.sleep(0.5)
            self.assert_served(conn)

    def test_the_system_receives_no_more_than_a_body_is_counted_with(self):
        """Each small body in chunks had a buffer of 256 KiB."""
        buffers = []

        def app(environ, start_response):
            body = environ['wsgi.input']
            while body.read(1):
                buffers.append(receive_buffer(environ))
                body.read(70_000)
            buffers.append(receive_buffer(environ))
            start_response('200 OK', [('Content-Length', '0')])
            return [b'']

        self.app = app
        self.start(ConnectionLimits(100, 1 << 20), RequestLimits())
        least = 2 * connection_limits.RECEIVE_BUFFER_BYTES
        most = 2 * connection_limits.BODY_BUFFER_BYTES
        for framing, size, first in (
            (b'Content-Length: %d', 4, least),
            (b'Content-Length: %d', 100_000, 100_000),
            (b'Content-Length: %d', 1_000_000, most),
            (b'Transfer-Encoding: chunked', 300_000, least),
        ):
            with self.subTest(framing, size=size):
                buffers.clear()
                body = b'b' * size
                if b'%d' in framing:
                    framing %= size
                else:
                    body = b'%x\r\n%b\r\n0\r\n\r\n' % (size, body)
                head = UPLOAD.replace(b'Content-Length: 4', framing)
                self.assertIn(b' 200 ', self.connect(head + body).recv(4096))
                self.assertEqual(first, buffers[0])
                self.assertLessEqual(max(buffers), most)
                self.assertEqual(least, buffers[-1])

    def test_the_system_holds_few_bytes_of_unread_answers(self):
        """Answers on the own path and of metrics had megabytes each."""
        admin = http_admin.make_server('127.0.0.1', 0, self.app)
        admin.start()
        self.addCleanup(admin.stop)
        self.assertEqual(
            2 * server.SEND_BUFFER_BYTES,
            admin.socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF),
        )

    def test_time_limits(self):
        """A head without end and a connection without requests are closed."""
        self.start(
            ConnectionLimits(100, 1 << 20),
            RequestLimits(head_timeout_s=0.5, idle_timeout_s=1.0),
        )
        kept, closed = self.connect(REQUEST), self.connect(REQUEST)
        slow = self.connect(REQUEST[:9])
        self.assertIn(b' 408 ', slow.recv(4096))
        for conn in (kept, closed):
            self.assertIn(b' 200 ', conn.recv(4096))
        gevent.sleep(0.2)
        self.assert_served(kept)
        self.assertEqual(b'', closed.recv(4096))
        self.assert_served(kept)


if __name__ == '__main__':
    unittest.main()
