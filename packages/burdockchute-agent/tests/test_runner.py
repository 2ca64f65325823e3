"""Requests that the runner sends to the upstream beside it."""

from __future__ import annotations

import socket
from typing import Any
import unittest

import gevent
from gevent import server

from burdockchute.upstreams.gate import Gate
from burdockchute.wire import messages
from burdockchute_agent.runner import Runner
from burdockchute_agent.runner import Upstream

REST_S = 30.0
REFUSAL = (
    b'HTTP/1.1 503 X\r\nRetry-After: 30\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class RecordingLink:
    """Records the messages that are sent over a link."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        self.sent.append(message)


class RunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls = 0
        self.reply = REFUSAL
        listening = server.StreamServer(('127.0.0.1', 0), self.answer)
        listening.start()
        self.addCleanup(listening.stop)
        gate = Gate()
        gate.set_services(frozenset({'desk'}))
        url = f'http://127.0.0.1:{listening.server_port}'
        self.runner = Runner(Upstream(url, 5.0), gate)
        self.link = RecordingLink()

    def answer(self, sock: socket.socket, _address: object) -> None:
        self.calls += 1
        sock.recv(65536)
        sock.sendall(self.reply)
        sock.close()

    def run_request(self, number: int) -> Any:
        request = messages.Dispatch(
            request_id=f'q-{number}',
            attempt_id=f'q-{number}.1',
            customer='school',
            target='desk',
            digest='',
            adapter_digest='',
            idempotent=True,
            budget_ms=10_000,
            priority=0,
            method='POST',
            path='/x',
            content_type='',
            body=b'{}',
            stream=False,
        )
        self.runner.dispatch(self.link, request)
        while self.runner.running():
            gevent.sleep(0.001)
        return self.link.sent[-1]

    def test_an_upstream_that_asked_for_rest_gets_no_more_calls(self) -> None:
        """Requests of all entries pass through the agent."""
        self.run_request(0)
        for number in range(1, 4):
            refused = self.run_request(number)
            self.assertIsInstance(refused, messages.NotRun)
            self.assertGreater(refused.retry_after_ms, 0.9 * REST_S * 1000)
        self.assertEqual(1, self.calls)

    def test_an_invalid_status_is_not_relayed(self) -> None:
        """An entry passed 600 on to its caller."""
        for number, status in enumerate((b'000', b'099', b'600', b'999')):
            self.reply = REFUSAL.replace(b'503', status)
            with self.subTest(status=status):
                end = self.run_request(number)
                self.assertIsInstance(end, messages.AnswerEnd)
                self.assertEqual(
                    (0, f'status {status.decode()}', False),
                    (end.status, end.error, end.crashed),
                )


if __name__ == '__main__':
    unittest.main()
