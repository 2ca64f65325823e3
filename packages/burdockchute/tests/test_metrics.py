"""Metrics in the text format of Prometheus."""

from __future__ import annotations

import unittest

from burdockchute import metrics
from burdockchute.metrics import Point


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
