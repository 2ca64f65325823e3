"""Load reports made of what an engine answers."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from gevent import server
from hypothesis import given
from hypothesis import strategies as st

from burdockchute import documents
from burdockchute import reply_limits
from burdockchute import wire
from burdockchute.wire import messages
from burdockchute_agent import reports

NAMES = reports.UpstreamLoad._fields
VALUES = st.sampled_from(
    [None, '', 'x', [], {}, -1, 7, 2**31, 10**400, float('inf'), float('nan')]
)


class ReportsTest(unittest.TestCase):
    @given(st.dictionaries(st.sampled_from(NAMES), VALUES) | VALUES)
    def test_any_answer_makes_a_report_or_a_failed_poll(self, document):
        """A number that no message can hold ended the agent's reports."""
        try:
            load = reports._load_of(document)
        except documents.INVALID:
            return
        report = messages.LoadReport(
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            tokens_per_s=load.tokens_per_s,
            prefill_tokens_per_s=round(load.prefill_tokens_per_s),
        )
        wire.decode(wire.encode(report))

    def test_a_poll_answered_with_an_invalid_status_fails_at_once(self):
        """600 counted as the load, and 000 was waited for."""
        body = b'{"running": 7}'

        def answer(sock, _address):
            sock.recv(65536)
            sock.sendall(
                b'HTTP/1.1 %b X\r\nContent-Length: %d\r\n\r\n%b'
                % (status, len(body), body)
            )
            sock.recv(65536)

        listening = server.StreamServer(('127.0.0.1', 0), answer)
        listening.start()
        self.addCleanup(listening.stop, 0.1)
        cfg = mock.Mock(
            upstream_url=f'http://127.0.0.1:{listening.server_port}'
        )
        for status in (b'000', b'099', b'600', b'999'):
            task = reports.ReportsTask(cfg, mock.Mock(), mock.Mock(), int)
            started = time.monotonic()
            with self.subTest(status=status):
                with self.assertRaises(reply_limits.InvalidStatus):
                    task._poll_engine()()
                self.assertLess(
                    time.monotonic() - started, reports.UPSTREAM_TIMEOUT_S / 2
                )
                self.assertEqual(reports.UpstreamLoad(), task._load)
