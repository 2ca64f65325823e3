"""The platform's origin of weights, behind the interface that copies use.

Each copy has a name, `model@version`, which takes the place of the root
digest that weights of the project's own store have.
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
    """Return the name of a copy.

    >>> copy_name('story', 3)
    'story@3'
    """
    return f'{model}@{version}'


def parse_copy_name(name: str) -> tuple[str, int]:
    """Return the model and version that a copy's name consists of."""
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
        """Read one chunk and check its length; its digest is not checked."""
        model, version = parse_copy_name(manifest.digest)
        result = self._origin.chunk(model, version, index).alt(_error)
        if isinstance(result, Success):
            data = result.unwrap()
            self.bytes_read += len(data)
            if len(data) != chunk_bytes(manifest, index):
                text = f'{len(data)} bytes are no valid chunk'
                return Result.from_failure(OriginError(text, 200))
        return result

    def close(self) -> None:
        """Close all connections."""
        self._origin.close()


class NoOrigin:
    """Origin used while no configuration names one; every read fails."""

    bytes_read = 0

    def manifest(self, digest: str) -> Result[Manifest, OriginError]:
        """Fail, as there is no origin."""
        return Result.from_failure(OriginError(f'no origin for {digest!r}'))

    def chunk(
        self, manifest: Manifest, index: int
    ) -> Result[bytes, OriginError]:
        """Fail, as there is no origin."""
        return Result.from_failure(OriginError('no origin'))

    def close(self) -> None:
        """Do nothing."""


def _error(failed: CallFailed) -> OriginError:
    return OriginError(failed.reason, failed.status)
