"""A stand-in for the platform's weight store, the origin of weights."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import random
import re
import time
from typing import Any

import gevent

from burdockchute_testing import fake_weights
from burdockchute_testing.standins import buckets
from burdockchute_testing.standins import serving

PIECE_BYTES = 64 * 1024
BYTES_TYPE = 'application/octet-stream'

FAULTS: dict[str, Any] = {
    'outage': False,
    'slow_s': 0.0,
    'corrupt': 0.0,  # share of blob reads with one byte changed
    'lose_replies': 0.0,
    'bytes_per_s': None,
    'seed': None,
}

_RANGE = re.compile(r'bytes=(\d+)-(\d*)$')


class WeightStore:
    """Published weights with a bandwidth limit and read statistics."""

    def __init__(
        self,
        seed: int = 1,
        bytes_per_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self._rate = bytes_per_s
        self._bucket = buckets.Bucket(bytes_per_s, clock())
        self._weights: dict[str, fake_weights.Weights] = {}
        self._manifests: dict[str, dict[str, Any]] = {}
        self._faults = dict(FAULTS)
        self._reads = 0
        self._bytes_read = 0
        self._by_digest: dict[str, int] = {}

    def publish(self, document: dict[str, Any]) -> str:
        """Publish synthetic weights and return their digest.

        `document` has the fields "name", "size", "chunk_size" and "seed".
        """
        try:
            weights = fake_weights.Weights(
                str(document['name']),
                int(document['size']),
                int(document['chunk_size']),
                int(document['seed']),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise serving.BadRequest(f'body: {exc!r}') from exc
        if weights.size < 1 or weights.chunk_size < 1:
            raise serving.BadRequest('body: sizes must be over 0')
        manifest = fake_weights.manifest_of(weights)
        self._weights[manifest['digest']] = weights
        self._manifests[manifest['digest']] = manifest
        return manifest['digest']

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        if request.path == '/faults':
            return self._set_faults(request)
        if request.path == '/stats':
            return serving.json_reply(200, self._stats())
        if request.path in ('/models', '/adapters'):
            digest = self.publish(serving.parse_document(request))
            return serving.json_reply(200, {'digest': digest})
        gevent.sleep(self._faults['slow_s'])
        if self._faults['outage']:
            return serving.json_reply(
                503, {'error': 'outage'}, Retry_After='1'
            )
        return self._answer(request)

    def _answer(self, request: serving.Request) -> serving.Reply:
        resource, _, digest = request.path.strip('/').partition('/')
        if (
            resource not in ('manifests', 'blobs')
            or digest not in self._weights
        ):
            return serving.json_reply(
                404, {'error': f'no {resource} {digest!r}'}
            )
        if resource == 'manifests':
            manifest = self._manifests[digest]
            self._maybe_lose_reply()
            return serving.json_reply(200, manifest)
        return self._blob(digest, request)

    def _blob(self, digest: str, request: serving.Request) -> serving.Reply:
        weights = self._weights[digest]
        byte_range = _range_of(request, weights.size)
        if byte_range is None:
            return serving.json_reply(416, {'size': weights.size})
        start, stop = byte_range
        self._reads += 1
        if self._rng.random() < self._faults['lose_replies']:
            self._count(digest, stop - start)
            raise serving.LostReply
        corrupt_at = -1
        if self._rng.random() < self._faults['corrupt']:
            corrupt_at = self._rng.randrange(start, stop)
        return serving.Reply(
            206 if 'range' in request.headers else 200,
            self._pieces(digest, start, stop, corrupt_at),
            BYTES_TYPE,
            (
                ('Content-Length', str(stop - start)),
                ('Content-Range', f'bytes {start}-{stop - 1}/{weights.size}'),
            ),
        )

    def _pieces(
        self, digest: str, start: int, stop: int, corrupt_at: int
    ) -> Iterator[bytes]:
        for at in range(start, stop, PIECE_BYTES):
            end = min(at + PIECE_BYTES, stop)
            gevent.sleep(self._bucket.wait_s(end - at, self._clock()))
            piece = fake_weights.read(self._weights[digest], at, end)
            if at <= corrupt_at < end:
                piece = _flip(piece, corrupt_at - at)
            self._count(digest, len(piece))
            yield piece

    def _count(self, digest: str, size: int) -> None:
        self._bytes_read += size
        previous = self._by_digest.get(digest, 0)
        self._by_digest[digest] = previous + size

    def _maybe_lose_reply(self) -> None:
        if self._rng.random() < self._faults['lose_replies']:
            raise serving.LostReply

    def _stats(self) -> dict[str, Any]:
        return {
            'bytes_read': self._bytes_read,
            'reads': self._reads,
            'by_digest': self._by_digest,
        }

    def _set_faults(self, request: serving.Request) -> serving.Reply:
        faults = serving.merge_faults(FAULTS, request)
        if faults['seed'] is not None:
            self._rng = random.Random(faults['seed'])
        rate = faults['bytes_per_s']
        rate = self._rate if rate is None else rate
        if rate != self._bucket.rate:
            self._bucket = buckets.Bucket(rate, self._clock())
        self._faults = faults
        return serving.json_reply(200, {})


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.make_parser(__doc__)
    parser.add_argument('--bytes-per-s', type=float, default=0.0)
    args = parser.parse_args()
    serving.run(WeightStore(args.seed, args.bytes_per_s).handle, args)


def _range_of(request: serving.Request, size: int) -> tuple[int, int] | None:
    text = request.headers.get('range')
    if text is None:
        return 0, size
    found = _RANGE.match(text)
    if found is None:
        return None
    start = int(found[1])
    stop = min(size, int(found[2]) + 1) if found[2] else size
    return (start, stop) if start < stop else None


def _flip(piece: bytes, index: int) -> bytes:
    changed = bytearray(piece)
    changed[index] ^= 0xFF
    return bytes(changed)


if __name__ == '__main__':
    main()
