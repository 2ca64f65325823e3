"""Judges whether an answer is complete, by how it ended.

An upstream frames an answer by a length or by chunks, and then its end shows
that it is complete. With neither, the answer ends with its connection, and an
upstream that crashes closes it in the same way as one that is done. Such an
answer is complete only if its upstream has not ended since. A stream is
complete only between two events, whatever its framing.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import NamedTuple

LATE_PARTS_S = 0.25


class Framing(enum.Enum):
    """What marks the end of an answer."""

    LENGTH_OR_CHUNKS = 'length_or_chunks'
    CONNECTION = 'connection'


class Complete(NamedTuple):
    """All of the answer was received."""


class BrokenOff(NamedTuple):
    """The answer ended early.

    `crashed` is whether its upstream has closed the connection or is gone.
    """

    reason: str
    crashed: bool


AnswerEnd = Complete | BrokenOff


class DeadlineCheck:
    """Detects an answer whose parts go on after its deadline.

    A process that was suspended first reads what has arrived meanwhile, so an
    answer goes on only once parts have been late for LATE_PARTS_S.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._late_since: float | None = None

    def is_exceeded(self, received_at: float) -> bool:
        """Whether it is exceeded, given when a part was received.

        >>> check = DeadlineCheck(8.0)
        >>> [check.is_exceeded(at) for at in (7.9, 9.0, 9.2, 9.3)]
        [False, False, False, True]
        """
        if received_at <= self._deadline:
            return False
        if self._late_since is None:
            self._late_since = received_at
        return received_at - self._late_since > LATE_PARTS_S


def judge(
    framing: Framing,
    partial_event: bytes = b'',
    lacks_events: bool = False,
    is_upstream_gone: Callable[[], bool] = lambda: False,
) -> AnswerEnd:
    r"""Judge an answer whose end was received.

    `partial_event` has the bytes after the last event of a stream;
    `lacks_events` is whether it has no events and should have some.
    `is_upstream_gone` tells whether the upstream has ended by now;
    it is only called for an answer that nothing else shows to be broken off.

    >>> judge(Framing.LENGTH_OR_CHUNKS)
    Complete()
    >>> judge(Framing.CONNECTION, b'id: 3\nda').reason
    'ended inside an event'
    """
    closed = framing is Framing.CONNECTION
    # White space after the last event begins no other one.
    if partial_event.strip():
        return BrokenOff('ended inside an event', closed)
    if closed and lacks_events:
        return BrokenOff('ended with its connection before an event', True)
    if closed and is_upstream_gone():
        return BrokenOff('ended with its connection and its upstream', True)
    return Complete()


def judge_relayed(
    sent_parts: int, received_parts: int, error: str, crashed: bool
) -> AnswerEnd:
    """Judge an answer that another process of this system has relayed.

    It relays an answer in numbered parts, and states at the end how many they
    are, or by `error` and `crashed` why there are no more.
    """
    if error:
        return BrokenOff(error, crashed)
    if sent_parts != received_parts:
        return BrokenOff(
            f'{received_parts!r} of {sent_parts!r} parts received', False
        )
    return Complete()
