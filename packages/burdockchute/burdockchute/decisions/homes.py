"""In which regions a request may run.

A route and a customer may each be restricted to some regions. Where both are,
only the regions of both are left, and possibly none. The configuration in
force decides whenever an upstream is sought, so that a change reaches requests
that wait, are retried, move or are resumed. If the route or the customer was
removed meanwhile, its restriction on arrival holds: a removal does not allow
what was forbidden before. If another route has the path now, such as a nested
one that was added, the request has to meet the restrictions of both.

An availability zone whose region is unknown is in none of the regions.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.decisions.routing import find_route
from burdockchute.decisions.routing import RouteTable
from burdockchute.model.routes import Regions


class Home(NamedTuple):
    """The route and customer of a request, and their regions on arrival.

    `prefix` is that of the route. The default is a request that may run
    anywhere.
    """

    host: str = ''
    path: str = ''
    prefix: str = ''
    customer: str = ''
    route_regions: Regions = None
    customer_regions: Regions = None


def allowed_regions(home: Home, table: RouteTable | None) -> Regions:
    """Return the regions in which a request may run; None for anywhere.

    >>> north, both = frozenset({'n'}), frozenset({'n', 's'})
    >>> allowed_regions(Home('a', '/x', '/', 'c', north, both), None)
    frozenset({'n'})
    >>> allowed_regions(Home(), None) is None
    True
    """
    route_regions, customer_regions = home.route_regions, home.customer_regions
    if table is not None:
        route = find_route(table, home.host, home.path)
        if route is not None:
            is_same = route.prefix == home.prefix
            route_regions = (
                route.regions
                if is_same
                else _in_both(route_regions, route.regions)
            )
        customer = table.customers.get(home.customer)
        if customer is not None:
            customer_regions = customer.regions
    return _in_both(route_regions, customer_regions)


def _in_both(first: Regions, second: Regions) -> Regions:
    if first is None or second is None:
        return second if first is None else first
    return first & second


def allowed_zones(
    allowed: Regions, regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the availability zones in allowed regions; None for all.

    `regions` maps availability zones to their regions.

    >>> sorted(allowed_zones(frozenset({'n'}), {'a': 'n', 'b': 'n', 'c': 's'}))
    ['a', 'b']
    """
    if allowed is None:
        return None
    return frozenset(
        zone for zone, region in regions.items() if region in allowed
    )
