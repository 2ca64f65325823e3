"""Upstreams as the list names them."""

from __future__ import annotations

from typing import Any

from burdockchute.decisions import listing
from burdockchute.decisions.listing import UpstreamList
from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Upstream
from burdockchute.model.upstreams import UpstreamListed


def upstream(**changes: Any) -> Upstream:
    """Give an engine of the service `drafts`.

    >>> upstream(slots=4).slots
    4
    """
    usual = Upstream(
        id='i-1',
        service='drafts',
        endpoint=Endpoint('10.0.0.1', 80),
        zone='north',
        slots=16,
        draining=False,
        warm_in_s=0.0,
        versions={'story': 1},
        started_ms=1000,
    )
    return usual._replace(**changes)


def upstream_list(*upstreams: Upstream) -> UpstreamList:
    """Give the list that names these."""
    found = listing.empty()
    for offset, each in enumerate(upstreams):
        found = listing.on_listed(
            found, UpstreamListed(Position(0, offset), each)
        )
    return found
