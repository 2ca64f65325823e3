"""Entries of the list of upstreams."""

from __future__ import annotations

from typing import Any

from burdockchute.decisions import listing
from burdockchute.decisions.listing import UpstreamList
from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Upstream
from burdockchute.model.upstreams import UpstreamListed


def upstream(**changes: Any) -> Upstream:
    """Return an engine of the service `drafts`, with changed fields.

    >>> upstream(slots=4).slots
    4
    """
    defaults = Upstream(
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
    return defaults._replace(**changes)


def upstream_list(*upstreams: Upstream) -> UpstreamList:
    """Return a list of these upstreams."""
    result = listing.empty()
    for offset, upstream_entry in enumerate(upstreams):
        result = listing.on_listed(
            result, UpstreamListed(Position(0, offset), upstream_entry)
        )
    return result
