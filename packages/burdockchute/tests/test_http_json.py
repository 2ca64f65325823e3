"""HTTP requests for JSON."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import gevent
from gevent import server
from returns.result import Failure

from burdockchute.platform import http_json

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
TIMEOUT_S = 5.0


class HttpJsonTest(unittest.TestCase):
    def test_a_call_whose_connection_breaks_is_made_once(self):
        """A store resets every connection for several seconds.

        The HTTP library retries by itself. Each process would make four calls
        instead of one, to a store that is already failing and whose operators
        pay for each call.
        """
        connections = []

        def break_off(sock, _address):
            connections.append(sock.recv(4096))
            sock.close()

        result = http_json.fetch(
            self.client(break_off, with_retries=False), 'GET', '/x', b'', 2.0
        )
        self.assertIsInstance(result, Failure)
        self.assertEqual(1, len(connections))

    def test_a_call_without_threads_is_not_sent(self):
        """The task that read the store ended, and with it the process."""
        client = self.client(lambda sock, address: None)
        with mock.patch.object(
            gevent.socket,
            'getaddrinfo',
            autospec=True,
            side_effect=RuntimeError("can't start new thread"),
        ):
            result = http_json.fetch(client, 'GET', '/x', b'', TIMEOUT_S)
        self.assertIsInstance(result.failure(), http_json.NotSent)

    def client(self, serve, **more):
        serving = server.StreamServer(('127.0.0.1', 0), serve)
        serving.start()
        self.addCleanup(serving.stop, 0.1)
        url = f'http://127.0.0.1:{serving.server_port}'
        return http_json.make_client(url, 2, **more)

    def assert_endless_reply_fails(self, head, piece, **more):
        """Check that a reply fails and is not read to its time limit."""
        received = []

        def serve(sock, _address):
            received.append(sock.recv(4096))
            sock.sendall(head)
            try:
                while True:
                    sock.sendall(piece)
            except OSError:
                sock.close()

        started = time.monotonic()
        client = self.client(serve)
        result = http_json.fetch(client, 'GET', '/x', b'', TIMEOUT_S, **more)
        self.assertIsInstance(result, Failure)
        self.assertLess(time.monotonic() - started, TIMEOUT_S)
        self.assertEqual(1, len(received))

    def test_head_without_end_fails(self):
        """Its lines filled the memory until the time limit."""
        head = b'HTTP/1.1 200 OK\r\n'
        self.assert_endless_reply_fails(head, b'More: of it\r\n' * 1000)

    def test_informational_replies_without_end_fail(self):
        self.assert_endless_reply_fails(b'', b'HTTP/1.1 100 X\r\n\r\n' * 500)

    def test_body_without_end_fails(self):
        """The body filled the memory until the time limit."""
        self.assert_endless_reply_fails(HEAD, b'x' * 65536)

    def test_body_without_end_that_is_read_in_parts_fails(self):
        """Each part was in time, so nothing limited the body."""
        self.assert_endless_reply_fails(
            HEAD, b'x' * 65536, part_timeout_s=TIMEOUT_S
        )

    def test_long_body_is_read(self):
        """A configuration may have several MB."""

        def serve(sock, _address):
            sock.recv(4096)
            sock.sendall(HEAD)
            sock.sendall(b'x' * 4_000_000)
            sock.close()

        result = http_json.fetch(
            self.client(serve), 'GET', '/x', b'', 5.0, part_timeout_s=5.0
        )
        self.assertEqual(4_000_000, len(result.unwrap().body))


if __name__ == '__main__':
    unittest.main()
