"""Messages between a caller's task and the router of an entry."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute.model.outcomes import Outcome
from burdockchute.model.requests import RequestContext


class Submit(NamedTuple):
    """A validated request; its answer is put on the queue `replies`."""

    ctx: RequestContext
    replies: Any


class CallerGone(NamedTuple):
    """The caller of this request has disconnected."""

    request_id: str


class AnswerStarted(NamedTuple):
    """The first part follows; the answer is from these weights."""

    digest: str
    adapter_digest: str


class Part(NamedTuple):
    """The JSON of one event of a stream, or the full body of an answer."""

    data: bytes


class Done(NamedTuple):
    """The final outcome and last message; `Answered.body` is empty here."""

    outcome: Outcome


Reply = AnswerStarted | Part | Done


class RequestSummary(NamedTuple):
    """Measurements of one request, for objectives and metrics.

    Times are seconds after arrival; `first_part_s` is None if no part was
    passed to the caller. `attempts` counts how often it was forwarded.
    """

    ctx: RequestContext
    outcome: Outcome
    first_part_s: float | None
    total_s: float
    parts: int
    attempts: int
