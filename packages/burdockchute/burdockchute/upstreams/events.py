r"""Splits a stream into complete events.

Only complete events are forwarded: if a stream broke off within an event, the
caller would have bytes that no resumed stream can continue.

>>> splitter = EventSplitter()
>>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
[Event(id='1', data=b'id: 1\ndata: a\n\n')]
>>> splitter.partial_event
b'id: 2\nda'
"""

from __future__ import annotations

import re
from typing import NamedTuple

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class Event(NamedTuple):
    """One event with its terminator; `id` is empty if it has none."""

    id: str
    data: bytes


class EventSplitter:
    """Collects the bytes of a stream and returns them event by event."""

    def __init__(self) -> None:
        self.partial_event = b''

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that are now complete."""
        self.partial_event += data
        found = []
        start = 0
        for end in _END.finditer(self.partial_event):
            found.append(_event(self.partial_event[start : end.end()]))
            start = end.end()
        self.partial_event = self.partial_event[start:]
        return found


def _event(data: bytes) -> Event:
    named = _ID.search(data)
    return Event(named[1].decode('latin-1') if named else '', data)
