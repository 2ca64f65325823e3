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

# Events have a few hundred bytes.
MAX_EVENT_BYTES = 256 * 1024

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
# A field of an event, or a comment.
_FIELD = re.compile(rb'^(:|(data|id|event|retry)[:\r\n])', re.MULTILINE)

# An end of an event may have arrived but for its last byte.
_END_OVERLAP = 3


class InvalidEvent(Exception):
    """The bytes of a stream are no event."""


class Event(NamedTuple):
    """One event with its terminator; `id` is empty if it has none."""

    id: str
    data: bytes


class EventSplitter:
    """Collects the bytes of a stream and returns them event by event."""

    def __init__(self) -> None:
        self.partial_event = b''
        self._invalid = ''

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that are now complete.

        Raises InvalidEvent, also for an event that is too long. Events before
        it are returned first, and the next call raises.
        """
        if self._invalid:
            raise InvalidEvent(self._invalid)
        searched = max(0, len(self.partial_event) - _END_OVERLAP)
        self.partial_event += data
        found = []
        start = 0
        for end in _END.finditer(self.partial_event, searched):
            event = _event(self.partial_event[start : end.end()])
            if event is None:
                self._invalid = f'no event: {self.partial_event[start:]!r:.60}'
                break
            found.append(event)
            start = end.end()
        self.partial_event = self.partial_event[start:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            self._invalid = f'an event exceeds {MAX_EVENT_BYTES} bytes'
        if self._invalid and not found:
            raise InvalidEvent(self._invalid)
        return found


def _event(data: bytes) -> Event | None:
    named = _ID.search(data)
    if named is None and not _FIELD.search(data):
        return None
    return Event(named[1].decode('latin-1') if named else '', data)
