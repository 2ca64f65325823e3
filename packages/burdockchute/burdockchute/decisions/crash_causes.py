"""Judges what crashes upstreams: a request, a part of prompts, or neither.

A request may crash each upstream that begins to run it, and so may all
requests with one part in their prompts. The evidence of a crash are the
requests that the upstream had just begun to run. Most of them, and of their
parts, are sound. A complete answer rules a request and its parts out for all
crashes before; `crash_evidence` weighs what remains. Requests go before parts,
and each crash is explained by one cause at most.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from burdockchute.decisions import crash_evidence
from burdockchute.decisions.crash_evidence import Candidate
from burdockchute.decisions.crash_evidence import CrashEvidence
from burdockchute.decisions.crash_evidence import Evidence
from burdockchute.decisions.crash_evidence import MAX_CRASHES_IN_TURN
from burdockchute.decisions.crash_evidence import MIN_CRASHES
from burdockchute.decisions.crash_evidence import Run
from burdockchute.decisions.crash_evidence import WEAK_REFUSE_S
from burdockchute.decisions.ended_starts import EndedStarts
from burdockchute.decisions.tries import MAX_AMBIGUOUS_TRIES
from burdockchute.decisions.tries import MAX_TRY_S
from burdockchute.decisions.tries import Tries
from burdockchute.decisions.unanswered_crashes import UnansweredCrashes
from burdockchute.model.crash_reports import LostRequest

# A request that was in this many crashes is run where no other begins, so that
# the next crash affects no other request and has one candidate. Requests with
# an unknown part that was in as many are run one after another.
CRASHES_TO_ISOLATE = 2

# Crashes further apart than this hardly have the same cause.
CRASH_TTL_S = 600.0

# Causes that may only be tried outlast the crashes: otherwise all entries
# would send what comes when these are forgotten. An answer ends it at once.
LIMITED_TTL_S = 86_400.0
MAX_LIMITED = 5000

MAX_CRASHES = 200
MAX_REQUESTS_PER_CRASH = 50
MAX_ANSWERED = 5000
MAX_LATE_REQUESTS = 1000
# A judgement of many crashes takes some 10 ms for each refusal.
MAX_REFUSALS = 4

_REQUEST_PREFIX = 'request:'


def request_cause(fingerprint: str) -> str:
    """Return the name of a request as a cause; parts have a slash in theirs.

    >>> request_cause('5f3a')
    'request:5f3a'
    """
    return _REQUEST_PREFIX + fingerprint


def fingerprint_of(cause: str) -> str | None:
    """Return the fingerprint of a request as a cause, None for a part.

    >>> fingerprint_of('request:5f3a'), fingerprint_of('story/bad0')
    ('5f3a', None)
    """
    if '/' in cause or not cause.startswith(_REQUEST_PREFIX):
        return None
    return cause.removeprefix(_REQUEST_PREFIX)


class Refusal(NamedTuple):
    """A cause that is refused from now on, for `for_s` seconds.

    On weak evidence it may only be tried, and `for_s` is 0. `crashes` is the
    number of crashes that count against it.
    """

    name: str
    for_s: float
    crashes: int


class _Crash(NamedTuple):
    at: float
    # The requests that had just begun, by their names as causes.
    requests: dict[str, Candidate]


class CrashCauses:
    """The evidence against requests and parts, and those that are refused.

    `upstreams` is the number of upstreams that may crash.
    """

    def __init__(self) -> None:
        self.upstreams = 1
        self._ended_starts = EndedStarts()
        # By the names of ended starts, as the late runs below.
        self._crashes: dict[str, _Crash] = {}
        # The newest crash of each request and part.
        self._crashed_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        # Runs that ended with their upstream long after they had begun, by
        # request and ended start; a whole answer removes those of its request.
        self._late_runs: dict[str, dict[str, Run]] = {}
        self._refused_until: dict[str, float] = {}
        # Those that explain crashes, on weak evidence, and may be tried.
        self._weak: set[str] = set()
        # When causes that may only be tried last were in a crash or refused.
        self._limited_at: dict[str, float] = {}
        # Those that are known to crash upstreams.
        self._convicted: set[str] = set()
        self.tries = Tries()
        self.unanswered = UnansweredCrashes()

    # Evidence.

    def crashed(self, lost: LostRequest, at: float) -> bool:
        """Record a request that an upstream had just begun when it crashed.

        Reports of several entries on one start of an upstream are one crash.
        Returns whether this one is news.
        """
        start = self._ended_starts.record(lost, at)
        for part in lost.parts:
            self.unanswered.record(part.name, start, at)
        if lost.is_late:
            return self._crashed_late(lost, start, at)
        crash = self._crashes.setdefault(start, _Crash(at, {}))
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        name = request_cause(lost.fingerprint or lost.upstream)
        if name in crash.requests:
            return False
        if len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        positions: dict[str, int] = {}
        for part in lost.parts:
            position = positions.get(part.name, 0)
            positions[part.name] = max(position, part.position)
            if part.is_answered:
                # At a time before all crashes that are known.
                self._answered_at.setdefault(part.name, float('-inf'))
        crash.requests[name] = Candidate(at - lost.ran_s, positions)
        for suspect in (name, *positions):
            newest_at = self._crashed_at.get(suspect, crash.at)
            self._crashed_at[suspect] = max(newest_at, crash.at)
        # A try of a part is ended by the entry that knows of its outcome.
        self.tries.crashed(name, crash.at)
        if self.crash_count(lost.fingerprint) >= MIN_CRASHES:
            # Whatever the judgement of the crashes says.
            self._limit_tries(name, at)
        return True

    def _crashed_late(self, lost: LostRequest, start: str, at: float) -> bool:
        name = request_cause(lost.fingerprint)
        runs = self._late_runs.setdefault(name, {})
        if start in runs:
            return False
        runs[start] = Run(at, at - lost.ran_s)
        while len(self._late_runs) > MAX_LATE_REQUESTS:
            del self._late_runs[next(iter(self._late_runs))]
        return True

    def answered(
        self,
        fingerprint: str,
        parts: Iterable[str],
        now: float,
        is_whole: bool = True,
    ) -> list[str]:
        """Record a complete answer; return the causes under suspicion.

        Those are refused no longer. One that is not whole yet has been
        arriving for long; it is no proof for a request in late crashes, nor
        for a part in many crashes or one that was tried.
        """
        suspected = []
        request = request_cause(fingerprint)
        if is_whole:
            self._late_runs.pop(request, None)
        names = [
            part
            for part in parts
            if is_whole or not self._only_whole_answer_clears(part)
        ]
        if request not in self._late_runs:
            names.insert(0, request)
        for name in names:
            is_suspected = self._is_suspected(name)
            if is_whole:
                is_suspected = is_suspected or self.unanswered.count(name) > 0
                self.unanswered.answered(name, now)
            if is_suspected:
                suspected.append(name)
            elif name == request:
                # Only parts are shared by requests that come later.
                continue
            self._answered_at.pop(name, None)
            self._answered_at[name] = now
            self._allow(name, now)
        while len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]
        return suspected

    def answered_elsewhere(
        self, name: str, at: float, now: float, is_whole: bool = False
    ) -> None:
        """Record when another entry last saw a request or part answered.

        It is refused no longer if it was on weak evidence: a request if it
        was in no crash since, a part if no answer on it was known.
        """
        if is_whole:
            self.unanswered.answered(name, at)
        elif fingerprint_of(name) is None and self._only_whole_answer_clears(
            name
        ):
            return
        was_known = self.was_answered(name)
        if at > self._answered_at.get(name, float('-inf')):
            self._answered_at.pop(name, None)
            self._answered_at[name] = at
        if fingerprint_of(name):
            runs = self._late_runs.get(name, {}).values()
            newest_at = max((run.at for run in runs), default=at)
            if at < max(newest_at, self._crashed_at.get(name, at)):
                return
            self._late_runs.pop(name, None)
        else:
            if at > self._crashed_at.get(name, float('-inf')):
                self._end_tries(name, at)
            if was_known:
                return
        if not self.is_refused(name, now):
            self._allow(name, at)

    def answered_at(self, name: str) -> float | None:
        """Return when a request or part was last answered.

        None if it was not, or at an unknown time.
        """
        at = self._answered_at.get(name, float('-inf'))
        return None if at == float('-inf') else at

    def whole_answer_at(self, name: str) -> float | None:
        """Return when an answer last ended the tries of a cause."""
        if fingerprint_of(name) is None:
            return self.unanswered.answered_at(name)
        return self.answered_at(name)

    def answered_parts(self) -> Iterator[tuple[str, float]]:
        """Yield each part and when it was last answered, newest first."""
        for name, at in reversed(self._answered_at.items()):
            if fingerprint_of(name) is None and at > float('-inf'):
                yield name, at

    def crashes_with(self, name: str) -> int:
        """Return in how many crashes a request or part was.

        Those before its last answer count, too.
        """
        if name not in self._crashed_at:
            return 0
        return sum(
            name in crash.requests
            or any(name in c.positions for c in crash.requests.values())
            for crash in self._crashes.values()
        )

    def has_crashed(
        self, upstream: str, started_ms: int | None, sent_at: float
    ) -> bool:
        """Whether the start that a request was sent to has ended."""
        return self._ended_starts.has_ended(upstream, started_ms, sent_at)

    def crash_count(self, fingerprint: str) -> int:
        """Return in how many crashes a request was since its last answer."""
        name = request_cause(fingerprint)
        if name not in self._crashed_at:
            return 0
        return sum(
            name in crash.requests and self._is_candidate(name, crash)
            for crash in self._crashes.values()
        )

    def late_crash_count(self, fingerprint: str) -> int:
        """Return how many late crashes a request was in since its answer."""
        return len(self._late_runs.get(request_cause(fingerprint), ()))

    def must_be_isolated(self, fingerprint: str) -> bool:
        """Whether a request has to run where no other one begins."""
        return self.crash_count(fingerprint) >= CRASHES_TO_ISOLATE

    def is_unproven(self, part: str) -> bool:
        """Whether a part was in crashes and no answer was ever complete.

        Its requests have to begin one after another.
        """
        if part not in self._crashed_at or part in self._answered_at:
            return False
        return self.crashes_with(part) >= CRASHES_TO_ISOLATE

    def was_answered(self, name: str) -> bool:
        """Whether a complete answer to a request or on a part was seen."""
        return name in self._answered_at

    def was_in_crash(
        self, fingerprint: str, upstreams: Collection[str]
    ) -> bool:
        """Whether one of the upstreams crashed while it ran a request."""
        name = request_cause(fingerprint)
        late_runs = self._late_runs.get(name, {})
        return any(
            start in late_runs
            or start in self._crashes
            and name in self._crashes[start].requests
            for upstream in upstreams
            for start in self._ended_starts.names(upstream)
        )

    # Judgement.

    def _late_evidence(self) -> Iterator[Evidence]:
        for name, runs in self._late_runs.items():
            if len(runs) < MAX_CRASHES_IN_TURN:
                continue
            unexplained = [
                run
                for start, run in runs.items()
                if not self._is_explained(start)
            ]
            evidence = crash_evidence.against_late(name, unexplained)
            if evidence is not None:
                yield evidence

    def _is_explained(self, start: str) -> bool:
        """Whether a refused request or part was in a crash."""
        crash = self._crashes.get(start)
        return crash is not None and any(
            not self._refused_until.keys().isdisjoint(
                (name, *candidate.positions)
            )
            for name, candidate in crash.requests.items()
        )

    def judge(self, now: float) -> list[Refusal]:
        """Refuse what explains the crashes; return what is newly refused.

        After MAX_REFUSALS the rest is left to the next judgement.
        """
        self._drop_old(now)
        refusals: list[Refusal] = []
        while len(refusals) < MAX_REFUSALS:
            found = self._find_cause(now)
            if found is None:
                break
            self._refused_until[found.name] = found.refuse_until
            self._limit_tries(found.name, now)
            for_s = 0.0
            if found.is_certain:
                self._weak.discard(found.name)
                self._convicted.add(found.name)
                for_s = found.refuse_until - now
            else:
                self._weak.add(found.name)
            refusals.append(Refusal(found.name, for_s, found.crashes))
        return refusals

    def _find_cause(self, now: float) -> Evidence | None:
        """Return the evidence against what explains most crashes."""
        evidence = CrashEvidence(
            map(self._remaining, self._crashes.values()),
            frozenset(self._refused_until),
            self._answered_at.keys(),
            self.upstreams,
        )
        requests = [
            found
            for found in (
                *evidence.against_requests(),
                *self._late_evidence(),
            )
            if self._is_news(found, now)
        ]
        if requests:
            return max(requests, key=lambda found: found[1:3][::-1])
        parts = [
            (rank, found)
            for rank, found in evidence.against_parts()
            if self._is_news(found, now)
        ]
        return max(parts)[1] if parts else None

    def _is_news(self, evidence: Evidence, now: float) -> bool:
        refused_until = self._refused_until.get(evidence.name)
        if refused_until is None:
            return evidence.refuse_until > now
        # Otherwise only if it was refused on weak evidence.
        return evidence.refuse_until > refused_until + WEAK_REFUSE_S

    def _remaining(self, crash: _Crash) -> crash_evidence.Crash:
        """Return what may have caused a crash by what is known now."""
        return crash_evidence.Crash(
            crash.at,
            {
                name: candidate
                for name, candidate in crash.requests.items()
                if self._is_candidate(name, crash)
            },
            frozenset(
                part
                for candidate in crash.requests.values()
                for part in candidate.positions
                if self._is_candidate(part, crash)
            ),
        )

    def _is_candidate(self, name: str, crash: _Crash) -> bool:
        return crash.at > self._answered_at.get(name, float('-inf'))

    # Refusals.

    def refuse(self, name: str, for_s: float, now: float) -> None:
        """Refuse a cause for `for_s` seconds from `now`."""
        until = max(self._refused_until.get(name, now), now + for_s)
        self._refused_until[name] = until
        self._weak.discard(name)
        self._convicted.add(name)
        self._limit_tries(name, until)

    def was_refused(self, name: str, until: float) -> None:
        """Record that a cause was refused until a time in the past."""
        if self._answered_at.get(name, float('-inf')) < until:
            self._convicted.add(name)
            self._limit_tries(name, until)

    def suspect(self, name: str, now: float) -> None:
        """Record that a cause is suspected by another entry."""
        self._limit_tries(name, now)

    def clear(self, name: str, now: float) -> None:
        """Refuse a cause no longer, as operators allow it."""
        self.unanswered.forget(name)
        self._allow(name, now)

    def _limit_tries(self, name: str, at: float) -> None:
        self._limited_at[name] = max(at, self._limited_at.pop(name, at))
        while len(self._limited_at) > MAX_LIMITED:
            del self._limited_at[next(iter(self._limited_at))]

    def _end_tries(self, name: str, at: float) -> None:
        self._limited_at.pop(name, None)
        self._convicted.discard(name)
        self.tries.forget(name, at)

    def _allow(self, name: str, at: float) -> None:
        self._refused_until.pop(name, None)
        self._weak.discard(name)
        self._end_tries(name, at)

    @property
    def has_limited(self) -> bool:
        """Whether any cause may only be tried."""
        return bool(
            self._limited_at or self.tries.names or self.unanswered.names
        )

    def may_only_be_tried(self, name: str) -> bool:
        """Whether requests with a cause need a try to be claimed.

        Those are requests from the third crash on, parts from the fifth one
        without a whole answer on, and what was refused, until they are
        answered.
        """
        return (
            name in self._limited_at
            or self.tries.count(name) > 0
            or self.has_reached_crash_limit(name)
        )

    def has_reached_crash_limit(self, name: str) -> bool:
        """Whether a part was in so many crashes without a whole answer."""
        return fingerprint_of(
            name
        ) is None and self.unanswered.has_reached_limit(name)

    def _only_whole_answer_clears(self, name: str) -> bool:
        """Whether only a whole answer shows that a part is sound."""
        return self.tries.count(name) > 0 or self.has_reached_crash_limit(name)

    def is_known(self, name: str) -> bool:
        """Whether a cause that may only be tried is known to crash upstreams.

        Those are requests in three crashes, parts in five without a whole
        answer, and what was refused. A part that many requests share may be
        suspected by chance.
        """
        return (
            fingerprint_of(name) is not None
            or name in self._convicted
            or self.has_reached_crash_limit(name)
        )

    def may_be_tried(
        self, fingerprint: str, limited: Collection[str], now: float
    ) -> bool:
        """Whether a request may be the next try of some limited causes.

        If it has several, or was in a crash itself, a crash would not show
        which of them is the cause, so it may only be the first try of each.
        Parts that are limited by their crashes only may come together in all
        requests; those are tried again, after a crash with a pause in which
        requests with one of the parts go first.
        """
        tries = self.tries
        if any(
            tries.are_used_up(name)
            or tries.open_for_s(name, now)
            or self.is_refused(name, now)
            for name in limited
        ):
            return False
        request = request_cause(fingerprint)
        # A part that is limited by its crashes only may come with their cause.
        judged = {name for name in limited if name in self._limited_at}
        suspects = judged or {*limited}
        if self.crash_count(fingerprint):
            suspects.add(request)
        if len(suspects) == 1:
            return True
        if judged or request in suspects:
            return all(
                tries.count(name) < MAX_AMBIGUOUS_TRIES for name in limited
            )
        return not any(self._has_crashed_on_try(n, now) for n in limited)

    def _has_crashed_on_try(self, part: str, now: float) -> bool:
        """Whether a crash came after the newest try, within MAX_TRY_S."""
        tried_at = self.tries.newest_at(part)
        return (
            tried_at is not None
            and now < tried_at + MAX_TRY_S
            and self.unanswered.has_crashed_since(part, tried_at)
        )

    def refused_for_s(self, names: Iterable[str], now: float) -> float:
        """Return the seconds for which one of the causes is refused, or 0."""
        if not self._refused_until:
            return 0.0
        left = [
            self._refused_until.get(name, now) - now
            for name in names
            if name not in self._weak
        ]
        return max([0.0, *left])

    def refused(self, now: float) -> dict[str, float]:
        """Return the refused causes, and for how many seconds they are."""
        return {
            name: round(until - now, 1)
            for name, until in self._refused_until.items()
            if until > now and name not in self._weak
        }

    def is_refused(self, name: str, now: float) -> bool:
        """Whether requests with a cause are refused."""
        return self.refused_for_s((name,), now) > 0

    def _is_suspected(self, name: str) -> bool:
        if name in self._refused_until or self.may_only_be_tried(name):
            return True
        crashed_at = self._crashed_at.get(name)
        if crashed_at is None:
            return False
        return crashed_at > self._answered_at.get(name, float('-inf'))

    def _drop_old(self, now: float) -> None:
        self._ended_starts.drop_before(now - CRASH_TTL_S)
        self._crashes = {
            start: crash
            for start, crash in self._crashes.items()
            if now - crash.at <= CRASH_TTL_S
        }
        self._crashed_at = {
            name: at
            for name, at in self._crashed_at.items()
            if now - at <= CRASH_TTL_S
        }
        self._refused_until = {
            name: until
            for name, until in self._refused_until.items()
            if until > now
        }
        self._weak &= self._refused_until.keys()
        self._limited_at = {
            name: at
            for name, at in self._limited_at.items()
            if now - at <= LIMITED_TTL_S
        }
        self._convicted &= self._limited_at.keys()
        self.tries.drop_before(now - LIMITED_TTL_S)
        self.unanswered.drop_before(now - CRASH_TTL_S, now - LIMITED_TTL_S)
        self._late_runs = {
            name: runs
            for name, runs in self._late_runs.items()
            if any(now - run.at <= CRASH_TTL_S for run in runs.values())
        }
