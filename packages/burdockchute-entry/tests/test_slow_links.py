"""Entries and an engine whose link is narrowed, in a time of their own."""

from __future__ import annotations

import heapq
import itertools
import unittest

from burdockchute.model.link_news import LinkTold
from burdockchute.model.link_news import ProbeReturned
from burdockchute.model.link_news import ProbeWanted
from burdockchute.model.upstreams import Endpoint
from burdockchute_entry.straight.slow_links import SlowLinks
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.targets import UnstartedRequest
from burdockchute_testing.builders.upstreams import upstream

ENTRIES = 14
ENGINES = 8
STEP_S = 0.05
SEND_S = 0.15
REPORT_S = 0.15
BEGINS_S = 0.12
PATIENCE_S = 2.4


class Entry:
    """One entry; its requests wait for `site.way_s`, and to begin."""

    def __init__(self, site, number) -> None:
        self.site = site
        self.number = number
        self.sent_at: list[float] = []
        self.told: list[LinkTold] = []
        self.targets = [
            Target(
                upstream(
                    id=f'i-{n}',
                    endpoint=Endpoint('10.0.0.1', n),
                    service='drafts',
                    slots=16,
                    started_ms=None,
                ),
                0.0,
            )
            for n in range(ENGINES)
        ]
        self.links = SlowLinks(self._ask)
        self._ids = itertools.count()

    def _ask(self, message) -> None:
        site = self.site
        if isinstance(message, ProbeWanted):
            back = ProbeReturned(*message)
            way_s = site.way_s(self, message.agent)
            site.at(site.now + way_s, lambda: self.hear(back))
            return
        self.told.append(message)
        for other in site.entries:
            if other is not self:
                site.at(site.now + 0.02, lambda o=other: o.hear(message))

    def hear(self, event) -> None:
        self.links.handle_event(event, self.site.now)

    def look(self) -> None:
        now = self.site.now
        for target in self.targets:
            target.load.reported_at = now - now % REPORT_S
        self.links.check(self.targets, now)

    def send(self) -> None:
        """Send a request to each engine that has room."""
        now = self.site.now
        for target in self.targets:
            if target.view(False, now).headroom <= 0:
                continue
            name = f'q-{next(self._ids)}'
            target.unstarted[name] = UnstartedRequest(900, now)
            agent = str(target.upstream.endpoint)
            if agent == self.site.agent:
                self.sent_at.append(now)
            waits_s = self.site.way_s(self, agent) + self.site.begins_s
            is_late = waits_s > PATIENCE_S
            self.site.at(
                now + min(waits_s, PATIENCE_S),
                lambda t=target, n=name, g=not is_late: self._ended(t, n, g),
            )

    def _ended(self, target, name, begun) -> None:
        if target.remove_unstarted(name, begun, self.site.now):
            self.links.record_first_event('drafts', target.last_first_event_s)


class Site:
    """All entries; the link to `agent` takes `queue_s` while narrow."""

    agent = '10.0.0.1:0'

    def __init__(self) -> None:
        self.now = 0.0
        self.begins_s = BEGINS_S
        self.narrow = (float('inf'), float('inf'))
        self.slow_entry = None
        self.entries = [Entry(self, n) for n in range(ENTRIES)]
        self._events: list = []
        self._order = itertools.count()

    def way_s(self, entry, agent) -> float:
        if entry is self.slow_entry:
            return 1.8
        first, last = self.narrow
        if agent == self.agent and first <= self.now < last:
            return min(1.8, 4 * (self.now - first))
        return 0.005

    def at(self, when, act) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def play(self, until_s) -> None:
        while self.now < until_s:
            self.now = round(self.now + STEP_S, 6)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            tick = round(self.now / STEP_S)
            for entry in self.entries:
                if tick % 2 == entry.number % 2:
                    entry.look()
                if tick % round(SEND_S / STEP_S) == entry.number % 3:
                    entry.send()

    def sent(self, first, last) -> int:
        return sum(
            first <= at < last for e in self.entries for at in e.sent_at
        )

    def told(self) -> list[LinkTold]:
        return [told for entry in self.entries for told in entry.told]


class SlowLinksTest(unittest.TestCase):
    def setUp(self):
        self.site = Site()

    def test_few_requests_stand_before_a_narrowed_link(self):
        """A link narrows for 7 s; callers leave before their turn comes.

        Each entry found out by requests of its own: 317 were sent into the
        queue in this replay, and engines ran them for nobody.
        """
        self.site.narrow = (1.0, 8.0)
        self.site.play(8.0)
        before = self.site.sent(0.0, 1.0)
        self.assertGreater(before, 80)
        self.assertLess(self.site.sent(1.0, 8.0), 80)
        self.assertLess(self.site.sent(2.0, 8.0), 10)

    def test_it_serves_again_soon_after(self):
        """The last probe comes back late, or nobody asks again."""
        self.site.narrow = (1.0, 4.0)
        self.site.play(8.0)
        self.assertGreater(self.site.sent(6.5, 7.5), 80)

    def test_busy_engines_are_not_held(self):
        """Under a lasting burst requests wait in engines, not in links."""
        self.site.begins_s = 0.9
        self.site.play(4.0)
        self.assertEqual([], self.site.told())
        self.assertFalse(
            any(t.is_held for e in self.site.entries for t in e.targets)
        )

    def test_an_entry_behind_a_slow_link_accuses_nobody(self):
        """All engines look slow to the one whose own link is narrow."""
        self.site.slow_entry = self.site.entries[0]
        self.site.play(4.0)
        accused = {told.agent for told in self.site.told() if told.is_slow}
        self.assertLessEqual(len(accused), ENGINES // 4)

    def test_news_of_many_slow_links_is_not_believed(self):
        """What one entry tells must not close all engines to the others."""
        entry = self.site.entries[0]
        self.site.play(0.5)
        for target in entry.targets:
            entry.hear(LinkTold(str(target.upstream.endpoint), True))
        entry.look()
        self.assertEqual(
            ENGINES // 4, sum(target.is_held for target in entry.targets)
        )


if __name__ == '__main__':
    unittest.main()
