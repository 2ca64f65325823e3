"""Run stand-ins inside a test process, on loopback sockets."""

from __future__ import annotations

import base64
from collections.abc import Iterator
from typing import Any
import unittest

from burdockchute_testing import fake_weights
from burdockchute_testing.standins import loading
from burdockchute_testing.standins import serving


def start(case: unittest.TestCase, handle: serving.Handler) -> str:
    """Serve until the test ends; returns the base URL."""
    server = serving.make_server(handle, 0)
    case.addCleanup(server.stop, timeout=0)
    return f'http://127.0.0.1:{server.server_port}'


class WeightsSource:
    """Serves weights to an engine as an agent does.

    `replacement` is sent instead of the weights, to simulate a corrupt copy.
    """

    def __init__(self) -> None:
        self.published: dict[str, fake_weights.Weights] = {}
        self.replacement: bytes | None = None

    def publish(self, name: str, size: int = 10_000, seed: int = 1) -> str:
        """Create synthetic weights and return their digest."""
        weights = fake_weights.Weights(name, size, 4096, seed)
        digest = fake_weights.manifest_of(weights)['digest']
        self.published[digest] = weights
        return digest

    def handle(self, request: serving.Request) -> serving.Reply:
        """Answer GET /weights/{digest}."""
        weights = self.published[request.path.rpartition('/')[2]]
        manifest: dict[str, Any] = fake_weights.manifest_of(weights)
        header = base64.b64encode(fake_weights.canonical(manifest)).decode()
        return serving.Reply(
            200,
            self._bytes(weights),
            headers=((loading.MANIFEST_HEADER, header),),
        )

    def _bytes(self, weights: fake_weights.Weights) -> Iterator[bytes]:
        if self.replacement is not None:
            yield self.replacement
            return
        yield from fake_weights.read_pieces(weights)
