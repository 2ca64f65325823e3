"""What is read from the platform: wishes of operators and the upstreams.

A feed is read by position. Without one it gives all that is in force, as
`complete`; what is missing then is not in force any more. With one it gives
what has changed since, or all where that can't be told: a store that came
back from a copy has other records at the same offsets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from burdockchute.model.positions import Position
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted


class ConfigurationRead(NamedTuple):
    """Operators have saved a configuration."""

    configuration: Configuration


class VersionRead(NamedTuple):
    """Operators want a version of a model's weights on all its instances."""

    model: str
    version: int


class UnreadableRecord(NamedTuple):
    """A record that says nothing usable; it changes nothing."""

    key: str
    reason: str


Change = (
    ConfigurationRead
    | VersionRead
    | UpstreamListed
    | UpstreamUnlisted
    | UnreadableRecord
)


class Batch(NamedTuple):
    """Changes in their order; the next read goes on at `position`."""

    position: Position
    complete: bool
    changes: tuple[Change, ...]


class FeedError(NamedTuple):
    """The platform did not answer, or refused.

    `expired` tells that the position is too old, so that all has to be read.
    """

    reason: str
    expired: bool = False


ReadFeed = Callable[[Position | None, float], Result[Batch, FeedError]]


class Feeds(NamedTuple):
    """The two feeds; each reader waits up to so many seconds for a change."""

    desired_state: ReadFeed
    upstreams: ReadFeed
