"""Tests of the time limit for requests on older versions."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import versions
from burdockchute.decisions.versions import History

LIMIT_S = 8.0


class VersionsTest(unittest.TestCase):
    def test_each_of_two_quick_releases_has_its_own_time(self):
        """A second version is named four seconds after the first.

        Requests may start on each replaced version for a time after it was
        replaced; the first must not get the second's time in addition.
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

    def test_without_a_named_version_any_version_may_serve(self):
        self.assertEqual(0, versions.least_allowed(History(), LIMIT_S, 0.0))
        self.assertEqual(versions.FIRST_VERSION, History().newest)

    @given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))))
    def test_least_allowed_never_decreases(self, names):
        """Versions arrive late, twice, out of order and from other processes.

        A process that has served a version must never start a request on one
        that it had already excluded.
        """
        history = History()
        now = 0.0
        least = 0
        for version, interval_s in names:
            now += interval_s
            history = versions.add_version(history, version, now)
            allowed = versions.least_allowed(history, LIMIT_S, now)
            self.assertGreaterEqual(allowed, least)
            least = allowed

    @given(
        st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))),
        st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100))),
    )
    def test_reports_only_make_known_times_earlier(self, names, reports):
        """Other processes received versions later, or report them late.

        Their reports must not keep an old version in use for longer than this
        process would have, nor make it drop a newer one.
        """
        history = History()
        for version, at in names:
            history = versions.add_version(history, version, at)
        for version, at in reports:
            after = versions.add_report(history, version, at)
            self.assertGreaterEqual(after.newest, history.newest)
            for now in (0.0, 50.0, 103.0, 110.0):
                self.assertGreaterEqual(
                    versions.least_allowed(after, LIMIT_S, now),
                    versions.least_allowed(history, LIMIT_S, now),
                )
            history = after

    def test_slow_link_ends_a_version_sooner(self):
        """An engine's link is saturated while a new version is copied.

        A request takes 1.7 s to its engine, and so does its cancellation. If
        it is sent, or cancelled, by the delay of an idle link, it starts on
        weights whose time is over.
        """
        deadline = 17.5
        self.assertTrue(versions.starts_in_time(deadline, 0.2, 16.5))
        self.assertFalse(versions.starts_in_time(deadline, 1.6, 15.5))
        self.assertTrue(versions.must_cancel(deadline, 15.4, 16.8))
        self.assertFalse(versions.must_cancel(deadline, 16.5, 16.8))
        self.assertFalse(versions.must_cancel(None, 1.0, 16.8))


if __name__ == '__main__':
    unittest.main()
