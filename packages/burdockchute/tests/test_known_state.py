"""Tests that configurations and versions never go back in a process."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.decisions import versions
from burdockchute.model import known_state as state_updates
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import ConfigurationRead
from burdockchute.model.feeds import UnreadableRecord
from burdockchute.model.feeds import VersionRead
from burdockchute.model.known_state import KnownState
from burdockchute.model.known_state import PeerReport
from burdockchute.model.positions import Position
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


def configuration(version):
    return ConfigurationRead(Configuration(version, (), (), None, LIMITS))


class StartupTest(unittest.TestCase):
    """A process starts after the store was restored from an old copy.

    The old configuration in it still has a key that was revoked since.
    """

    def read(self, known_state, version, least):
        batch = Batch(Position(1, 3), True, (configuration(version),))
        return state_updates.apply_desired_state(
            known_state, batch, True, 5.0, least
        )

    def test_an_older_configuration_than_neighbours_know_is_held_back(self):
        after, state_changes = self.read(KnownState(), 6, 7)
        self.assertIsNone(after.routes)
        self.assertEqual(
            ['configuration_held_back'], [x.event for x in state_changes]
        )
        again, _changes = self.read(after, 7, 7)
        self.assertEqual(7, again.routes.configuration.version)
        self.assertEqual((again, []), state_updates.apply_held_back(again))

    def test_it_is_applied_if_the_newer_one_is_not_written_again(self):
        after, _changes = self.read(KnownState(), 6, 7)
        served, state_changes = state_updates.apply_held_back(after)
        self.assertEqual(6, served.routes.configuration.version)
        self.assertEqual(
            ['configuration_learnt'], [x.event for x in state_changes]
        )

    def test_a_running_process_is_bound_by_what_it_has_read(self):
        """A neighbour that reads sooner does not make it unready."""
        running, _changes = self.read(KnownState(), 6, 0)
        after, _changes = self.read(running, 6, 7)
        self.assertEqual(6, after.routes.configuration.version)


CHANGES = st.one_of(
    st.integers(1, 9).map(configuration),
    st.integers(1, 9).map(lambda version: VersionRead('story', version)),
    st.just(UnreadableRecord('config', 'torn')),
)


class KnownStateTest(unittest.TestCase):
    @given(st.lists(st.lists(CHANGES, max_size=4), max_size=8))
    def test_no_sequence_of_reads_goes_back(self, batches):
        """Records are read twice, late, from pages and out of order.

        Going back would make a key work again that an operator revoked.
        """
        known_state = KnownState()
        for number, changes in enumerate(batches):
            version = _versions(known_state)
            batch = Batch(Position(0, number), number == 0, tuple(changes))
            known_state, _changes = state_updates.apply_desired_state(
                known_state, batch, number == 0, float(number)
            )
            after = _versions(known_state)
            self.assertGreaterEqual(after, version)
            newest = [
                c.configuration.version
                for c in changes
                if isinstance(c, ConfigurationRead)
            ]
            self.assertGreaterEqual(after[0], max(newest, default=0))

    @given(st.lists(st.integers(1, 9), max_size=8), st.integers(0, 9))
    def test_reported_requirements_do_not_go_back(self, reported, read):
        """Entries report configurations late and out of order.

        An agent that went back to the address of an origin that has moved
        could fetch no weights.
        """
        known_state = KnownState()
        if read:
            batch = Batch(Position(0, 0), True, (configuration(read),))
            known_state, _changes = state_updates.apply_desired_state(
                known_state, batch, True, 0.0
            )
        newest = read
        for version in reported:
            requirements = AgentRequirements(
                version, ('story',), 4, '10.0.0.1:80'
            )
            known_state, _changes = state_updates.apply_reported_requirements(
                known_state, requirements
            )
            newest = max(newest, version)
            known = known_state.agent_requirements('drafts')
            self.assertEqual(newest, known.configuration)

    def test_a_restarted_process_does_not_end_a_version_elsewhere(self):
        """A restarted entry is the first to read of a new version.

        The store was unreachable, so it can't tell when the version was
        named. If other processes took that as long ago, they would start no
        request on the version that all engines hold, and every caller would
        be refused until the new version is copied.
        """
        batch = Batch(
            Position(0, 0), True, (configuration(1), VersionRead('story', 1))
        )
        running, _changes = state_updates.apply_desired_state(
            KnownState(), batch, True, 0.0
        )
        reports = [PeerReport('story', 2, None)]
        running, _changes = state_updates.apply_peer_reports(
            running, reports, 60.0
        )
        history = running.history('story')
        self.assertEqual(1, versions.least_allowed(history, 8.0, 62.0))
        self.assertEqual(2, versions.least_allowed(history, 8.0, 69.0))

    def test_two_started_processes_do_not_extend_an_old_version(self):
        """All processes restart long after a version was named.

        A process that has read nothing yet knows no more than the one that
        reports the version; no request may start on the version before it.
        """
        reports = [PeerReport('story', 2, None)]
        started, _changes = state_updates.apply_peer_reports(
            KnownState(), reports, 60.0
        )
        history = started.history('story')
        self.assertEqual(2, versions.least_allowed(history, 8.0, 60.0))

    def test_each_change_of_the_state_is_reported(self):
        batch = Batch(
            Position(0, 3), True, (configuration(4), VersionRead('story', 2))
        )
        _known_state, state_changes = state_updates.apply_desired_state(
            KnownState(), batch, True, 0.0
        )
        self.assertEqual(
            ['configuration_learnt', 'version_named'],
            [item.event for item in state_changes],
        )


def _versions(known_state):
    routes = known_state.routes
    return (
        routes.configuration.version if routes else 0,
        known_state.history('story').newest,
    )
