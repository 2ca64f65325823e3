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
    """

    name: str
    position: int


class PartsReport(NamedTuple):
    """What one entry tells the others of parts of prompts.

    With `upstream`, that one has crashed as it began to answer on the parts.
    Without it, an answer on each of them is complete.
    """

    upstream: str
    parts: tuple[PromptPart, ...]
