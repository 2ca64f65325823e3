"""Tests of the burn rate alerts."""

from __future__ import annotations

import unittest

from burdockchute.decisions import burn

KEY = burn.Key('evening', 'library', 'story', 'availability')
TARGET = 0.999


def sums(counts: burn.Counts, now: float) -> dict[float, burn.Sum]:
    return {w: counts.sum(now, KEY, w) for w in burn.windows()}


class BurnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts = burn.Counts()

    def add_events(
        self, start: float, end: float, total: int, bad: int
    ) -> None:
        for second in range(int(start), int(end), 60):
            self.counts.add(float(second), KEY, total, bad)

    def alert(self, now: float) -> str:
        return burn.alert_for(sums(self.counts, now), TARGET)

    def test_sudden_outage_pages(self):
        self.add_events(0, 3300, 100, 0)
        self.add_events(3300, 3600, 100, 60)
        self.assertEqual('page', self.alert(3600))

    def test_short_outage_that_is_over_does_not_page(self):
        # One minute of failures half an hour ago has ended by itself and
        # must not page the operator on call.
        self.add_events(0, 60, 100, 100)
        self.add_events(60, 1800, 100, 0)
        self.assertEqual('ticket', self.alert(1800))

    def test_slow_degradation_opens_a_ticket(self):
        self.add_events(0, 3 * 86400, 1000, 2)
        self.assertEqual('ticket', self.alert(3 * 86400))

    def test_few_requests_do_not_page(self):
        self.counts.add(10.0, KEY, 3, 1)
        self.assertEqual('', self.alert(20.0))

    def test_memory_is_bounded_by_the_windows(self):
        self.add_events(0, 8 * 86400, 1, 0)
        kept = len(self.counts._minutes[KEY]) + len(self.counts._hours[KEY])
        self.assertLessEqual(kept, 361 + 73)
