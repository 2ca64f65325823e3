"""Non-idempotent requests under faults run at most once."""

from __future__ import annotations

import collections
import random
import time
import unittest

import gevent

from burdockchute_testing import calls
from burdockchute_testing import client
from burdockchute_testing import harness
from burdockchute_testing.calls import Call
from burdockchute_testing.calls import CallSpec
from burdockchute_testing.site import join_all
from burdockchute_testing.site import Site

ENTRIES = ('e1', 'e2')
MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.3
# A key whose outcome was lost stays unknown, so further attempts are useless.
MAX_UNKNOWN = 3


class OnceCase(unittest.TestCase):
    def start(self, services: int = 2) -> Site:
        self.site = Site(engines=1, services=services)
        self.addCleanup(self.site.close)
        url = self.site.system.url('e1', 'http_port')
        harness.wait_until(lambda: _is_served(url), 'proofs are served')
        return self.site

    def dispatches(self, name: str, count: int) -> list[CallSpec]:
        return [dispatch(f'{name}-{number}') for number in range(count)]

    def runs_of(self, marker: str) -> int:
        return sum(
            run.get('body') == marker for run in self.site.system.runs()
        )

    def assert_sound(self) -> None:
        self.assertEqual([], self.site.findings())

    def spawn_sender(
        self, rng: random.Random, spec: CallSpec, after_s: float = 1.2
    ) -> gevent.Greenlet:
        """Send until it is answered, each time to a random entry."""
        return gevent.spawn_later(
            rng.uniform(0, after_s), self._send_until_answered, rng, spec
        )

    def _send_until_answered(self, rng: random.Random, spec: CallSpec) -> Call:
        unknown = 0
        for _attempt in range(MAX_ATTEMPTS):
            call = self.site.send(rng.choice(ENTRIES), spec)
            unknown += call.outcome == calls.UNKNOWN
            if call.outcome == calls.ANSWERED or unknown == MAX_UNKNOWN:
                break
            gevent.sleep(RETRY_DELAY_S)
        return call


def dispatch(marker: str) -> CallSpec:
    """Return a request that must not run twice, a postal dispatch."""
    key = calls.new_key(marker, time.time())
    return calls.service(
        marker, 'proofs', idempotent=False, key=key, deadline_ms=10_000
    )


class TwiceAtOnceTest(OnceCase):
    def test_same_key_at_two_entries_at_once(self):
        # A caller sends the same request from two browsers at once.
        site = self.start()
        specs = self.dispatches('twice', 20)
        completed = site.send_all((e, spec) for spec in specs for e in ENTRIES)
        self.assert_sound()
        answered = {
            call.spec.marker
            for call in completed
            if call.outcome == calls.ANSWERED
        }
        self.assertEqual({spec.marker for spec in specs}, answered)

    def test_same_key_with_another_body(self):
        # A second form is sent under the key of the first one. Neither the
        # first answer nor a second run would be correct.
        site = self.start(services=1)
        first = dispatch('first')
        self.assertEqual(
            calls.ANSWERED, site.send_until_run('e1', first).outcome
        )
        other = dispatch('second')._replace(key=first.key)
        refused = site.send('e2', other)
        self.assertEqual(
            (422, calls.NOT_RUN), (refused.status, refused.outcome)
        )
        self.assert_sound()

    def test_put_whose_reply_is_lost(self):
        # A service runs a request and its connection breaks. HTTP libraries
        # repeat a PUT automatically; this one must not be repeated.
        site = self.start(services=1)
        site.system.set_faults('s1', lose_replies=1.0)
        spec = dispatch('put')._replace(method='PUT')
        call = site.send('e1', spec)
        self.assertEqual(calls.UNKNOWN, call.outcome, call.error)
        again = site.send('e2', spec)
        self.assertNotEqual(calls.NOT_RUN, again.outcome)
        self.assertEqual(1, self.runs_of('put'))
        self.assert_sound()


