"""A copy of one set of weights in memory, whole or still growing.

Only chunks that match the manifest get in, so whatever a copy gives out is
verified. Nothing is written to disk. `release` frees the memory at once and
makes the copy refuse more, since a late chunk of an abandoned copy must not
bring it back.
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
        """Take a chunk if it is the right one; False if it is not."""
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
        """Give a chunk, or None if it is not held."""
        if not 0 <= index < len(self._chunks):
            return None
        return self._chunks[index]

    def has_chunk(self, index: int) -> bool:
        """Tell whether a chunk is held."""
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
        """Give one bit for each chunk, bit 0 of byte 0 first."""
        return pack_bitmap([chunk is not None for chunk in self._chunks])

    def release(self) -> None:
        """Free the memory; the copy takes and gives nothing after."""
        self._released = True
        self._chunks = [None] * len(self._chunks)
        self.held_bytes = 0
        self.held_count = 0

    def content(self) -> Iterator[bytes]:
        """Give all chunks in order; raises ValueError if it isn't whole.

        The chunks are taken at the start, so that a reader of a copy that is
        released meanwhile still gets the whole content.
        """
        if not self.complete:
            raise ValueError(f'copy of {self.manifest.digest!r} is not whole')
        return iter([chunk for chunk in self._chunks if chunk is not None])


def pack_bitmap(bits: list[bool]) -> bytes:
    """Give the bytes of a bitmap.

    >>> pack_bitmap([True, False, True])
    b'\\x05'
    """
    packed = bytearray(-(-len(bits) // 8))
    for index, bit in enumerate(bits):
        if bit:
            packed[index // 8] |= 1 << index % 8
    return bytes(packed)


def unpack_bitmap(bitmap: bytes, count: int) -> frozenset[int]:
    """Give the indices below `count` whose bit is set."""
    return frozenset(
        index
        for index in range(min(count, 8 * len(bitmap)))
        if bitmap[index // 8] >> index % 8 & 1
    )
