"""Manifests, and copies verified against them."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from burdockchute.weights import copies
from burdockchute.weights import manifest as manifests

CONTENT = bytes(range(10))
MANIFEST = manifests.build('story', CONTENT, 4)


class ManifestTest(unittest.TestCase):
    def test_document_is_read_back(self):
        document = manifests.serialize_manifest(MANIFEST)
        self.assertEqual(
            Success(MANIFEST), manifests.parse(document, MANIFEST.digest)
        )

    def test_changed_manifest_is_refused(self):
        # The store returns a manifest with other chunks. The agent would take
        # them for the weights of the row.
        document = json.loads(manifests.serialize_manifest(MANIFEST))
        document['chunks'][0] = manifests.digest_of(b'other')
        found = manifests.parse(
            json.dumps(document).encode(), MANIFEST.digest
        ).failure()
        self.assertEqual(
            [f'manifest {MANIFEST.digest}'], [f.place for f in found]
        )
        self.assertIn('content has the digest', found[0].text)

    def test_findings_come_together(self):
        document = json.loads(manifests.serialize_manifest(MANIFEST))
        document['size'] = 99
        found = manifests.parse(
            json.dumps(document).encode(), MANIFEST.digest
        ).failure()
        self.assertEqual('3 chunks for 99 bytes', found[0].text)
        self.assertEqual(2, len(found))

    def test_garbage_is_refused(self):
        for data in (b'', b'[]', b'{"name": 1}', b'\xff'):
            with self.subTest(data=data):
                found = manifests.parse(data, 'd').failure()
                self.assertIn('is no manifest', found[0].text)

    @given(
        st.sampled_from(['name', 'size', 'chunk_size', 'chunks', 'hash']),
        st.sampled_from(
            [None, {}, [[]], '\ud800', ['\ud800'], float('inf'), 10**400, -1]
        ),
    )
    def test_foreign_values_of_a_peer_are_findings(self, field, value):
        """A manifest of a peer with such a value ended the agent."""
        document = json.loads(manifests.serialize_manifest(MANIFEST))
        document = {'hash': manifests.SHA256} | document | {field: value}
        data = json.dumps(document).encode()
        for parse in (manifests.parse, manifests.parse_unverified):
            result = parse(data, MANIFEST.digest)
            if isinstance(result, Success):
                manifests.serialize_manifest(result.unwrap())

    def test_deeply_nested_manifest_is_refused(self):
        found = manifests.parse_unverified(b'[' * 10_000, 'd').failure()
        self.assertIn('is no manifest', found[0].text)


class CopyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.copy = copies.Copy(MANIFEST)

    def test_complete_copy_returns_the_content(self):
        for index in (2, 0, 1):
            start, end = manifests.chunk_range(MANIFEST, index)
            self.assertTrue(self.copy.add(index, CONTENT[start:end]))
        self.assertTrue(self.copy.complete)
        self.assertEqual(CONTENT, b''.join(self.copy.content()))

    def test_corrupt_chunk_is_not_taken(self):
        # A bit flips in transit. The copy must neither count nor serve the
        # chunk.
        self.assertFalse(self.copy.add(0, b'\x00\x01\x02\x07'))
        self.assertFalse(self.copy.add(7, b''))
        self.assertEqual((0, 0), (self.copy.held_count, self.copy.held_bytes))

    def test_incomplete_copy_returns_no_content(self):
        self.copy.add(0, CONTENT[:4])
        with self.assertRaisesRegex(ValueError, 'is not whole'):
            self.copy.content()

    def test_released_copy_stays_empty(self):
        # A version is cancelled while one of its chunks is in transit. If the
        # chunk were added, its memory would never be freed.
        self.copy.add(0, CONTENT[:4])
        self.copy.release()
        self.assertFalse(self.copy.add(1, CONTENT[4:8]))
        self.assertEqual(0, self.copy.held_bytes)
        self.assertFalse(self.copy.complete)

    @given(st.lists(st.booleans(), max_size=40))
    def test_bitmap_is_read_back(self, bits: list[bool]):
        wanted = {index for index, bit in enumerate(bits) if bit}
        packed = copies.pack_bitmap(bits)
        self.assertEqual(wanted, copies.unpack_bitmap(packed, len(bits)))
