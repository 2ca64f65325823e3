"""Real processes under faults: the recorded history must stay valid."""

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
from burdockchute_testing.site import join_all
from burdockchute_testing.site import Site

ENTRIES = ('e1', 'e2')
# Callers start within this time; the fault is injected in the middle of it.
START_SPREAD_S = 1.2
FAULT_AFTER_S = 0.5
# More than the buffers of a connection hold.
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
            started.append(self._spawn_later(rng, rng.choice(ENTRIES), spec))
        return started

    def _spawn_later(
        self, rng: random.Random, entry: str, spec: calls.CallSpec
    ) -> gevent.Greenlet:
        return gevent.spawn_later(
            rng.uniform(0, START_SPREAD_S),
            self.site.send_until_run,
            entry,
            spec,
        )

    def assert_sound(self) -> None:
        self.assertEqual([], self.site.findings())

    def assert_all_answered(self, completed: list[Call]) -> None:
        others = [call for call in completed if call.outcome != calls.ANSWERED]
        self.assertEqual([], others)


class UpstreamFailureTest(FailureCase):
    def test_engine_dies_under_traffic(self):
        # An instance dies with requests in flight. Those without a part of
        # their answer run elsewhere; a started stream is reported as broken.
        site = self.start()
        running = self.traffic('dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m1')
        completed = join_all(running)
        self.assert_sound()
        interrupted = [
            call for call in completed if call.outcome == calls.UNKNOWN
        ]
        self.assertEqual(
            [],
            [call for call in interrupted if not call.spec.stream],
            interrupted,
        )
        answered = [
            call for call in completed if call.outcome == calls.ANSWERED
        ]
        self.assertEqual(len(completed), len(answered) + len(interrupted))

    def test_engine_hangs_under_traffic(self):
        # An engine hangs in the middle of its requests. They must not wait
        # for ever, and new ones go elsewhere.
        site = self.start()
        running = self.traffic('hangs')
        gevent.sleep(FAULT_AFTER_S)
        site.system['m1'].pause()
        join_all(running)
        self.assert_sound()
        later = site.send_until_run('e1', calls.completion('later', 'story'))
        self.assertEqual(calls.ANSWERED, later.outcome)

    def test_poison_request_among_good_ones(self):
        # One prompt crashes each engine that runs it, and its caller sends it
        # again. Unless it is refused, it takes down one engine after the
        # other, with all their other requests.
        site = self.start(engines=4)
        for name in site.engines:
            site.system.set_faults(name, crash_word='POISON')
        running = self.traffic('good', count=40)
        gevent.sleep(0.5)
        poison = calls.completion('poison', 'story', 'POISON')
        sent = [site.send('e1', poison) for _ in range(4)]
        self.assertNotIn(calls.ANSWERED, {call.outcome for call in sent})
        completed = join_all(running)
        self.assert_sound()
        dead = [m for m in site.engines if site.system[m].status is not None]
        self.assertLessEqual(len(dead), 2, dead)
        plain = [call for call in completed if not call.spec.stream]
        self.assert_all_answered(plain)


