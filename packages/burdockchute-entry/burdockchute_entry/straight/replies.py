"""What the task of a caller gets to pass on."""

from __future__ import annotations

from collections.abc import Iterator
import errno
from typing import NamedTuple

import gevent

from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown


class CompleteAnswer(NamedTuple):
    """An upstream's answer with its whole body."""

    head: AnswerHead
    body: bytes


class StreamAnswer(NamedTuple):
    """The head of a stream and its events, which are still to come.

    `events` raises StreamBroken where the stream can't be brought to its
    end.
    """

    head: AnswerHead
    events: Iterator[bytes]


Reply = CompleteAnswer | StreamAnswer | NotRun | Unknown


class CallerGone(gevent.GreenletExit):
    """The caller has closed its connection; raised in its own greenlet."""


class StreamBroken(OSError):
    """A stream ends before its last event.

    The server of the callers closes a connection whose task has met a reset,
    without the mark that ends an answer; so the caller sees that the stream
    isn't whole.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(errno.ECONNRESET, reason)
