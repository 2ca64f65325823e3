"""Replies that the greenlet of a caller forwards."""

from __future__ import annotations

from collections.abc import Generator
import errno
from typing import NamedTuple

import gevent

from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown


class CompleteAnswer(NamedTuple):
    """An upstream's answer with its complete body."""

    head: AnswerHead
    body: bytes


class StreamAnswer(NamedTuple):
    """The head of a stream and a generator of its events.

    `events` raises StreamBroken if the stream can't be completed.
    """

    head: AnswerHead
    events: Generator[bytes, None, None]


Reply = CompleteAnswer | StreamAnswer | NotRun | Unknown


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection; raised in the caller's greenlet."""


class ExitDue(gevent.GreenletExit):
    """This process has to exit; raised in the caller's greenlet."""


class StreamBroken(OSError):
    """A stream ended before its last event.

    It is an ECONNRESET: after one, the WSGI server closes the connection
    without the marker that ends an answer, so the caller can tell that the
    stream is incomplete.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(errno.ECONNRESET, reason)
