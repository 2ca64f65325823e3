"""Large messages of a link in fragments, between which others can pass."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from burdockchute import wire
from burdockchute.decisions import flow_control
from burdockchute.wire import messages

# At 4.7 Mbit/s, the thinnest link in use, a fragment takes 14 ms, which is
# what a token of a live answer may have to wait behind it.
FRAGMENT_BYTES = 8 * 1024

Pace = Callable[[int], float]


class FragmentQueue:
    """The fragments that wait to be sent, oldest message first.

    `pace` is asked before each one: it counts the bytes and gives 0, or gives
    the seconds to wait before asking again.
    """

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._flow = flow_control.FlowState()
        self._waiting: deque[messages.Fragment] = deque()

    def add(self, data: bytes) -> None:
        """Queue an encoded message."""
        last = len(data) - FRAGMENT_BYTES
        for start in range(0, len(data), FRAGMENT_BYTES):
            piece = data[start : start + FRAGMENT_BYTES]
            self._waiting.append(messages.Fragment(piece, start >= last))

    def acknowledged(self, now: float) -> None:
        """Note that the receiver has the oldest fragment that is out."""
        self._flow = flow_control.acknowledged(self._flow, now)

    def wait_s(self, now: float) -> float | None:
        """Give how long until a fragment may be sent, None for not yet.

        Zero takes its bytes from the pace, so `next` has to follow.
        """
        if not self._waiting:
            return None
        wait_s = flow_control.wait_s(self._flow, now)
        if wait_s != 0.0:
            return wait_s
        return self._pace(len(self._waiting[0].data))

    def is_slow(self, now: float) -> bool:
        """Tell whether the link takes less than it is sent."""
        return flow_control.is_slow(self._flow, now)

    def next(self, now: float) -> messages.Fragment:
        """Take the next fragment, which is sent now."""
        self._flow = flow_control.sent(self._flow, now)
        return self._waiting.popleft()


class FragmentAssembler:
    """Puts the fragments of one message after the other together."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def take(self, fragment: messages.Fragment) -> bytes | None:
        """Give the encoded message that a fragment completes, if any."""
        self._parts.append(fragment.data)
        self._size += len(fragment.data)
        if self._size > wire.MAX_FRAME_BYTES:
            raise wire.WireError(f'fragments of {self._size!r} bytes')
        if not fragment.last:
            return None
        data = b''.join(self._parts)
        self._parts, self._size = [], 0
        return data
