"""A request as a caller sent it, and the head of an upstream's answer.

These types are the interface to the adapter of a platform's protocol, which
alone knows header names and encodings.
"""

from __future__ import annotations

from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]


class InboundRequest(NamedTuple):
    """A caller's request.

    `target` is the path and query as received. `time_left_s` is how long the
    caller will wait, None if it does not say. `resume_after` is the id of
    the last event that the caller has, empty for a complete answer.
    `prompt_tokens`, `max_tokens` and `likely_tokens` are 0 if they are not
    given. `headers` are those that are forwarded to the upstream unchanged.
    `prompt_parts` are the ids of the parts of the prompt in order, without
    the last, which is the request's own.
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
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class ForwardedRequest(NamedTuple):
    """What this system adds to a request that it forwards.

    `instance` is the id of the upstream that must run it, `version` the
    version of the weights, None for any. `urgency` is 0 for the most urgent.
    """

    instance: str
    customer: str
    time_left_s: float
    version: int | None = None
    resume_after: str = ''
    urgency: int | None = None


class Backpressure(NamedTuple):
    """What an upstream asks of its clients in an answer.

    `max_rate` is the number of requests per second that it accepts from all
    machines together, None if it names no limit. `leaving` is set by one that
    will end. `rest_s` is the time in seconds for which it wants nothing more
    from this machine, None if it does not say. `unreadable` describes the
    values that could not be decoded.
    """

    max_rate: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    unreadable: tuple[str, ...] = ()


NO_BACKPRESSURE = Backpressure()


# The status of an upstream that is not the expected instance.
MISDIRECTED = 421


class AnswerHead(NamedTuple):
    """Status and headers of an upstream's answer.

    `sealed` is whether the upstream signed the answer; each complete
    successful answer is signed. `not_run` is whether the upstream states
    that it did not run the request. `version` is the version of the weights,
    None if it is not given. `idle_s` is how long the upstream keeps the
    connection open, None if it closes it. `cold_s` is how long it is still
    cold, None if it does not say. `instance` is the id of the upstream, empty
    if it does not say.
    """

    status: int
    id: str
    sealed: bool
    not_run: bool
    version: int | None
    is_stream: bool
    idle_s: float | None
    headers: Headers
    backpressure: Backpressure = NO_BACKPRESSURE
    cold_s: float | None = None
    instance: str = ''
