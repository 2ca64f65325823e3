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
    """The log has assigned this agent its fencing number."""

    fence: int


class EngineStateRead(NamedTuple):
    """The engine's state, requested at `requested_at` (monotonic)."""

    requested_at: float
    state: EngineState | EngineError


class OrderEnded(NamedTuple):
    """An order was accepted, refused or lost."""

    order: Order
    outcome: str | OrderRefused | EngineError


class ManifestRead(NamedTuple):
    """The weight store answered a read of a manifest."""

    digest: str
    outcome: Manifest | OriginError


class OriginRead(NamedTuple):
    """The weight store answered a read of a chunk.

    `requested_at` is the monotonic time at which the read was started.
    """

    digest: str
    chunk: int
    requested_at: float
    outcome: bytes | OriginError
