"""An in-memory copy of one set of weights, complete or partial.

Only chunks that match the manifest are added, so everything read from a copy
is verified. Nothing is written to disk. `release` frees the memory at once
and makes the copy refuse further chunks, since a late chunk must not allocate
memory again for a copy that is no longer needed.
"""

from __future__ import annotations

from collections.abc import Iterator

from burdockchute.weights import manifest as manifests
from burdockchute.weights.manifest import Manifest


class Copy:
    """Verified chunks of one manifest."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.held_bytes = 0
        self.held_count = 0
        self._chunks: list[bytes | None] = [None] * len(manifest.chunks)
        self._released = False

    def add(self, index: int, data: bytes) -> bool:
        """Add a chunk; False if it does not match or the copy is released."""
        if self._released:
            return False
        if not manifests.check_chunk(self.manifest, index, data):
            return False
        if self._chunks[index] is None:
            self._chunks[index] = data
            self.held_bytes += len(data)
            self.held_count += 1
        return True

    def chunk(self, index: int) -> bytes | None:
        """Return a chunk, or None if it is not held."""
        if not 0 <= index < len(self._chunks):
            return None
        return self._chunks[index]

    def has_chunk(self, index: int) -> bool:
        """Whether a chunk is held."""
        return self.chunk(index) is not None

    @property
    def complete(self) -> bool:
        """Whether every chunk is held and verified."""
        return (
            not self._released
            and bool(self._chunks)
            and self.held_count == len(self._chunks)
        )

    def bitmap(self) -> bytes:
        """Return one bit for each chunk, starting with bit 0 of byte 0."""
        return pack_bitmap([chunk is not None for chunk in self._chunks])

    def release(self) -> None:
        """Free the memory; the copy then accepts and returns no chunks."""
        self._released = True
        self._chunks = [None] * len(self._chunks)
        self.held_bytes = 0
        self.held_count = 0

    def content(self) -> Iterator[bytes]:
        """Return all chunks in order; raises ValueError if incomplete.

        The iterator has its own list of the chunks, so a reader still gets
        the complete content if the copy is released meanwhile.
        """
        if not self.complete:
            raise ValueError(f'copy of {self.manifest.digest!r} is not whole')
        return iter([chunk for chunk in self._chunks if chunk is not None])


def pack_bitmap(bits: list[bool]) -> bytes:
    """Return the bytes of a bitmap.

    >>> pack_bitmap([True, False, True])
    b'\\x05'
    """
    packed = bytearray(-(-len(bits) // 8))
    for index, bit in enumerate(bits):
        if bit:
            packed[index // 8] |= 1 << index % 8
    return bytes(packed)


def unpack_bitmap(bitmap: bytes, count: int) -> frozenset[int]:
    """Return the indices below `count` whose bit is set."""
    return frozenset(
        index
        for index in range(min(count, 8 * len(bitmap)))
        if bitmap[index // 8] >> index % 8 & 1
    )
