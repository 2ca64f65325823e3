"""Tests of the server for callers' connections."""

from __future__ import annotations

import time
import unittest

import gevent
from gevent import monkey
from gevent import socket

from burdockchute.callers import handler
from burdockchute.callers import http
from burdockchute.callers import parse
from burdockchute.callers import server
from burdockchute.callers.environment import status_line
from burdockchute.callers.open_work import OWED

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


NOT_FINAL = (-1, 0, 99, 100, 199, 600, 999)


def answer_oddly(environ, start_response):
    """Answer with the status that the path names."""
    status = int(environ['PATH_INFO'].strip('/'))
    start_response(status_line(status), [('Content-Length', '0')])
    return [b'']


def refuse(_environ, start_response):
    start_response('503 Leaving', [('Content-Length', '0')])
    return [b'']


class OddStatusTest(unittest.TestCase):
    def test_no_answer_is_made_with_an_invalid_status(self):
        """An application that is given 600 by another process passed it on."""
        serving = server.make_server('127.0.0.1', 0, answer_oddly)
        serving.start()
        self.addCleanup(serving.stop)
        for status in NOT_FINAL:
            conn = socket.create_connection(
                ('127.0.0.1', serving.server_port), 2
            )
            conn.sendall(REQUEST.replace(b'/a', b'/%d' % status))
            with self.subTest(status=status):
                self.assertIn(b' 500 ', conn.recv(4096).split(b'\r\n')[0])
            conn.close()


class CallersServerTest(unittest.TestCase):
    def setUp(self):
        self.server = server.make_server('127.0.0.1', 0, refuse)
        self.server.start()
        self.addCleanup(self.server.stop)

    def finish(self, within_s=9.0):
        """Finish, and return the account of what is left."""
        return self.server.finish(time.monotonic() + within_s)

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
        self.finish()
        self.assertEqual(b'', idle.recv(4096))
        self.assertIn(b' 503 ', late.recv(4096))
        self.assertEqual(b'', late.recv(4096))
        self.assertTrue(self.server.work.is_empty())

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
        self.finish()
        self.assertIn(b' 503 ', conn.recv(4096))

    def test_first_request_of_an_accepted_connection_is_answered(self):
        """A process ends between the accept and the request of a connection.

        It was closed without an answer as the process exited.
        """
        conn = self.new_connection()
        gevent.spawn_later(0.05, conn.sendall, REQUEST)
        self.finish()
        self.assertIn(b' 503 ', conn.recv(4096))

    def test_connections_without_a_request_do_not_delay_the_exit(self):
        conn = self.new_connection()
        started = time.monotonic()
        self.finish()
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(b'', conn.recv(4096))

    def test_idle_connections_are_closed_at_once(self):
        kept = self.kept_connection()
        gevent.sleep(0.05)
        started = time.monotonic()
        self.finish()
        self.assertLess(time.monotonic() - started, server.FIRST_REQUEST_S / 2)
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
        gevent.sleep(handler.LINGER_SILENCE_S + 0.5)
        self.assertTrue(self.server.work.is_empty())


UPLOAD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'


