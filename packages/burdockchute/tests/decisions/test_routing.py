"""Which route a request takes and which service answers it."""

from __future__ import annotations

import collections
import unittest

from burdockchute.decisions import routing
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route
from burdockchute.model.routes import Share

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


def route(name, prefix, host='a.example'):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=Kind.IDEMPOTENT,
        shares=(Share('desk', 1.0),),
        timeout_s=1.0,
        objective_s=0.1,
        gap_s=0.0,
        priority=0,
        max_attempts=1,
        anonymous=False,
        resumable=False,
    )


class RoutingTest(unittest.TestCase):
    def setUp(self):
        routes = (
            route('all', '/'),
            route('pages', '/pages/'),
            route('proofs', '/pages/proofs/'),
            route('other', '/x/', 'b.example'),
        )
        self.table = routing.route_table(
            Configuration(1, routes, (), None, LIMITS)
        )

    def found(self, host, path):
        found = routing.find_route(self.table, host, path)
        return found.name if found else None

    def test_longest_prefix_wins(self):
        for path, name in (
            ('/', 'all'),
            ('/pages/7', 'pages'),
            ('/pages/', 'pages'),
            ('/pages', 'all'),
            ('/pages/proofs/2/a', 'proofs'),
            ('/pages/proofs', 'pages'),
        ):
            with self.subTest(path=path):
                self.assertEqual(name, self.found('a.example', path))

    def test_routes_belong_to_a_host(self):
        self.assertEqual('other', self.found('b.example', '/x/1'))
        self.assertIsNone(self.found('b.example', '/pages/1'))
        self.assertIsNone(self.found('c.example', '/'))

    def test_a_path_without_slash_has_no_route(self):
        self.assertIsNone(self.found('a.example', '*'))

    def test_split_holds_over_many_requests(self):
        shares = (Share('old', 90), Share('new', 10), Share('none', 0))
        counts = collections.Counter(
            routing.choose_service(shares, f'request-{n}')
            for n in range(10_000)
        )
        self.assertEqual({'old', 'new'}, set(counts))
        self.assertTrue(900 <= counts['new'] <= 1100, counts)

    def test_a_split_without_weight_selects_no_service(self):
        self.assertIsNone(routing.choose_service((Share('old', 0),), 'r'))
