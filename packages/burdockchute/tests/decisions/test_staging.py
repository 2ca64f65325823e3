"""Tests of what an agent copies and loads next."""

from __future__ import annotations

import unittest

from burdockchute.decisions import staging
from burdockchute.decisions.staging import CopyProgress
from burdockchute.decisions.staging import StagingState


class StagingTest(unittest.TestCase):
    def test_half_complete_copy_goes_first(self):
        """Two versions are named within four seconds.

        If the first copy were cancelled each time, every engine would stay on
        a version that may start no more requests.
        """
        self.assertEqual(
            (2, 3), staging.versions_to_copy(3, [CopyProgress(2, 0.6)])
        )

    def test_copy_that_has_just_started_uses_remaining_bandwidth(self):
        """A second version is named after two seconds, and the origin fails.

        The second copy can't be completed now, but the first one can, from
        the peers.
        """
        self.assertEqual(
            (3, 2), staging.versions_to_copy(3, [CopyProgress(2, 0.3)])
        )

    def test_copy_that_completes_too_late_is_cancelled(self):
        """Links are slow and the first copy will take three seconds more.

        The version that serves now ends before that; the engine would load
        twice in a short time and answer no request in between.
        """
        late = CopyProgress(2, 0.6, copying_s=4.0, serving_left_s=3.0)
        self.assertEqual((3,), staging.versions_to_copy(3, [late]))
        in_time = late._replace(serving_left_s=4.0)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [in_time]))

    def test_copy_that_the_fleet_holds_goes_first(self):
        """A second version is named after two seconds.

        At the rate of the first two seconds an agent would need ten for the
        older copy, but its peers hold most of it.
        """
        older = CopyProgress(2, 0.2, 2.0, 6.7, known=0.75, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 1.6, 8.7, known=0.0, full_copy_s=4.5)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [older, newest]))
        alone = older._replace(known=0.0, full_copy_s=float('inf'))
        self.assertEqual((3,), staging.versions_to_copy(3, [alone, newest]))

    def test_newest_goes_first_if_it_completes_in_time(self):
        """It is named half a second after the previous version."""
        older = CopyProgress(2, 0.05, 0.5, 8.2, known=0.3, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 0.0, 8.7, full_copy_s=4.5)
        self.assertEqual((3, 2), staging.versions_to_copy(3, [older, newest]))

    def test_older_copy_is_completed_while_no_version_serves(self):
        """The origin failed when two chunks of the older copy were missing.

        The version that serves ends before the older copy is complete; the
        newer one will be later still, by seconds.
        """
        older = CopyProgress(2, 0.96, 7.5, 0.5, known=0.96, full_copy_s=4.5)
        newest = CopyProgress(3, 0.0, 5.5, 2.8, known=0.0, full_copy_s=4.5)
        self.assertEqual((2, 3), staging.versions_to_copy(3, [older, newest]))
        ending = newest._replace(serving_left_s=1.5)
        self.assertEqual((3,), staging.versions_to_copy(3, [older, ending]))
        nearly_complete = newest._replace(share=0.8, known=1.0)
        self.assertEqual(
            (3,), staging.versions_to_copy(3, [older, nearly_complete])
        )

    def test_precedence_does_not_change_for_a_small_gain(self):
        """If precedence alternated, neither copy would complete in time."""
        older = CopyProgress(2, 0.4, 2.0, 5.9, known=1.0, full_copy_s=4.5)
        newest = CopyProgress(3, 0.1, 0.5, 8.0, known=0.5, full_copy_s=4.5)
        self.assertEqual((3, 2), staging.versions_to_copy(3, [older, newest]))

    def test_only_the_newest_is_copied_otherwise(self):
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

    def test_of_two_older_copies_the_more_complete_one_is_kept(self):
        under_way = [CopyProgress(1, 0.1), CopyProgress(2, 0.8)]
        self.assertEqual((2, 3), staging.versions_to_copy(3, under_way))

    def test_order_is_given_once_and_again_if_lost(self):
        """The engine's answer to an order is lost.

        The order may have been accepted. A second one at once would load the
        same version twice; without a second one the engine might never load.
        """
        state = StagingState(ready=2, loaded=1, loading=False, ordered_at=10.0)
        self.assertFalse(staging.may_order(state, 10.5))
        self.assertTrue(staging.may_order(state, 11.1))
        loading = state._replace(loading=True)
        self.assertFalse(staging.may_order(loading, 11.1))

    def test_engine_that_restarted_without_weights_is_loaded(self):
        state = StagingState(
            ready=2, loaded=None, loading=False, ordered_at=None
        )
        self.assertTrue(staging.may_order(state, 0.0))

    def test_engine_with_a_newer_version_is_not_loaded(self):
        state = StagingState(ready=2, loaded=3, loading=False, ordered_at=None)
        self.assertFalse(staging.may_order(state, 0.0))

    def test_waiting_for_a_turn_ends_in_time(self):
        self.assertFalse(staging.must_load(100.0, 8.0, 106.9))
        self.assertTrue(staging.must_load(100.0, 8.0, 107.0))
        self.assertTrue(staging.must_load(None, 8.0, 0.0))

    def test_opening_is_estimated_from_the_link_at_first(self):
        """All engines have restarted, and the first chunks have arrived.

        The first fifth of a second gives no good estimate of the remaining
        time, by which callers are admitted to wait.
        """
        by_link = staging.opens_in_s(0.1, 0.1, 4.0)
        self.assertAlmostEqual(4.0 + staging.LOAD_S, by_link)
        measured = staging.opens_in_s(0.5, 3.0, 2.0)
        self.assertAlmostEqual(3.0 + staging.LOAD_S, measured)

    def test_closing_is_reported_only_when_it_can_be_estimated(self):
        self.assertIsNone(staging.closes_in_s(0.1, 0.5, False, 7.0))
        self.assertAlmostEqual(0.5, staging.closes_in_s(0.8, 2.0, False, 7.0))
        self.assertEqual(0.2, staging.closes_in_s(0.8, 2.0, True, 0.2))
