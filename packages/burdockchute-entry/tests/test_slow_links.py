"""Simulation of entries and an engine whose link is narrowed."""

from __future__ import annotations

import heapq
import itertools
import unittest

from burdockchute.model.link_events import LinkStateReport
from burdockchute.model.link_events import ProbeRequested
from burdockchute.model.link_events import ProbeReturned
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
START_S = 0.12
CALLER_TIMEOUT_S = 2.4


class Entry:
    """One entry; requests take `site.link_delay_s` and then have to start."""

    def __init__(self, site, number) -> None:
        self.site = site
        self.number = number
        self.sent_at: list[float] = []
        self.reported: list[LinkStateReport] = []
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
        self.links = SlowLinks(self._send_message)
        self._ids = itertools.count()

    def _send_message(self, message) -> None:
        site = self.site
        if isinstance(message, ProbeRequested):
            returned = ProbeReturned(*message)
            link_delay_s = site.link_delay_s(self, message.agent)
            site.at(
                site.now + link_delay_s, lambda: self.handle_event(returned)
            )
            return
        self.reported.append(message)
        for other in site.entries:
            if other is not self:
                site.at(
                    site.now + 0.02, lambda o=other: o.handle_event(message)
                )

    def handle_event(self, event) -> None:
        self.links.handle_event(event, self.site.now)

    def check_links(self) -> None:
        now = self.site.now
        for target in self.targets:
            target.load.reported_at = now - now % REPORT_S
        self.links.check(self.targets, now)

    def send(self) -> None:
        """Send a request to each engine with headroom."""
        now = self.site.now
        for target in self.targets:
            if target.view(False, now).headroom <= 0:
                continue
            name = f'q-{next(self._ids)}'
            target.unstarted[name] = UnstartedRequest(900, now)
            agent = str(target.upstream.endpoint)
            if agent == self.site.agent:
                self.sent_at.append(now)
            first_event_s = (
                self.site.link_delay_s(self, agent) + self.site.start_s
            )
            timed_out = first_event_s > CALLER_TIMEOUT_S
            self.site.at(
                now + min(first_event_s, CALLER_TIMEOUT_S),
                lambda t=target, n=name, s=not timed_out: self._finish(
                    t, n, s
                ),
            )

    def _finish(self, target, name, started) -> None:
        if target.remove_unstarted(name, started, self.site.now):
            self.links.record_first_event('drafts', target.last_first_event_s)


class Site:
    """All entries; the link to `agent` is slow during `narrow`."""

    agent = '10.0.0.1:0'

    def __init__(self) -> None:
        self.now = 0.0
        self.start_s = START_S
        self.narrow = (float('inf'), float('inf'))
        self.slow_entry = None
        self.entries = [Entry(self, n) for n in range(ENTRIES)]
        self._events: list = []
        self._order = itertools.count()

    def link_delay_s(self, entry, agent) -> float:
        if entry is self.slow_entry:
            return 1.8
        first, last = self.narrow
        if agent == self.agent and first <= self.now < last:
            return min(1.8, 4 * (self.now - first))
        return 0.005

    def at(self, when, action) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until_s) -> None:
        while self.now < until_s:
            self.now = round(self.now + STEP_S, 6)
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            tick = round(self.now / STEP_S)
            for entry in self.entries:
                if tick % 2 == entry.number % 2:
                    entry.check_links()
                if tick % round(SEND_S / STEP_S) == entry.number % 3:
                    entry.send()

    def sent(self, first, last) -> int:
        return sum(
            first <= at < last for e in self.entries for at in e.sent_at
        )

    def reported(self) -> list[LinkStateReport]:
        return [
            reported for entry in self.entries for reported in entry.reported
        ]


class SlowLinksTest(unittest.TestCase):
    def setUp(self):
        self.site = Site()

    def test_few_requests_are_sent_over_a_narrowed_link(self):
        """A link narrows for 7 s; callers time out before the engine starts.

        When each entry detected this from its own requests only, 317 were
        sent over the link in this simulation, and the engine ran them for
        callers that had left.
        """
        self.site.narrow = (1.0, 8.0)
        self.site.run(8.0)
        before = self.site.sent(0.0, 1.0)
        self.assertGreater(before, 80)
        self.assertLess(self.site.sent(1.0, 8.0), 80)
        self.assertLess(self.site.sent(2.0, 8.0), 10)

    def test_requests_resume_soon_after_the_link_recovers(self):
        """The last probe returns late, or no further probe is sent."""
        self.site.narrow = (1.0, 4.0)
        self.site.run(8.0)
        self.assertGreater(self.site.sent(6.5, 7.5), 80)

    def test_busy_engines_are_not_held_back(self):
        """In a long burst requests wait in the engines, not in the links."""
        self.site.start_s = 0.9
        self.site.run(4.0)
        self.assertEqual([], self.site.reported())
        self.assertFalse(
            any(t.is_held for e in self.site.entries for t in e.targets)
        )

    def test_an_entry_with_a_slow_link_of_its_own_reports_few_links(self):
        """All engines look slow to an entry whose own link is narrow."""
        self.site.slow_entry = self.site.entries[0]
        self.site.run(4.0)
        reported_agents = {
            reported.agent
            for reported in self.site.reported()
            if reported.is_slow
        }
        self.assertLessEqual(len(reported_agents), ENGINES // 4)

    def test_reports_of_many_slow_links_are_ignored(self):
        """Reports of one entry must not hold back requests to all engines."""
        entry = self.site.entries[0]
        self.site.run(0.5)
        for target in entry.targets:
            entry.handle_event(
                LinkStateReport(str(target.upstream.endpoint), True)
            )
        entry.check_links()
        self.assertEqual(
            ENGINES // 4, sum(target.is_held for target in entry.targets)
        )


if __name__ == '__main__':
    unittest.main()
