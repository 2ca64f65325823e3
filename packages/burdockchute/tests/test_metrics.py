"""Metrics in the text format of Prometheus."""

from __future__ import annotations

import subprocess
import sys
import unittest

from burdockchute import metrics
from burdockchute.metrics import Point

# Prints the time that the export at the exit takes, until the last atexit
# handler runs. The endpoint accepts connections and never answers.
EXPORT_AT_EXIT = """
from gevent import monkey
monkey.patch_all()
import atexit, socket, time
from burdockchute import commands, metrics
atexit.register(lambda: print(time.monotonic() - started))
server = socket.create_server(('127.0.0.1', 0))
port = server.getsockname()[1]
metrics.set_up('entry-1', f'http://127.0.0.1:{port}/v1/metrics')
metrics.meter().create_counter('requests').add(1)
started = time.monotonic()
commands.run_to_end(lambda: 0)
"""

# The wait is 0.5 s; the rest is margin for a busy machine. An export times
# out after 10 s.
MAX_EXPORT_S = 5.0


class ShutDownTest(unittest.TestCase):
    def test_an_endpoint_that_does_not_answer_does_not_delay_the_exit(self):
        """The exporter waited 10 s for it, beyond the grace period."""
        found = subprocess.run(
            [sys.executable, '-c', EXPORT_AT_EXIT],
            check=True,
            capture_output=True,
            text=True,
        )
        self.assertLess(float(found.stdout), MAX_EXPORT_S, found.stderr)


class MetricsTextTest(unittest.TestCase):
    def test_counters_and_histograms(self):
        counter = Point(
            name='a.requests',
            attributes={'route': 'r "1"'},
            value=3,
            count=0,
            bounds=[],
            buckets=[],
        )
        histogram = Point(
            name='a.time',
            attributes={},
            value=1.5,
            count=3,
            bounds=[0.1, 1.0],
            buckets=[1, 2, 0],
        )
        self.assertEqual(
            'a_requests{route="r \\"1\\""} 3\n'
            'a_time_bucket{le="0.1"} 1\n'
            'a_time_bucket{le="1"} 3\n'
            'a_time_bucket{le="+Inf"} 3\n'
            'a_time_sum 1.5\n'
            'a_time_count 3\n',
            metrics.prometheus_text([counter, histogram]),
        )
