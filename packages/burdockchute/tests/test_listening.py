"""Servers that start while their addresses are still in use."""

from __future__ import annotations

import errno
import logging
import socket
import unittest
from unittest import mock

from gevent import server

from burdockchute import http_admin
from burdockchute import listening
from burdockchute.callers import server as callers


class Clock:
    """The time, which passes only in `wait_stop`.

    `stop_at` is the time at which a stop is requested; `actions` are called
    at their times.
    """

    def __init__(self, stop_at=None, actions=()):
        self.now = 0.0
        self.stop_at = stop_at
        self.actions = list(actions)

    def wait_stop(self, timeout_s):
        """Let time pass; return whether a stop was requested."""
        self.now += timeout_s
        while self.actions and self.actions[0][0] <= self.now:
            self.actions.pop(0)[1]()
        return self.stop_at is not None and self.now >= self.stop_at


class StartTest(unittest.TestCase):
    def setUp(self):
        self.holder = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.holder.close)
        self.held = self.holder.getsockname()

    def make_server(self, address=('127.0.0.1', 0)):
        made = server.StreamServer(address, lambda *args: None)
        self.addCleanup(made.close)
        return made

    def start(self, servers, clock, timeout_s=5.0):
        return listening.start_all(
            servers, clock.wait_stop, timeout_s, lambda: clock.now
        )

    def test_a_port_of_the_process_before_is_waited_for(self):
        """The process before still holds the port, within its grace period.

        The new process ended with status 1 after its only try.
        """
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        clock = Clock(actions=[(2.0, self.holder.close)])
        waiting = self.make_server(self.held)
        with self.assertLogs('burdockchute') as logged:
            self.assertTrue(self.start([waiting], clock))
        self.assertTrue(waiting.started)
        first, last = [record.msg for record in logged.records]
        address = f'127.0.0.1:{self.held[1]}'
        self.assertEqual('address_unavailable', first['event'])
        self.assertEqual(address, first['address'])
        self.assertEqual('Address already in use', first['error'])
        self.assertEqual(5.0, first['retry_s'])
        self.assertEqual('address_available', last['event'])
        self.assertEqual(address, last['address'])
        self.assertAlmostEqual(2.0, last['after_s'], delta=0.2)

    def test_a_port_that_stays_in_use_is_one_error(self):
        waiting = self.make_server(self.held)
        clock = Clock()
        with self.assertRaises(listening.ListenError) as caught:
            self.start([waiting], clock)
        self.assertEqual(
            (f'127.0.0.1:{self.held[1]}', 'Address already in use'),
            (caught.exception.address, caught.exception.error),
        )
        self.assertAlmostEqual(5.0, clock.now, delta=0.2)

    def test_an_address_that_the_machine_lacks_is_tried_again(self):
        # TEST-NET-1 is assigned to no machine.
        waiting = self.make_server(('192.0.2.1', 80))
        clock = Clock()
        with self.assertRaises(listening.ListenError):
            self.start([waiting], clock)
        self.assertAlmostEqual(5.0, clock.now, delta=0.2)

    def test_a_stop_ends_the_wait(self):
        waiting = self.make_server(self.held)
        clock = Clock(stop_at=1.0)
        self.assertFalse(self.start([waiting], clock))
        self.assertAlmostEqual(1.0, clock.now, delta=0.2)

    def test_the_last_server_is_not_open_before_the_others(self):
        """The port of probes is held while that of callers is free.

        Callers who connect to a process that can't serve yet would wait.
        """
        probes, callers = self.make_server(self.held), self.make_server()
        states = []
        clock = Clock(
            actions=[
                (1.0, lambda: states.append(callers.started)),
                (2.0, self.holder.close),
            ]
        )
        self.assertTrue(self.start([probes, callers], clock))
        self.assertEqual([False], states)
        self.assertTrue(callers.started)

    def test_no_server_stays_open_after_a_failure(self):
        probes, callers = self.make_server(), self.make_server(self.held)
        with self.assertRaises(listening.ListenError):
            self.start([probes, callers], Clock())
        self.assertFalse(probes.started)
        self.assertTrue(probes.closed)

    def test_an_error_that_stays_is_not_tried_again(self):
        class Forbidden:
            server_host, server_port = '127.0.0.1', 80

            def start(self):
                raise PermissionError(errno.EACCES, 'Permission denied')

            def close(self):
                pass

        clock = Clock()
        with self.assertRaises(listening.ListenError):
            self.start([Forbidden()], clock)
        self.assertEqual(0.0, clock.now)


class NameServiceTest(unittest.TestCase):
    """The name service does not answer while a process starts.

    The process looked up the name of each address at which it serves HTTP,
    and was blocked meanwhile.
    """

    def test_no_server_looks_up_the_name_of_its_address(self):
        for make in (callers.make_server, http_admin.make_server):
            with self.subTest(make.__module__):
                made = make('127.0.0.1', 0, lambda *args: [])
                self.addCleanup(made.close)
                with mock.patch(
                    'gevent.socket.getfqdn', autospec=True
                ) as look_up:
                    made.start()
                look_up.assert_not_called()
                self.assertEqual('127.0.0.1', made.environ['SERVER_NAME'])


if __name__ == '__main__':
    unittest.main()
