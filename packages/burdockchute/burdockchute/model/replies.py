"""Messages between the task of a caller and the router of an entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute.model.outcomes import Outcome
from burdockchute.model.requests import RequestContext


class Submit(NamedTuple):
    """A checked request; its answer goes to the queue `replies`."""

    ctx: RequestContext
    replies: Any


class CallerGone(NamedTuple):
    """Nobody waits for this request's answer any more."""

    request_id: str


class AnswerStarted(NamedTuple):
    """The first part follows; the answer comes from these weights."""

    digest: str
    adapter_digest: str


class Part(NamedTuple):
    """The JSON of one event of a stream, or the whole body of an answer."""

    data: bytes


class Done(NamedTuple):
    """The final outcome; nothing follows. `Answered.body` is empty here."""

    outcome: Outcome


Reply = AnswerStarted | Part | Done


class RequestSummary(NamedTuple):
    """What the entry measured of one request, for objectives and metrics.

    Times are seconds after arrival; `first_part_s` is None where no part
    was passed on. `attempts` counts how often it was handed on.
    """

    ctx: RequestContext
    outcome: Outcome
    first_part_s: float | None
    total_s: float
    parts: int
    attempts: int
