"""Which versions of an engine's weights an entry uses."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions.listing import KnownUpstream
from burdockchute.decisions.listing import UpstreamList
from burdockchute.model.known_state import KnownState
from burdockchute.wire import messages
from burdockchute_entry.straight.known_targets import KnownTargets
from burdockchute_testing.builders.cold_fleets import BOUNDS
from burdockchute_testing.builders.upstreams import upstream


def report(verified=(), unverified=(), started_ms=5):
    return messages.LoadReport(
        running=0,
        weights=[messages.WeightsState(digest=item) for item in verified],
        unverified=list(unverified) or None,
        engine_started_ms=started_ms,
    )


class VerifiedVersionsTest(unittest.TestCase):
    def setUp(self):
        self.known = KnownTargets(BOUNDS, random.Random(1), {})
        self.list_engine(versions={'story': 1})

    def list_engine(self, **changes):
        listed = upstream(id='i-1', **changes)
        known = {listed.id: KnownUpstream(listed, 0)}
        state = KnownState(upstreams=UpstreamList(known, {}))
        self.known.update(state, 1.0)
        (self.target,) = self.known.all_targets()

    def receive(self, load_report):
        address = str(self.target.upstream.endpoint)
        self.known.apply_load_report(address, load_report, 1.0)
        return dict(self.target.versions)

    def test_unverified_load_is_used_only_by_who_knew_it_as_verified(self):
        """An agent that has started again can't judge an earlier load."""
        verified, unverified = report(['story@2']), report((), ['story@2'])
        cases = (
            ('verified before', [verified, unverified], {'story': 2}),
            ('never verified', [unverified], {}),
            ('another version', [report(['story@1']), unverified], {}),
            ('other start', [report(['story@2'], (), 4), unverified], {}),
            ('loaded since', [verified, report(['story@3']), unverified], {}),
        )
        for title, reports, expected in cases:
            with self.subTest(title):
                self.setUp()
                for load_report in reports:
                    versions = self.receive(load_report)
                self.assertEqual(expected, versions)

    def test_list_names_no_verified_versions(self):
        """It names what an engine has loaded, whatever that was made of."""
        # Neither for an entry that has just started.
        self.assertEqual({}, dict(self.target.versions))
        self.list_engine(versions={'story': 2})
        self.assertEqual({}, dict(self.target.versions))
        self.receive(report(['story@1']))
        self.list_engine(versions={'story': 2})
        self.assertEqual({'story': 1}, dict(self.target.versions))
        self.receive(report((), ['story@2']))
        self.list_engine(versions={'story': 3})
        self.assertEqual({}, dict(self.target.versions))
        # The list lacks it for a while.
        self.known.update(KnownState(), 1.0)
        self.list_engine(versions={'story': 3})
        self.assertEqual({}, dict(self.target.versions))
        # The engine started again, and its agent is suspended since its
        # order.
        self.receive(report(['story@3']))
        self.list_engine(versions={'story': 3}, started_ms=2000)
        self.assertEqual({}, dict(self.target.versions))


if __name__ == '__main__':
    unittest.main()
