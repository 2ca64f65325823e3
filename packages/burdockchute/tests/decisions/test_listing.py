"""The list of upstreams through outages, restarts and old records."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import listing
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


def names(listed):
    return sorted(listed.known)


class ListingTest(unittest.TestCase):
    def setUp(self):
        first = Listed(5, upstream())
        self.listed = listing.on_listed(listing.empty(), first)

    def test_what_lapses_in_calm_times_is_gone_at_once(self):
        gone = Unlisted(6, 'i-1', 'removed')
        self.assertEqual(
            [], names(listing.on_unlisted(self.listed, gone, 50.0))
        )

    def test_all_lapsed_after_an_outage_stay_until_they_had_time(self):
        """The store was away and all entries have lapsed meanwhile.

        Believed at once, no upstream would be left for two seconds and every
        caller would be refused.
        """
        back = listing.on_return(self.listed, 100.0)
        lapsed = listing.on_unlisted(back, Unlisted(6, 'i-1', 'x'), 100.1)
        self.assertEqual(['i-1'], names(lapsed))
        self.assertEqual(['i-1'], names(listing.on_time(lapsed, 102.0)))
        relisted = listing.on_listed(lapsed, Listed(7, upstream()))
        self.assertEqual(['i-1'], names(listing.on_time(relisted, 103.0)))

    def test_one_that_does_not_come_back_is_gone(self):
        back = listing.on_return(self.listed, 100.0)
        lapsed = listing.on_unlisted(back, Unlisted(6, 'i-1', 'x'), 100.1)
        self.assertEqual([], names(listing.on_time(lapsed, 102.6)))

    def test_one_that_leaves_after_the_return_is_gone_at_once(self):
        """The own machine was cut off and is back; then an upstream leaves.

        Kept like those that lapsed in an outage, it would get requests for
        longer than an upstream that has left may.
        """
        back = listing.on_return(self.listed, 100.0)
        left = listing.on_unlisted(back, Unlisted(6, 'i-1', 'x'), 100.55)
        self.assertEqual([], names(left))

    def test_a_whole_list_takes_out_who_is_missing(self):
        elsewhere = upstream('i-2')._replace(endpoint=Endpoint('10.0.0.2', 1))
        both = listing.on_listed(self.listed, Listed(6, elsewhere))
        left = listing.on_whole(both, {'i-2'}, 9, 50.0)
        self.assertEqual(['i-2'], names(left))

    def test_who_starts_at_an_address_takes_the_place_of_who_was_there(self):
        """All engines lose power and come back at once under new ids.

        The list names the dead for seconds more, at the same addresses.
        Half of all requests would be sent for one that is no longer there,
        be turned away and, after a second such try, be refused.
        """
        again = Listed(6, upstream('i-2', started_ms=None, version=0))
        now = listing.on_listed(self.listed, again)
        self.assertEqual(['i-2'], names(now))
        late = Listed(4, upstream('i-3', started_ms=None))
        self.assertEqual(['i-2'], names(listing.on_listed(now, late)))
        lapsed = listing.on_unlisted(now, Unlisted(9, 'i-1', 'x'), 50.0)
        self.assertEqual(['i-2'], names(lapsed))

    def test_an_address_that_is_used_again_keeps_its_newer_start(self):
        """The last words of an engine come after those of its successor."""
        again = Listed(6, upstream('i-2', started_ms=2000))
        now = listing.on_listed(self.listed, again)
        last_words = Listed(7, upstream('i-1', started_ms=1000))
        self.assertEqual(['i-2'], names(listing.on_listed(now, last_words)))

    def test_late_record_of_an_earlier_start_is_ignored(self):
        """An engine restarts under its id and holds nothing any more.

        A record of its life before that comes late would bring back the
        weights that it had, and requests would go there in vain.
        """
        reborn = upstream(started_ms=2000, version=0)
        now = listing.on_listed(self.listed, Listed(6, reborn))
        late = listing.on_listed(now, Listed(7, upstream(started_ms=1000)))
        self.assertEqual(reborn, late.known['i-1'].upstream)

    def test_restart_counts_whatever_its_position(self):
        reborn = upstream(started_ms=2000)
        now = listing.on_listed(self.listed, Listed(3, reborn))
        self.assertEqual(reborn, now.known['i-1'].upstream)

    @given(st.permutations(range(6)))
    def test_records_in_any_order_end_alike(self, order):
        """Pages and records are read side by side and repeat each other.

        Whatever their order, the newest has to be believed in the end.
        """
        entries = [
            Listed(1, upstream(version=1)),
            Listed(2, upstream(version=2)),
            Unlisted(3, 'i-1', 'removed'),
            Listed(4, upstream(version=4)),
            Listed(5, upstream(version=5, draining=True)),
            Listed(6, upstream(version=6, draining=True)),
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
