"""News of the upstream's prefix cache."""

from __future__ import annotations

import unittest

from burdockchute_agent import cache_changes
from burdockchute_agent.cache_changes import CacheChanges
from burdockchute_agent.cache_changes import PendingCacheChanges


class CacheNewsTest(unittest.TestCase):
    def test_news_are_told_once_and_newest_first(self):
        news = PendingCacheChanges()
        news.stored('a')
        news.stored('b')
        news.evicted('c')
        self.assertEqual(CacheChanges(['b', 'a'], ['c']), news.take(0.0))
        self.assertEqual(CacheChanges([], []), news.take(100.0))

    def test_last_word_on_a_prefix_counts(self):
        news = PendingCacheChanges()
        news.stored('a')
        news.evicted('a')
        self.assertEqual(CacheChanges([], ['a']), news.take(0.0))

    def test_burst_of_prefixes_is_bounded(self):
        # Hundreds of long prompts at once would fill each report with
        # kilobytes, on every link.
        news = PendingCacheChanges()
        for number in range(100):
            news.stored(f'{number:016d}')
        told = news.take(0.0).stored
        self.assertEqual(f'{99:016d}', told[0])
        self.assertEqual(cache_changes.MAX_REPORTED_PREFIXES, len(told))

    def test_news_wait_for_their_time(self):
        news = PendingCacheChanges()
        news.take(0.0)
        news.stored('a')
        self.assertEqual(cache_changes.NO_CACHE_CHANGES, news.take(1.0))
        self.assertEqual(
            CacheChanges(['a'], []), news.take(cache_changes.REPORT_INTERVAL_S)
        )
