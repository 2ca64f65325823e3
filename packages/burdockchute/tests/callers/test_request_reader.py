"""Tests of the reader of requests: limits, cut and hostile bytes."""

from __future__ import annotations

import unittest

import gevent
from gevent import socket
import httptools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute.callers import http
from burdockchute.callers import parse
from burdockchute.callers import request_reader
from burdockchute.callers import server
from burdockchute.callers.request_body import RequestBody
from burdockchute.callers.request_reader import BrokenBody
from burdockchute.callers.request_reader import RequestError
from burdockchute.callers.request_reader import RequestReader
from burdockchute.decisions.connection_limits import RequestLimits

LIMIT = 400
LINE = b'POST /a?b=%20c HTTP/1.1\r\n'
HEAD = LINE + b'Host: h\r\n\r\n'
CHUNKED = LINE + b'Transfer-Encoding: chunked\r\n\r\n'


def padded(size, start=LINE):
    """Return a head of exactly `size` bytes."""
    filler = b'X: ' + b'a' * (size - len(start) - 3 - 4) + b'\r\n\r\n'
    return start + filler


def with_headers(count):
    """Return a head with so many headers."""
    return LINE + b''.join(b'N%d:\r\n' % n for n in range(count)) + b'\r\n'


def read_all(pieces, limit=LIMIT):
    """Return the outcome of each request, and how the last one ended.

    A request is its method, target, headers and body.
    """
    ours, theirs = socket.socketpair()
    reader = RequestReader(ours)

    def send():
        try:
            for piece in pieces:
                theirs.sendall(piece)
                gevent.sleep(0)
            theirs.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    sender = gevent.spawn(send)
    found = []
    try:
        while reader.wait():
            head = reader.read_head(limit)
            body = RequestBody(reader, head.body_bytes, _no_context).read()
            found.append((head.method, head.target, head.headers, body))
            if not head.keeps_connection:
                break
        end = 'closed'
    except RequestError as exc:
        end = exc.status
    except BrokenBody:
        end = 'broken body'
    except ConnectionError:
        end = 'cut head'
    reader.close()
    ours.close()
    sender.join()
    theirs.close()
    assert not reader.held_bytes
    return found, end


def _no_context():
    return gevent.Timeout(None)


