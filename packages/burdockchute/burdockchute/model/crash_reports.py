"""Messages about requests that were in flight when an upstream crashed."""

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
