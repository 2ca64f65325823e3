"""Sends answers and final outcomes to callers, claims, metrics and the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from burdockchute import logs
from burdockchute.model import claims
from burdockchute.model import outcomes
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import AnswerStarted
from burdockchute.model.replies import Done
from burdockchute.model.replies import Part
from burdockchute.model.replies import RequestSummary
from burdockchute_entry.attempts import Request

LOST_STATUS = 502


def send_parts(request: Request, parts: list[bytes], now: float) -> None:
    """Send parts of the answer to the caller."""
    if not request.parts_sent:
        request.replies.put(AnswerStarted(*request.pinned))
    if request.first_part_at is None:
        request.first_part_at = now
    for data in parts:
        request.replies.put(Part(data))
    request.parts_sent += len(parts)


def replay(request: Request, outcome: Answered, now: float) -> Answered:
    """Send a recorded answer to the caller of a resent request."""
    request.pinned = request.pinned._replace(
        digest=outcome.digest, adapter_digest=outcome.adapter_digest
    )
    stream = request.ctx.stream
    send_parts(
        request, outcome.body.split(b'\n') if stream else [outcome.body], now
    )
    return outcome._replace(body=b'')


def reportable_outcome(request: Request, outcome: Outcome) -> Outcome:
    """Return the outcome as it may be reported.

    A request that was sent to an instance and ends while it waits for another
    attempt may have run, for whatever reason it ended.
    """
    if isinstance(outcome, NotRun) and request.attempts:
        return Unknown(outcome.reason, LOST_STATUS)
    return outcome


def report_outcome(
    request: Request,
    outcome: Outcome,
    now: float,
    observe: Callable[[RequestSummary], None],
) -> None:
    """Report the final outcome to the caller, the metrics and the log."""
    ctx = request.ctx
    request.replies.put(Done(outcome))
    first_at = request.first_part_at
    finished = RequestSummary(
        ctx=ctx,
        outcome=outcome,
        first_part_s=None if first_at is None else first_at - ctx.arrived,
        total_s=now - ctx.arrived,
        parts=request.parts_sent,
        attempts=request.attempts,
    )
    observe(finished)
    fields: dict[str, Any] = {
        'request_id': ctx.request_id,
        'customer': ctx.customer,
        'target': ctx.target,
        'outcome': outcomes.name_of(outcome),
        'digest': request.pinned.digest,
        'attempts': request.attempts,
        'ms': int(finished.total_s * 1000),
    }
    if not isinstance(outcome, Answered):
        fields['reason'] = outcome.reason
    logs.event('request_finished', **fields)


def settle_claim(
    request: Request, outcome: Outcome, claim: Callable[[Any], None]
) -> None:
    """Release the claimed key of a request, or record its outcome."""
    if isinstance(outcome, NotRun):
        claim(claims.ClaimReleased(request.ctx, request.claim_id))
        return
    if isinstance(outcome, Answered):
        separator = b'\n' if request.ctx.stream else b''
        outcome = outcome._replace(body=separator.join(request.parts))
    claim(claims.ClaimFinished(request.ctx, request.claim_id, outcome))
