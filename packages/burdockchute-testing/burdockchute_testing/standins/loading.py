"""Loaded weights of the stand-in engine, and the orders that change them.

Weights are identified by the root digest computed from the fetched bytes;
the digest in the order is only compared with it.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import client as http_client
import json
from typing import Any
from typing import NamedTuple

import blake3
import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from burdockchute_testing import fake_weights

MANIFEST_HEADER = 'Burdockchute-Manifest'
READ_BYTES = 1024 * 1024
FETCH_TIMEOUT_S = 60.0

_FAILURES = (
    OSError,
    EOFError,
    ValueError,
    KeyError,
    http_client.HTTPException,
)


class FetchError(Exception):
    """The weights could not be fetched or verified."""


class Order(NamedTuple):
    """One order as it was received."""

    order_id: str
    act: str
    kind: str
    name: str
    version: str
    digest: str
    base: str
    source: str
    fence: int
    deadline_ms: int


class Loaded(NamedTuple):
    """One set of weights that the engine can run."""

    kind: str
    name: str
    digest: str
    base: str


class OrderExecutor:
    """Executes orders; holds the loaded weights and the fencing number."""

    def __init__(
        self,
        checks_fencing: bool,
        memory_models: int,
        load_s: float,
        forget: Callable[[str], None],
        faults: Callable[[], dict[str, Any]],
    ) -> None:
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.failures: list[str] = []
        self._memory_models = memory_models
        self._load_s = load_s
        self._forget = forget
        self._faults = faults
        self._loaded: list[Loaded] = []
        self._loading: list[Order] = []

    def is_outdated(self, order: Order) -> bool:
        """Whether the order's fencing number is checked and too old."""
        return self.checks_fencing and order.fence < self.fence

    def has_memory_for(self, order: Order) -> bool:
        """Whether there is memory for the weights of the order."""
        if order.kind != 'model' or self._is_loaded(order.kind, order.digest):
            return True
        model_digests = {
            item.digest for item in self._loaded if item.kind == 'model'
        }
        model_digests |= {
            item.digest for item in self._loading if item.kind == 'model'
        }
        return len(model_digests | {order.digest}) <= self._memory_models

    def accept(self, order: Order) -> None:
        """Execute an order; loading runs in a separate task."""
        self.fence = order.fence
        if order.act == 'unload':
            self._unload(order)
        else:
            self._loading.append(order)
            gevent.spawn(self._load, order)

    def resolve_digest(self, kind: str, name: str, digest: str) -> str | None:
        """Return the loaded digest of a name, None if it isn't loaded.

        An empty `digest` stands for the newest one.
        """
        for item in reversed(self._loaded):
            if (item.kind, item.name) == (kind, name):
                if digest in ('', item.digest):
                    return item.digest
        return None

    def has_weights(self, kind: str, name: str) -> bool:
        """Whether any weights of the name are loaded."""
        return self.resolve_digest(kind, name, '') is not None

    def other_digest(self, digest: str) -> str:
        """Return the digest of another loaded model, or a made-up one."""
        for item in self._loaded:
            if item.kind == 'model' and item.digest != digest:
                return item.digest
        return blake3.blake3(b'other' + digest.encode()).hexdigest()

    def state(self) -> dict[str, Any]:
        """Return the document of GET /state."""
        return {
            'fence': self.fence,
            'checks_fencing': self.checks_fencing,
            'memory_models': self._memory_models,
            'loaded': [item._asdict() for item in self._loaded],
            'loading': [
                {'kind': o.kind, 'name': o.name, 'digest': o.digest}
                for o in self._loading
            ],
            'failures': self.failures[-10:],
        }

    def _is_loaded(self, kind: str, digest: str) -> bool:
        return any(
            (item.kind, item.digest) == (kind, digest) for item in self._loaded
        )

    def _unload(self, order: Order) -> None:
        removed = [
            item
            for item in self._loaded
            if (item.kind, item.name, item.digest)
            == (order.kind, order.name, order.digest)
        ]
        for item in removed:
            self._loaded.remove(item)
            self._forget(item.digest)

    def _load(self, order: Order) -> None:
        try:
            digest = self._fetch_in_time(order)
            if digest != order.digest:
                raise FetchError(f'{digest} is not what was ordered')
            if self.is_outdated(order):
                raise FetchError(f'fence {order.fence} is outdated')
            self._add(order, digest)
        except FetchError as exc:
            self.failures.append(f'{order.order_id}: {exc}')
        finally:
            self._loading.remove(order)

    def _add(self, order: Order, digest: str) -> None:
        item = Loaded(order.kind, order.name, digest, order.base)
        if item in self._loaded:
            self._loaded.remove(item)
        self._loaded.append(item)

    def _fetch_in_time(self, order: Order) -> str:
        if self._faults()['fail_orders']:
            raise FetchError('the fault fail_orders is set')
        deadline_s = order.deadline_ms / 1000
        with gevent.Timeout(deadline_s, FetchError('deadline passed')):
            digest = fetch_digest(order.source)
            gevent.sleep(self._load_s + self._faults()['slow_orders_s'])
            return digest


def fetch_digest(source: str) -> str:
    """Fetch weights and return the root digest of the received bytes.

    Raises FetchError if the bytes don't match their manifest.
    """
    url = URL(source)
    client = HTTPClient.from_url(
        url,
        connection_timeout=FETCH_TIMEOUT_S,
        network_timeout=FETCH_TIMEOUT_S,
        block_size=READ_BYTES,
    )
    try:
        response = client.get(url.request_uri)
        if response.status_code != 200:
            raise FetchError(f'{source} gave {response.status_code}')
        manifest = _parse_manifest(response.get(MANIFEST_HEADER))
        _check_chunks(manifest, response)
    except _FAILURES as exc:
        raise FetchError(f'{source}: {exc!r}') from exc
    finally:
        client.close()
    return fake_weights.root_digest(manifest)


def _parse_manifest(header: str | list[str] | None) -> dict[str, Any]:
    if not isinstance(header, str):
        raise FetchError(f'no header {MANIFEST_HEADER}')
    return json.loads(base64.b64decode(header))


def _check_chunks(manifest: dict[str, Any], response: Any) -> None:
    remaining = manifest['size']
    for index, digest in enumerate(manifest['chunks']):
        size = min(manifest['chunk_size'], remaining)
        remaining -= size
        if _digest_of_next(response, size) != digest:
            raise FetchError(f'chunk {index} is corrupt or short')
    if remaining or response.read(1):
        raise FetchError('the size is not that of the manifest')


def _digest_of_next(response: Any, size: int) -> str:
    hasher = blake3.blake3()
    while size:
        piece = response.read(min(size, READ_BYTES))
        if not piece:
            break
        hasher.update(bytes(piece))
        size -= len(piece)
        gevent.sleep(0)
    return hasher.hexdigest()
