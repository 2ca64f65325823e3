"""Complete and failed answers on persistent connections."""

from __future__ import annotations

from collections.abc import Callable
import unittest

import gevent
from gevent import server
from gevent import socket

from burdockchute.model.upstreams import Endpoint
from burdockchute.upstreams import connections
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.connections import NoDataYet
from burdockchute.upstreams.connections import NotConnected

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def is_answer_to(name: str) -> Callable:
    def check(status, headers):
        return dict(headers).get('X-Id', name) == name

    return check


class ConnectionsTest(unittest.TestCase):
    def connect(self, *answers):
        """Connect to a server that sends these answers, one per request."""

        def serve(sock, _address):
            for answer in answers:
                if not sock.recv(1000):
                    return
                for part in answer:
                    sock.sendall(part)
                    gevent.sleep(0.01)

        serving = server.StreamServer(('127.0.0.1', 0), serve)
        serving.start()
        self.addCleanup(serving.stop)
        conn = connections.connect(Endpoint('127.0.0.1', serving.server_port))
        self.addCleanup(conn.close)
        return conn

    def exchange(self, conn, name='1'):
        conn.send(REQUEST, 'GET', is_answer_to(name))
        status, _headers = conn.read_head()
        body = b''
        while data := conn.read_body_part():
            body += data
        return status, body

    def test_two_requests_on_one_connection(self):
        conn = self.connect([ANSWER % b'1'], [ANSWER % b'2'])
        self.assertEqual((200, b'ok'), self.exchange(conn, '1'))
        self.assertTrue(conn.is_reusable)
        self.assertEqual((200, b'ok'), self.exchange(conn, '2'))

    def test_parts_are_returned_as_they_arrive(self):
        conn = self.connect([CHUNKED, b'1\r\na\r\n', b'1\r\nb\r\n0\r\n\r\n'])
        conn.send(REQUEST, 'GET', is_answer_to('1'))
        conn.read_head()
        self.assertEqual(
            [b'a', b'b', b''],
            [
                conn.read_body_part(),
                conn.read_body_part(),
                conn.read_body_part(),
            ],
        )

    def test_incomplete_answer_fails(self):
        for sent in (
            [],
            [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc'],
            [CHUNKED, b'5\r\nab'],
        ):
            with self.subTest(sent=sent):
                conn = self.connect(sent)
                with self.assertRaises(AnswerFailed) as caught:
                    self.exchange(conn)
                self.assertTrue(caught.exception.closed_by_upstream)

    def test_invalid_answer_fails(self):
        conn = self.connect([b'hello there\r\n\r\n'])
        with self.assertRaises(AnswerFailed) as caught:
            self.exchange(conn)
        self.assertFalse(caught.exception.closed_by_upstream)

    def test_an_answer_without_length_ends_with_its_connection(self):
        conn = self.connect([b'HTTP/1.1 200 OK\r\n\r\nab', b'cd'])
        self.assertEqual((200, b'abcd'), self.exchange(conn))
        self.assertFalse(conn.is_reusable)

    def test_answer_without_length_that_is_reset_fails(self):
        """A server crashes within an answer that ends with its connection.

        Only the reset distinguishes it from a complete one.
        """

        def serve(sock, _address):
            sock.recv(1000)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nab')
            gevent.sleep(0.02)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
            sock.close()

        serving = server.StreamServer(('127.0.0.1', 0), serve)
        serving.start()
        self.addCleanup(serving.stop)
        conn = connections.connect(Endpoint('127.0.0.1', serving.server_port))
        with self.assertRaises(AnswerFailed):
            self.exchange(conn)

    def test_extra_bytes_prevent_reuse(self):
        for extra in (b'x', ANSWER % b'1'):
            with self.subTest(extra=extra):
                conn = self.connect([ANSWER % b'1' + extra])
                self.assertEqual((200, b'ok'), self.exchange(conn))
                self.assertFalse(conn.is_reusable)

    def test_answer_to_another_request_is_skipped(self):
        for parts in (
            [ANSWER % b'0', ANSWER % b'1'],
            [ANSWER % b'0' + ANSWER % b'1'],
        ):
            with self.subTest(parts=parts):
                conn = self.connect(parts)
                self.assertEqual((200, b'ok'), self.exchange(conn, '1'))
                self.assertTrue(conn.is_reusable)

    def test_only_an_answer_to_another_request_fails(self):
        conn = self.connect([ANSWER % b'0'])
        with self.assertRaises(AnswerFailed):
            self.exchange(conn, '1')

    def test_interim_answers_are_skipped(self):
        conn = self.connect([b'HTTP/1.1 100 Continue\r\n\r\n' + ANSWER % b'1'])
        self.assertEqual((200, b'ok'), self.exchange(conn))

    def test_wait_can_be_continued(self):
        conn = self.connect([ANSWER % b'1'])
        conn._sock.settimeout(0.001)
        conn.send(REQUEST, 'GET', is_answer_to('1'))
        waits = 0
        while True:
            try:
                self.assertEqual(200, conn.read_head()[0])
                break
            except NoDataYet:
                waits += 1
        self.assertLess(waits, 1000)

    def test_a_closed_connection_is_not_quiet(self):
        conn = self.connect([ANSWER % b'1'])
        self.exchange(conn)
        gevent.sleep(0.05)
        self.assertFalse(conn.is_quiet())

    def test_connection_is_refused(self):
        sock = socket.socket()
        sock.bind(('127.0.0.1', 0))
        self.addCleanup(sock.close)
        with self.assertRaises(NotConnected):
            connections.connect(Endpoint(*sock.getsockname()))
