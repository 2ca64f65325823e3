"""Messages about requests that were in flight in a crash."""

from __future__ import annotations

from typing import NamedTuple


class CrashReport(NamedTuple):
    """An upstream went away with this request in flight.

    `alone` is true where it ran there by itself, `convicted` where it is
    refused from now on.
    """

    fingerprint: str
    upstream: str
    alone: bool
    convicted: bool


class PeerCrashReport(NamedTuple):
    """Another entry saw a crash, `age_s` ago."""

    crash: CrashReport
    age_s: float
