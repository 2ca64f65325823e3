"""Entries and agents of `serve` whose ports are in use at their start."""

from __future__ import annotations

import pathlib
import socket
import sys
import tempfile
import time
import unittest

from burdockchute_testing.processes import Process
from burdockchute_testing.processes import serving_ports

ADDRESS = '127.0.0.1'
WAIT_S = 30.0

# Nothing listens there; each program serves without the platform.
AWAY = f'http://{ADDRESS}:1'

COMMON = {
    'name': 'x-1',
    'zone': 'north',
    'region': 'n',
    'address': ADDRESS,
    'log-url': AWAY,
}
PROGRAMS = {
    'entry': ('http-port', COMMON | {'instances-url': AWAY}),
    'agent': (
        'link-port',
        COMMON | {'store-url': AWAY, 'upstream-url': AWAY},
    ),
}


class HeldPortsTest(unittest.TestCase):
    """The process before still holds a port.

    The new process ended with status 1 after its only try.
    """

    def start(self, program):
        """Start a program one of whose ports is held; return both."""
        folder = tempfile.TemporaryDirectory(prefix='burdockchute-')
        self.addCleanup(folder.cleanup)
        holder = socket.create_server((ADDRESS, 0))
        self.addCleanup(holder.close)
        held, settings = PROGRAMS[program]
        settings = settings | {held: holder.getsockname()[1]}
        command = [sys.executable, '-m', f'burdockchute_{program}.main']
        flags = [f'--{name}={value}' for name, value in settings.items()]
        process = Process(
            program, [*command, 'serve', *flags], pathlib.Path(folder.name)
        )
        self.addCleanup(process.kill)
        self.wait_log(process, 'event=address_unavailable')
        return process, holder

    def wait_log(self, process, text):
        until = time.monotonic() + WAIT_S
        while text not in process.log():
            self.assertIsNone(process.status, process.log())
            self.assertLess(time.monotonic(), until, process.log())
            time.sleep(0.02)

    def test_a_program_serves_once_its_port_is_free(self):
        for program in PROGRAMS:
            with self.subTest(program):
                process, holder = self.start(program)
                port = holder.getsockname()[1]
                holder.close()
                process.wait_ports(serving_ports)
                self.assertIn(port, process.ports.values())
                self.assertIn('event=address_available', process.log())

    def test_a_stop_during_the_wait_is_a_planned_one(self):
        for program in PROGRAMS:
            with self.subTest(program):
                process, _holder = self.start(program)
                process.terminate()
                self.assertEqual(0, process.wait())
                self.assertIn('event=stopped', process.log())
                self.assertNotIn('Traceback', process.log())


if __name__ == '__main__':
    unittest.main()
