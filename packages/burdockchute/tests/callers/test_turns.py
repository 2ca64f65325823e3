"""No client keeps the other tasks of a process from running."""

from __future__ import annotations

import collections
import unittest

import gevent
from gevent import monkey

from burdockchute.callers import http
from burdockchute.callers import request_reader
from burdockchute.callers import server

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
SMALL_CHUNKS = b'1\r\nc\r\n' * 50_000


class TurnsTest(unittest.TestCase):
    """Counts the turns of another task while bytes are received."""

    def setUp(self):
        self.turns = 0
        # Calls of the application in each turn of the other task.
        self.calls = collections.Counter()
        self.turns_of_body = 0
        self.server = server.make_server('127.0.0.1', 0, self.app)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.addCleanup(gevent.spawn(self.count_turns).kill)

    def count_turns(self):
        while True:
            self.turns += 1
            gevent.sleep(0)

    def app(self, environ, start_response):
        self.calls[self.turns] += 1
        begun = self.turns
        http.read_body(environ, http.Limits(max_body_bytes=1 << 20))
        self.turns_of_body = self.turns - begun
        start_response('503 No', [('Content-Length', '0')])
        return [b'']

    def send(self, data):
        """Send what the system takes at once, before any task runs."""
        conn = monkey.get_original('socket', 'socket')()
        self.addCleanup(conn.close)
        conn.connect(('127.0.0.1', self.server.server_port))
        conn.setblocking(False)
        self.assertEqual(len(data), conn.send(data))
        return conn

    def wait(self, condition):
        with gevent.Timeout(10):
            while not condition():
                gevent.sleep(0.001)

    def test_requests_in_a_row(self):
        """Requests that had been received were answered in one turn."""
        self.send(REQUEST * 500)
        self.wait(lambda: self.calls.total() == 500)
        self.assertLessEqual(
            max(self.calls.values()), request_reader.TURN_REQUESTS
        )

    def test_chunks_of_one_byte(self):
        """A body that had been received was read in one turn."""
        self.send(CHUNKED + SMALL_CHUNKS + b'0\r\n\r\n')
        self.wait(lambda: self.turns_of_body)
        self.assertGreaterEqual(
            self.turns_of_body, len(SMALL_CHUNKS) // request_reader.TURN_BYTES
        )


if __name__ == '__main__':
    unittest.main()
