"""Reports of changes in the upstream's prefix cache."""

from __future__ import annotations

import unittest

from burdockchute_agent import cache_changes
from burdockchute_agent.cache_changes import CacheChanges
from burdockchute_agent.cache_changes import PendingCacheChanges


class CacheChangesTest(unittest.TestCase):
    def test_changes_are_reported_once_and_newest_first(self):
        changes = PendingCacheChanges()
        changes.stored('a')
        changes.stored('b')
        changes.evicted('c')
        self.assertEqual(CacheChanges(['b', 'a'], ['c']), changes.take(0.0))
        self.assertEqual(CacheChanges([], []), changes.take(100.0))

    def test_last_change_of_a_prefix_counts(self):
        changes = PendingCacheChanges()
        changes.stored('a')
        changes.evicted('a')
        self.assertEqual(CacheChanges([], ['a']), changes.take(0.0))

    def test_burst_of_prefixes_is_bounded(self):
        # Hundreds of long prompts at once would add kilobytes to each report
        # on every link.
        changes = PendingCacheChanges()
        for number in range(100):
            changes.stored(f'{number:016d}')
        reported = changes.take(0.0).stored
        self.assertEqual(f'{99:016d}', reported[0])
        self.assertEqual(cache_changes.MAX_REPORTED_PREFIXES, len(reported))

    def test_changes_wait_for_the_next_report(self):
        changes = PendingCacheChanges()
        changes.take(0.0)
        changes.stored('a')
        self.assertEqual(cache_changes.NO_CACHE_CHANGES, changes.take(1.0))
        self.assertEqual(
            CacheChanges(['a'], []),
            changes.take(cache_changes.REPORT_INTERVAL_S),
        )