class LogFaultTest(OnceCase):
    def test_log_outage(self):
        # While the log is unavailable, it isn't known whether a key was used,
        # so such requests are refused at once; others are not affected.
        site = self.start()
        site.system.set_faults('log', outage=True)
        spec = dispatch('outage')
        refused = site.send('e1', spec)
        self.assertEqual(calls.NOT_RUN, refused.outcome, refused.error)
        self.assertNotEqual('', refused.retry_after)
        plain = site.send('e1', calls.completion('plain', 'story'))
        self.assertEqual(calls.ANSWERED, plain.outcome, plain.error)
        site.system.set_faults('log')
        completed = join_all([self.spawn_sender(random.Random(1), spec)])
        self.assertEqual(
            [calls.ANSWERED], [call.outcome for call in completed]
        )
        self.assert_sound()

    def test_lost_replies_of_the_log(self):
        # Three in ten of the log's replies are lost after the append or read
        # has taken effect. A claim that was appended without its writer's
        # knowledge must neither run twice nor block its key for ever.
        site = self.start()
        site.system.set_faults('log', lose_replies=0.3, seed=5)
        rng = random.Random(5)
        completed = join_all(
            [
                self.spawn_sender(rng, spec)
                for spec in self.dispatches('lost', 20)
            ]
        )
        self.assert_sound()
        outcomes = collections.Counter(call.outcome for call in completed)
        self.assertEqual({calls.ANSWERED: 20}, dict(outcomes))


class EntryFaultTest(OnceCase):
    def test_entry_dies_and_callers_turn_to_the_other(self):
        # Callers of a killed entry don't know whether their request ran. They
        # send it again to the other entry.
        site = self.start()
        rng = random.Random(7)
        running = [
            self.spawn_sender(rng, spec)
            for spec in self.dispatches('dies', 30)
        ]
        gevent.sleep(0.5)
        site.kill('e1')
        join_all(running)
        self.assert_sound()
        later = join_all(
            [
                self.spawn_sender(rng, spec, after_s=0.5)
                for spec in self.dispatches('later', 5)
            ]
        )
        self.assertEqual({calls.ANSWERED}, {call.outcome for call in later})

    def test_entry_pauses_while_it_holds_keys(self):
        # An entry is paused between its claims and their dispatches, and
        # resumes long after its callers have switched to the other one.
        site = self.start()
        rng = random.Random(11)
        running = [
            self.spawn_sender(rng, spec)
            for spec in self.dispatches('pause', 30)
        ]
        gevent.sleep(0.5)
        site.system['e1'].pause()
        gevent.sleep(5.0)
        site.system['e1'].resume()
        join_all(running)
        self.assert_sound()


class ServiceFaultTest(OnceCase):
    def test_service_dies_in_the_middle(self):
        # A print service dies while it runs requests. It isn't known whether
        # they were printed, so none of them runs again.
        site = self.start(services=2)
        for name in site.services:
            site.system.set_faults(name, slow_s=0.5)
        specs = self.dispatches('dies', 12)
        running = [site.spawn('e1', spec) for spec in specs]
        harness.wait_until(lambda: self.runs_of('dies-0') == 1, 'it runs')
        site.kill('s1')
        join_all(running)
        join_all([site.spawn('e2', spec) for spec in specs])
        self.assert_sound()


class TwoFaultsTest(OnceCase):
    def test_entry_dies_while_replies_get_lost(self):
        # The log loses replies while one of the two entries dies.
        site = self.start()
        site.system.set_faults('log', lose_replies=0.2, seed=13)
        rng = random.Random(13)
        running = [
            self.spawn_sender(rng, spec) for spec in self.dispatches('mix', 20)
        ]
        gevent.sleep(0.5)
        site.kill('e2')
        join_all(running)
        self.assert_sound()

    def test_log_goes_away_while_a_service_agent_dies(self):
        # The log is unavailable for two seconds; meanwhile, an instance dies.
        site = self.start()
        rng = random.Random(17)
        running = [
            self.spawn_sender(rng, spec)
            for spec in self.dispatches('away', 20)
        ]
        gevent.sleep(0.5)
        site.system.set_faults('log', outage=True)
        site.kill('as1')
        gevent.sleep(2.0)
        site.system.set_faults('log')
        join_all(running)
        self.assert_sound()


def _is_served(url: str) -> bool:
    # A request without a key is refused with 400 and so runs nothing.
    spec = dispatch('probe')._replace(key='')
    got = client.call(
        'POST',
        f'{url}/v1/services/proofs/work',
        b'',
        calls.request_headers(spec, 'key-of-lindwurm'),
    )
    return got.status == 400
