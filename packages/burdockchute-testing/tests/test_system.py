"""A whole site at work: real processes, no faults."""

from __future__ import annotations

import unittest

from burdockchute_testing import calls
from burdockchute_testing import client
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
        asks = [
            (
                f'e{number % 2 + 1}',
                calls.completion(
                    f'both-{number}', 'story', stream=number % 3 > 0
                ),
            )
            for number in range(24)
        ]
        made = self.site.send_all(asks)
        self.assertEqual(['answered'] * 24, [call.outcome for call in made])

    def test_adapter_names_both_digests(self):
        system = self.site.system
        digest = system.publish('rhymes', 50_000, 65_536, 9)
        system.set_row(
            'adapter', 'rhymes', version='v1', digest=digest, base='story'
        )
        ask = calls.completion(
            'adapted', 'story', adapter='rhymes', stream=True
        )
        call = self.site.insist('e1', ask)
        self.assertEqual('answered', call.outcome, call.error)
        self.assertEqual(
            (self.site.digests['story'], digest),
            (call.digest, call.adapter_digest),
        )

    def test_bad_requests_are_told_where(self):
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
