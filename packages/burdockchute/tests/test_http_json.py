"""HTTP requests for JSON."""

from __future__ import annotations

import unittest

from gevent import server
from returns.result import Failure

from burdockchute.platform import http_json


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

        breaking = server.StreamServer(('127.0.0.1', 0), break_off)
        breaking.start()
        self.addCleanup(breaking.stop, 0.1)
        client = http_json.make_client(
            f'http://127.0.0.1:{breaking.server_port}', 2, with_retries=False
        )
        result = http_json.fetch(client, 'GET', '/x', b'', 2.0)
        self.assertIsInstance(result, Failure)
        self.assertEqual(1, len(connections))


if __name__ == '__main__':
    unittest.main()
