"""The HTTP interface towards callers."""

from __future__ import annotations

import json
import socket
import time
import unittest

import gevent
from gevent import queue
from geventhttpclient import HTTPClient

from burdockchute.callers import http
from burdockchute.callers import server
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import AnswerStarted
from burdockchute.model.replies import Done
from burdockchute.model.replies import Part
from burdockchute_testing.builders import requests

KEY = {'Authorization': 'Bearer key-l'}
LIMITS = http.Limits(max_body_bytes=2000, body_timeout_s=0.3)


class HttpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.submitted: list = []
        self.gone: queue.Queue = queue.Queue()
        self.replies: list = []
        self.table = requests.table_of()
        self.accepting = True
        self.bodies = http.BodyBudget(3000)
        app = http.make_app(
            self.submit,
            self.gone.put,
            lambda: self.table,
            time.monotonic,
            lambda: self.accepting,
            LIMITS,
            self.bodies,
        )
        self.server = server.make_server('127.0.0.1', 0, app)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = HTTPClient('127.0.0.1', self.server.server_port)
        self.addCleanup(self.client.close)

    def submit(self, ctx):
        self.submitted.append(ctx)
        replies: queue.Queue = queue.Queue()
        for reply in self.replies:
            replies.put(reply)
        return replies

    def post(self, body, headers=None, path='/v1/completions'):
        text = body if isinstance(body, bytes) else json.dumps(body)
        res = self.client.post(path, text, {**KEY, **(headers or {})})
        return res, res.read()

    def check_refused(self, answer, status, place):
        res, body = answer
        self.assertEqual(status, res.status_code)
        self.assertEqual('not-run', res['Burdockchute-Outcome'])
        document = json.loads(body)
        self.assertEqual(place, document['error']['place'])
        self.assertEqual([], self.submitted)
        return document

    def test_plain_answer(self):
        self.replies = [
            AnswerStarted('d1', ''),
            Part(b'{"text": "hi"}'),
            Done(Answered(200, 'application/json', b'', 'd1', '')),
        ]
        res, body = self.post({'model': 'story', 'prompt': 'a'})
        self.assertEqual(200, res.status_code)
        self.assertEqual(b'{"text": "hi"}', body)
        self.assertEqual('answered', res['Burdockchute-Outcome'])
        self.assertEqual('d1', res['Burdockchute-Digest'])
        self.assertEqual(0, self.gone.qsize())

    def test_streamed_answer_ends_with_its_outcome(self):
        self.replies = [
            AnswerStarted('d1', ''),
            Part(b'{"text": "a"}'),
            Part(b'{"text": "b"}'),
            Done(Answered(200, 'text/event-stream', b'', 'd1', '')),
        ]
        res, body = self.post(
            {'model': 'story', 'prompt': 'a', 'stream': True}
        )
        events = body.decode().split('\n\n')
        self.assertEqual('data: {"text": "a"}', events[0])
        self.assertEqual('data: {"text": "b"}', events[1])
        name, data = events[2].split('\n')
        self.assertEqual('event: outcome', name)
        outcome = json.loads(data.removeprefix('data: '))
        self.assertEqual('answered', outcome['outcome'])
        self.assertEqual(2, outcome['parts'])

    def test_failed_stream_ends_with_its_outcome(self):
        # The upstream is lost after the first token. Without the last event
        # a reader would take what arrived for the complete answer.
        self.replies = [
            AnswerStarted('d1', ''),
            Part(b'{}'),
            Done(Unknown('upstream lost', 502)),
        ]
        _res, body = self.post(
            {'model': 'story', 'prompt': 'a', 'stream': True}
        )
        last = json.loads(body.decode().split('data: ')[-1])
        self.assertEqual('unknown', last['outcome'])

    def test_refusal_has_retry_after(self):
        self.replies = [Done(NotRun('over its limit', 429, 2.5))]
        for stream in (False, True):
            res, _body = self.post(
                {'model': 'story', 'prompt': 'a', 'stream': stream}
            )
            self.assertEqual(429, res.status_code)
            self.assertEqual('3', res['Retry-After'])
            self.assertEqual('not-run', res['Burdockchute-Outcome'])

    def test_wrong_key(self):
        for value in ('Bearer nobody', 'Basic key-l', 'Bearer ', ''):
            answer = self.post({}, {'Authorization': value})
            self.check_refused(answer, 401, 'Authorization')

    def test_unknown_names(self):
        self.check_refused(
            self.post({'model': 'tale', 'prompt': 'a'}), 404, 'body.model'
        )
        self.check_refused(
            self.post({'model': 'story', 'prompt': 'a', 'adapter': 'b'}),
            404,
            'body.adapter',
        )
        self.check_refused(self.post({}, path='/v1/services/x'), 404, 'path')
        self.check_refused(self.post({}, path='/v2'), 404, 'path')

    def test_customer_may_not_call(self):
        answer = self.post(
            {'model': 'rhymes', 'prompt': 'a'},
            {'Authorization': 'Bearer key-s'},
        )
        self.check_refused(answer, 403, 'body.adapter')

    def test_malformed_body_names_all_places(self):
        document = self.check_refused(
            self.post(
                {'model': 3, 'max_tokens': 0},
                {'Burdockchute-Deadline-Ms': 'soon'},
            ),
            400,
            'Burdockchute-Deadline-Ms',
        )
        self.assertEqual(
            [
                'Burdockchute-Deadline-Ms',
                'body.prompt',
                'body.model',
                'body.max_tokens',
            ],
            [error['place'] for error in document['errors']],
        )
        for body in (b'{', b'[]', b'\xff', b'[' * 1500):
            self.check_refused(self.post(body), 400, 'body')

    def test_non_idempotent_request_needs_a_key(self):
        path = '/v1/services/proofs/print?copies=2'
        self.check_refused(self.post({}, path=path), 400, 'Idempotency-Key')
        self.check_refused(
            self.post({}, {'Idempotency-Key': 'abc'}, path),
            400,
            'Idempotency-Key',
        )
        self.replies = [Done(NotRun('x'))]
        self.post({}, {'Idempotency-Key': '1790000000-a'}, path)
        ctx = self.submitted[0]
        self.assertEqual('/print?copies=2', ctx.path)
        self.assertFalse(ctx.idempotent)

    def test_adapter_is_resolved(self):
        self.replies = [Done(NotRun('x'))]
        self.post({'model': 'rhymes', 'prompt': 'a'})
        self.post({'model': 'story', 'prompt': 'a', 'adapter': 'rhymes'})
        self.assertEqual(
            [('adapter', 'rhymes')] * 2,
            [(ctx.kind, ctx.target) for ctx in self.submitted],
        )

    def test_long_body_is_refused_without_reading_it(self):
        # A caller announces a body of 5 GB. It is refused before any of the
        # body is sent, and the connection is closed.
        sock = self.open_post(b'Content-Length: 5000000000\r\n\r\n')
        self.assertIn(b' 413 ', self.read_all(sock))

    def test_chunked_body_over_the_limit(self):
        sock = self.open_post(b'Transfer-Encoding: chunked\r\n\r\n')
        sock.sendall(b'1000\r\n' + b'x' * 0x1000 + b'\r\n')
        self.assertIn(b' 413 ', self.read_all(sock))

    def test_bodies_share_a_budget(self):
        """Each body had a limit, but their sum had none."""
        half = self.open_post(b'Content-Length: 1500\r\n\r\nx')
        whole = self.open_post(b'Content-Length: 1500\r\n\r\nx')
        gevent.sleep(0.05)
        document = self.check_refused(self.post(b'y'), 503, 'body')
        self.assertEqual('not-run', document['outcome'])
        for sock in (half, whole):
            self.assertIn(b' 408 ', self.read_all(sock))
        self.check_refused(self.post(b'y'), 400, 'body')
        self.assertEqual(0, self.bodies.held)

    def test_slow_body_is_refused(self):
        # A caller sends a few bytes of its body and then nothing more. Its
        # connection and buffers must not be kept without limit.
        sock = self.open_post(b'Content-Length: 100\r\n\r\nabc')
        self.assertIn(b' 408 ', self.read_all(sock))
        self.assertEqual([], self.submitted)

    def test_disconnect_of_a_waiting_caller_is_noticed(self):
        # The caller closes its connection while it waits. Nothing is
        # written to it, so nothing fails, and the upstream would go on
        # producing an answer that nobody reads.
        body = b'{"model": "story", "prompt": "a"}'
        head = b'Content-Length: %d\r\n\r\n' % len(body)
        sock = self.open_post(head + body)
        while not self.submitted:
            gevent.sleep(0.01)
        sock.close()
        self.assertEqual(
            self.submitted[0].request_id, self.gone.get(timeout=5)
        )

    def test_stopping_entry_accepts_no_request(self):
        self.accepting = False
        answer = self.post({'model': 'story', 'prompt': 'a'})
        self.check_refused(answer, 503, 'request')

    def test_key_that_is_added_works_at_once(self):
        added = requests.LINDWURM._replace(
            name='new', key_digests=http.auth.key_digest('key-n')
        )
        self.replies = [Done(NotRun('x'))]
        self.post({})
        self.table = requests.table_of(requests.STORY, added, offset=2)
        self.post(
            {'model': 'story', 'prompt': 'a'},
            {'Authorization': 'Bearer key-n'},
        )
        self.assertEqual('new', self.submitted[0].customer)

    def open_post(self, rest: bytes) -> socket.socket:
        sock = socket.create_connection(
            ('127.0.0.1', self.server.server_port), 5
        )
        self.addCleanup(sock.close)
        sock.sendall(
            b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer key-l\r\n' + rest
        )
        return sock

    def read_all(self, sock: socket.socket) -> bytes:
        data = b''
        while True:
            more = sock.recv(65536)
            if not more:
                return data
            data += more
