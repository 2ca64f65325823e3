"""Suspects: requests that crash whatever runs them.

Load it answers: one request that brings down each upstream it reaches, and
whose caller sends it again.

Without it, a retry carries the crash from instance to instance until none is
left, and everybody who shared an instance with it loses an answer.

How it decides: when an upstream goes away, each request in flight there is a
suspect. A suspect that may be run again runs alone on an instance, so that
a second crash hits nobody else and tells who did it. With its second crash
a request is refused everywhere; an answer clears it. A crash that it shared
is weaker evidence: where a suspect was again not alone, since two entries
knew nothing of each other's, only the third crash convicts. A link that
closes is no crash: networks fail far more often than upstreams.

Thresholds: CRASHES is two, since one crash has as many suspects as the
instance had requests, and each further crash costs a reload of weights.
REFUSE_S outlasts the resends of a person or a job with backoff, and lets an
upgraded engine take the request later the same hour. MEMORY_S is how long
one crash is remembered; crashes that lie further apart than this hardly
have the same cause. Ends that come within ONE_CRASH_S of each other from
one upstream are of one crash: it takes longer than that to start again.
One request is refused once it has crashed OUTAGE_UPSTREAMS; where more than
that go away within OUTAGE_S, something else brings them down, and whoever
was retried meanwhile is not to blame.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.crashes import CrashLearned

CRASHES = 2
SHARED_CRASHES = 3
ONE_CRASH_S = 1.0
OUTAGE_S = 10.0
OUTAGE_UPSTREAMS = 2
REFUSE_S = 600.0
RECORD_TTL_S = 3600.0


class CrashRecord(NamedTuple):
    """Crashes that a request was part of."""

    crashes: int
    last_at: float
    refused_until: float
    upstream: str


class Suspects:
    """Fingerprints of requests that were in flight in a crash."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._crashed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def crashed(
        self, fingerprint: str, upstream: str, alone: bool, now: float
    ) -> bool:
        """Count a crash with a request in flight; tells if it convicts.

        Copies of one request that were in flight together are part of one
        crash: a health check that is sent every second would otherwise be
        convicted by the first.
        """
        self._forget(now)
        old = self._records.get(fingerprint, CrashRecord(0, now, 0.0, ''))
        if old.upstream == upstream and now - old.last_at < ONE_CRASH_S:
            return False
        crashes = old.crashes + 1
        self._records[fingerprint] = CrashRecord(
            crashes, now, old.refused_until, upstream
        )
        self._crashed_at[upstream] = now
        if crashes < (CRASHES if alone else SHARED_CRASHES):
            return False
        if self._is_outage(now):
            return False
        self.refuse(fingerprint, REFUSE_S, now)
        return True

    def peer_reported(self, learned: CrashLearned, now: float) -> None:
        """Count a crash that another entry saw.

        An upstream that loses answers breaks off many requests, and common
        ones again and again; all entries together would soon convict these.
        So one that another entry lost at the same upstream counts once.
        """
        seen, at = learned.seen, now - learned.age_s
        known = self._records.get(seen.fingerprint)
        if known is None or known.upstream != seen.upstream:
            self.crashed(seen.fingerprint, seen.upstream, seen.alone, at)
        if seen.convicted:
            self.refuse(seen.fingerprint, REFUSE_S, at)

    def answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has survived."""
        self._records.pop(fingerprint, None)

    def refuse(self, fingerprint: str, for_s: float, now: float) -> None:
        """Refuse a request for a while, as another entry found."""
        record = self._records.get(
            fingerprint, CrashRecord(CRASHES, now, 0.0, '')
        )
        self._records[fingerprint] = record._replace(
            last_at=now, refused_until=max(record.refused_until, now + for_s)
        )

    def refused_for_s(self, fingerprint: str, now: float) -> float:
        """Give the seconds for which a request is still refused, or 0."""
        record = self._records.get(fingerprint)
        return max(0.0, record.refused_until - now) if record else 0.0

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request has to run alone."""
        return fingerprint in self._records

    def _is_outage(self, now: float) -> bool:
        self._crashed_at = {
            upstream: at
            for upstream, at in self._crashed_at.items()
            if now - at <= OUTAGE_S
        }
        return len(self._crashed_at) > OUTAGE_UPSTREAMS

    def _forget(self, now: float) -> None:
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if now - record.last_at <= RECORD_TTL_S
        }
