"""The three final outcomes of a request.

A request was answered, was certainly not run, or its outcome is unknown. Only
a process that knows that it did not forward the request may report NotRun; in
any doubt the outcome is Unknown.
"""

from __future__ import annotations

from typing import NamedTuple


class Answered(NamedTuple):
    """The complete answer of an upstream, from one set of weights."""

    status: int
    content_type: str
    body: bytes
    digest: str
    adapter_digest: str


class NotRun(NamedTuple):
    """Certainly not run; the caller may retry after `retry_after_s`."""

    reason: str
    status: int = 503
    retry_after_s: float = 1.0


class Unknown(NamedTuple):
    """Forwarded, with an unknown outcome.

    `status` is the HTTP status of the response: 504 for a request that got
    no answer in time, 502 for one whose upstream was lost, 409 for a resend
    of a request that may have run.
    """

    reason: str
    status: int = 504


Outcome = Answered | NotRun | Unknown

OUTCOME_NAMES = {
    Answered: 'answered',
    NotRun: 'not-run',
    Unknown: 'unknown',
}


def name_of(outcome: Outcome) -> str:
    """Return the outcome's name in the response header.

    >>> name_of(NotRun('no upstream'))
    'not-run'
    """
    return OUTCOME_NAMES[type(outcome)]
