"""The states of a process from the start of its lifecycle to a stop."""

from __future__ import annotations

import signal
import time
import unittest
from unittest import mock

import gevent

from burdockchute import metrics
from burdockchute.lifecycle import ProcessLifecycle
from burdockchute.process_state import ProcessState
from burdockchute.process_state import State
from burdockchute.site_settings import Identity

WAIT_S = 5.0


class Fixture:
    """A lifecycle that has not started, and what happened to it."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.reloads = 0
        self.process = ProcessState(time.monotonic(), self.statuses.append)
        self.lifecycle = ProcessLifecycle(
            Identity('entry-1', 'north', 'n', ''),
            'entry',
            lambda: 0,
            self.process,
        )

    def start(self):
        self.lifecycle.start(self._reload)

    def signal(self, number):
        self.process.receive(number, time.monotonic())

    def run(self, loops=()):
        """Run until stopped, in another greenlet."""
        return gevent.spawn(self.lifecycle.run_until_stopped, loops)

    def _reload(self):
        self.reloads += 1


class LifecycleTest(unittest.TestCase):
    def setUp(self):
        # Metrics are set up once per process, which other tests share.
        patched = mock.patch.object(metrics, 'set_up', autospec=True)
        patched.start()
        self.addCleanup(patched.stop)

    def test_a_process_passes_from_started_to_leaving(self):
        fixture = Fixture()
        states = [fixture.lifecycle.state]
        fixture.start()
        states.append(fixture.lifecycle.state)
        run = fixture.run()
        gevent.sleep(0)
        states.append(fixture.lifecycle.state)
        fixture.signal(signal.SIGTERM)
        self.assertTrue(run.get(timeout=WAIT_S))
        states.append(fixture.lifecycle.state)
        self.assertEqual(
            [State.STARTED, State.OPENING, State.SERVING, State.LEAVING],
            states,
        )

    def test_a_stop_while_ports_are_opened_ends_the_wait_for_them(self):
        """Requests may have been accepted, so the tasks still start."""
        fixture = Fixture()
        fixture.start()
        fixture.signal(signal.SIGINT)
        self.assertTrue(fixture.lifecycle.wait_stop(WAIT_S))
        ran: list[bool] = []
        run = fixture.run([lambda: ran.append(True)])
        self.assertTrue(run.get(timeout=WAIT_S))
        gevent.sleep(0)
        self.assertEqual([True], ran)
        self.assertIs(State.LEAVING, fixture.lifecycle.state)
        self.assertEqual([], fixture.statuses)

    def test_reloads_are_done_from_opening_to_leaving(self):
        fixture = Fixture()
        fixture.signal(signal.SIGHUP)
        self.assertEqual(0, fixture.reloads)
        fixture.start()
        gevent.sleep(0)
        self.assertEqual(1, fixture.reloads)
        run = fixture.run()
        fixture.signal(signal.SIGHUP)
        fixture.signal(signal.SIGTERM)
        run.get(timeout=WAIT_S)
        self.assertEqual(2, fixture.reloads)
        fixture.signal(signal.SIGHUP)
        gevent.sleep(0)
        self.assertEqual(3, fixture.reloads)

    def test_a_failed_task_stops_the_process_and_is_reported(self):
        def fail():
            raise ValueError('unexpected')

        fixture = Fixture()
        fixture.start()
        self.assertFalse(fixture.run([fail]).get(timeout=WAIT_S))
        self.assertIs(State.LEAVING, fixture.lifecycle.state)


if __name__ == '__main__':
    unittest.main()
