"""Manifests, which list the chunks of one set of weights.

A row of the table names a root digest. The root digest is the blake3 digest
of the manifest, and the manifest has the blake3 digest of every chunk, so
with the root digest every byte can be verified, whatever its source.

>>> manifest = build('story', b'abcdef', chunk_size=4)
>>> [chunk_range(manifest, index) for index in range(2)]
[(0, 4), (4, 6)]
>>> check_chunk(manifest, 1, b'ef'), check_chunk(manifest, 1, b'eF')
(True, False)
"""

from __future__ import annotations

import hashlib
import json
from typing import Any
from typing import NamedTuple

import blake3
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import documents
from burdockchute.model.findings import Finding
from burdockchute.model.findings import not_one_of

# The bitmap of more chunks would not fit into one small message; 65536 chunks
# of 8 MiB are 512 GiB.
MAX_CHUNKS = 65536
MAX_CHUNK_BYTES = 8 * 1024 * 1024


BLAKE3 = 'blake3'
SHA256 = 'sha256'


class Manifest(NamedTuple):
    """One set of weights: sizes in bytes, digests in lower-case hex.

    `hash` is the algorithm of the chunks' digests. If it is not blake3, the
    manifest comes from a platform with its own format, and `digest` is only
    the name of the copy within this system.
    """

    digest: str
    name: str
    size: int
    chunk_size: int
    chunks: tuple[str, ...]
    hash: str = BLAKE3


def build(name: str, content: bytes, chunk_size: int) -> Manifest:
    """Build the manifest of some content."""
    chunks = tuple(
        digest_of(content[start : start + chunk_size])
        for start in range(0, len(content), chunk_size)
    )
    without_digest = Manifest('', name, len(content), chunk_size, chunks)
    return without_digest._replace(digest=digest_of(canonical(without_digest)))


def canonical(manifest: Manifest) -> bytes:
    """Return the canonical bytes, of which the root digest is computed."""
    document = {
        'name': manifest.name,
        'size': manifest.size,
        'chunk_size': manifest.chunk_size,
        'chunks': list(manifest.chunks),
    }
    text = json.dumps(
        document, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )
    return text.encode()


def serialize_manifest(manifest: Manifest) -> bytes:
    """Return the manifest as served by the weight store, with its digest."""
    document = json.loads(canonical(manifest))
    document['digest'] = manifest.digest
    if manifest.hash != BLAKE3:
        document['hash'] = manifest.hash
    return json.dumps(document, sort_keys=True, separators=(',', ':')).encode()


def parse(data: bytes, digest: str) -> Result[Manifest, list[Finding]]:
    """Parse a manifest and verify it against the root digest of a row."""
    place = f'manifest {digest}'
    try:
        manifest = _parse_document(documents.load(data), digest)
    except documents.INVALID as exc:
        return Failure([Finding(place, f'is no manifest: {exc!r}')])
    found = shape_findings(manifest, place)
    actual = digest_of(canonical(manifest))
    if actual != digest:
        found.append(Finding(place, f'content has the digest {actual!r}'))
    return Failure(found) if found else Success(manifest)


def parse_unverified(
    data: bytes, digest: str
) -> Result[Manifest, list[Finding]]:
    """Parse a manifest from a peer that no root digest verifies.

    The peer read it from the origin, as this process would have. Its digests
    are only checked against the chunks, which must match them.
    """
    place = f'manifest {digest}'
    try:
        document = documents.load(data)
        manifest = _parse_document(document, digest)._replace(
            hash=str(document['hash'])
        )
    except documents.INVALID as exc:
        return Failure([Finding(place, f'is no manifest: {exc!r}')])
    found = shape_findings(manifest, place)
    if document.get('digest') != digest:
        found.append(Finding(place, f'is of {document.get("digest")!r}'))
    if manifest.hash not in _HASHES:
        found.append(Finding(place, not_one_of(manifest.hash, _HASHES)))
    return Failure(found) if found else Success(manifest)


def chunk_range(manifest: Manifest, index: int) -> tuple[int, int]:
    """Return the first byte of a chunk and the byte after its last."""
    start = index * manifest.chunk_size
    return start, min(start + manifest.chunk_size, manifest.size)


def chunk_bytes(manifest: Manifest, index: int) -> int:
    """Return the size of a chunk in bytes."""
    start, end = chunk_range(manifest, index)
    return end - start


def check_chunk(manifest: Manifest, index: int, data: bytes) -> bool:
    """Whether the bytes are that chunk, complete and unchanged."""
    if not 0 <= index < len(manifest.chunks):
        return False
    return _HASHES[manifest.hash](data) == manifest.chunks[index]


def digest_of(data: bytes) -> str:
    """Return the blake3 digest in hex."""
    return blake3.blake3(data).hexdigest()


def _sha256(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


_HASHES = {BLAKE3: digest_of, SHA256: _sha256}


def _parse_document(document: Any, digest: str) -> Manifest:
    manifest = Manifest(
        digest=digest,
        name=str(document['name']),
        size=int(document['size']),
        chunk_size=int(document['chunk_size']),
        chunks=tuple(str(chunk) for chunk in document['chunks']),
    )
    # Half of a surrogate pair fails each later encoding.
    canonical(manifest)
    return manifest


def shape_findings(manifest: Manifest, place: str) -> list[Finding]:
    """Return what is wrong with the sizes and the number of chunks."""
    found = []
    if not 0 < manifest.chunk_size <= MAX_CHUNK_BYTES:
        text = f'chunk_size {manifest.chunk_size!r} is not in 1 to '
        found.append(Finding(place, text + f'{MAX_CHUNK_BYTES}'))
        return found
    expected_chunks = -(-manifest.size // manifest.chunk_size)
    if manifest.size <= 0 or len(manifest.chunks) != expected_chunks:
        text = f'{len(manifest.chunks)!r} chunks for {manifest.size!r} bytes'
        found.append(Finding(place, text))
    if len(manifest.chunks) > MAX_CHUNKS:
        text = f'{len(manifest.chunks)!r} chunks are over {MAX_CHUNKS}'
        found.append(Finding(place, text))
    return found
