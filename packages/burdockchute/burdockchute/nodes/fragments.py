"""Splits large messages of a link, so that others pass in between."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from burdockchute import wire
from burdockchute.decisions import flow_control
from burdockchute.wire import messages

# On the slowest link in use, 4.7 Mbit/s, a fragment takes 14 ms. A token of a
# live answer may have to wait for that long behind it.
FRAGMENT_BYTES = 8 * 1024

Pace = Callable[[int], float]


class FragmentQueue:
    """The fragments to send, oldest message first.

    `pace` is called with the size of the next fragment: it either reserves
    the bytes and returns 0, or returns the seconds until the next call.
    """

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._flow = flow_control.FlowState()
        self._queued: deque[messages.Fragment] = deque()

    def add(self, data: bytes) -> None:
        """Queue an encoded message."""
        last = len(data) - FRAGMENT_BYTES
        for start in range(0, len(data), FRAGMENT_BYTES):
            part = data[start : start + FRAGMENT_BYTES]
            self._queued.append(messages.Fragment(part, start >= last))

    def on_acknowledged(self, now: float) -> None:
        """Record that the oldest unacknowledged fragment has arrived."""
        self._flow = flow_control.acknowledged(self._flow, now)

    def wait_s(self, now: float) -> float | None:
        """Return the seconds until a fragment may be sent.

        None if none is queued or an acknowledgement has to come first. Zero
        reserves the bytes with `pace`, so a call of `pop` has to follow.
        """
        if not self._queued:
            return None
        wait_s = flow_control.wait_s(self._flow, now)
        if wait_s != 0.0:
            return wait_s
        return self._pace(len(self._queued[0].data))

    def is_slow(self, now: float) -> bool:
        """Whether fragments are sent faster than the link transfers them."""
        return flow_control.is_slow(self._flow, now)

    def pop(self, now: float) -> messages.Fragment:
        """Remove and return the next fragment, which is sent now."""
        self._flow = flow_control.sent(self._flow, now)
        return self._queued.popleft()


class FragmentAssembler:
    """Reassembles messages, whose fragments arrive one after the other."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """The bytes of the fragments of the present message."""
        return self._size

    def add(self, fragment: messages.Fragment) -> bytes | None:
        """Add a fragment; return the encoded message if it is complete.

        Raises WireError for a message over the maximum size of a frame.
        """
        self._parts.append(fragment.data)
        self._size += len(fragment.data)
        if self._size > wire.MAX_FRAME_BYTES:
            raise wire.WireError(
                f'fragments of {self._size!r} bytes are too long'
            )
        if not fragment.last:
            return None
        data = b''.join(self._parts)
        self._parts, self._size = [], 0
        return data
