"""Weighs what crashes of upstreams say against a request or a part of prompts.

- A crash that a refused request or part explains counts against no other.
- A crash with several candidates is weaker evidence than one with a single
  one.
- Runs of a request count only if each began after the crash before, and those
  among crashes of many upstreams count once in OUTAGE_S: upstreams that crash
  together may have another cause, such as a power cut, and what they lose is
  retried at once and may be in the next crash, too.
- The more upstreams crash for no reason that is known, the more crashes
  convict a request.
- The crashes of a request that comes again count once against its parts. So a
  part is refused only if different requests crash upstreams.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import TypeVar

# A rarely used sound part, or a request that is retried at once, may be in two
# crashes by chance.
MIN_CRASHES = 3
# A crash with several candidates weighs SHARED_WEIGHT, with a single one 1.
# The weight of all must be MIN_WEIGHT, and CERTAIN_WEIGHT for a long refusal.
MIN_WEIGHT = 2.0
SHARED_WEIGHT = 0.5
CERTAIN_WEIGHT = 3.0

# As many runs in turn that all ended in crashes are no chance in any outage.
# Operators allow three crashes and three more.
MAX_CRASHES_IN_TURN = 5

# Crashes of this many other upstreams within OUTAGE_S may be an outage.
OUTAGE_UPSTREAMS = 2
OUTAGE_S = 1.0

# Another crash is needed for each limit that the chance of a sound request to
# be in a crash exceeds.
CHANCE_LIMITS = 0.01, 0.04

# An upstream crashes as it begins to run a request, so answers that have been
# arriving for longer are sound.
JUST_BEGUN_S = 0.5

# Answers are read at shorter intervals by a process that is not suspended.
MAX_READ_INTERVAL_S = 0.3

# Reports of two entries on successive crashes may be delayed differently.
REPORT_JITTER_S = 0.05

# Engines on one power supply go down within milliseconds, which entries under
# load notice and report some 100 ms apart.
MIN_SPREAD_S = 0.3

# A part that many requests share is in some crashes by chance; one that
# crashes engines is in most of them.
MIN_SHARE = 0.5

# A part on which answers were complete before is sound, unless none is for
# this many crashes, some of them OUTAGE_S apart.
MIN_SENDERS_IF_ANSWERED = 6
MIN_SHARE_IF_ANSWERED = 0.75

# Longer than jobs with backoff keep resending, and on weak evidence long
# enough for the candidates of the same crashes to be answered.
REFUSE_S = 600.0
WEAK_REFUSE_S = 10.0


# How many crashes a part explains, whether no answer on it was ever complete,
# and its position.
Rank = tuple[int, bool, int]


class AnswerTime(NamedTuple):
    """For how long an answer has been arriving when it was last read."""

    read_at: float
    lasted_s: float = 0.0


def after_read(time: AnswerTime, now: float) -> AnswerTime:
    """Return the time of an answer that is read again.

    A suspension of this process does not count: the answer may have ended in
    the meantime.

    >>> after_read(AnswerTime(1.0, 0.0), 1.25).lasted_s
    0.25
    >>> after_read(AnswerTime(1.0, 0.0), 9.0).lasted_s
    0.3
    """
    step_s = min(now - time.read_at, MAX_READ_INTERVAL_S)
    return AnswerTime(now, time.lasted_s + step_s)


class Run(NamedTuple):
    """A run of a request that ended with its upstream."""

    at: float
    sent_at: float


def against_late(request: str, runs: Iterable[Run]) -> Evidence | None:
    """Return the evidence of runs that ended long after they had begun.

    Sound requests that run for long are in many crashes. Only as many in turn
    as are no chance in any outage convict.
    """
    crashes = _in_turn(runs, lambda run: run.sent_at)
    if len(crashes) < MAX_CRASHES_IN_TURN:
        return None
    newest_at = crashes[-1].at
    return Evidence(request, len(crashes), CERTAIN_WEIGHT, newest_at)


class Candidate(NamedTuple):
    """A request that an upstream had just begun; positions of its parts."""

    sent_at: float
    positions: Mapping[str, int]


class Crash(NamedTuple):
    """What may have caused a crash: requests, and the parts of their prompts.

    Those that were answered since are left out.
    """

    at: float
    requests: Mapping[str, Candidate]
    parts: frozenset[str]


class Evidence(NamedTuple):
    """What counts against a cause; `newest_at` is its last crash."""

    name: str
    crashes: int
    weight: float
    newest_at: float

    @property
    def is_certain(self) -> bool:
        """Whether the cause should be refused, and not only tried."""
        return self.weight >= CERTAIN_WEIGHT

    @property
    def refuse_until(self) -> float:
        """Until when the cause explains crashes."""
        lasts_s = REFUSE_S if self.is_certain else WEAK_REFUSE_S
        return self.newest_at + lasts_s


# The end of an upstream while it ran a request.
End = TypeVar('End', Run, Crash)


class CrashEvidence:
    """The evidence at one moment.

    `refused` and `answered` are the causes that are refused, and on which an
    answer was ever complete. `upstreams` is how many may crash.
    """

    def __init__(
        self,
        crashes: Iterable[Crash],
        refused: frozenset[str],
        answered: Iterable[str],
        upstreams: int,
    ) -> None:
        self._crashes = sorted(crashes, key=lambda crash: crash.at)
        self._refused = refused
        self._answered = answered
        self._upstreams = max(1, upstreams)
        self._counts = collections.Counter(
            name for crash in self._crashes for name in crash.requests
        )
        # The parts of the suspected requests in each crash, by its time. A
        # judgement of hundreds of crashes has to take milliseconds.
        suspected = {
            name
            for name, count in self._counts.items()
            if name in refused or count >= MIN_CRASHES
        }
        self._suspected = [
            [
                crash.requests[name].positions
                for name in suspected.intersection(crash.requests)
            ]
            for crash in self._crashes
        ]
        self._unexplained = [
            crash
            for crash, parts in zip(
                self._crashes, self._suspected, strict=True
            )
            if not parts
        ]

        self._unexplained_at = [
            crash.at
            for crash in self._unexplained
            if refused.isdisjoint(crash.parts)
        ]

    # Requests.

    def against_requests(self) -> Iterator[Evidence]:
        """Yield the evidence against each request that should be refused."""
        for name, count in self._counts.items():
            if count >= MIN_CRASHES:
                evidence = self._against_request(name)
                if evidence is not None:
                    yield evidence

    def _against_request(self, request: str) -> Evidence | None:
        crashes = _in_turn(
            (crash for crash in self._crashes if request in crash.requests),
            lambda crash: crash.requests[request].sent_at,
        )
        if not crashes:
            return None
        first_at, newest_at = crashes[0].at, crashes[-1].at
        if len(crashes) >= MAX_CRASHES_IN_TURN:
            return Evidence(request, len(crashes), CERTAIN_WEIGHT, newest_at)
        weights = self._weights(request, crashes)
        needed = self._crashes_needed(request, first_at, newest_at)
        if len(weights) < needed or sum(weights) < MIN_WEIGHT:
            return None
        weight = sum(weights) - (needed - MIN_CRASHES)
        return Evidence(request, len(weights), weight, newest_at)

    def _weights(self, request: str, crashes: Sequence[Crash]) -> list[float]:
        weights: list[float] = []
        counted_at = float('-inf')
        for crash in crashes:
            weight = self._weight(request, crash)
            if not weight:
                continue
            if crash.at - counted_at < OUTAGE_S and self._is_outage(
                request, crash.at
            ):
                weights[-1] = max(weights[-1], weight)
            else:
                weights.append(weight)
                counted_at = crash.at
        return weights

    def _weight(self, request: str, crash: Crash) -> float:
        own_parts = crash.requests[request].positions
        if any(name in self._refused for name in crash.parts - {*own_parts}):
            return 0.0
        others = [name for name in crash.requests if name != request]
        if any(name in self._refused for name in others):
            return 0.0
        return SHARED_WEIGHT if others else 1.0

    def _is_outage(self, request: str, at: float) -> bool:
        others = self._count_unexplained(request, at, at)
        return others >= OUTAGE_UPSTREAMS

    def _crashes_needed(self, request: str, begin: float, end: float) -> int:
        others = self._count_unexplained(request, begin, end)
        lasts_s = end - begin + 2 * OUTAGE_S
        chance = others * JUST_BEGUN_S / (lasts_s * self._upstreams)
        return MIN_CRASHES + sum(chance > limit for limit in CHANCE_LIMITS)

    def _count_unexplained(
        self, request: str, begin: float, end: float
    ) -> int:
        """Count the unexplained crashes of other requests near a time span."""
        return sum(
            begin - OUTAGE_S < crash.at < end + OUTAGE_S
            and request not in crash.requests
            for crash in self._unexplained
        )

    # Parts.

    def against_parts(self) -> Iterator[tuple[Rank, Evidence]]:
        """Yield the evidence against each part that should be refused.

        It comes with its rank: of several parts, the one that explains most
        crashes, then one on which no answer was ever complete, then the one
        furthest into its prompt, which fewest requests share.
        """
        crashed_at: dict[str, list[float]] = {}
        for crash in self._crashes:
            for part in crash.parts:
                crashed_at.setdefault(part, []).append(crash.at)
        for part, at in crashed_at.items():
            if len(at) < MIN_CRASHES or not self._may_explain(at):
                continue
            # Another part may be refused already, and explain the crash, or
            # a suspected request without the part may.
            others = self._refused - {part}
            unexplained = [
                crash
                for crash, suspected in zip(
                    self._crashes, self._suspected, strict=True
                )
                if all(part in positions for positions in suspected)
                and others.isdisjoint(crash.parts)
            ]
            evidence = self._against_part(part, unexplained)
            if evidence is not None:
                position = max(
                    (
                        candidate.positions.get(part, 0)
                        for crash in unexplained
                        for candidate in crash.requests.values()
                    ),
                    default=0,
                )
                is_new = part not in self._answered
                yield (evidence.crashes, is_new, position), evidence

    def _may_explain(self, at: Sequence[float]) -> bool:
        """Whether crashes at these times may be MIN_SHARE of all meanwhile."""
        least = bisect.bisect_right(
            self._unexplained_at, at[-1]
        ) - bisect.bisect_left(self._unexplained_at, at[0])
        return len(at) >= MIN_SHARE * least

    def _against_part(
        self, part: str, unexplained: Sequence[Crash]
    ) -> Evidence | None:
        own = [crash for crash in unexplained if part in crash.parts]
        if len(own) < MIN_CRASHES:
            return None
        lasts_s = own[-1].at - own[0].at
        if lasts_s < MIN_SPREAD_S:
            return None
        others = sum(
            own[0].at <= crash.at <= own[-1].at for crash in unexplained
        )
        if len(own) < MIN_SHARE * others:
            return None
        senders = {self._sender_of(part, crash) for crash in own}
        if len(senders) < MIN_CRASHES:
            return None
        if part in self._answered and (
            len(senders) < MIN_SENDERS_IF_ANSWERED
            or _count_apart(own, OUTAGE_S) < MIN_CRASHES
            or len(own) < MIN_SHARE_IF_ANSWERED * others
        ):
            return None
        # Some requests may crash engines by themselves and share a part.
        # Until it is refused, it is only tried.
        needed = MIN_CRASHES + 2
        if part in self._answered:
            needed = MIN_SENDERS_IF_ANSWERED + 1
        is_certain = len(senders) >= needed and lasts_s >= OUTAGE_S
        weight = CERTAIN_WEIGHT if is_certain else MIN_WEIGHT
        return Evidence(part, len(senders), weight, own[-1].at)

    def _sender_of(self, part: str, crash: Crash) -> str:
        """Return the request that brought a part to a crashed upstream.

        Of several requests it is the one that was in most crashes. One that
        was in no other crash counts by the crash.
        """
        count, name = max(
            (
                (self._counts[name], name)
                for name, candidate in crash.requests.items()
                if part in candidate.positions
            ),
            default=(0, ''),
        )
        return name if count > 1 else f'at {crash.at}'


def _in_turn(
    ends: Iterable[End], sent_at: Callable[[End], float]
) -> list[End]:
    """Return the crashes of runs that began after the crash before."""
    found: list[End] = []
    for end in sorted(ends, key=lambda end: end.at):
        if not found or sent_at(end) + REPORT_JITTER_S >= found[-1].at:
            found.append(end)
    return found


def _count_apart(crashes: Iterable[Crash], apart_s: float) -> int:
    """Count crashes that are apart from the last one counted."""
    count, last_at = 0, float('-inf')
    for crash in crashes:
        if crash.at - last_at >= apart_s:
            count, last_at = count + 1, crash.at
    return count
