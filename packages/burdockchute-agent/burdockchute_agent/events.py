"""Messages between the tasks that handle weights inside an agent."""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import Order
from burdockchute.upstreams.orders import OrderRefused
from burdockchute.weights.manifest import Manifest
from burdockchute.weights.origin import OriginError


class Registered(NamedTuple):
    """The log has given this agent its fencing number."""

    fence: int


class EngineStateRead(NamedTuple):
    """The engine's state was read, asked for at `asked` (monotonic)."""

    asked: float
    state: EngineState | EngineError


class OrderEnded(NamedTuple):
    """An order was taken, refused or lost."""

    order: Order
    outcome: str | OrderRefused | EngineError


class ManifestRead(NamedTuple):
    """The store answered a read of a manifest."""

    digest: str
    outcome: Manifest | OriginError


class OriginRead(NamedTuple):
    """The store answered a read of a chunk, asked for at `asked`."""

    digest: str
    chunk: int
    asked: float
    outcome: bytes | OriginError
