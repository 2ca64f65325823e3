"""Messages between the router and the task that claims idempotency keys.

Claims are records in the platform's log.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext


class ClaimRequested(NamedTuple):
    """A non-idempotent request, to be dispatched once its key is claimed.

    The verdict is put on the queue `replies` as one `ClaimDecided`.
    """

    ctx: RequestContext
    attempt_id: str
    replies: Any


class ClaimDecided(NamedTuple):
    """The verdict on a claim; only Won allows a dispatch."""

    request_id: str
    attempt_id: str
    verdict: Verdict


# Each verdict has at least one field, since two named tuples without fields
# compare equal even if their types differ.


class Won(NamedTuple):
    """This attempt holds the key."""

    attempt_id: str


class Recorded(NamedTuple):
    """An earlier request with this key and body ended with `outcome`."""

    outcome: Answered | Unknown


class Held(NamedTuple):
    """Another attempt holds the key and its outcome is not known."""

    reason: str = 'an attempt with this key has no known outcome'


class OtherBody(NamedTuple):
    """The key was used for another request."""

    reason: str = 'Idempotency-Key was used for another request'


class Unavailable(NamedTuple):
    """No verdict is available now; the claim may still be in the log."""

    reason: str
    retry_after_s: float


class OutsideWindow(NamedTuple):
    """The key was issued too long ago, or in the future."""

    reason: str


Verdict = Won | Recorded | Held | OtherBody | Unavailable | OutsideWindow


class ClaimReleased(NamedTuple):
    """The attempt was not run and never will be."""

    ctx: RequestContext
    attempt_id: str


class ClaimFinished(NamedTuple):
    """The attempt was forwarded and ended with `outcome`."""

    ctx: RequestContext
    attempt_id: str
    outcome: Answered | Unknown
