"""Synthetic weights and manifests, generated without storage.

The bytes are the extended output of blake3 over the name, the size and the
version seed, so any range can be generated when it is read.
"""

from __future__ import annotations

from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

import blake3

_PIECE_BYTES = 1024 * 1024


class Weights(NamedTuple):
    """One set of synthetic weights; sizes are in bytes."""

    name: str
    size: int
    chunk_size: int
    seed: int


def read(weights: Weights, start: int, stop: int) -> bytes:
    """Return the bytes from `start` up to, but not including, `stop`."""
    stop = min(stop, weights.size)
    label = f'{weights.name}\0{weights.size}\0{weights.seed}'
    source = blake3.blake3(label.encode())
    return source.digest(length=max(0, stop - start), seek=start)


def read_pieces(weights: Weights, start: int = 0) -> Iterator[bytes]:
    """Yield all bytes from `start` on in pieces."""
    for at in range(start, weights.size, _PIECE_BYTES):
        yield read(weights, at, at + _PIECE_BYTES)


def manifest_of(weights: Weights) -> dict[str, Any]:
    """Return the manifest, including its root digest."""
    manifest: dict[str, Any] = {
        'name': weights.name,
        'size': weights.size,
        'chunk_size': weights.chunk_size,
        'chunks': [
            blake3.blake3(
                read(weights, at, at + weights.chunk_size)
            ).hexdigest()
            for at in range(0, weights.size, weights.chunk_size)
        ],
    }
    return {**manifest, 'digest': root_digest(manifest)}


def root_digest(manifest: dict[str, Any]) -> str:
    """Return the blake3 hash of the canonical manifest without its digest."""
    return blake3.blake3(canonical(manifest)).hexdigest()


def canonical(manifest: dict[str, Any]) -> bytes:
    """Return the bytes that the root digest is computed from."""
    rest = {k: v for k, v in manifest.items() if k != 'digest'}
    text = json.dumps(
        rest, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )
    return text.encode()
