"""Real processes under faults: each history must stay sound."""

from __future__ import annotations

import random
import socket
import unittest

import blake3
import gevent

from burdockchute_testing import calls
from burdockchute_testing import harness
from burdockchute_testing.calls import Call
from burdockchute_testing.site import BEARER
from burdockchute_testing.site import finish
from burdockchute_testing.site import Site

ENTRIES = ('e1', 'e2')
# Callers begin within this time, and the fault comes in the midst of them.
SPREAD_S = 1.2
FAULT_AFTER_S = 0.5
# More than the buffers of a connection take.
ECHO_BYTES = 7_000_000


class FailureCase(unittest.TestCase):
    def start(self, engines: int = 3, **options: object) -> Site:
        options.setdefault('token_interval_s', 0.01)
        self.site = Site(engines, services=0, **options)
        self.addCleanup(self.site.close)
        return self.site

    def traffic(self, name: str, count: int = 60) -> list[gevent.Greenlet]:
        """Start seeded callers, streamed and plain, at both entries."""
        rng = random.Random(name)
        started = []
        for number in range(count):
            spec = calls.completion(
                f'{name}-{number}',
                'story',
                max_tokens=rng.randint(5, 60),
                stream=rng.random() < 0.6,
            )
            started.append(self._later(rng, rng.choice(ENTRIES), spec))
        return started

    def _later(
        self, rng: random.Random, entry: str, spec: calls.CallSpec
    ) -> gevent.Greenlet:
        return gevent.spawn_later(
            rng.uniform(0, SPREAD_S), self.site.send_until_run, entry, spec
        )

    def assert_sound(self) -> None:
        self.assertEqual([], self.site.findings())

    def assert_all_answered(self, made: list[Call]) -> None:
        others = [call for call in made if call.outcome != calls.ANSWERED]
        self.assertEqual([], others)


class UpstreamFailureTest(FailureCase):
    def test_engine_dies_under_traffic(self):
        # An instance dies with requests in flight. Those that had no answer
        # yet run elsewhere; a stream that had begun is told to be broken.
        site = self.start()
        running = self.traffic('dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m1')
        made = finish(running)
        self.assert_sound()
        begun = [call for call in made if call.outcome == calls.UNKNOWN]
        self.assertEqual(
            [], [call for call in begun if not call.spec.stream], begun
        )
        answered = [call for call in made if call.outcome == calls.ANSWERED]
        self.assertEqual(len(made), len(answered) + len(begun))

    def test_engine_hangs_under_traffic(self):
        # An engine stops in the middle without a word. Its requests must
        # not wait for ever, and new ones go elsewhere.
        site = self.start()
        running = self.traffic('hangs')
        gevent.sleep(FAULT_AFTER_S)
        site.system['m1'].pause()
        finish(running)
        self.assert_sound()
        later = site.send_until_run('e1', calls.completion('later', 'story'))
        self.assertEqual(calls.ANSWERED, later.outcome)

    def test_poison_request_among_good_ones(self):
        # One prompt crashes each engine that runs it, and its caller sends
        # it again. Unless it is refused it takes one engine after the other
        # down, with all the requests beside it.
        site = self.start(engines=4)
        for name in site.engines:
            site.system.set_faults(name, crash_word='POISON')
        running = self.traffic('good', count=40)
        gevent.sleep(0.5)
        poison = calls.completion('poison', 'story', 'POISON')
        sent = [site.send('e1', poison) for _ in range(4)]
        self.assertNotIn(calls.ANSWERED, {call.outcome for call in sent})
        made = finish(running)
        self.assert_sound()
        dead = [m for m in site.engines if site.system[m].status is not None]
        self.assertLessEqual(len(dead), 2, dead)
        plain = [call for call in made if not call.spec.stream]
        self.assert_all_answered(plain)


