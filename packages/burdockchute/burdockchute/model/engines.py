"""State that an agent reads from its engine, and orders to the engine."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple


class EngineReport(NamedTuple):
    """State and load of an engine.

    `versions` has the version of each loaded model. `sequence` counts the
    orders that the engine has started since its last restart. `memory_used`
    and `memory_total` are in tokens. `slowness` is above 1 for an engine
    that is slower than others of its kind. `started_ms` is the Unix time of
    its start, None if it does not report one.
    """

    versions: Mapping[str, int]
    loading: bool
    sequence: int
    waiting: int
    running: int
    memory_used: float
    memory_total: float
    slowness: float
    started_ms: int | None = None


class LoadOrder(NamedTuple):
    """The order to load the staged version of a model.

    The engine carries it out only if its sequence is still `sequence`. With
    `finish_running` the engine first finishes running requests, otherwise it
    aborts them.
    """

    model: str
    version: int
    sequence: int
    finish_running: bool = True


class OrderOutcome(enum.Enum):
    """The outcome of an order; UNKNOWN if no usable reply arrived."""

    STARTED = 'begun'
    IN_EFFECT = 'in_effect'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class CallFailed(NamedTuple):
    """A call failed; `status` is the HTTP status, 0 if no answer came."""

    status: int
    reason: str
