"""Tests of the metrics of listeners and of the event loop."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from burdockchute import listener_metrics
from burdockchute import metrics
from burdockchute.callers import refusals
from burdockchute.listener_metrics import LoopWatch


class ListenerMetricsTest(unittest.TestCase):
    def test_what_operators_see_of_a_crowd(self):
        metrics.set_up('p-1', '')
        self.addCleanup(metrics.shut_down, 0.0)
        listener = mock.Mock(
            refusals=refusals.Refusals('callers'),
            connections=3,
            max_connections=4,
            held_bytes=17,
        )
        listener.refusals.add('long_head', '127.0.0.1')
        watch = LoopWatch()
        watch.record(listener_metrics.LATE_TURN_S / 2)
        watch.record(listener_metrics.LATE_TURN_S)
        listener_metrics.register([listener], watch)
        found = {
            (point['name'].removeprefix('burdockchute.'), *labels): value
            for point in metrics.snapshot()
            for labels, value in [
                (point['attributes'].values(), point['value'])
            ]
        }
        self.assertEqual(
            {
                ('connections', 'callers'): 3,
                ('connections_limit', 'callers'): 4,
                ('unparsed', 'callers'): 17,
                ('clients_refused', 'callers:long_head'): 1,
                ('late_turns',): 1,
                ('longest_turn',): listener_metrics.LATE_TURN_S,
            },
            found,
        )

    def test_refusals_are_logged_once_for_each_cause_and_interval(self):
        """Each refused head was a line with up to 8 KB of its bytes."""
        counted = refusals.Refusals('callers')
        with (
            mock.patch.object(refusals.logs, 'event', autospec=True) as event,
            mock.patch.object(time, 'monotonic', autospec=True) as now,
        ):
            for now.return_value in (0.0, 1.0, refusals.LOG_INTERVAL_S):
                for _client in range(5):
                    counted.add('long_head', '127.0.0.1', 'x' * 1000)
            counted.add('invalid', '127.0.0.1')
        logged = [
            (call.kwargs['cause'], call.kwargs['count'])
            for call in event.call_args_list
        ]
        self.assertEqual(
            [('long_head', 1), ('long_head', 10), ('invalid', 1)], logged
        )
        reason = event.call_args_list[0].kwargs['reason']
        self.assertEqual(refusals.MAX_REASON_CHARS, len(reason))


if __name__ == '__main__':
    unittest.main()
