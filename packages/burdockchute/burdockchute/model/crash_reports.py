"""Messages about what was in flight when an upstream crashed."""

from __future__ import annotations

from typing import NamedTuple


class CrashReport(NamedTuple):
    """An upstream crashed while this request was in flight there.

    `alone` is whether it was the only request in flight, `convicted` whether
    it is refused from now on.
    """

    fingerprint: str
    upstream: str
    alone: bool
    convicted: bool


class PeerCrashReport(NamedTuple):
    """A crash that another entry reported, seen `age_s` ago."""

    crash: CrashReport
    age_s: float


class PromptPart(NamedTuple):
    """A part of a prompt; `position` is its place in it, from 0.

    Its `name` contains the model: another model's engines may bear it.
    `is_answered` is whether the entry that reports it in a crash has seen a
    complete answer on it before.
    """

    name: str
    position: int
    is_answered: bool = False


class LostRequest(NamedTuple):
    """An upstream crashed while it ran a request, or began to.

    It ran there for `ran_s` seconds, counted from when it was sent. With
    `is_late` its answer had been arriving for a while, so the crash says
    little against the request and its parts. The
    fingerprint is empty if an entry of an earlier release reports the parts
    of all requests at once. `started_ms` is the Unix time of the upstream's
    start, as its entry in the list has it: it may start again under its id.
    """

    fingerprint: str
    upstream: str
    parts: tuple[PromptPart, ...]
    ran_s: float = 0.0
    is_late: bool = False
    started_ms: int | None = None


class AnsweredRequest(NamedTuple):
    """An answer to a request with these parts in its prompt is complete.

    Without `is_whole` it has been arriving for a while, and may end early.
    """

    fingerprint: str
    parts: tuple[PromptPart, ...]
    is_whole: bool = False
