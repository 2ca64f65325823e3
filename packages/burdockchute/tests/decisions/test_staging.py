"""What an agent copies and loads next."""

from __future__ import annotations

import unittest

from burdockchute.decisions import staging
from burdockchute.decisions.staging import CopyProgress
from burdockchute.decisions.staging import StagingState


class StagingTest(unittest.TestCase):
    def test_a_copy_that_is_half_done_goes_first(self):
        """Two versions are named within four seconds.

        With the first copy given up each time, every engine would stay on a
        version that may begin nothing any more.
        """
        self.assertEqual(
            (2, 3), staging.versions_to_copy(3, [CopyProgress(2, 0.6)])
        )

    def test_a_copy_that_has_just_begun_takes_what_is_left(self):
        """The second version comes after two seconds, and the origin fails.

        Nobody can finish the second copy now; the first one still can be,
        from the peers.
        """
        self.assertEqual(
            (3, 2), staging.versions_to_copy(3, [CopyProgress(2, 0.3)])
        )

    def test_a_copy_that_comes_too_late_is_given_up(self):
        """Links are squeezed and the first copy will take three seconds more.

        The version that serves now runs out before; the engine would load
        twice in short order and answer nobody in between.
        """
        late = CopyProgress(2, 0.6, copying_s=4.0, serving_left_s=3.0)
        self.assertEqual((3,), staging.versions_to_copy(3, [late]))
        in_time = late._replace(serving_left_s=4.0)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [in_time]))

    def test_a_copy_that_the_fleet_holds_goes_first(self):
        """A second version follows after two seconds.

        At its own pace of the first two seconds an agent would take ten for
        the older copy; its peers hold most of that.
        """
        older = CopyProgress(2, 0.2, 2.0, 6.7, known=0.75, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 1.6, 8.7, known=0.0, full_copy_s=4.5)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [older, newest]))
        alone = older._replace(known=0.0, full_copy_s=float('inf'))
        self.assertEqual((3,), staging.versions_to_copy(3, [alone, newest]))

    def test_the_newest_goes_first_where_it_comes_in_time(self):
        """It is named half a second after the one before."""
        older = CopyProgress(2, 0.05, 0.5, 8.2, known=0.3, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 0.0, 8.7, full_copy_s=4.5)
        self.assertEqual((3, 2), staging.versions_to_copy(3, [older, newest]))

    def test_an_older_copy_is_finished_while_nothing_serves(self):
        """The origin is away, and two chunks were lacking when it went.

        The version that serves ends before the older copy is whole; the
        newer one will be seconds later still.
        """
        older = CopyProgress(2, 0.96, 7.5, 0.5, known=0.96, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 5.5, 2.8, known=0.0, full_copy_s=4.5)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [older, newest]))
        ends = newest._replace(serving_left_s=1.5)
        self.assertEqual((3,), staging.versions_to_copy(3, [older, ends]))
        comes = newest._replace(share=0.8, known=1.0)
        self.assertEqual((3,), staging.versions_to_copy(3, [older, comes]))

    def test_two_copies_do_not_change_places_for_little(self):
        """Turned to by turns, neither would be whole in time."""
        older = CopyProgress(2, 0.4, 2.0, 5.9, known=1.0, full_copy_s=4.5)
        newest = CopyProgress(3, 0.1, 0.5, 8.0, known=0.5, full_copy_s=4.5)
        self.assertEqual((3, 2), staging.versions_to_copy(3, [older, newest]))

    def test_the_newest_is_wanted_alone_otherwise(self):
        self.assertEqual((1,), staging.versions_to_copy(1, []))
        self.assertEqual(
            (3,), staging.versions_to_copy(3, [CopyProgress(2, 1.0)])
        )
        self.assertEqual(
            (3,), staging.versions_to_copy(3, [CopyProgress(3, 0.5)])
        )
        self.assertEqual(
            (3,), staging.versions_to_copy(3, [CopyProgress(2, 0.0)])
        )

    def test_of_two_older_ones_the_fuller_is_kept(self):
        under_way = [CopyProgress(1, 0.1), CopyProgress(2, 0.8)]
        self.assertEqual((2, 3), staging.versions_to_copy(3, under_way))

    def test_order_is_given_once_and_again_if_lost(self):
        """The engine's answer to an order is lost.

        The order may have been taken. A second one at once would load the
        same twice; without any the engine would never load.
        """
        standing = StagingState(
            ready=2, loaded=1, loading=False, ordered_at=10.0
        )
        self.assertFalse(staging.may_order(standing, 10.5))
        self.assertTrue(staging.may_order(standing, 11.1))
        loading = standing._replace(loading=True)
        self.assertFalse(staging.may_order(loading, 11.1))

    def test_engine_that_came_back_empty_is_loaded(self):
        standing = StagingState(
            ready=2, loaded=None, loading=False, ordered_at=None
        )
        self.assertTrue(staging.may_order(standing, 0.0))

    def test_newer_than_wanted_is_left_alone(self):
        standing = StagingState(
            ready=2, loaded=3, loading=False, ordered_at=None
        )
        self.assertFalse(staging.may_order(standing, 0.0))

    def test_waiting_for_a_turn_ends_in_time(self):
        self.assertFalse(staging.must_load(100.0, 8.0, 106.9))
        self.assertTrue(staging.must_load(100.0, 8.0, 107.0))
        self.assertTrue(staging.must_load(None, 8.0, 0.0))

    def test_an_opening_is_told_from_the_link_until_a_copy_comes_along(self):
        """All engines have restarted; the first chunks have come.

        The first fifth of a second says little of how fast the rest will
        come, and callers are let in to wait by it.
        """
        by_link = staging.opens_in_s(0.1, 0.1, 4.0)
        self.assertAlmostEqual(4.0 + staging.LOAD_S, by_link)
        measured = staging.opens_in_s(0.5, 3.0, 2.0)
        self.assertAlmostEqual(3.0 + staging.LOAD_S, measured)

    def test_closing_is_told_only_when_it_can_be_estimated(self):
        self.assertIsNone(staging.closes_in_s(0.1, 0.5, False, 7.0))
        self.assertAlmostEqual(0.5, staging.closes_in_s(0.8, 2.0, False, 7.0))
        self.assertEqual(0.2, staging.closes_in_s(0.8, 2.0, True, 0.2))
