"""Whom an agent relies on to hear what operators want."""

from __future__ import annotations

import unittest

from burdockchute_agent.staged.informants import ALONE_AFTER_S
from burdockchute_agent.staged.informants import FRESH_AFTER_S
from burdockchute_agent.staged.informants import Informants


class InformantsTest(unittest.TestCase):
    def setUp(self):
        self.informants = Informants(100.0)

    def test_a_new_agent_waits_a_moment_to_be_told(self):
        self.assertFalse(self.informants.are_missing(100.1))
        self.assertTrue(self.informants.are_missing(100.0 + ALONE_AFTER_S))

    def test_an_agent_that_starts_does_not_wait_to_be_found(self):
        """Engines are added while the others are saturated.

        Entries find a new engine in the list up to a second later. Until
        then its copy has not begun, and callers wait for its places.
        """
        self.assertTrue(self.informants.are_missing(100.0 + FRESH_AFTER_S))
        self.informants.told('first', True, 100.1)
        self.assertFalse(self.informants.are_missing(100.0 + FRESH_AFTER_S))

    def test_it_relies_on_entries_for_as_long_as_they_are_linked(self):
        self.informants.told('first', True, 100.1)
        self.informants.told('second', True, 100.2)
        self.informants.closed('first', 120.0)
        self.assertFalse(self.informants.are_missing(150.0))
        self.informants.closed('second', 160.0)
        self.assertFalse(self.informants.are_missing(160.1))
        self.assertTrue(self.informants.are_missing(160.0 + ALONE_AFTER_S))

    def test_an_entry_that_the_store_turns_away_is_not_relied_on(self):
        """The store serves the agent and none of the entries it hears from.

        The agent sees a new version only if it asks by itself.
        """
        self.informants.told('first', True, 100.1)
        self.informants.told('first', False, 110.0)
        self.assertTrue(self.informants.are_missing(110.0 + ALONE_AFTER_S))
        self.informants.told('first', True, 112.0)
        self.assertFalse(self.informants.are_missing(130.0))

    def test_one_that_was_never_informed_is_not_waited_for(self):
        self.informants.told('first', False, 100.0)
        self.informants.closed('first', 100.6)
        self.assertTrue(self.informants.are_missing(100.0 + ALONE_AFTER_S))


if __name__ == '__main__':
    unittest.main()
