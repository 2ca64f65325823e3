"""Upstreams, as the platform's list describes them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.positions import Position


class Endpoint(NamedTuple):
    """An IP address and port.

    >>> str(Endpoint('10.0.0.1', 80))
    '10.0.0.1:80'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class Upstream(NamedTuple):
    """One run of an upstream, from its start to its end.

    `started_ms` is the Unix time of its start; an upstream that restarts may
    keep its id, but has lost everything that it had in memory. `versions`
    has the version of each loaded model.
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
    """An upstream was added to the list, or its entry has changed."""

    position: Position
    upstream: Upstream


class UpstreamUnlisted(NamedTuple):
    """An upstream was removed from the list, or its entry is unusable."""

    position: Position
    id: str
    reason: str
    is_unreadable: bool = False
