"""Validation of callers' requests."""

from __future__ import annotations

import unittest

import blake3

from burdockchute.callers import parse
from burdockchute_testing.builders import requests


def received(**changes):
    base = parse.ReceivedRequest(
        'r1', 'POST', '/v1/completions', {}, b'{}', now=100.0
    )
    return base._replace(**changes)


class ParseTest(unittest.TestCase):
    def test_complete_request(self):
        body = b'{"model": "story", "prompt": "one two", "max_tokens": 7}'
        ctx = parse.parse_request(
            received(
                body=body,
                headers={
                    'Burdockchute-Deadline-Ms': '2500',
                    'Burdockchute-Priority': '-3',
                },
            ),
            requests.LINDWURM._replace(priority=5),
            requests.table_of(),
            60.0,
        ).unwrap()
        self.assertEqual(102.5, ctx.deadline)
        self.assertEqual(2, ctx.priority)
        self.assertEqual((2, 7), (ctx.prompt_tokens, ctx.max_tokens))
        self.assertEqual(('model', 'story'), (ctx.kind, ctx.target))
        self.assertTrue(ctx.idempotent)

    def test_caller_can_not_raise_its_priority(self):
        rejected = parse.parse_request(
            received(headers={'Burdockchute-Priority': '1'}),
            requests.LINDWURM,
            requests.table_of(),
            60.0,
        ).failure()
        self.assertEqual('Burdockchute-Priority', rejected.findings[0].place)

    def test_prefixes_are_of_complete_blocks(self):
        words = [f'w{n}' for n in range(130)]
        first = blake3.blake3(' '.join(words[:64]).encode()).hexdigest()
        second = blake3.blake3(' '.join(words[:128]).encode()).hexdigest()
        self.assertEqual(
            (first, second), parse.prefix_digests(' '.join(words))
        )
        self.assertEqual((), parse.prefix_digests('short'))

    def test_fingerprints_differ_by_customer_target_and_body(self):
        table = requests.table_of()
        body = b'{"model": "story", "prompt": "a"}'
        seen = {
            parse.parse_request(received(body=text), customer, table, 1.0)
            .unwrap()
            .fingerprint
            for customer in (requests.LINDWURM, requests.SAHYOG)
            for text in (body, body + b' ')
        }
        self.assertEqual(4, len(seen))
