"""Tests of the rules on availability zones and regions."""

from __future__ import annotations

import unittest

from burdockchute.decisions import evacuation
from burdockchute.decisions.homes import allowed_regions
from burdockchute.decisions.homes import allowed_zones
from burdockchute.decisions.homes import Home
from burdockchute.decisions.routing import RouteTable
from burdockchute.model.routes import Keyholder
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route

SOUTH = frozenset('s')
NORTH, BOTH, NONE = frozenset('n'), frozenset('ns'), frozenset()


class ZonesTest(unittest.TestCase):
    def test_evacuations(self):
        """Read again, a record must neither postpone nor lift the bound."""
        first = evacuation.after_request({'south': 1.0}, 'north', 2.0)
        self.assertEqual(2.0, first['north'])
        self.assertIs(first, evacuation.after_request(first, 'north', 4.0))
        self.assertIs(first, evacuation.after_full_read(first, first))
        left = evacuation.after_full_read(first, {'north'})
        self.assertEqual({}, evacuation.after_revocation(left, 'north'))
        left_s = evacuation.left_s(2.0, 5.0, 4.5)
        self.assertFalse(evacuation.should_move(left_s, 2.4))
        self.assertTrue(evacuation.should_move(left_s, 2.6))

    def test_regions_of_both_and_of_what_was_removed(self):
        customers = {'c': Keyholder('c', (), None, NORTH)}
        table = RouteTable(None, {}, {}, None, customers)
        for home, expected in (
            (Home(), None),
            (Home(customer='c'), NORTH),
            (Home('a', '/', '/', 'c', BOTH), NORTH),
            (Home('a', '/', '/', 'c', frozenset('s')), NONE),
            (Home('a', '/', '/', 'removed', None, BOTH), BOTH),
        ):
            self.assertEqual(expected, allowed_regions(home, table))
        self.assertEqual({'z'}, allowed_zones(NORTH, {'z': 'n', 'y': 's'}))

    def test_regions_of_a_route_that_now_has_the_path(self):
        """A nested route was added, or removed, while the request waits."""
        outer, nested = _route('/x/', NORTH), _route('/x/y/', SOUTH)
        free = _route('/x/', None)
        for arrived, now, expected in (
            (outer, (outer,), NORTH),
            (outer, (outer._replace(regions=SOUTH),), SOUTH),
            (outer, (outer, nested), NONE),
            (free, (free, nested), SOUTH),
            (nested, (outer,), NONE),
            (nested, (free,), SOUTH),
            (nested, (), SOUTH),
        ):
            home = Home('a', '/x/y/z', arrived.prefix, '', arrived.regions)
            routes = {(route.host, route.prefix): route for route in now}
            table = RouteTable(None, routes, {}, None, {})
            self.assertEqual(expected, allowed_regions(home, table))


def _route(prefix, regions):
    return Route(
        prefix,
        'a',
        prefix,
        Kind.IDEMPOTENT,
        (),
        1.0,
        1.0,
        0.0,
        0,
        1,
        False,
        False,
        regions,
    )
