"""Timers that the waits of a connection share."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import gevent
from gevent import socket

from burdockchute.sockets import PolledSocket
from burdockchute.sockets import SilenceTimer


class PolledSocketTest(unittest.TestCase):
    def setUp(self):
        own, self.peer = socket.socketpair()
        self.sock = PolledSocket(fileno=own.detach())
        self.addCleanup(self.sock.close)
        self.addCleanup(self.peer.close)

    def timed_out_after_s(self):
        started = time.monotonic()
        with self.assertRaises(TimeoutError):
            self.sock.recv(1)
        return time.monotonic() - started

    def test_each_wait_has_the_full_current_timeout(self):
        """Otherwise a slow but steady stream would seem silent.

        While a handover is under way, waits are interrupted sooner.
        """
        for timeout_s in (0.3, 0.1, 0.3):
            self.sock.settimeout(timeout_s)
            for _part in range(2):
                gevent.spawn_later(timeout_s / 2, self.peer.sendall, b'x')
                self.assertEqual(b'x', self.sock.recv(1))
            self.assertAlmostEqual(
                timeout_s, self.timed_out_after_s(), delta=0.15
            )

    def test_a_reader_and_a_writer_may_wait_at_once(self):
        self.sock.settimeout(0.2)
        reader = gevent.spawn(self.timed_out_after_s)
        with self.assertRaises(TimeoutError):
            self.sock.sendall(bytes(50_000_000))
        self.assertLess(reader.get(), 1.0)


class SilenceTimerTest(unittest.TestCase):
    def test_activity_postpones_the_call(self):
        on_silence = mock.Mock()
        timer = SilenceTimer(0.2, on_silence)
        self.addCleanup(timer.stop)
        timer.start()
        for _time in range(4):
            gevent.sleep(0.1)
            timer.note_activity()
        on_silence.assert_not_called()
        gevent.sleep(0.3)
        on_silence.assert_called_once()

    def test_no_call_after_a_stop(self):
        """A link may be closed before its reading task has started."""
        on_silence = mock.Mock()
        timer = SilenceTimer(0.05, on_silence)
        timer.stop()
        timer.start()
        gevent.sleep(0.1)
        on_silence.assert_not_called()
