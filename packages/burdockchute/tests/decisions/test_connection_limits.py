"""Tests that the limits of a process fit its machine together."""

from __future__ import annotations

import unittest

from burdockchute.decisions import connection_limits
from burdockchute.decisions import memory_budget
from burdockchute.decisions.connection_limits import ADMIN_LIMITS
from burdockchute.decisions.connection_limits import max_connections_bytes
from burdockchute.decisions.connection_limits import max_links_bytes
from burdockchute.nodes.link_server import MAX_UNFINISHED_BYTES
from burdockchute.wire import MAX_FRAME_BYTES

# What a process has left beside its resident size, and its descriptors.
MACHINES = tuple(
    (megabytes * 1_000_000, descriptors)
    for megabytes in (40, 84, 256, 1000, 16_000)
    for descriptors in (300, 400, 4100, 20_000, 1_000_000)
)


class SumOfLimitsTest(unittest.TestCase):
    def test_an_entry_of_the_platform(self):
        """Each limit was kept, and the process ended by their sum."""
        for left, descriptors in MACHINES:
            callers = connection_limits.for_callers(left, descriptors)
            held = (
                memory_budget.share_of(left)
                + max_connections_bytes(callers)
                + 2 * max_connections_bytes(ADMIN_LIMITS)
            )
            self.assertLessEqual(held, left, descriptors)
            open_at_once = (
                callers.connections
                + 2 * ADMIN_LIMITS.connections
                + 3 * connection_limits.MAX_CLOSING
            )
            self.assertLess(open_at_once, descriptors - 100)

    def test_links_and_the_port_for_metrics(self):
        """An agent; with less, it has no memory for the longest message."""
        for left, descriptors in MACHINES:
            if left < 84_000_000:
                continue
            links = connection_limits.for_links(left, descriptors)
            held = max_links_bytes(
                links, MAX_UNFINISHED_BYTES, MAX_FRAME_BYTES
            )
            held += max_connections_bytes(ADMIN_LIMITS)
            self.assertLessEqual(held, left, descriptors)
            self.assertLess(links.links, descriptors - 100)


if __name__ == '__main__':
    unittest.main()
