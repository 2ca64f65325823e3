"""A complete site of real processes, without faults."""

from __future__ import annotations

import unittest

import blake3

from burdockchute_testing import calls
from burdockchute_testing import client
from burdockchute_testing import harness
from burdockchute_testing.site import Site


class SystemTest(unittest.TestCase):
    site: Site

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = Site(engines=2)
        cls.addClassCleanup(cls.site.close)

    def tearDown(self) -> None:
        self.assertEqual([], self.site.findings())

    def test_plain_and_streamed_at_both_entries(self):
        specs = [
            (
                f'e{number % 2 + 1}',
                calls.completion(
                    f'both-{number}', 'story', stream=number % 3 > 0
                ),
            )
            for number in range(24)
        ]
        sent = self.site.send_all(specs)
        self.assertEqual(['answered'] * 24, [call.outcome for call in sent])

    def test_adapter_names_both_digests(self):
        system = self.site.system
        digest = system.publish('rhymes', 50_000, 65_536, 9)
        system.set_row(
            'adapter', 'rhymes', version='v1', digest=digest, base='story'
        )
        spec = calls.completion(
            'adapted', 'story', adapter='rhymes', stream=True
        )
        call = self.site.send_until_run('e1', spec)
        self.assertEqual('answered', call.outcome, call.error)
        self.assertEqual(
            (self.site.digests['story'], digest),
            (call.digest, call.adapter_digest),
        )

    def test_bad_request_is_answered_with_the_place(self):
        url = self.site.system.url('e1', 'http_port') + '/v1/completions'
        body = {'model': 'story', 'prompt': 'hello'}
        key = {'Authorization': 'Bearer key-of-lindwurm'}
        cases = (
            (401, body, {'Authorization': 'Bearer wrong'}),
            (404, {**body, 'model': 'storyy'}, key),
            (400, {**body, 'prompt': 7}, key),
            (413, {**body, 'prompt': 'x' * 2_000_000}, key),
        )
        for status, document, headers in cases:
            with self.subTest(status):
                got = client.post(url, document, headers)
                self.assertEqual(status, got.status, got.body)
                self.assertIn('place', got.json()['error'])
                self.assertEqual(
                    'not-run', got.headers['burdockchute-outcome']
                )

    def test_disconnected_caller_frees_its_slot(self):
        # A caller closes its page during a long answer. Otherwise the engine
        # would generate the remainder for no caller.
        spec = calls.completion('gone', 'story', max_tokens=900, stream=True)
        url = self.site.system.url('e1', 'http_port') + '/v1/completions'
        stream = client.Stream(
            url,
            calls.completion_body(spec),
            calls.request_headers(spec, 'key-of-lindwurm'),
        )
        next(stream.events())
        stream.close()
        harness.wait_until(
            lambda: self.run_states('gone') == ['cancelled'], 'it is cancelled'
        )

    def test_flooding_customer_gets_a_retry_time(self):
        # One customer's script sends as fast as it can. Requests over its
        # rate limit are refused at once instead of delayed.
        system = self.site.system
        key = blake3.blake3(b'key-of-sahyog').hexdigest()
        system.set_row('customer', 'sahyog', key_digests=key, requests_per_s=2)
        url = system.url('e2', 'http_port')
        spec = calls.completion('probe', 'story')
        harness.wait_until(
            lambda: calls.send(url, 'key-of-sahyog', spec).status != 401,
            'the row is in force',
        )
        sent = [
            calls.send(
                url, 'key-of-sahyog', calls.completion(f'f{n}', 'story')
            )
            for n in range(40)
        ]
        refused = [call for call in sent if call.status == 429]
        self.assertGreater(len(refused), 0)
        results = {(c.outcome, c.retry_after != '') for c in refused}
        self.assertEqual({('not-run', True)}, results)
        ran = {run['prompt'] for run in system.runs() if 'prompt' in run}
        self.assertEqual([], [c for c in refused if c.spec.text in ran])

    def run_states(self, text: str) -> list[str]:
        return [
            run['how']
            for run in self.site.system.runs()
            if run.get('prompt') == text
        ]
