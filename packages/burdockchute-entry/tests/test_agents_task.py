"""Messages between an entry and the agents it is linked to."""

from __future__ import annotations

import random
import time
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute import wire
from burdockchute.decisions import versions
from burdockchute.decisions.routing import route_table
from burdockchute.model.crash_reports import AnsweredRequest
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart
from burdockchute.model.known_state import apply_peer_reports
from burdockchute.model.known_state import KnownState
from burdockchute.model.link_events import LinkLost
from burdockchute.model.link_events import LinkStateReport
from burdockchute.model.link_events import ProbeRequested
from burdockchute.model.link_events import ProbeReturned
from burdockchute.model.machines import Bounds
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration
from burdockchute.model.routes import Model
from burdockchute.model.routes import Service
from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeRequested
from burdockchute.model.store_probes import StoreProbeSent
from burdockchute.model.upstreams import Endpoint
from burdockchute.nodes import links
from burdockchute.nodes.desired_state import decode_versions
from burdockchute.wire import messages
from burdockchute_entry.straight.agents_task import AgentsTask
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_testing.builders.messages import any_message
from burdockchute_testing.builders.messages import encoded
from burdockchute_testing.builders.messages import message_kinds
from burdockchute_testing.builders.routing import FakeLink
from burdockchute_testing.builders.upstreams import upstream
from burdockchute_testing.builders.upstreams import upstream_list

OWN = Member('front-1', 'entry', '127.0.0.1', 0, Place('z', 'r', ''))
ADDRESS = Endpoint('127.0.0.1', 1)
HELLO = messages.Hello(
    OWN.name, OWN.role, 'z', 'r', 'first', -1, links.PROTOCOL
)
BOUNDS = Bounds(2.0, 8.0, 2.0, 8.0, 3.0, 0.2, 10.0, 100.0)
MESSAGES = st.sampled_from(message_kinds()).flatmap(
    lambda kind: any_message(
        kind,
        st.sampled_from(['', 'story', 'story@2', 'story@x', str(ADDRESS)]),
    )
)
LIMITS = CallerLimits(8192, 1_000_000, 1.0, 5.0)


def named(link):
    """Return the named versions in each message sent on a link."""
    return [
        [(i.model, i.version, i.age_ms >= 0) for i in message.named]
        for message in link.sent
    ]


