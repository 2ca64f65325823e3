"""Suspects: requests that may crash the upstream that runs them.

One request may crash each upstream that it reaches while its caller sends it
again. Without a limit its retries would crash instance after instance until
none is left, and all requests that share an instance with it would lose their
answers.

When an upstream crashes, each request in flight there becomes a suspect. A
suspect that may be retried runs alone on an instance, so that a second crash
affects no other request and identifies the cause. After its second crash a
request is convicted, that is, refused everywhere; an answer clears it. A
shared crash is weaker evidence: where a suspect was again not alone, because
two entries did not know of each other's suspects, only the third crash
convicts it. A closed link is not a crash: networks fail far more often than
upstreams.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.crash_reports import PeerCrashReport

# The first crash has as many suspects as the instance had requests, and each
# further crash costs a reload of weights.
CRASHES_TO_CONVICT = 2
SHARED_CRASHES_TO_CONVICT = 3

# Requests that one upstream loses within this time belong to one crash: the
# upstream takes longer to restart.
ONE_CRASH_S = 1.0

# If nearly as many other upstreams crash within OUTAGE_S, for no known reason,
# as have crashed with a request, there is another cause, and a request that
# was retried meanwhile is not to blame.
OUTAGE_S = 10.0

# Longer than a person or a job with backoff keeps resending, and short enough
# for an upgraded engine to get the request later in the same hour.
REFUSE_S = 600.0

# Crashes further apart than this hardly have the same cause.
RECORD_TTL_S = 3600.0


class CrashRecord(NamedTuple):
    """The crashes in which a request was in flight.

    `upstream` is the upstream of the last crash.
    """

    crashes: int
    last_at: float
    refused_until: float
    upstream: str


class _Crash(NamedTuple):
    at: float
    fingerprints: set[str]


class Suspects:
    """The suspects, by the fingerprint of the request."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        # The requests in flight in the last crash of each upstream.
        self._crashes: dict[str, _Crash] = {}

    def __len__(self) -> int:
        return len(self._records)

    def crashed(
        self, fingerprint: str, upstream: str, alone: bool, now: float
    ) -> bool:
        """Count a crash of a request in flight; return whether it convicts.

        Copies of one request that were in flight together count as one crash:
        a health check that is sent every second would otherwise be convicted
        by its first crash.
        """
        self._drop_old_records(now)
        old = self._records.get(fingerprint, CrashRecord(0, now, 0.0, ''))
        if old.upstream == upstream and now - old.last_at < ONE_CRASH_S:
            return False
        crashes = old.crashes + 1
        self._records[fingerprint] = CrashRecord(
            crashes, now, old.refused_until, upstream
        )
        last = self._crashes.get(upstream)
        if last is None or now - last.at >= ONE_CRASH_S:
            last = self._crashes[upstream] = _Crash(now, set())
        last.fingerprints.add(fingerprint)
        if crashes < (
            CRASHES_TO_CONVICT if alone else SHARED_CRASHES_TO_CONVICT
        ):
            return False
        if self._is_outage(fingerprint, now):
            return False
        self.refuse(fingerprint, REFUSE_S, now)
        return True

    def peer_reported(self, report: PeerCrashReport, now: float) -> None:
        """Count a crash that another entry reported.

        An upstream that loses answers aborts many requests, and frequent ones
        repeatedly; the reports of all entries would soon convict these. So
        a request that other entries lose at the same upstream counts once.
        """
        seen, at = report.crash, now - report.age_s
        known = self._records.get(seen.fingerprint)
        if known is None or known.upstream != seen.upstream:
            self.crashed(seen.fingerprint, seen.upstream, seen.alone, at)
        if seen.convicted:
            self.refuse(seen.fingerprint, REFUSE_S, at)

    def answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has answered."""
        self._records.pop(fingerprint, None)

    def refuse(self, fingerprint: str, for_s: float, now: float) -> None:
        """Refuse a request for `for_s` seconds from `now`."""
        record = self._records.get(
            fingerprint, CrashRecord(CRASHES_TO_CONVICT, now, 0.0, '')
        )
        self._records[fingerprint] = record._replace(
            last_at=now, refused_until=max(record.refused_until, now + for_s)
        )

    def refused_for_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request is still refused, or 0."""
        record = self._records.get(fingerprint)
        return max(0.0, record.refused_until - now) if record else 0.0

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a request has to run alone."""
        return fingerprint in self._records

    def _is_outage(self, fingerprint: str, now: float) -> bool:
        """Whether other upstreams crash, and no suspect explains it."""
        self._crashes = {
            upstream: crash
            for upstream, crash in self._crashes.items()
            if now - crash.at <= OUTAGE_S
        }
        others = sum(
            fingerprint not in crash.fingerprints
            and not any(map(self._explains_crashes, crash.fingerprints))
            for crash in self._crashes.values()
        )
        return others >= self._records[fingerprint].crashes - 1

    def _explains_crashes(self, fingerprint: str) -> bool:
        record = self._records.get(fingerprint)
        return record is not None and record.crashes >= CRASHES_TO_CONVICT

    def _drop_old_records(self, now: float) -> None:
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if now - record.last_at <= RECORD_TTL_S
        }
