"""News of the upstream's prefix cache."""

from __future__ import annotations

import unittest

from burdockchute_agent import cache_news
from burdockchute_agent.cache_news import CacheNews
from burdockchute_agent.cache_news import News


class CacheNewsTest(unittest.TestCase):
    def test_news_are_told_once_and_newest_first(self):
        news = CacheNews()
        news.stored('a')
        news.stored('b')
        news.evicted('c')
        self.assertEqual(News(['b', 'a'], ['c']), news.take(0.0))
        self.assertEqual(News([], []), news.take(100.0))

    def test_last_word_on_a_prefix_counts(self):
        news = CacheNews()
        news.stored('a')
        news.evicted('a')
        self.assertEqual(News([], ['a']), news.take(0.0))

    def test_burst_of_prefixes_is_bounded(self):
        # Hundreds of long prompts at once would fill each report with
        # kilobytes, on every link.
        news = CacheNews()
        for number in range(100):
            news.stored(f'{number:016d}')
        told = news.take(0.0).stored
        self.assertEqual(f'{99:016d}', told[0])
        self.assertEqual(cache_news.MAX_NEWS, len(told))

    def test_news_wait_for_their_time(self):
        news = CacheNews()
        news.take(0.0)
        news.stored('a')
        self.assertEqual(cache_news.NO_NEWS, news.take(1.0))
        self.assertEqual(News(['a'], []), news.take(cache_news.TELL_S))
