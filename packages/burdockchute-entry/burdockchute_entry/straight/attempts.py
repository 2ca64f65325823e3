"""How an attempt at a request ends, and what an upstream has in hand.

Three things are kept apart, since what a caller may be told depends on it:
a request that was certainly not run, one that may have run, and one that was
answered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.connections import Connection
from burdockchute_entry.straight.replies import CompleteAnswer
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.service_queues import Slot


class NotExecuted(NamedTuple):
    """It was certainly not run there; `arrived` tells if it got there."""

    reason: str
    arrived: bool


class OutcomeUnknown(NamedTuple):
    """It may have run there, and its answer did not come whole."""

    reason: str


class Failed(NamedTuple):
    """The upstream ran it and says that it failed."""

    answer: CompleteAnswer

    @property
    def reason(self) -> str:
        """Why, for the log."""
        return f'status {self.answer.head.status}'


class TimedOut(NamedTuple):
    """The time of the request is over while an upstream has it."""


class Answered(NamedTuple):
    """The upstream's answer, or the begin of it."""

    reply: CompleteAnswer | StreamAnswer


AttemptResult = NotExecuted | OutcomeUnknown | Failed | TimedOut | Answered


class WeightsReplaced(Broken):
    """The request was stopped before it began on weights of the past."""


class UpstreamSilent(Broken):
    """Nothing came from the upstream for so long that it is taken for dark."""


# Told of an attempt at a stream that ended early: upstream, cause, reason.
OnInterrupted = Callable[[str, str, str], None]


class SentRequest(NamedTuple):
    """A request that an upstream has in hand.

    `start_by` is when it has to have begun on the weights that it was sent
    for; None for no such bound.
    """

    slot: Slot
    conn: Connection
    sent_at: float
    start_by: float | None
