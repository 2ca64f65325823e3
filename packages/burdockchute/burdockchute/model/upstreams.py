"""Upstreams as the platform lists them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.positions import Position


class Endpoint(NamedTuple):
    """IP number and port.

    >>> str(Endpoint('10.0.0.1', 80))
    '10.0.0.1:80'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class Upstream(NamedTuple):
    """One start of an upstream.

    `started_ms` is the Unix time of its start: an upstream that restarts may
    keep its id, and then holds nothing of what it held. `versions` gives the
    version of each model that it has loaded.
    """

    id: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    draining: bool
    warm_in_s: float
    versions: Mapping[str, int]
    started_ms: int | None


class UpstreamListed(NamedTuple):
    """The list names an upstream or has changed what it says of one."""

    position: Position
    upstream: Upstream


class UpstreamUnlisted(NamedTuple):
    """The list names an upstream no more, or says nothing usable of it."""

    position: Position
    id: str
    reason: str
