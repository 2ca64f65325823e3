"""The agents colocated with the upstreams on the platform's list."""

from __future__ import annotations

from collections.abc import Mapping

from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.upstreams import Upstream


def colocated_agent(
    upstream: Upstream, link_port: int, regions: Mapping[str, str]
) -> Member:
    """Return the agent of an upstream, named by the upstream's address.

    It runs on the same machine and listens for links on the same port as all
    other agents. `regions` maps availability zones to regions; a zone that is
    missing there has no region.
    """
    return Member(
        str(upstream.endpoint),
        'agent',
        upstream.endpoint.ip,
        link_port,
        Place(upstream.zone, regions.get(upstream.zone, ''), ''),
    )