class AgentFailureTest(FailureCase):
    def test_agent_dies_under_traffic(self):
        # The process beside an engine dies; the engine itself goes on.
        site = self.start()
        running = self.traffic('agent-dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('am1')
        finish(running)
        self.assert_sound()

    def test_agent_pauses_and_comes_back(self):
        # An agent is paused for longer than its links may be silent. What
        # it had in flight gets its outcome from the entries; when it comes
        # back, what it still had queued must reach no caller.
        site = self.start()
        running = self.traffic('pauses')
        gevent.sleep(FAULT_AFTER_S)
        site.system['am1'].pause()
        finish(running)
        site.system['am1'].resume()
        site.wait_open()
        later = finish(self.traffic('after-pause', count=20))
        self.assert_all_answered(later)
        self.assert_sound()

    def test_agent_leaves_under_traffic(self):
        # An instance is drained while streams come from it: each of them
        # ends whole, and no new work arrives after a few seconds.
        site = self.start(token_interval_s=0.03)
        running = self.traffic('leaves', count=80)
        gevent.sleep(FAULT_AFTER_S)
        site.stop_agent('m1')
        made = finish(running)
        self.assertEqual(0, site.system['am1'].wait())
        self.assert_all_answered(made)
        self.assert_sound()


class EntryFailureTest(FailureCase):
    def test_entry_dies_under_traffic(self):
        # Callers of the entry that dies see their connection cut; those of
        # the other one notice nothing.
        site = self.start()
        running = self.traffic('entry-dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('e1')
        made = finish(running)
        self.assert_sound()
        self.assert_all_answered([c for c in made if c.entry == 'e2'])

    def test_entry_leaves_under_traffic(self):
        # An entry is replaced: whoever it had taken on gets the whole
        # answer, and whoever comes later is told that it was not run.
        site = self.start(token_interval_s=0.03)
        running = [
            site.spawn('e1', calls.completion(f'l{n}', 'story', stream=True))
            for n in range(20)
        ]
        harness.wait_until(lambda: len(site.system.runs()) > 5, 'runs begin')
        site.system['e1'].terminate()
        made = finish(running)
        self.assertEqual(0, site.system['e1'].wait())
        self.assert_sound()
        self.assertLessEqual(
            {call.outcome for call in made}, {calls.ANSWERED, calls.NOT_RUN}
        )


class LongAnswerTest(unittest.TestCase):
    def test_a_leaving_entry_writes_its_last_answer_to_the_end(self):
        """A caller reads a long answer slowly while its entry leaves.

        The entry waited a second for it, with most of its time to drain left,
        and its end cut the answer off.
        """
        system = harness.System()
        self.addCleanup(system.close)
        system.add_platform()
        url = system.add_entry('e1', max_body_bytes=2 * ECHO_BYTES)
        system.add_service('s1', 'proofs')
        system.add_agent('as1', 's1', services='proofs')
        digest = blake3.blake3(BEARER.encode()).hexdigest()
        system.set_row('customer', 'lindwurm', key_digests=digest)
        system.set_row('service', 'proofs', idempotent='true')
        spec = calls.service('x' * ECHO_BYTES, 'proofs')
        harness.wait_until(
            lambda: calls.send(url, BEARER, spec).outcome == calls.ANSWERED,
            'proofs are served',
        )
        headers = calls.request_headers(spec, BEARER)
        lines = [f'{name}: {value}' for name, value in headers.items()]
        lines.append(f'Content-Length: {ECHO_BYTES}')
        head = '\r\n'.join(['POST /v1/services/proofs/work HTTP/1.0', *lines])
        caller = socket.create_connection(
            (harness.ADDRESS, system['e1'].ports['http_port'])
        )
        self.addCleanup(caller.close)
        caller.sendall(f'{head}\r\n\r\n{spec.text}'.encode())
        harness.wait_until(
            lambda: system['e1'].log().count('event=request_finished') > 1,
            'the answer is known',
        )
        system['e1'].terminate()
        gevent.sleep(4.0)
        received = b''
        while data := caller.recv(65536):
            received += data
        self.assertGreater(len(received), ECHO_BYTES)
        self.assertEqual(0, system['e1'].wait())


class SilentConnectionTest(FailureCase):
    def test_links_go_silent_under_traffic(self):
        # Something between entries and an instance forgets their
        # connections: no error arrives, and new ones work. Whoever waits on
        # the old ones must hear within seconds.
        site = self.start(relayed=['m1'])
        running = self.traffic('silent')
        gevent.sleep(FAULT_AFTER_S)
        self.assertGreaterEqual(site.relays['m1'].silence(), 2)
        made = finish(running)
        self.assert_sound()
        plain = [call for call in made if not call.spec.stream]
        self.assert_all_answered(plain)
        later = finish(self.traffic('after-silence', count=20))
        self.assert_all_answered(later)
        self.assert_sound()


class TwoFaultsTest(FailureCase):
    def test_engine_dies_while_an_entry_dies(self):
        # A rack goes with an entry and an engine on it, in the same moment.
        site = self.start()
        running = self.traffic('rack')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m2')
        site.kill('e2')
        made = finish(running)
        self.assert_sound()
        others = [c for c in made if c.entry == 'e1' and not c.spec.stream]
        self.assert_all_answered(others)

    def test_agent_leaves_while_another_dies(self):
        # One instance is drained for a restart as its neighbour dies.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('both', count=80)
        gevent.sleep(0.6)
        site.stop_agent('m1')
        gevent.sleep(0.2)
        site.kill('am2')
        finish(running)
        self.assertEqual(0, site.system['am1'].wait())
        self.assert_sound()

    def test_switch_while_an_agent_pauses(self):
        # An agent is paused before a version arrives and comes back when
        # all others serve the new one.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('old')
        gevent.sleep(0.5)
        site.system['am3'].pause()
        site.set_model(2)
        site.wait_open(['am1', 'am2'])
        site.system['am3'].resume()
        finish(running)
        site.wait_open()
        later = finish(self.traffic('new', count=30))
        self.assert_all_answered(later)
        self.assert_sound()
        self.assertEqual(
            {site.digests['story']}, {call.digest for call in later}
        )

    def test_log_outage_while_an_engine_dies(self):
        # The log is away, so no new row arrives; what runs must go on.
        site = self.start()
        site.system.set_faults('log', outage=True)
        running = self.traffic('outage')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m1')
        made = finish(running)
        plain = [call for call in made if not call.spec.stream]
        self.assert_all_answered(plain)
        self.assert_sound()


class VersionSwitchTest(FailureCase):
    def test_switch_in_mid_stream(self):
        # A new version arrives while long answers are being streamed. Each
        # answer must come whole from one of the two.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('switch', count=80)
        gevent.sleep(0.5)
        site.set_model(2)
        made = finish(running)
        site.wait_open()
        self.assert_all_answered(made)
        last = site.send_until_run('e1', calls.completion('after', 'story'))
        self.assertEqual(site.digests['story'], last.digest)
        self.assert_sound()
