"""Splitting a stream into complete events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute.upstreams.events import Event
from burdockchute.upstreams.events import EventSplitter

STREAM = b'id: 1\ndata: a\n\ndata: b\r\nid: 2\r\n\r\nid: 3\ndata: c\n\nid'


class EventsTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_events_do_not_depend_on_the_pieces(self, places):
        """The network delivers a stream in pieces of any size.

        An event that is forwarded before it is complete can't be taken back
        if its engine crashes.
        """
        splitter = EventSplitter()
        found = []
        start = 0
        for end in [*sorted(places), len(STREAM)]:
            found += splitter.feed(STREAM[start:end])
            start = end
        self.assertEqual(
            [
                Event('1', b'id: 1\ndata: a\n\n'),
                Event('2', b'data: b\r\nid: 2\r\n\r\n'),
                Event('3', b'id: 3\ndata: c\n\n'),
            ],
            found,
        )
        self.assertEqual(b'id', splitter.partial_event)
