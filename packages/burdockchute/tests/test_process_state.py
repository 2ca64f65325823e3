"""The meaning of a signal in each state of a process."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

from burdockchute import process_state
from burdockchute.process_state import Action
from burdockchute.process_state import ProcessState
from burdockchute.process_state import State

LIST_MODULES = """
import sys
from burdockchute import process_state
print([
    name for name in sys.modules
    if name.startswith(('burdockchute.', 'gevent', 'logging'))
])
"""


class Fixture:
    """A process at a time, its exit statuses and what its listener got."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.received: list[tuple] = []
        self.process = ProcessState(100.0, self.statuses.append)

    def listen(self, *received):
        self.received.append(received)


class ActionTest(unittest.TestCase):
    def test_each_signal_has_one_action_in_each_state(self):
        stop = {
            State.STARTED: Action.EXIT,
            State.OPENING: Action.STOP,
            State.SERVING: Action.STOP,
            State.LEAVING: Action.IGNORE,
            State.ENDED: Action.IGNORE,
        }
        reload = {
            State.STARTED: Action.DEFER,
            State.OPENING: Action.RELOAD,
            State.SERVING: Action.RELOAD,
            State.LEAVING: Action.RELOAD,
            State.ENDED: Action.IGNORE,
        }
        for state in State:
            for number, expected in (
                (signal.SIGTERM, stop),
                (signal.SIGINT, stop),
                (signal.SIGHUP, reload),
            ):
                with self.subTest(state=state, signal=number):
                    self.assertEqual(
                        expected[state],
                        process_state.action_for(state, number),
                    )


class ProcessStateTest(unittest.TestCase):
    def test_a_stop_before_the_ports_are_open_exits_with_status_zero(self):
        fixture = Fixture()
        fixture.process.receive(signal.SIGTERM, 100.2)
        self.assertEqual([0], fixture.statuses)

    def test_a_reload_before_the_ports_are_open_is_done_then(self):
        fixture = Fixture()
        fixture.process.receive(signal.SIGHUP, 100.25)
        self.assertEqual([], fixture.received)
        self.assertTrue(fixture.process.open_ports(fixture.listen))
        self.assertEqual(
            [(signal.SIGHUP, State.STARTED, 0.25, Action.RELOAD)],
            fixture.received,
        )
        self.assertEqual([], fixture.statuses)

    def test_a_stop_after_the_ports_are_open_is_left_to_the_listener(self):
        fixture = Fixture()
        fixture.process.open_ports(fixture.listen)
        fixture.process.receive(signal.SIGINT, 101.0)
        self.assertEqual([], fixture.statuses)
        self.assertEqual(
            [(signal.SIGINT, State.OPENING, 1.0, Action.STOP)],
            fixture.received,
        )

    def test_an_ended_process_passes_no_signal_on(self):
        fixture = Fixture()
        fixture.process.open_ports(fixture.listen)
        fixture.process.enter(State.ENDED)
        for number in process_state.SIGNALS:
            fixture.process.receive(number, 101.0)
        self.assertEqual([], fixture.received)
        self.assertEqual([], fixture.statuses)

    def test_states_only_move_forward(self):
        """A stop while the ports open must not be undone by serving."""
        process = Fixture().process
        self.assertTrue(process.enter(State.LEAVING))
        self.assertFalse(process.enter(State.SERVING))
        self.assertFalse(process.enter(State.LEAVING))
        self.assertIs(State.LEAVING, process.state)


class ImportTest(unittest.TestCase):
    def test_nothing_that_takes_time_is_imported_before_the_handlers(self):
        """A signal ends a process that imports gevent before its handlers."""
        found = subprocess.run(
            [sys.executable, '-c', LIST_MODULES],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertEqual(
            "['burdockchute.process_state']", found.stdout.strip()
        )


if __name__ == '__main__':
    unittest.main()
