r"""Cuts a stream into whole events.

Only whole events are passed on: of one that breaks off within, the caller
would have bytes that no resumed stream can continue.

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
    """One event with its end; `id` is empty for an event without one."""

    id: str
    data: bytes


class EventSplitter:
    """Bytes of a stream as they come, given out event by event."""

    def __init__(self) -> None:
        self.partial_event = b''

    def feed(self, data: bytes) -> list[Event]:
        """Take more bytes and give the events that are whole now."""
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
