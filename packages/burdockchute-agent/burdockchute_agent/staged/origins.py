"""The platform's origin of weights, as copies read it.

Copies are known by one name, `model@version`, which stands where the
project's own weights have a root digest.
"""

from __future__ import annotations

from returns.result import Result
from returns.result import Success

from burdockchute.adapters import Origin
from burdockchute.model.engines import CallFailed
from burdockchute.weights.manifest import chunk_bytes
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.origin import OriginError


def copy_name(model: str, version: int) -> str:
    """Give the name of a copy.

    >>> copy_name('story', 3)
    'story@3'
    """
    return f'{model}@{version}'


def parse_copy_name(name: str) -> tuple[str, int]:
    """Give model and version of a copy's name."""
    model, _at, version = name.rpartition('@')
    return model, int(version)


class PlatformOrigin:
    """Reads copies by their names; see `origin_reads.OriginClient`."""

    def __init__(self, origin: Origin) -> None:
        self.bytes_read = 0
        self._origin = origin

    def manifest(self, digest: str) -> Result[Manifest, OriginError]:
        """Read the manifest of a copy."""
        model, version = parse_copy_name(digest)
        return self._origin.manifest(model, version, digest).alt(_error)

    def chunk(
        self, manifest: Manifest, index: int
    ) -> Result[bytes, OriginError]:
        """Read one chunk; its length is right, its digest not yet checked."""
        model, version = parse_copy_name(manifest.digest)
        result = self._origin.chunk(model, version, index).alt(_error)
        if isinstance(result, Success):
            data = result.unwrap()
            self.bytes_read += len(data)
            if len(data) != chunk_bytes(manifest, index):
                text = f'{len(data)} bytes are no chunk'
                return Result.from_failure(OriginError(text, 200))
        return result

    def close(self) -> None:
        """Close all connections."""
        self._origin.close()


class NoOrigin:
    """Stands in while no configuration has named an origin."""

    bytes_read = 0

    def manifest(self, digest: str) -> Result[Manifest, OriginError]:
        """Fail: nobody to ask."""
        return Result.from_failure(OriginError(f'no origin for {digest!r}'))

    def chunk(
        self, manifest: Manifest, index: int
    ) -> Result[bytes, OriginError]:
        """Fail: nobody to ask."""
        return Result.from_failure(OriginError('no origin'))

    def close(self) -> None:
        """Do nothing."""


def _error(failed: CallFailed) -> OriginError:
    return OriginError(failed.reason, failed.status)
