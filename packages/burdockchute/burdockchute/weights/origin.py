"""Client of the weight store.

Each call returns a Result and raises no errors of the store or the network.
Of a chunk only the length is checked; its digest is compared by the reader.
"""

from __future__ import annotations

from typing import NamedTuple
from urllib import parse

from geventhttpclient import HTTPClient
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute import reply_limits
from burdockchute.model.findings import Finding
from burdockchute.model.findings import render_all
from burdockchute.weights import manifest as manifests
from burdockchute.weights.manifest import Manifest

CONNECT_TIMEOUT_S = 2.0
# The store is rate limited, so a healthy read may wait behind many others; a
# read that receives no byte for this long has failed. By then the next reader
# in order has taken over the chunk, so nothing waits for this timeout.
READ_TIMEOUT_S = 20.0
# What the chunks of a body take beside it, or the text of an error.
MAX_FRAMING_BYTES = 64 * 1024


class OriginError(NamedTuple):
    """A read from the store failed. `status` is 0 if there was no reply."""

    text: str
    status: int = 0


class Origin:
    """Connections to one weight store, for use by one task at a time."""

    def __init__(self, url: str, connections: int = 4) -> None:
        parts = parse.urlsplit(url)
        self.bytes_read = 0
        self._prefix = parts.path.rstrip('/')
        self._client = HTTPClient(
            parts.hostname or '',
            parts.port or 80,
            concurrency=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=READ_TIMEOUT_S,
        )
        reply_limits.limit_replies(self._client)

    def manifest(self, digest: str) -> Result[Manifest, OriginError]:
        """Read a manifest and verify it against its digest."""
        reply = self._get(
            f'/manifests/{digest}', {}, 200, reply_limits.MAX_BODY_BYTES
        )
        if isinstance(reply, Failure):
            return reply
        parsed = manifests.parse(reply.unwrap(), digest)
        return parsed.alt(_invalid_manifest)

    def chunk(
        self, manifest: Manifest, index: int
    ) -> Result[bytes, OriginError]:
        """Read one chunk; its length is checked, its digest is not."""
        start, end = manifests.chunk_range(manifest, index)
        headers = {'Range': f'bytes={start}-{end - 1}'}
        path = f'/blobs/{manifest.digest}'
        max_bytes = end - start + MAX_FRAMING_BYTES
        reply = self._get(path, headers, 206, max_bytes)
        if isinstance(reply, Failure):
            return reply
        data = reply.unwrap()
        if len(data) != end - start:
            text = f'{len(data)!r} bytes in place of {end - start!r}'
            return Failure(OriginError(text, 206))
        return reply

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _get(
        self,
        path: str,
        headers: dict[str, str],
        expected_status: int,
        max_bytes: int,
    ) -> Result[bytes, OriginError]:
        try:
            resp = self._client.get(self._prefix + path, headers=headers)
            reply_limits.allow_body(resp, max_bytes)
            data = bytes(resp.read())
        except Exception as exc:
            # The client raises errors of several unrelated types when a
            # reply is cut off; all mean the same here.
            return Failure(OriginError(f'{type(exc).__name__}: {exc}'))
        self.bytes_read += len(data)
        if resp.status_code != expected_status:
            text = f'status {resp.status_code!r} for {path}'
            return Failure(OriginError(text, resp.status_code))
        return Success(data)


def _invalid_manifest(found: list[Finding]) -> OriginError:
    return OriginError(render_all(found), 200)
