"""Until when an older version may begin a request."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import versions
from burdockchute.decisions.versions import History

LIMIT_S = 8.0


class VersionsTest(unittest.TestCase):
    def test_two_quick_releases_each_have_their_own_time(self):
        """A second version is named four seconds after the first.

        Each replaced version may begin requests for its own time after it
        was replaced; the first must not get the second's time on top.
        """
        history = versions.add_version(History(), 1, None)
        history = versions.add_version(history, 2, 100.0)
        history = versions.add_version(history, 3, 104.0)
        self.assertEqual(
            [1, 2, 2, 3],
            [
                versions.least_allowed(history, LIMIT_S, now)
                for now in (106.9, 107.0, 110.9, 111.0)
            ],
        )

    def test_unknown_time_of_naming_allows_nothing_older(self):
        history = versions.add_version(
            versions.add_version(History(), 1, None), 2, None
        )
        self.assertEqual(2, versions.least_allowed(history, LIMIT_S, 0.0))

    def test_without_a_name_any_version_may_serve(self):
        self.assertEqual(0, versions.least_allowed(History(), LIMIT_S, 0.0))
        self.assertEqual(versions.FIRST_VERSION, History().newest)

    @given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))))
    def test_least_allowed_never_goes_back(self, names):
        """Names arrive late, twice and out of order, also from elsewhere.

        A process that has served a version must never let a request begin
        on one that it had already ruled out.
        """
        history = History()
        now = 0.0
        least = 0
        for version, gap_s in names:
            now += gap_s
            history = versions.add_version(history, version, now)
            allowed = versions.least_allowed(history, LIMIT_S, now)
            self.assertGreaterEqual(allowed, least)
            least = allowed

    @given(
        st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))),
        st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))),
    )
    def test_hearsay_only_makes_known_times_earlier(self, names, told):
        """Other processes learnt of versions later, or were told late.

        What they say must not keep an old version in use for longer than
        this process would have, nor make it forget a newer one.
        """
        history = History()
        for version, at in names:
            history = versions.add_version(history, version, at)
        for version, at in told:
            after = versions.add_report(history, version, at)
            self.assertGreaterEqual(after.newest, history.newest)
            for now in (0.0, 50.0, 103.0, 110.0):
                self.assertGreaterEqual(
                    versions.least_allowed(after, LIMIT_S, now),
                    versions.least_allowed(history, LIMIT_S, now),
                )
            history = after

    def test_a_slow_way_ends_a_version_sooner_there(self):
        """An engine's link is squeezed while a new version is copied.

        A request takes 1.7 s to its engine, and so does its stop. Sent, or
        stopped, by the distances of a sound link it begins on weights whose
        time is over.
        """
        ends = 17.5
        self.assertTrue(versions.starts_in_time(ends, 0.2, 16.5))
        self.assertFalse(versions.starts_in_time(ends, 1.6, 15.5))
        self.assertTrue(versions.must_cancel(ends, 15.4, 16.8))
        self.assertFalse(versions.must_cancel(ends, 16.5, 16.8))
        self.assertFalse(versions.must_cancel(None, 1.0, 16.8))


if __name__ == '__main__':
    unittest.main()
