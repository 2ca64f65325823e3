"""What an agent reads from its engine and orders it to do."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple


class EngineReport(NamedTuple):
    """What an engine holds and does.

    `versions` gives the version of each model that is loaded. `sequence`
    counts the orders that it has begun, anew after a restart. `memory_used`
    and `memory_total` are tokens; `slowness` is over 1 for an engine that is
    slower than its kind.
    """

    versions: Mapping[str, int]
    loading: bool
    sequence: int
    waiting: int
    running: int
    memory_used: float
    memory_total: float
    slowness: float


class LoadOrder(NamedTuple):
    """The order to load the staged version of a model.

    It holds only for an engine whose sequence is still `sequence`. With
    `finish_running` what runs is finished first, else it is broken off.
    """

    model: str
    version: int
    sequence: int
    finish_running: bool = True


class OrderOutcome(enum.Enum):
    """What became of an order."""

    STARTED = 'begun'
    IN_EFFECT = 'in_effect'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class CallFailed(NamedTuple):
    """A call brought nothing; `status` is 0 where no answer came."""

    status: int
    reason: str
