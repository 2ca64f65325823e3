"""From which entries an agent receives the desired state."""

from __future__ import annotations

import unittest

from burdockchute_agent.staged.state_sources import DesiredStateSources
from burdockchute_agent.staged.state_sources import STARTUP_FALLBACK_DELAY_S
from burdockchute_agent.staged.state_sources import STORE_FALLBACK_DELAY_S


class DesiredStateSourcesTest(unittest.TestCase):
    def setUp(self):
        self.sources = DesiredStateSources(100.0)

    def test_new_agent_waits_for_entries(self):
        self.assertFalse(self.sources.must_read_store(100.1))
        self.assertTrue(
            self.sources.must_read_store(100.0 + STORE_FALLBACK_DELAY_S)
        )

    def test_starting_agent_waits_only_briefly(self):
        """Engines are added while the others are saturated.

        Entries find a new engine in the list up to a second later. If its
        agent waited for them, its copy would start that much later, while
        callers wait for its slots.
        """
        self.assertTrue(
            self.sources.must_read_store(100.0 + STARTUP_FALLBACK_DELAY_S)
        )
        self.sources.update('first', True, 100.1)
        self.assertFalse(
            self.sources.must_read_store(100.0 + STARTUP_FALLBACK_DELAY_S)
        )

    def test_store_is_not_read_while_an_entry_is_linked(self):
        self.sources.update('first', True, 100.1)
        self.sources.update('second', True, 100.2)
        self.sources.closed('first', 120.0)
        self.assertFalse(self.sources.must_read_store(150.0))
        self.sources.closed('second', 160.0)
        self.assertFalse(self.sources.must_read_store(160.1))
        self.assertTrue(
            self.sources.must_read_store(160.0 + STORE_FALLBACK_DELAY_S)
        )

    def test_entry_without_store_contact_does_not_count(self):
        """The store serves the agent but none of the entries linked to it.

        The agent finds a new version only if it reads the store itself.
        """
        self.sources.update('first', True, 100.1)
        self.sources.update('first', False, 110.0)
        self.assertTrue(
            self.sources.must_read_store(110.0 + STORE_FALLBACK_DELAY_S)
        )
        self.sources.update('first', True, 112.0)
        self.assertFalse(self.sources.must_read_store(130.0))

    def test_entry_that_never_had_store_contact_does_not_count(self):
        self.sources.update('first', False, 100.0)
        self.sources.closed('first', 100.6)
        self.assertTrue(
            self.sources.must_read_store(100.0 + STORE_FALLBACK_DELAY_S)
        )


if __name__ == '__main__':
    unittest.main()
