"""One request as a caller sent it, and what an upstream answered.

These are the terms between the product and whatever speaks a platform's
protocol: header names and encodings stay on the other side.
"""

from __future__ import annotations

from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]


class InboundRequest(NamedTuple):
    """A caller's request.

    `target` is path and query as they came. `time_left_s` is how long the
    caller will wait, None where it does not say. `resume_after` is the id of
    the last event that the caller has, empty for a whole answer.
    `prompt_tokens`, `max_tokens` and `likely_tokens` are 0 where they aren't
    given. `headers` are those that go on to the upstream unchanged.
    """

    id: str
    method: str
    target: str
    host: str
    key: str
    time_left_s: float | None
    model: str
    prompt_tokens: int
    max_tokens: int
    likely_tokens: int
    resume_after: str
    headers: Headers
    body: bytes = b''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class ForwardedRequest(NamedTuple):
    """What this system adds when it hands a request on.

    `instance` is the id of the upstream that must run it, `version` that of
    the weights, None for any. `urgency` is 0 for the most urgent.
    """

    instance: str
    customer: str
    time_left_s: float
    version: int | None = None
    resume_after: str = ''
    urgency: int | None = None


class AnswerHead(NamedTuple):
    """Status and headers of an upstream's answer.

    `sealed` tells that the upstream signed it, which a whole success always
    is. `not_run` is the upstream's word that it did not run the request.
    `version` is that of the weights, None where it isn't said. `idle_s` is
    how long the upstream keeps the connection, None for no longer.
    """

    status: int
    id: str
    sealed: bool
    not_run: bool
    version: int | None
    is_stream: bool
    idle_s: float | None
    headers: Headers
