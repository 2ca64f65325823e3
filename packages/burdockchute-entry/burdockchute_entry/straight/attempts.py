"""Results of an attempt at a request, and requests in flight.

The results distinguish a request that was certainly not run, one that may
have run, and one that was answered, because the reply to the caller depends
on it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.connections import Connection
from burdockchute_entry.straight.replies import CompleteAnswer
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.service_queues import Slot


class NotExecuted(NamedTuple):
    """The upstream certainly did not run the request.

    `arrived` tells whether the request reached the upstream.
    """

    reason: str
    arrived: bool


class OutcomeUnknown(NamedTuple):
    """The upstream may have run the request; its answer is incomplete."""

    reason: str


class Failed(NamedTuple):
    """The upstream ran the request and answered with an error."""

    answer: CompleteAnswer

    @property
    def reason(self) -> str:
        """The reason for the log."""
        return f'status {self.answer.head.status}'


class TimedOut(NamedTuple):
    """The deadline passed while the request was in flight."""


class Answered(NamedTuple):
    """The upstream's complete answer, or the start of a stream."""

    reply: CompleteAnswer | StreamAnswer


AttemptResult = NotExecuted | OutcomeUnknown | Failed | TimedOut | Answered


class WeightsReplaced(AnswerFailed):
    """The request was cancelled before it started on replaced weights."""


class UpstreamSilent(AnswerFailed):
    """The upstream sent nothing for the silence limit and may be down."""


class UpstreamSlow(AnswerFailed):
    """The upstream has not started to answer in several times the estimate.

    It keeps the request.
    """


class Overtaken(AnswerFailed):
    """The upstream that was tried first has started to answer."""


class EmptyRemainder(AnswerFailed):
    """The remainder of a stream has no event that the caller lacks.

    That is valid if the caller already has the last event.
    """


# Called when an attempt at a stream ends early: upstream, cause, reason.
OnInterrupted = Callable[[str, str, str], None]


class SentRequest(NamedTuple):
    """A request in flight at an upstream.

    `start_by` is the latest time at which the upstream may start it on the
    weights it was sent for; None for no such limit. `hedge_at` is when it is
    sent to a second upstream if it has not started, None for never. `rival` is
    the connection of a request that it was sent in addition to.
    """

    slot: Slot
    conn: Connection
    sent_at: float
    start_by: float | None
    hedge_at: float | None = None
    rival: Connection | None = None