class AgentsTaskTest(unittest.TestCase):
    """Agents read the desired state seldom but need new versions soon."""

    def setUp(self):
        self.in_contact = True
        self.crashes = []
        self.answered = []
        self.relinked = []
        self.link_events = []
        self.store_probes = []
        self.known_state = KnownState()
        self.task = AgentsTask(
            OWN,
            lambda: HELLO,
            1,
            lambda address, report: None,
            self.crashes.append,
            lambda: self.in_contact,
            random.Random(1),
            self.link_events.append,
            self.answered.append,
            lambda: self.relinked.append(True),
            self.store_probes.append,
        )

    def update(self, *named):
        history = versions.History()
        for version, at in named:
            history = versions.add_version(history, version, at)
        histories = {'story': history} if named else {}
        self.task._handle(self.known_state._replace(histories=histories))

    def opened(self, name):
        link = FakeLink(name)
        self.task._handle(links.Opened(link))
        return link

    def test_a_new_link_gets_the_known_versions(self):
        self.update((2, None), (3, 1.0))
        link = self.opened('127.0.0.1:1')
        self.assertEqual(
            [[('story', 3, True), ('story', 2, False)]], named(link)
        )

    def test_a_named_version_is_sent_once_per_link(self):
        first, second = self.opened('127.0.0.1:1'), self.opened('127.0.0.2:1')
        self.update((2, 5.0))
        self.update((2, 5.0))
        for link in (first, second):
            self.assertEqual([[], [('story', 2, True)]], named(link))

    @settings(max_examples=300, deadline=None)
    @given(MESSAGES)
    def test_no_message_of_an_agent_ends_the_task(self, message):
        """A report of a version that is no number ended the entry."""
        self.setUp()
        link = FakeLink(str(ADDRESS))
        scheduler = Scheduler(
            BOUNDS, time.monotonic, random.Random(1), 'r', {}
        )
        state = KnownState(
            upstreams=upstream_list(upstream(endpoint=ADDRESS)),
            upstreams_listed=True,
        )
        scheduler.update(state)
        self.task._on_load_report = scheduler.apply_load_report
        self.task._handle(links.Opened(link))
        try:
            received = wire.decode(encoded(message))
        except wire.WireError:
            return
        self.task._handle(links.Received(link, received))
        if isinstance(received, messages.LoadReport) and received.named:
            reports = decode_versions(received.named, time.monotonic())
            state, _changes = apply_peer_reports(state, reports, 0.0)
            self.task._handle(state)
        self.task._on_timer()
        for sent in link.sent:
            wire.encode(sent)

    def test_the_other_versions_of_a_report_hold(self):
        scheduler = Scheduler(
            BOUNDS, time.monotonic, random.Random(1), 'r', {}
        )
        listed = upstream_list(upstream(endpoint=ADDRESS))
        scheduler.update(KnownState(upstreams=listed, upstreams_listed=True))
        weights = [
            messages.WeightsState('', digest, 'open', 0, 0)
            for digest in ('story@x', 'story@' + '9' * 5000, 'story@2')
        ]
        report = messages.LoadReport(running=0, slots=1, weights=weights)
        scheduler.apply_load_report(str(ADDRESS), report)
        (target,) = scheduler.targets()
        self.assertEqual({'story': 2}, target.versions)

    def test_a_probe_goes_to_its_agent_and_comes_back(self):
        """A time that is changed in transit would not match the probe."""
        link, other = self.opened('127.0.0.1:1'), self.opened('127.0.0.2:1')
        sent_at = round(12345.678901234, 6)
        self.task._handle(ProbeRequested('127.0.0.1:1', sent_at))
        probe = link.sent[-1]
        self.assertNotIn(probe, other.sent)
        self.task._handle(links.Received(link, probe))
        self.assertEqual(
            [ProbeReturned('127.0.0.1:1', sent_at)], self.link_events
        )

    def test_agents_are_asked_for_the_store_and_answer(self):
        """An agent of an earlier release would close the link."""
        link, earlier = self.opened('127.0.0.1:1'), self.opened('127.0.0.2:1')
        link.peer.store_queries = True
        self.task._handle(StoreProbeRequested(12.5))
        query = messages.StoreQuery(12_500_000)
        self.assertIn(query, link.sent)
        self.assertNotIn(query, earlier.sent)
        for end in (40, -1):
            report = messages.StoreReport(12_500_000, 2, end, 250)
            self.task._handle(links.Received(link, report))
        self.assertEqual(
            [
                StoreProbeSent(12.5, {'127.0.0.1:1': 'z'}, frozenset()),
                StoreProbeAnswered(12.5, '127.0.0.1:1', LogEnd(2, 40), 0.25),
                StoreProbeAnswered(12.5, '127.0.0.1:1', None, 0.25),
            ],
            self.store_probes,
        )

    def test_no_probe_without_a_link(self):
        """A restarting agent has no link for a moment."""
        self.task._handle(ProbeRequested('10.0.0.9:1', 1.0))
        self.assertEqual([], self.link_events)

    def test_a_slow_link_is_not_reported_over_itself(self):
        """The report would be queued behind the data that slows the link."""
        slow, fast = self.opened('127.0.0.1:1'), self.opened('127.0.0.2:1')
        self.task._handle(LinkStateReport('127.0.0.1:1', True))
        news = messages.LinkNews('127.0.0.1:1', True)
        self.assertIn(news, fast.sent)
        self.assertNotIn(news, slow.sent)
        self.task._handle(links.Received(fast, news))
        self.assertEqual(
            [LinkStateReport('127.0.0.1:1', True)], self.link_events
        )

    def test_a_closed_link_is_no_longer_slow(self):
        """Otherwise a killed agent would leave its engine without requests."""
        link = self.opened('127.0.0.1:1')
        self.task._handle(links.Closed(link, 'killed'))
        self.assertEqual([LinkLost('127.0.0.1:1')], self.link_events)

    def saved(self, version, origin):
        """Apply a saved configuration with one engine of `drafts`."""
        drafts = Service('drafts', 8, models=(Model('story', 0.3),), slots=4)
        weights = Service('weights', 8, origin=origin)
        routes = route_table(
            Configuration(version, (), (drafts, weights), None, LIMITS)
        )
        self.known_state = self.known_state._replace(
            routes=routes,
            upstreams=upstream_list(upstream(endpoint=ADDRESS)),
            upstreams_listed=True,
        )
        self.task._handle(self.known_state)

    def test_an_agent_gets_only_saves_that_change_its_requirements(self):
        """Operators save routes many times; the origin changes once.

        Sending each saved configuration would fill the engine's slow link
        with routes that the agent does not need.
        """
        link = self.opened(str(ADDRESS))
        for version in range(1, 20):
            self.saved(version, '10.0.0.8:80')
        self.saved(20, '10.0.0.9:80')
        self.assertEqual(
            [
                None,
                messages.AgentNeeds(1, ['story'], 4, '10.0.0.8:80'),
                messages.AgentNeeds(20, ['story'], 4, '10.0.0.9:80'),
            ],
            [news.needs for news in link.sent],
        )

    def test_an_agent_of_an_unlisted_engine_gets_no_requirements(self):
        """The upstream list drops engines during an outage of the store.

        An agent that treated its models as withdrawn would delete its
        copies.
        """
        link = self.opened('10.0.0.9:1')
        self.saved(1, '10.0.0.8:80')
        self.assertEqual([None], [news.needs for news in link.sent])

    def test_reports_of_crashes_and_answers_are_relayed(self):
        """Each entry sees only its own requests in a crash.

        Counted apart, a request or a part could crash engines for each entry
        anew.
        """
        link = self.opened('127.0.0.1:1')
        parts = (PromptPart('story/a1', 0), PromptPart('story/bad0', 1))
        lost = LostRequest('f-1', 'i-1', parts, 0.25)
        without_parts = LostRequest('f-2', 'i-1', ())
        answered = AnsweredRequest('f-1', parts)
        for report in (lost, without_parts, answered):
            self.task._handle(report)
            news = wire.decode(wire.encode(link.sent[-1]))
            self.task._handle(links.Received(link, news))
        self.assertEqual([lost, without_parts], self.crashes)
        self.assertEqual([answered], self.answered)

    def test_reports_of_an_earlier_release(self):
        """It reports all parts in a crash at once, and unchecked crashes.

        The latter are also sent for links that were reset.
        """
        link = self.opened('127.0.0.1:1')
        parts = [messages.PromptPart('story/bad0', 1)]
        for news in (
            messages.CrashNews('f-1', 'i-1', True, True),
            messages.CrashNews('', 'i-2', False, False, parts),
        ):
            self.task._handle(links.Received(link, news))
        lost = LostRequest('', 'i-2', (PromptPart('story/bad0', 1),))
        self.assertEqual([lost], self.crashes)

    def test_an_entry_that_is_linked_again_has_missed_reports(self):
        """Its links to agents were cut while requests crashed engines.

        It read what the other entries refuse up to 20 s later.
        """
        link = self.opened(str(ADDRESS))
        self.assertEqual([], self.relinked)
        self.task._handle(links.Closed(link, 'silent'))
        self.opened(str(ADDRESS))
        self.assertEqual([True], self.relinked)

    def test_a_crash_is_relayed_by_few_agents(self):
        """A request that crashes engines is retried at any entry.

        If each entry counted crashes by itself, the request could crash two
        engines per entry, and other callers would lose their answers.
        """
        opened = [self.opened(f'10.0.0.{n}:1') for n in range(1, 9)]
        crash = LostRequest('f-1', 'i-1', ())
        self.task._handle(crash)
        receivers = [link for link in opened if len(link.sent) > 1]
        self.assertEqual(3, len(receivers))
        news = receivers[0].sent[-1]
        self.task._handle(links.Received(opened[0], news))
        self.assertEqual([crash], self.crashes)

    def test_an_entry_without_contact_reports_it(self):
        """The store refuses one entry and serves the agents.

        An agent that kept relying on that entry would miss a version.
        """
        link = self.opened(str(ADDRESS))
        self.in_contact = False
        self.task._tick()
        self.in_contact = True
        self.task._tick()
        self.assertEqual(
            [True, False, True], [news.in_contact for news in link.sent]
        )


if __name__ == '__main__':
    unittest.main()
