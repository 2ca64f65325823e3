"""The agents beside the upstreams that the platform's list names."""

from __future__ import annotations

from collections.abc import Mapping

from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.upstreams import Upstream


def colocated_agent(
    upstream: Upstream, link_port: int, regions: Mapping[str, str]
) -> Member:
    """Give the agent of an upstream, which goes by the upstream's address.

    It stands on the same machine and takes links at a port that is the same
    everywhere. `regions` gives the region of each availability zone; one that
    it lacks is in none.
    """
    return Member(
        str(upstream.endpoint),
        'agent',
        upstream.endpoint.ip,
        link_port,
        Place(upstream.zone, regions.get(upstream.zone, ''), ''),
    )
