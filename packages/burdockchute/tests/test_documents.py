"""Decoders of the project's own protocol with documents of any content."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute import documents
from burdockchute.decisions import claims
from burdockchute.platform import instances
from burdockchute.platform import log
from burdockchute.upstreams import orders

VALUES = st.sampled_from(
    [None, True, '', 'x', [], {}, [[]], [{}], -1, 2**64, 10**400]
) | st.sampled_from([float('nan'), float('inf'), '\ud800', 'é'])
EXAMPLES = settings(max_examples=200, deadline=None)


def any_members(**samples):
    """Return a strategy for objects with members left out or foreign."""
    return st.fixed_dictionaries(
        {},
        optional={
            name: st.just(sample) | VALUES for name, sample in samples.items()
        },
    )


RECORD = any_members(offset=4, data='x')
MEMBER = any_members(name='a', role='agent', address='127.0.0.1', port=7)
WEIGHTS = any_members(kind='model', name='m', digest='d', base='')
STATE = any_members(fence=1, checks_fencing=True, loaded=[], loading=[])
OUTCOME = any_members(
    status=200, content_type='', body='eA==', digest='', adapter_digest=''
)


class DocumentsTest(unittest.TestCase):
    """Nothing but the errors of `documents` is raised, and no task ends."""

    @EXAMPLES
    @given(st.lists(RECORD, max_size=2) | VALUES, VALUES)
    def test_batches_of_the_log(self, items, following):
        log._parse_batch(items)
        batch = log._parse_batch({'records': items, 'next': following})
        for found in batch.value_or(log.Batch((), 0)).records:
            self.assertLess(found.offset, 2**63)

    @EXAMPLES
    @given(MEMBER | VALUES)
    def test_members_of_the_list(self, item):
        member = instances._parse_member(item)
        if member is not None:
            self.assertIn(member.port, range(65536))

    @EXAMPLES
    @given(STATE | VALUES, st.lists(WEIGHTS, max_size=2))
    def test_states_of_engines(self, state, loaded):
        for document in (state, {'fence': 1, 'loaded': loaded}):
            try:
                orders._parse_state(document)
            except documents.INVALID:
                pass

    @EXAMPLES
    @given(VALUES, OUTCOME | VALUES)
    def test_claims(self, value, outcome):
        text = json.dumps(outcome)
        items = [['claim', 'c', '1-k', 'a', 'd', text], [value] * 6, value]
        for acts in ([items[0]], [items[1]], items[2]):
            claims.decode_batch(json.dumps({'v': 1, 'acts': acts}))
        claims.decode_batch(json.dumps({'v': 1, 'acts': [['claim', value]]}))

    def test_bytes_that_are_no_document(self):
        for data in (b'[' * 10_000, b'\xff', '1'.encode('utf-16'), b''):
            with self.assertRaises(documents.INVALID):
                documents.load(data)
