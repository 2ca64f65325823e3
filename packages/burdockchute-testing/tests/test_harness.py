"""The harness ends its processes and keeps their records."""

from __future__ import annotations

import os
import signal
import unittest

import psutil

from burdockchute_testing import client
from burdockchute_testing import harness
from burdockchute_testing import processes


class HarnessTest(unittest.TestCase):
    def test_processes_end_with_the_block(self):
        with harness.System() as system:
            system.add_platform()
            system.add_engine('m1', slots=2)
            pids = [process.pid for process in system.processes.values()]
            self.assertEqual(4, len(pids))
            system['m1'].pause()
        self.assertEqual([], [pid for pid in pids if psutil.pid_exists(pid)])
        self.assertFalse(system.folder.exists())

    def test_process_that_does_not_start_shows_its_log(self):
        with harness.System() as system:
            with self.assertRaises(processes.ProcessFailed) as caught:
                system.add_stand_in('log', 'log_service', nonsense=1)
        self.assertIn('unrecognized arguments', str(caught.exception))

    def test_an_entry_that_ended_by_itself_fails_its_test(self):
        """Tests that did not look at it passed without their entry."""
        with self.assertRaises(processes.ProcessFailed) as caught:
            with harness.System() as system:
                system.add_platform()
                system.add_entry('e1')
                os.kill(system['e1'].pid, signal.SIGKILL)
                system['e1'].wait()
        self.assertIn('e1 ended with -9', str(caught.exception))
        self.assertFalse(system.folder.exists())

    def test_an_entry_that_fails_when_it_is_stopped_fails_its_test(self):
        with self.assertRaises(processes.ProcessFailed) as caught:
            with harness.System() as system:
                system.add_platform()
                system.add_entry('e1')
                system['e1'].pause()
                system['e1'].terminate()
                os.kill(system['e1'].pid, signal.SIGKILL)
                system['e1'].wait()
        self.assertIn('e1 ended with -9', str(caught.exception))

    def test_an_entry_that_a_test_ends_does_not_fail_it(self):
        for end in (processes.Process.terminate, processes.Process.kill):
            with harness.System() as system:
                system.add_platform()
                system.add_entry('e1')
                end(system['e1'])
                system['e1'].wait()

    def test_runs_of_a_killed_upstream_are_kept(self):
        with harness.System() as system:
            url = system.add_service('s1', 'proofs')
            client.call(
                'POST', f'{url}/x', b'', {'Burdockchute-Request-Id': 'r1'}
            )
            system['s1'].kill()
            (run,) = system.runs()
        self.assertEqual(
            ('r1', 'finished', 's1'),
            (run['request_id'], run['how'], run['upstream']),
        )

    def test_restarted_process_reports_its_new_port(self):
        with harness.System() as system:
            first = system.add_service('s1', 'proofs')
            system['s1'].kill()
            second = system.add_service('s1', 'proofs')
            self.assertNotEqual(first, second)
            self.assertEqual(200, client.get(f'{second}/history').status)
