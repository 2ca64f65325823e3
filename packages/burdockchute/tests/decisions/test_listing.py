"""The list of upstreams through outages, restarts and old records."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import listing
from burdockchute.model.positions import Position
from burdockchute.model.upstreams import Endpoint
from burdockchute.model.upstreams import Listed
from burdockchute.model.upstreams import Unlisted
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
        first = Listed(at(5), upstream())
        self.listed = listing.on_listed(listing.empty(), first)

    def test_what_lapses_in_calm_times_is_gone_at_once(self):
        gone = Unlisted(at(6), 'i-1', 'removed')
        self.assertEqual(
            [], names(listing.on_unlisted(self.listed, gone, 50.0))
        )

    def test_all_lapsed_after_an_outage_stay_until_they_had_time(self):
        """The store was away and all entries have lapsed meanwhile.

        Believed at once, no upstream would be left for two seconds and every
        caller would be refused.
        """
        back = listing.on_store_return(self.listed, 100.0)
        lapsed = listing.on_unlisted(back, Unlisted(at(6), 'i-1', 'x'), 100.1)
        self.assertEqual(['i-1'], names(lapsed))
        self.assertEqual(['i-1'], names(listing.on_tick(lapsed, 102.0)))
        relisted = listing.on_listed(lapsed, Listed(at(7), upstream()))
        self.assertEqual(['i-1'], names(listing.on_tick(relisted, 103.0)))

    def test_one_that_does_not_come_back_is_gone(self):
        back = listing.on_store_return(self.listed, 100.0)
        lapsed = listing.on_unlisted(back, Unlisted(at(6), 'i-1', 'x'), 100.1)
        self.assertEqual([], names(listing.on_tick(lapsed, 102.6)))

    def test_one_that_leaves_after_the_return_is_gone_at_once(self):
        """The own machine was cut off and is back; then an upstream leaves.

        Kept like those that lapsed in an outage, it would get requests for
        longer than an upstream that has left may.
        """
        back = listing.on_store_return(self.listed, 100.0)
        left = listing.on_unlisted(back, Unlisted(at(6), 'i-1', 'x'), 100.55)
        self.assertEqual([], names(left))

    def test_a_whole_list_takes_out_who_is_missing(self):
        elsewhere = upstream('i-2')._replace(endpoint=Endpoint('10.0.0.2', 1))
        both = listing.on_listed(self.listed, Listed(at(6), elsewhere))
        left = listing.on_complete_list(both, {'i-2'}, at(9), 50.0)
        self.assertEqual(['i-2'], names(left))

    def test_the_first_record_after_a_whole_list_counts(self):
        """An engine lapses and is back with the next record.

        Taken for older than the list, it would be left out until it writes
        once more.
        """
        left = listing.on_complete_list(self.listed, set(), at(9), 50.0)
        back = listing.on_listed(left, Listed(at(9), upstream()))
        self.assertEqual(['i-1'], names(back))

    def test_who_starts_at_an_address_takes_the_place_of_who_was_there(self):
        """All engines lose power and come back at once under new ids.

        The list names the dead for seconds more, at the same addresses.
        Half of all requests would be sent for one that is no longer there,
        be turned away and, after a second such try, be refused.
        """
        again = Listed(at(6), upstream('i-2', started_ms=None, version=0))
        now = listing.on_listed(self.listed, again)
        self.assertEqual(['i-2'], names(now))
        late = Listed(at(4), upstream('i-3', started_ms=None))
        self.assertEqual(['i-2'], names(listing.on_listed(now, late)))
        lapsed = listing.on_unlisted(now, Unlisted(at(9), 'i-1', 'x'), 50.0)
        self.assertEqual(['i-2'], names(lapsed))

    def test_an_address_that_is_used_again_keeps_its_newer_start(self):
        """The last words of an engine come after those of its successor."""
        again = Listed(at(6), upstream('i-2', started_ms=2000))
        now = listing.on_listed(self.listed, again)
        last_words = Listed(at(7), upstream('i-1', started_ms=1000))
        self.assertEqual(['i-2'], names(listing.on_listed(now, last_words)))

    def test_late_record_of_an_earlier_start_is_ignored(self):
        """An engine restarts under its id and holds nothing any more.

        A record of its life before that comes late would bring back the
        weights that it had, and requests would go there in vain.
        """
        reborn = upstream(started_ms=2000, version=0)
        now = listing.on_listed(self.listed, Listed(at(6), reborn))
        late = listing.on_listed(now, Listed(at(7), upstream(started_ms=1000)))
        self.assertEqual(reborn, late.known['i-1'].upstream)

    def test_restart_counts_whatever_its_position(self):
        reborn = upstream(started_ms=2000)
        now = listing.on_listed(self.listed, Listed(at(3), reborn))
        self.assertEqual(reborn, now.known['i-1'].upstream)

    def restored(self, *entries, end=9):
        """Give the list after the store came back with these entries."""
        return listing.on_restored(self.listed, entries, at(end, 2), 100.0)

    def test_a_copy_brings_back_nobody_who_has_left(self):
        """It names an engine that left in the seconds that it lacks."""
        self.listed = listing.on_unlisted(
            self.listed, Unlisted(at(6), 'i-1', 'x'), 50.0
        )
        self.assertEqual(
            [], names(self.restored(Listed(at(5, 2), upstream())))
        )

    def test_a_copy_drops_nobody_before_he_could_write_again(self):
        """It does not name an engine that came in the seconds it lacks."""
        kept = self.restored()
        self.assertEqual(['i-1'], names(listing.on_tick(kept, 102.0)))
        self.assertEqual([], names(listing.on_tick(kept, 102.6)))
        again = listing.on_listed(kept, Listed(at(9, 2), upstream()))
        self.assertEqual(['i-1'], names(listing.on_tick(again, 102.6)))

    def test_a_copy_takes_back_nothing_that_is_known(self):
        """It shows an engine as before its drain, its load, its restart."""
        newest = upstream(version=3, draining=True, started_ms=2000)
        self.listed = listing.on_listed(self.listed, Listed(at(6), newest))
        same_start = upstream(version=2, started_ms=2000)
        earlier = upstream(version=4, started_ms=1000)
        for copied in (same_start, earlier):
            after = self.restored(Listed(at(5, 2), copied))
            self.assertTrue(after.known['i-1'].upstream.draining)
            self.assertEqual(3, after.known['i-1'].upstream.versions['story'])

    def test_a_copy_tells_of_what_was_missed(self):
        """An entry was cut off when an engine drained, and another came."""
        other = upstream('i-2')._replace(endpoint=Endpoint('10.0.0.2', 1))
        after = self.restored(
            Listed(at(7, 2), upstream(version=2, draining=True)),
            Listed(at(8, 2), other),
        )
        self.assertEqual(['i-1', 'i-2'], names(after))
        self.assertTrue(after.known['i-1'].upstream.draining)
        self.assertEqual(2, after.known['i-1'].upstream.versions['story'])

    def test_a_copy_takes_no_address_from_a_later_start(self):
        """The one that it lists there was replaced in the lost seconds."""
        again = Listed(at(6), upstream('i-2', started_ms=2000))
        self.listed = listing.on_listed(self.listed, again)
        after = self.restored(Listed(at(5, 2), upstream(started_ms=1000)))
        self.assertEqual(['i-2'], names(after))

    def test_one_who_leaves_after_the_return_is_gone_at_once(self):
        after = self.restored(Listed(at(5, 2), upstream()))
        left = Unlisted(at(6, 2), 'i-1', 'removed')
        self.assertEqual([], names(listing.on_unlisted(after, left, 101.0)))

    @given(st.permutations(range(6)))
    def test_records_in_any_order_end_alike(self, order):
        """Pages and records are read side by side and repeat each other.

        Whatever their order, the newest has to be believed in the end.
        """
        entries = [
            Listed(at(1), upstream(version=1)),
            Listed(at(2), upstream(version=2)),
            Unlisted(at(3), 'i-1', 'removed'),
            Listed(at(4), upstream(version=4)),
            Listed(at(5), upstream(version=5, draining=True)),
            Listed(at(6), upstream(version=6, draining=True)),
        ]
        listed = listing.empty()
        for index in order:
            entry = entries[index]
            if isinstance(entry, Listed):
                listed = listing.on_listed(listed, entry)
            else:
                listed = listing.on_unlisted(listed, entry, 50.0)
        known = listed.known['i-1']
        self.assertEqual(6, known.upstream.versions['story'])
        self.assertTrue(known.upstream.draining)
