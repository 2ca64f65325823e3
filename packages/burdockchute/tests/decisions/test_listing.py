"""Tests of the upstream list: outages, restarts and late records."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import listing
from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import UpstreamListed
from burdockchute.model.upstreams import UpstreamUnlisted
from burdockchute_testing.builders import upstreams


def upstream(name='i-1', started_ms=1000, version=1, draining=False):
    return upstreams.upstream(
        id=name,
        versions={'story': version},
        draining=draining,
        started_ms=started_ms,
    )


def at(offset, era=1):
    return Position(era, offset)


def names(listed):
    return sorted(listed.known)


class ListingTest(unittest.TestCase):
    def setUp(self):
        first = UpstreamListed(at(5), upstream())
        self.listed = listing.on_listed(listing.empty(), first)

    def test_expiry_without_an_outage_drops_at_once(self):
        gone = UpstreamUnlisted(at(6), 'i-1', 'removed')
        self.assertEqual(
            [], names(listing.on_unlisted(self.listed, gone, 50.0))
        )

    def test_entries_expired_in_an_outage_are_kept_for_a_while(self):
        """All entries have expired during an outage of the store.

        Dropped at once, no upstream would be left for two seconds and every
        caller would be refused.
        """
        returned = listing.on_store_return(self.listed, 100.0)
        expired = listing.on_unlisted(
            returned, UpstreamUnlisted(at(6), 'i-1', 'x'), 100.1
        )
        self.assertEqual(['i-1'], names(expired))
        self.assertEqual(['i-1'], names(listing.on_tick(expired, 102.0)))
        relisted = listing.on_listed(
            expired, UpstreamListed(at(7), upstream())
        )
        self.assertEqual(['i-1'], names(listing.on_tick(relisted, 103.0)))

    def test_upstream_that_is_not_listed_again_is_dropped(self):
        returned = listing.on_store_return(self.listed, 100.0)
        expired = listing.on_unlisted(
            returned, UpstreamUnlisted(at(6), 'i-1', 'x'), 100.1
        )
        self.assertEqual([], names(listing.on_tick(expired, 102.6)))

    def test_upstream_that_leaves_after_the_return_is_dropped_at_once(self):
        """An upstream leaves after this machine was cut off and has returned.

        Kept like those that expired in the outage, it would get requests for
        longer than is allowed after an upstream has left.
        """
        returned = listing.on_store_return(self.listed, 100.0)
        left = listing.on_unlisted(
            returned, UpstreamUnlisted(at(6), 'i-1', 'x'), 100.55
        )
        self.assertEqual([], names(left))

    def test_unreadable_entry_names_no_upstream_after_a_return(self):
        """It counted as expired, and the upstream was used for 2 s more."""
        returned = listing.on_store_return(self.listed, 100.0)
        torn = UpstreamUnlisted(at(6), 'i-1', 'x', is_unreadable=True)
        self.assertEqual([], names(listing.on_unlisted(returned, torn, 100.1)))

    def test_complete_list_drops_missing_upstreams(self):
        other = upstream('i-2')._replace(endpoint=Endpoint('10.0.0.2', 1))
        both = listing.on_listed(self.listed, UpstreamListed(at(6), other))
        left = listing.on_complete_list(both, {'i-2'}, at(9), 50.0)
        self.assertEqual(['i-2'], names(left))

    def test_first_record_after_a_complete_list_is_applied(self):
        """The entry of an engine expires and the next record lists it again.

        Taken for older than the list, the record would be ignored and the
        engine left out until it writes once more.
        """
        left = listing.on_complete_list(self.listed, set(), at(9), 50.0)
        returned = listing.on_listed(left, UpstreamListed(at(9), upstream()))
        self.assertEqual(['i-1'], names(returned))

    def test_new_id_at_an_address_replaces_the_old_one(self):
        """All engines lose power and restart at once under new ids.

        The list still has the old ids for seconds, at the same addresses.
        Half of all requests would be sent to an id that no longer exists, be
        rejected there and, after a second such attempt, be refused.
        """
        again = UpstreamListed(
            at(6), upstream('i-2', started_ms=None, version=0)
        )
        now = listing.on_listed(self.listed, again)
        self.assertEqual(['i-2'], names(now))
        late = UpstreamListed(at(4), upstream('i-3', started_ms=None))
        self.assertEqual(['i-2'], names(listing.on_listed(now, late)))
        expired = listing.on_unlisted(
            now, UpstreamUnlisted(at(9), 'i-1', 'x'), 50.0
        )
        self.assertEqual(['i-2'], names(expired))

    def test_late_record_does_not_replace_a_newer_start_at_its_address(self):
        """The last record of an engine arrives after that of its successor."""
        again = UpstreamListed(at(6), upstream('i-2', started_ms=2000))
        now = listing.on_listed(self.listed, again)
        last_record = UpstreamListed(at(7), upstream('i-1', started_ms=1000))
        self.assertEqual(['i-2'], names(listing.on_listed(now, last_record)))

    def test_late_record_of_an_earlier_start_is_ignored(self):
        """An engine restarts under its id and holds no weights any more.

        A late record from before the restart would list the weights that it
        had, and requests would be sent there without success.
        """
        restarted = upstream(started_ms=2000, version=0)
        now = listing.on_listed(self.listed, UpstreamListed(at(6), restarted))
        late = listing.on_listed(
            now, UpstreamListed(at(7), upstream(started_ms=1000))
        )
        self.assertEqual(restarted, late.known['i-1'].upstream)

    def test_restart_is_applied_at_any_position(self):
        restarted = upstream(started_ms=2000)
        now = listing.on_listed(self.listed, UpstreamListed(at(3), restarted))
        self.assertEqual(restarted, now.known['i-1'].upstream)

    def restored(self, *entries, end=9):
        """Return the list after the store was restored with these entries."""
        return listing.on_restored(self.listed, entries, at(end, 2), 100.0)

    def test_restored_copy_lists_no_upstream_that_has_left(self):
        """The copy lists an engine that left in the seconds that it lacks."""
        self.listed = listing.on_unlisted(
            self.listed, UpstreamUnlisted(at(6), 'i-1', 'x'), 50.0
        )
        self.assertEqual(
            [], names(self.restored(UpstreamListed(at(5, 2), upstream())))
        )

    def test_restored_copy_drops_no_upstream_before_it_could_write(self):
        """The copy lacks an engine that was added in the lost seconds."""
        kept = self.restored()
        self.assertEqual(['i-1'], names(listing.on_tick(kept, 102.0)))
        self.assertEqual([], names(listing.on_tick(kept, 102.6)))
        again = listing.on_listed(kept, UpstreamListed(at(9, 2), upstream()))
        self.assertEqual(['i-1'], names(listing.on_tick(again, 102.6)))

    def test_restored_copy_reverts_nothing_that_is_known(self):
        """The copy shows an engine as before its drain, load or restart."""
        newest = upstream(version=3, draining=True, started_ms=2000)
        self.listed = listing.on_listed(
            self.listed, UpstreamListed(at(6), newest)
        )
        same_start = upstream(version=2, started_ms=2000)
        earlier = upstream(version=4, started_ms=1000)
        for copied in (same_start, earlier):
            after = self.restored(UpstreamListed(at(5, 2), copied))
            self.assertTrue(after.known['i-1'].upstream.draining)
            self.assertEqual(3, after.known['i-1'].upstream.versions['story'])

    def test_restored_copy_adds_what_was_missed(self):
        """An entry was cut off when an engine drained and one was added."""
        other = upstream('i-2')._replace(endpoint=Endpoint('10.0.0.2', 1))
        after = self.restored(
            UpstreamListed(at(7, 2), upstream(version=2, draining=True)),
            UpstreamListed(at(8, 2), other),
        )
        self.assertEqual(['i-1', 'i-2'], names(after))
        self.assertTrue(after.known['i-1'].upstream.draining)
        self.assertEqual(2, after.known['i-1'].upstream.versions['story'])

    def test_restored_copy_does_not_replace_a_later_start(self):
        """The engine that the copy lists was replaced in the lost seconds."""
        again = UpstreamListed(at(6), upstream('i-2', started_ms=2000))
        self.listed = listing.on_listed(self.listed, again)
        after = self.restored(
            UpstreamListed(at(5, 2), upstream(started_ms=1000))
        )
        self.assertEqual(['i-2'], names(after))

    def test_upstream_that_leaves_after_a_restore_is_dropped_at_once(self):
        after = self.restored(UpstreamListed(at(5, 2), upstream()))
        left = UpstreamUnlisted(at(6, 2), 'i-1', 'removed')
        self.assertEqual([], names(listing.on_unlisted(after, left, 101.0)))

    @given(st.permutations(range(6)))
    def test_records_in_any_order_give_the_same_result(self, order):
        """Pages and records are read concurrently and repeat each other.

        In any order, the newest has to be in force in the end.
        """
        entries = [
            UpstreamListed(at(1), upstream(version=1)),
            UpstreamListed(at(2), upstream(version=2)),
            UpstreamUnlisted(at(3), 'i-1', 'removed'),
            UpstreamListed(at(4), upstream(version=4)),
            UpstreamListed(at(5), upstream(version=5, draining=True)),
            UpstreamListed(at(6), upstream(version=6, draining=True)),
        ]
        listed = listing.empty()
        for index in order:
            entry = entries[index]
            if isinstance(entry, UpstreamListed):
                listed = listing.on_listed(listed, entry)
            else:
                listed = listing.on_unlisted(listed, entry, 50.0)
        known = listed.known['i-1']
        self.assertEqual(6, known.upstream.versions['story'])
        self.assertTrue(known.upstream.draining)
