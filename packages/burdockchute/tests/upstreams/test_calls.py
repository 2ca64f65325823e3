"""Calls to upstreams: sent at most once, with failures told apart."""

from __future__ import annotations

import socket
import unittest

import gevent
from gevent import server
from returns.result import Failure

from burdockchute.upstreams import calls
from burdockchute.upstreams.orders import EngineClient
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.origin import Origin

STALL_S = 0.3
LIMIT_S = 2.0


class CallsTest(unittest.TestCase):
    def serve(self, answer: bytes) -> str:
        self.received_heads: list[bytes] = []

        def handle(sock: socket.socket, _address: object) -> None:
            self.received_heads.append(sock.recv(65536))
            sock.sendall(answer)

        listening = server.StreamServer(('127.0.0.1', 0), handle)
        listening.start()
        self.addCleanup(listening.stop)
        return f'http://127.0.0.1:{listening.server_port}'

    def send(self, url: str, method: str = 'POST') -> calls.Reply:
        reply = calls.send(url, method, '/x', b'{}', {}, STALL_S)
        self.addCleanup(reply.close)
        return reply

    def test_interrupted_call_is_not_resent(self):
        # A service runs a PUT that is marked as non-idempotent, and crashes
        # before it answers. The HTTP library treats every PUT as idempotent
        # and would resend it, so that it would run twice.
        for method in ('PUT', 'DELETE', 'GET', 'POST'):
            with self.subTest(method):
                url = self.serve(b'')
                with self.assertRaises(calls.AnswerFailed) as caught:
                    self.send(url, method)
                self.assertTrue(caught.exception.crashed)
                self.assertEqual(1, len(self.received_heads))

    def test_refused_connection_is_certainly_not_run(self):
        # The upstream's process has ended and its port is closed. Nothing was
        # sent, so the caller may be told that the request was not run.
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            port = unused.getsockname()[1]
        with self.assertRaises(calls.NotConnected):
            self.send(f'http://127.0.0.1:{port}')

    def test_reads_the_rest_that_an_upstream_asks_for(self):
        for status, text, rest_s in (
            (503, '1.5', 1.5),
            (503, 'soon', None),
            (503, '-1', None),
            (200, '2', None),
        ):
            with self.subTest(status=status, text=text):
                head = (
                    f'HTTP/1.1 {status} X\r\nRetry-After: {text}\r\n'
                    'Content-Length: 0\r\n\r\n'
                )
                reply = self.send(self.serve(head.encode()))
                self.assertEqual(rest_s, reply.rest_s)

    def serve_without_end(self, head: bytes, piece: bytes) -> str:
        def handle(sock: socket.socket, _address: object) -> None:
            sock.recv(65536)
            sock.sendall(head)
            try:
                while True:
                    sock.sendall(piece)
            except OSError:
                sock.close()

        listening = server.StreamServer(('127.0.0.1', 0), handle)
        listening.start()
        self.addCleanup(listening.stop, 0.1)
        return f'http://127.0.0.1:{listening.server_port}'

    def test_head_without_end_fails(self):
        """Its lines filled the memory of the agent."""
        url = self.serve_without_end(
            b'HTTP/1.1 200 OK\r\n', b'More: of it\r\n' * 1000
        )
        with gevent.Timeout(LIMIT_S):
            with self.assertRaises(calls.AnswerFailed) as caught:
                self.send(url)
        self.assertFalse(caught.exception.crashed)

    def test_event_without_end_fails(self):
        """It filled the memory of the agent."""
        url = self.serve_without_end(
            b'HTTP/1.1 200 OK\r\n\r\ndata: a\n\n', b'x' * 65536
        )
        with gevent.Timeout(LIMIT_S):
            found = calls.events(self.send(url))
            self.assertEqual('a', next(found))
            with self.assertRaises(calls.AnswerFailed) as caught:
                next(found)
        self.assertFalse(caught.exception.crashed)

    def test_lines_of_an_event_without_end_fail(self):
        """They filled the memory of the agent."""
        url = self.serve_without_end(
            b'HTTP/1.1 200 OK\r\n\r\n', b'data: more of it\n' * 1000
        )
        with gevent.Timeout(LIMIT_S):
            with self.assertRaises(calls.AnswerFailed):
                next(calls.events(self.send(url)))

    def test_state_of_an_engine_without_end_fails(self):
        """It filled the memory of the agent."""
        url = self.serve_without_end(b'HTTP/1.1 200 OK\r\n\r\n', b' ' * 65536)
        client = EngineClient(url)
        self.addCleanup(client.close)
        with gevent.Timeout(LIMIT_S):
            self.assertIsInstance(client.state(), Failure)

    def test_chunk_of_weights_without_end_fails(self):
        """It filled the memory of the agent."""
        url = self.serve_without_end(b'HTTP/1.1 206 X\r\n\r\n', b'x' * 65536)
        origin = Origin(url)
        self.addCleanup(origin.close)
        manifest = Manifest('d', 'm', 100, 100, ('c',), 'sha256')
        with gevent.Timeout(LIMIT_S):
            self.assertIsInstance(origin.chunk(manifest, 0), Failure)

    def test_short_body_fails(self):
        # The upstream crashes in the middle of its answer. If the part that
        # arrived were forwarded, the caller would take it for complete.
        reply = self.send(
            self.serve(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
        )
        with self.assertRaises(calls.AnswerFailed):
            calls.read_body(reply, 100)

    def test_stream_that_ends_inside_an_event_fails(self):
        # The upstream crashes before the end of its second event. The library
        # returns what has arrived of it as an event.
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        for partial in (b'data: b\n', b'data: b', b'id'):
            with self.subTest(partial=partial):
                reply = self.send(self.serve(head + b'data: a\n\n' + partial))
                found = calls.events(reply)
                self.assertEqual('a', next(found))
                with self.assertRaises(calls.AnswerFailed) as caught:
                    next(found)
                self.assertTrue(caught.exception.crashed)

    def test_body_without_length_of_an_upstream_that_is_gone_fails(self):
        # The upstream crashes within an answer that ends with its connection.
        def crash(sock: socket.socket, _address: object) -> None:
            sock.recv(65536)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\nhalf')
            listening.close()

        listening = server.StreamServer(('127.0.0.1', 0), crash)
        listening.start()
        reply = self.send(f'http://127.0.0.1:{listening.server_port}')
        with self.assertRaises(calls.AnswerFailed) as caught:
            calls.read_body(reply, 100)
        self.assertTrue(caught.exception.crashed)

    def test_answer_without_a_body_ends_with_its_headers(self):
        # Its upstream need not accept another connection.
        reply = self.send(self.serve(b'HTTP/1.1 204 No Content\r\n\r\n'))
        gone = reply._replace(is_upstream_gone=lambda: True)
        self.assertEqual(b'', calls.read_body(gone, 100))

    def test_silence_fails_without_a_crash(self):
        # The upstream stops sending and keeps the connection open.
        held: list[socket.socket] = []
        listening = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listening.close)
        self.addCleanup(lambda: [sock.close() for sock in held])
        url = f'http://127.0.0.1:{listening.getsockname()[1]}'
        with self.assertRaises(calls.AnswerFailed) as caught:
            self.send(url)
        self.assertFalse(caught.exception.crashed)

    def test_events_are_returned_one_by_one(self):
        reply = self.send(
            self.serve(
                b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n'
                b'data: {"a":1}\n\ndata: [DONE]\n\n '
            )
        )
        self.assertEqual(['{"a":1}', '[DONE]'], list(calls.events(reply)))
