"""Which route a request takes and which service answers it.

Of the routes of a host, the one with the longest prefix of the path wins.
Routes are looked up by cutting the path at its slashes, from the longest
prefix down, so that the cost grows with the depth of a path and not with the
number of routes, of which operators add hundreds at once.

A split between services uses a hash of the request id, so that it needs no
state and no agreement between entries, and holds even over few requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import sys
from typing import NamedTuple
import zlib

from burdockchute.model.routes import Configuration
from burdockchute.model.routes import Keyholder
from burdockchute.model.routes import Route
from burdockchute.model.routes import Service
from burdockchute.model.routes import Share

_HASH_RANGE = 2**32


class RouteTable(NamedTuple):
    """A configuration indexed for look-ups.

    `keyholders` has the customers by key, `customers` by name. No prefix of a
    route is longer than `max_prefix_length`.
    """

    configuration: Configuration
    routes: Mapping[tuple[str, str], Route]
    services: Mapping[str, Service]
    keyholders: Mapping[str, Keyholder] | None
    customers: Mapping[str, Keyholder]
    max_prefix_length: int = sys.maxsize


def route_table(configuration: Configuration) -> RouteTable:
    """Index a configuration; done once for each version of it."""
    holders = configuration.keyholders
    return RouteTable(
        configuration,
        {(r.host, r.prefix): r for r in configuration.routes},
        {s.name: s for s in configuration.services},
        None
        if holders is None
        else {key: holder for holder in holders for key in holder.keys},
        {holder.name: holder for holder in holders or ()},
        max((len(route.prefix) for route in configuration.routes), default=0),
    )


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix of a path.

    `path` has no query string; every prefix starts and ends with a slash.
    """
    # A path may have thousands of slashes, and is looked up at each check of
    # the regions of a request that waits.
    end = min(len(path), table.max_prefix_length)
    while True:
        end = path.rfind('/', 0, end)
        if end < 0:
            return None
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route


def choose_service(shares: Sequence[Share], request_id: str) -> str | None:
    """Return the service for a request, None where no share has any weight.

    >>> choose_service([Share('old', 0), Share('new', 3)], 'r-1')
    'new'
    """
    total = sum(max(0.0, share.weight) for share in shares)
    if total <= 0:
        return None
    point = zlib.crc32(request_id.encode()) / _HASH_RANGE * total
    for share in shares:
        point -= max(0.0, share.weight)
        if point < 0:
            return share.service
    return max(shares, key=lambda share: share.weight).service
