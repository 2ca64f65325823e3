"""Tests of the tasks of a process and how they end."""

from __future__ import annotations

import unittest
from unittest import mock

import gevent
from gevent import event

from burdockchute import tasks


def raises(error):
    def loop():
        raise error

    return loop


def needs_a_part(part):
    def loop():
        tasks.start_part(part)
        event.Event().wait()

    return loop


class TasksTest(unittest.TestCase):
    def error_of(self, loop):
        """Run a loop; return the calls of `on_failure` and the error."""
        on_failure = mock.Mock()
        with mock.patch.object(tasks.logs, 'warn', autospec=True) as warn:
            gevent.joinall(tasks.start([loop], on_failure), timeout=2)
        on_failure.assert_called_once_with()
        (line,) = warn.call_args_list
        self.assertEqual('task_failed', line.args[0])
        return line.kwargs['error']

    def test_a_loop_that_ends_fails_the_process(self):
        """The process went on without the task, and nothing was logged."""
        self.assertIn('returned', self.error_of(lambda: None))
        for error in (
            ValueError('x'),
            MemoryError(),
            gevent.Timeout(1),
            gevent.GreenletExit(),
            SystemExit(1),
        ):
            with self.subTest(error=error):
                found = self.error_of(raises(error))
                self.assertIn(type(error).__name__, found)

    def test_the_end_of_a_part_fails_its_task(self):
        """An agent whose polls of its engine had ended went on without."""
        self.assertIn('returned', self.error_of(needs_a_part(lambda: None)))
        found = self.error_of(needs_a_part(raises(ValueError('x'))))
        self.assertIn("ValueError('x')", found)

    def test_a_part_may_be_killed(self):
        def loop():
            tasks.start_part(event.Event().wait).kill()
            gevent.sleep(0.05)
            raise KeyError('the task went on')

        self.assertIn('the task went on', self.error_of(loop))

    def test_a_log_that_fails_does_not_keep_the_process(self):
        on_failure = mock.Mock()
        with mock.patch.object(
            tasks.logs, 'warn', autospec=True, side_effect=OSError
        ):
            gevent.joinall(tasks.start([lambda: None], on_failure), timeout=2)
        on_failure.assert_called_once_with()