class AgentFailureTest(FailureCase):
    def test_agent_dies_under_traffic(self):
        # The agent of an engine dies; the engine itself keeps running.
        site = self.start()
        running = self.traffic('agent-dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('am1')
        join_all(running)
        self.assert_sound()

    def test_agent_pauses_and_comes_back(self):
        # An agent is paused for longer than the silence timeout of its links.
        # The entries decide the outcome of its requests; when it resumes, the
        # answers that it still has queued must not reach a caller.
        site = self.start()
        running = self.traffic('pauses')
        gevent.sleep(FAULT_AFTER_S)
        site.system['am1'].pause()
        join_all(running)
        site.system['am1'].resume()
        site.wait_open()
        later = join_all(self.traffic('after-pause', count=20))
        self.assert_all_answered(later)
        self.assert_sound()

    def test_agent_leaves_under_traffic(self):
        # An instance is drained while it streams answers: each stream is
        # completed, and no new work arrives after a few seconds.
        site = self.start(token_interval_s=0.03)
        running = self.traffic('leaves', count=80)
        gevent.sleep(FAULT_AFTER_S)
        site.stop_agent('m1')
        completed = join_all(running)
        self.assertEqual(0, site.system['am1'].wait())
        self.assert_all_answered(completed)
        self.assert_sound()


class EntryFailureTest(FailureCase):
    def test_entry_dies_under_traffic(self):
        # Callers of the killed entry see their connection cut; callers of the
        # other one are not affected.
        site = self.start()
        running = self.traffic('entry-dies')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('e1')
        completed = join_all(running)
        self.assert_sound()
        self.assert_all_answered([c for c in completed if c.entry == 'e2'])

    def test_entry_leaves_under_traffic(self):
        # An entry is replaced: requests that it has accepted get a complete
        # answer, and later ones are refused as not run.
        site = self.start(token_interval_s=0.03)
        running = [
            site.spawn('e1', calls.completion(f'l{n}', 'story', stream=True))
            for n in range(20)
        ]
        harness.wait_until(lambda: len(site.system.runs()) > 5, 'runs begin')
        site.system['e1'].terminate()
        completed = join_all(running)
        self.assertEqual(0, site.system['e1'].wait())
        self.assert_sound()
        self.assertLessEqual(
            {call.outcome for call in completed},
            {calls.ANSWERED, calls.NOT_RUN},
        )


class LongAnswerTest(unittest.TestCase):
    def test_a_leaving_entry_writes_its_last_answer_to_the_end(self):
        """A caller reads a long answer slowly while its entry shuts down.

        The entry waited only a second, with most of its drain time left, and
        its exit cut the answer off.
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
        request_head = '\r\n'.join(
            ['POST /v1/services/proofs/work HTTP/1.0', *lines]
        )
        caller = socket.create_connection(
            (harness.ADDRESS, system['e1'].ports['http_port'])
        )
        self.addCleanup(caller.close)
        caller.sendall(f'{request_head}\r\n\r\n{spec.text}'.encode())
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


class UploadTest(unittest.TestCase):
    def test_a_leaving_entry_answers_a_head_under_way(self):
        """A caller sends a head slowly while its entry shuts down.

        The entry counted requests once their heads were whole, and its exit
        closed the connection in the middle of a head.
        """
        system = harness.System()
        self.addCleanup(system.close)
        system.add_platform()
        url = system.add_entry('e1')
        system.add_service('s1', 'proofs')
        system.add_agent('as1', 's1', services='proofs')
        digest = blake3.blake3(BEARER.encode()).hexdigest()
        system.set_row('customer', 'lindwurm', key_digests=digest)
        system.set_row('service', 'proofs', idempotent='true')
        spec = calls.service('x' * 400, 'proofs')
        harness.wait_until(
            lambda: calls.send(url, BEARER, spec).outcome == calls.ANSWERED,
            'proofs are served',
        )
        headers = calls.request_headers(spec, BEARER)
        lines = [f'{name}: {value}' for name, value in headers.items()]
        lines += ['Host: h', f'Content-Length: {len(spec.text)}']
        request_head = '\r\n'.join(
            ['POST /v1/services/proofs/work HTTP/1.1', *lines]
        )
        address = (harness.ADDRESS, system['e1'].ports['http_port'])
        caller, idle = (socket.create_connection(address) for _ in range(2))
        self.addCleanup(caller.close)
        self.addCleanup(idle.close)
        text = f'{request_head}\r\n\r\n'.encode()
        parts = [text[at : at + 20] for at in range(0, len(text), 20)]
        caller.sendall(parts[0])
        gevent.sleep(0.1)
        system['e1'].terminate()
        for part in parts[1:]:
            gevent.sleep(3.0 / len(parts))
            caller.sendall(part)
        caller.sendall(spec.text.encode())
        received = b''
        while data := caller.recv(65536):
            received += data
        self.assertIn(b' 503 ', received)
        self.assertIn(b'Connection: close', received)
        self.assertEqual(b'', idle.recv(100))
        self.assertEqual(0, system['e1'].wait())
        self.assertIn('event=stopped left=0', system['e1'].log())


class SilentConnectionTest(FailureCase):
    def test_links_go_silent_under_traffic(self):
        # A device between the entries and an instance loses its connection
        # state: no error arrives, and new connections work. Requests on the
        # old ones must end within seconds.
        site = self.start(relayed=['m1'])
        running = self.traffic('silent')
        gevent.sleep(FAULT_AFTER_S)
        self.assertGreaterEqual(site.relays['m1'].silence(), 2)
        completed = join_all(running)
        self.assert_sound()
        plain = [call for call in completed if not call.spec.stream]
        self.assert_all_answered(plain)
        later = join_all(self.traffic('after-silence', count=20))
        self.assert_all_answered(later)
        self.assert_sound()


class TwoFaultsTest(FailureCase):
    def test_engine_dies_while_an_entry_dies(self):
        # A rack with an entry and an engine fails.
        site = self.start()
        running = self.traffic('rack')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m2')
        site.kill('e2')
        completed = join_all(running)
        self.assert_sound()
        others = [
            c for c in completed if c.entry == 'e1' and not c.spec.stream
        ]
        self.assert_all_answered(others)

    def test_agent_leaves_while_another_dies(self):
        # One instance is drained for a restart while another one dies.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('both', count=80)
        gevent.sleep(0.6)
        site.stop_agent('m1')
        gevent.sleep(0.2)
        site.kill('am2')
        join_all(running)
        self.assertEqual(0, site.system['am1'].wait())
        self.assert_sound()

    def test_switch_while_an_agent_pauses(self):
        # An agent is paused before a version is named and resumes when all
        # others serve the new version.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('old')
        gevent.sleep(0.5)
        site.system['am3'].pause()
        site.set_model(2)
        site.wait_open(['am1', 'am2'])
        site.system['am3'].resume()
        join_all(running)
        site.wait_open()
        later = join_all(self.traffic('new', count=30))
        self.assert_all_answered(later)
        self.assert_sound()
        self.assertEqual(
            {site.digests['story']}, {call.digest for call in later}
        )

    def test_log_outage_while_an_engine_dies(self):
        # The log is unavailable, so no new row arrives; running requests must
        # not be affected.
        site = self.start()
        site.system.set_faults('log', outage=True)
        running = self.traffic('outage')
        gevent.sleep(FAULT_AFTER_S)
        site.kill('m1')
        completed = join_all(running)
        plain = [call for call in completed if not call.spec.stream]
        self.assert_all_answered(plain)
        self.assert_sound()


class VersionSwitchTest(FailureCase):
    def test_switch_in_mid_stream(self):
        # A new version is named while long answers are streamed. Each answer
        # must come completely from one of the two versions.
        site = self.start(token_interval_s=0.02)
        running = self.traffic('switch', count=80)
        gevent.sleep(0.5)
        site.set_model(2)
        completed = join_all(running)
        site.wait_open()
        self.assert_all_answered(completed)
        last = site.send_until_run('e1', calls.completion('after', 'story'))
        self.assertEqual(site.digests['story'], last.digest)
        self.assert_sound()
