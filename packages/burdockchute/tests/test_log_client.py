"""The clients of the log service and instance list, against a server."""

from __future__ import annotations

import json
import unittest

import gevent
from gevent import pywsgi
from gevent import server

from burdockchute.platform import instances
from burdockchute.platform import log


class LogClientTest(unittest.TestCase):
    def serve(self, status: str, body: object, *headers: tuple) -> str:
        def answer(environ, start_response):
            self.received_requests.append(
                (
                    environ['REQUEST_METHOD'],
                    environ['PATH_INFO'],
                    environ['QUERY_STRING'],
                    environ['wsgi.input'].read().decode(),
                )
            )
            start_response(status, list(headers))
            return [json.dumps(body).encode()]

        self.received_requests: list[tuple] = []
        serving = pywsgi.WSGIServer(('127.0.0.1', 0), answer, log=None)
        serving.start()
        self.addCleanup(serving.stop)
        return f'http://127.0.0.1:{serving.server_port}'

    def client(self, url: str, timeout_s: float = 5) -> log.LogClient:
        client = log.LogClient(url, timeout_s)
        self.addCleanup(client.close)
        return client

    def test_append(self):
        client = self.client(self.serve('200 OK', {'offset': 17}))
        self.assertEqual(17, client.append('table', 'ä').unwrap())
        self.assertEqual(
            [('POST', '/streams/table', '', 'ä')], self.received_requests
        )

    def test_read(self):
        body = {'records': [{'offset': 4, 'data': 'x'}], 'next': 5}
        client = self.client(self.serve('200 OK', body))
        self.assertEqual(
            log.Batch((log.LogRecord(4, 'x'),), 5),
            client.read('table', 3, 10, 1.5).unwrap(),
        )
        self.assertEqual(
            [('GET', '/streams/table', 'from=3&max=10&wait_ms=1500', '')],
            self.received_requests,
        )

    def test_extent(self):
        url = self.serve('200 OK', {'earliest': 3, 'next': 9})
        self.assertEqual(
            log.Extent(3, 9), self.client(url).extent('table').unwrap()
        )

    def test_answers_that_are_errors(self):
        for status, body, append_error, read_error in (
            (
                '410 Gone',
                {'earliest': 8},
                log.Trimmed(8),
                log.Trimmed(8),
            ),
            (
                '503 Service Unavailable',
                {},
                log.Unavailable('status 503'),
                log.Unavailable('status 503'),
            ),
            (
                '500 Error',
                {},
                log.Unsure('status 500'),
                log.Unavailable('status 500'),
            ),
            (
                '200 OK',
                [],
                log.Unsure('status 200'),
                log.Unavailable('an answer that is no batch'),
            ),
            ('413 Long', {}, log.Refused(413), log.Refused(413)),
        ):
            client = self.client(self.serve(status, body))
            with self.subTest(status):
                self.assertEqual(
                    append_error, client.append('table', 'x').failure()
                )
                self.assertEqual(
                    read_error, client.read('table', 0, 1, 0).failure()
                )

    def test_rate_limit_has_retry_after(self):
        url = self.serve('429 Slow', {}, ('Retry-After', '0.5'))
        self.assertEqual(
            log.RateLimited(0.5),
            self.client(url).append('table', 'x').failure(),
        )

    def test_append_without_a_connection_is_unavailable(self):
        refusing = server.StreamServer(('127.0.0.1', 0), print)
        refusing.start()
        url = f'http://127.0.0.1:{refusing.server_port}'
        refusing.stop()
        error = self.client(url).append('table', 'x').failure()
        self.assertIsInstance(error, log.Unavailable)

    def test_append_whose_reply_is_lost_is_unsure(self):
        # The service accepts the record, and the connection breaks or goes
        # silent before the reply. If the record were reported as not
        # appended, its writer would append it twice.
        def broken(sock, _address):
            sock.recv(1000)

        def silent(sock, _address):
            gevent.sleep(60)

        for handle in (broken, silent):
            serving = server.StreamServer(('127.0.0.1', 0), handle)
            serving.start()
            self.addCleanup(serving.stop, 0)
            url = f'http://127.0.0.1:{serving.server_port}'
            error = self.client(url, 0.2).append('table', 'x').failure()
            with self.subTest(handle.__name__):
                self.assertIsInstance(error, log.Unsure)

    def test_silent_connection_does_not_hold_the_next_request(self):
        # A connection goes silent for good while new ones work. The next
        # request must neither wait for it nor use it.
        accepted = []

        def first_is_silent(sock, _address):
            accepted.append(sock)
            sock.recv(1000)
            if len(accepted) == 1:
                gevent.sleep(60)
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"offset": 3}'
            )

        serving = server.StreamServer(('127.0.0.1', 0), first_is_silent)
        serving.start()
        self.addCleanup(serving.stop, 0)
        url = f'http://127.0.0.1:{serving.server_port}'
        client = log.LogClient(url, 0.3, concurrency=1)
        self.assertIsInstance(
            client.append('table', 'x').failure(), log.Unsure
        )
        self.assertEqual(3, client.append('table', 'x').unwrap())

    def test_instance_list(self):
        item = {
            'name': 'a',
            'role': 'agent',
            'address': '127.0.0.1',
            'port': 7,
            'zone': 'z',
            'region': 'r',
            'pool': 'p',
            'state': 'leaving',
        }
        url = self.serve('200 OK', {'instances': [item, {'name': 1}, 2]})
        self.assertEqual(
            [
                instances.Member(
                    'a',
                    'agent',
                    '127.0.0.1',
                    7,
                    instances.Place('z', 'r', 'p'),
                    True,
                )
            ],
            instances.fetch(url).unwrap(),
        )
