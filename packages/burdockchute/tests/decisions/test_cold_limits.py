"""Sends of many entries to one cold upstream that all want to send to."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import cold_limits
from burdockchute.decisions.cold_limits import ColdPolicy

STEP_S = 0.01


def sends(policy, entries, seed, seconds, has_requests):
    """Return when the entries send, while all of them have requests."""
    rng = random.Random(seed)
    limits = [
        cold_limits.entry_limit(policy, entries, rng.random(), 0.0)
        for _entry in range(entries)
    ]
    times = []
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        if not has_requests(now):
            continue
        for number, limit in enumerate(limits):
            while cold_limits.next_send_at(limit, now) <= now:
                limit = cold_limits.after_send(limit, now)
                times.append(now)
            limits[number] = limit
    return times


def most_in_a_second(times):
    most = begin = 0
    for number, at in enumerate(times):
        while at - times[begin] > 1.0:
            begin += 1
        most = max(most, number - begin + 1)
    return most


class ColdLimitTest(unittest.TestCase):
    def test_all_entries_together_keep_the_limit_and_use_most_of_it(self):
        """After a pause, turns that have not lapsed are used at once."""
        cases = (
            ('always', 0.2, lambda now: True),
            # Callers come in two fifths of the time.
            ('bursts', 0.05, lambda now: now % 3 > 1.8),
        )
        for rate in (2.0, 12.0, 40.0):
            policy = ColdPolicy(8.0, rate, 1.5, 5.0)
            for entries in (1, 4, 13, 22, 60):
                for name, used, callers in cases:
                    with self.subTest(name, rate=rate, entries=entries):
                        times = sends(policy, entries, 1, 8.0, callers)
                        most = most_in_a_second(times)
                        self.assertLessEqual(most, policy.per_second)
                        mean = len(times) / 8
                        self.assertGreater(mean, used * policy.per_second)


if __name__ == '__main__':
    unittest.main()