class LimitsTest(unittest.TestCase):
    def test_limits_of_a_head(self):
        """A head without end was held until the memory was used up."""
        target = LINE.replace(b'/a', b'/' + b'a' * 600)
        cases = {
            'at the limit': (padded(LIMIT), 'closed'),
            'one byte over': (padded(LIMIT + 1), 431),
            'at the limit with empty lines': (
                b'\r\n' * 10 + padded(LIMIT - 20),
                'closed',
            ),
            'one over with empty lines': (
                b'\r\n' * 10 + padded(LIMIT - 19),
                431,
            ),
            'empty lines': (b'\r\n' * LIMIT, 400),
            'long target': (target + b'Host: h\r\n\r\n', 414),
            'as many headers as allowed': (with_headers(48), 'closed'),
            'without end': (LINE + b'X: y\r\n' * LIMIT, 431),
            'line feeds': (HEAD.replace(b'\r', b''), 400),
            'folded': (HEAD.replace(b': h', b': h\r\n i'), 400),
            'other version': (HEAD.replace(b'1.1', b'2.0'), 400),
            'body of HEAD': (
                b'HEAD / HTTP/1.1\r\nContent-Length: 1\r\n\r\na',
                400,
            ),
            'no requests': (b'', 'closed'),
            'a part of one': (HEAD[:-1], 'cut head'),
        }
        for name, (sent, end) in cases.items():
            with self.subTest(name):
                found, ended = read_all([sent])
                self.assertEqual(end, ended)
                self.assertEqual(bool(sent) and end == 'closed', bool(found))

    def test_spaces_around_a_value_have_no_meaning(self):
        for framing in (
            b'Content-Length: \t2 \t',
            b'Transfer-Encoding: chunked ',
        ):
            body = b'hi' if b'2' in framing else b'2\r\nhi\r\n0\r\n\r\n'
            found, end = read_all([LINE + framing + b'\r\n\r\n' + body])
            self.assertEqual('closed', end)
            self.assertEqual([b'hi'], [body for *_, body in found])

    def test_limit_of_headers(self):
        """Many short headers cost more memory than their bytes."""
        most = request_reader.MAX_HEADERS
        self.assertEqual('closed', read_all([with_headers(most)], 8192)[1])
        self.assertEqual(431, read_all([with_headers(most + 1)], 8192)[1])

    def test_limit_of_what_lies_between_chunks(self):
        """Trailers and extensions without end were received for ever."""
        most = request_reader.MAX_CHUNK_FRAMING_BYTES
        first = CHUNKED + b'1\r\na\r\n'
        for sent, end in (
            (first + b'1;' + b'x' * (most // 2) + b'\r\nb\r\n0\r\n\r\n', 200),
            (first + b'1;' + b'x' * (most + 9000), 'broken body'),
            (first + b'0\r\n' + b'T: v\r\n' * most, 'broken body'),
        ):
            found, ended = read_all([sent])
            if end == 200:
                self.assertEqual([b'ab'], [body for *_, body in found])
            else:
                self.assertEqual(end, ended)


PARTS = st.sampled_from(
    [
        HEAD,
        LINE,
        b'\r\n',
        b'\n',
        b'\r',
        b'Host: h\r\n',
        b'Content-Length: 3\r\n',
        b'Content-Length: 3\r\n\r\nabc',
        b'Transfer-Encoding: chunked\r\n',
        CHUNKED,
        b'3\r\nabc\r\n',
        b'3;x=y\r\n\r\n\r\r\n',
        b'0\r\n\r\n',
        b'0\r\nT: v\r\n\r\n',
        b'GET /b HTTP/1.0\r\n\r\n',
        b'Connection: Upgrade\r\nUpgrade: h2c\r\n',
        b' folded\r\n',
        b'\0\xff',
    ]
)


class _Counter:
    def __init__(self):
        self.count = 0

    def on_message_complete(self):
        self.count += 1


def count_by_parser(sent):
    """Return how many requests a parser finds in the whole input."""
    counter = _Counter()
    try:
        httptools.HttpRequestParser(counter).feed_data(sent)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        pass
    return counter.count


def answer(environ, start_response):
    """Answer with what was received."""
    body = http.read_body(environ, http.Limits(max_body_bytes=100))
    is_refused = isinstance(body, parse.Rejection)
    start_response(
        f'{body.status if is_refused else 200} X',
        [('Content-Length', '0')] + [('Connection', 'close')] * is_refused,
    )
    return [b'']


class HostileBytesTest(unittest.TestCase):
    def setUp(self):
        self.server = server.make_server(
            '127.0.0.1', 0, answer, request_limits=lambda: RequestLimits(LIMIT)
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    @settings(max_examples=100)
    @given(st.lists(PARTS, max_size=12))
    def test_each_input_ends_in_answers_and_a_close(self, parts):
        """What a connection held was given back only as it was read on."""
        sent = b''.join(parts)
        with (
            gevent.Timeout(10),
            socket.create_connection(
                ('127.0.0.1', self.server.server_port)
            ) as conn,
        ):
            conn.sendall(sent)
            conn.shutdown(socket.SHUT_WR)
            received = b''
            while data := conn.recv(4096):
                received += data
        answers = received.count(b'HTTP/1.1 ')
        requests, end = read_all([sent])
        self.assertEqual(len(requests), received.count(b' 200 X'))
        self.assertLessEqual(answers, len(requests) + (end != 'closed'))
        while not self.server.work.is_empty():
            gevent.sleep(0)
        self.assertEqual(0, self.server.held_bytes)

    @settings(max_examples=300)
    @given(st.lists(PARTS, max_size=12), st.data())
    def test_requests_are_the_same_wherever_the_bytes_are_cut(
        self, parts, data
    ):
        """A request that one reader takes for two can hide another one."""
        sent = b''.join(parts)
        cuts = data.draw(
            st.lists(st.integers(0, len(sent)), max_size=6).map(sorted)
        )
        pieces = [
            sent[start:end]
            for start, end in zip([0, *cuts], [*cuts, len(sent)], strict=True)
        ]
        whole, end = read_all([sent])
        self.assertEqual((whole, end), read_all(pieces))
        if b'Upgrade' not in sent:
            self.assertLessEqual(len(whole), count_by_parser(sent))


if __name__ == '__main__':
    unittest.main()