class FinishTest(unittest.TestCase):
    """What a server answers before it ends."""

    def serve(self, app):
        self.server = server.make_server('127.0.0.1', 0, app)
        self.server.start()
        self.addCleanup(self.server.stop)
        return self.server

    def connect(self, *data):
        conn = socket.create_connection(
            ('127.0.0.1', self.server.server_port), 5
        )
        self.addCleanup(conn.close)
        for part in data:
            conn.sendall(part)
        gevent.sleep(0.05)
        return conn

    def finish(self, within_s):
        return gevent.spawn(self.server.finish, time.monotonic() + within_s)

    def read_all(self, conn):
        """Read up to the end; a reset connection is an error."""
        received = b''
        while data := conn.recv(4096):
            received += data
        return received

    def answer_body(self, environ, start_response):
        body = http.read_body(environ, http.Limits())
        if isinstance(body, parse.Rejection):
            headers = [http.retry_after(body.retry_after_s)]
            start_response(f'{body.status} No', headers)
            return [b'']
        start_response('200 OK', [('Connection', 'close')])
        return [body]

    def test_requests_that_are_being_received_are_answered(self):
        """A process leaves in the middle of a head and of a body.

        They were not counted, and the process exited.
        """
        self.serve(self.answer_body)
        self.assertEqual(0, self.server.work.owed)
        head, body = self.connect(UPLOAD[:9]), self.connect(UPLOAD, b'ab')
        counts = self.server.work.counts()
        self.assertEqual((1, 1), (counts['heads'], counts['bodies']))
        ending = self.finish(5.0)
        gevent.sleep(server.FIRST_REQUEST_S + 0.2)
        head.sendall(UPLOAD[9:] + b'abcd')
        body.sendall(b'cd')
        for conn in (head, body):
            self.assertRegex(self.read_all(conn), b'(?s)^HTTP/1.1 200.*abcd')
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_requests_that_are_not_whole_in_time_are_refused(self):
        """A process has to exit before a head and a body are whole."""
        self.serve(self.answer_body)
        conns = [
            self.connect(UPLOAD[:9]),
            self.connect(UPLOAD[:30]),
            self.connect(UPLOAD, b'ab'),
        ]
        ending = self.finish(server.LAST_ANSWERS_S + 0.1)
        for conn in conns:
            answer = self.read_all(conn)
            self.assertIn(b' 503 ', answer)
            self.assertIn(b'Retry-After: ', answer)
            conn.close()
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_a_request_that_was_received_is_not_refused(self):
        """A 503 would promise that a running request has not run."""
        answered = []

        def app(environ, start_response):
            http.read_body(environ, http.Limits())
            gevent.sleep(server.LAST_ANSWERS_S)
            answered.append('200')
            start_response('200 OK', [('Connection', 'close')])
            return [b'']

        self.serve(app)
        conn = self.connect(UPLOAD, b'abcd')
        ending = self.finish(server.LAST_ANSWERS_S + 0.4)
        self.assertIn(b' 200 ', self.read_all(conn))
        self.assertEqual(['200'], answered)
        conn.close()
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_what_is_not_finished_is_counted(self):
        def app(_environ, start_response):
            start_response('200 OK', [])
            yield b'part'
            gevent.sleep(60.0)

        self.serve(app)
        conn = self.connect(REQUEST)
        unframed = self.connect(REQUEST.replace(b'1.1', b'1.0'))
        left = self.finish(0.3).get(timeout=5)
        self.assertEqual(2, left['answers'])
        self.assertEqual(2, self.server.work.owed)
        for broken in (conn, unframed):
            self.assertIn(b'part', broken.recv(4096))

    def test_an_unfinished_answer_without_framing_is_reset(self):
        """The exit would close the connection as if the answer were whole."""

        def app(_environ, start_response):
            start_response('200 OK', [])
            yield b'part'
            gevent.sleep(60.0)

        self.serve(app)
        conn = self.connect(REQUEST.replace(b'1.1', b'1.0'))
        self.assertIn(b'part', conn.recv(4096))
        self.finish(0.2).get(timeout=5)
        for sock in self.server.work.connections(*OWED):
            # As the exit of the process does.
            sock._sock.close()
        with self.assertRaises(ConnectionResetError):
            conn.recv(4096)

    def test_new_callers_are_answered_while_requests_are_open(self):
        """The load balancer sends callers to a process that is leaving."""
        self.serve(self.answer_body)
        old = self.connect(UPLOAD)
        ending = self.finish(5.0)
        gevent.sleep(server.FIRST_REQUEST_S + 0.1)
        new = self.connect(UPLOAD, b'abcd')
        self.assertIn(b' 200 ', self.read_all(new))
        old.sendall(b'abcd')
        self.assertIn(b' 200 ', self.read_all(old))
        old.close()
        new.close()
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_requests_behind_one_that_is_answered_last_are_answered(self):
        """Pipelined requests arrive at a process that is leaving.

        The first answer closed the connection, and those behind it, which
        had been received, got none.
        """

        def app(_environ, start_response):
            gevent.sleep(0.2)
            start_response('200 OK', [('Content-Length', '0')])
            return [b'']

        self.serve(app)
        conn = self.connect(REQUEST * 4)
        ending = self.finish(5.0)
        answers = self.read_all(conn)
        self.assertEqual(4, answers.count(b' 200 '))
        self.assertEqual(1, answers.count(b'Connection: close'))
        conn.close()
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_refused_requests_behind_each_other_are_all_answered(self):
        """Requests with bodies are refused by a process that is leaving.

        Their bodies were not read, and counted as no sign of the next one.
        """

        def app(_environ, start_response):
            gevent.sleep(0.1)
            start_response('503 Leaving', [('Content-Length', '0')])
            return [b'']

        self.serve(app)
        conn = self.connect((UPLOAD + b'abcd') * 4)
        ending = self.finish(5.0)
        self.assertEqual(4, self.read_all(conn).count(b' 503 '))
        conn.close()
        self.assertEqual(0, sum(ending.get(timeout=5).values()))

    def test_requests_that_cross_a_close_are_never_malformed(self):
        """A head arrives in two parts as its idle connection is closed.

        The first part was read, the second was not, and the caller was told
        that its request is malformed.
        """
        self.serve(self.answer_body)
        conns = [self.connect() for _number in range(100)]
        ending = self.finish(5.0)

        def send(number):
            gevent.sleep(server.FIRST_REQUEST_S - 0.05 + number / 1000)
            try:
                conns[number].sendall(UPLOAD[:9])
                gevent.sleep(0.05)
                conns[number].sendall(UPLOAD[9:] + b'abcd')
                return self.read_all(conns[number])
            except OSError:
                return b''

        senders = [gevent.spawn(send, n) for n in range(len(conns))]
        answers = [sender.get(timeout=10) for sender in senders]
        self.assertEqual([], [a for a in answers if b' 400 ' in a])
        self.assertTrue(all(not a or b' 200 ' in a for a in answers), answers)
        self.assertEqual(0, sum(ending.get(timeout=5).values()))


if __name__ == '__main__':
    unittest.main()
