"""Whom an agent relies on to hear what operators want."""

from __future__ import annotations

import unittest

from burdockchute_agent.staged.state_sources import DesiredStateSources
from burdockchute_agent.staged.state_sources import STARTUP_FALLBACK_DELAY_S
from burdockchute_agent.staged.state_sources import STORE_FALLBACK_DELAY_S


class DesiredStateSourcesTest(unittest.TestCase):
    def setUp(self):
        self.sources = DesiredStateSources(100.0)

    def test_a_new_agent_waits_a_moment_to_be_told(self):
        self.assertFalse(self.sources.must_read_store(100.1))
        self.assertTrue(
            self.sources.must_read_store(100.0 + STORE_FALLBACK_DELAY_S)
        )

    def test_an_agent_that_starts_does_not_wait_to_be_found(self):
        """Engines are added while the others are saturated.

        Entries find a new engine in the list up to a second later. Until
        then its copy has not begun, and callers wait for its places.
        """
        self.assertTrue(
            self.sources.must_read_store(100.0 + STARTUP_FALLBACK_DELAY_S)
        )
        self.sources.update('first', True, 100.1)
        self.assertFalse(
            self.sources.must_read_store(100.0 + STARTUP_FALLBACK_DELAY_S)
        )

    def test_it_relies_on_entries_for_as_long_as_they_are_linked(self):
        self.sources.update('first', True, 100.1)
        self.sources.update('second', True, 100.2)
        self.sources.closed('first', 120.0)
        self.assertFalse(self.sources.must_read_store(150.0))
        self.sources.closed('second', 160.0)
        self.assertFalse(self.sources.must_read_store(160.1))
        self.assertTrue(
            self.sources.must_read_store(160.0 + STORE_FALLBACK_DELAY_S)
        )

    def test_an_entry_that_the_store_turns_away_is_not_relied_on(self):
        """The store serves the agent and none of the entries it hears from.

        The agent sees a new version only if it asks by itself.
        """
        self.sources.update('first', True, 100.1)
        self.sources.update('first', False, 110.0)
        self.assertTrue(
            self.sources.must_read_store(110.0 + STORE_FALLBACK_DELAY_S)
        )
        self.sources.update('first', True, 112.0)
        self.assertFalse(self.sources.must_read_store(130.0))

    def test_one_that_was_never_informed_is_not_waited_for(self):
        self.sources.update('first', False, 100.0)
        self.sources.closed('first', 100.6)
        self.assertTrue(
            self.sources.must_read_store(100.0 + STORE_FALLBACK_DELAY_S)
        )


if __name__ == '__main__':
    unittest.main()
