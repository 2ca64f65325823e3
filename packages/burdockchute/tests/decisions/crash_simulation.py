"""Simulates engines that crash, and what is refused because of it."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import random
from typing import NamedTuple

from burdockchute.decisions import crash_causes
from burdockchute.decisions import crash_evidence
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import fingerprint_of
from burdockchute.decisions.tries import CRASHED_TRY_PAUSE_S
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart

STEP_S = 0.01
RUN_S = 30.0
# From the end of a connection to the judgement of the crash.
JUDGEMENT_S = 0.15
DOWN_S = 4.0
TRIES = 2
CALLER_PAUSE_S = (0.2, 1.5)
CALLER_ATTEMPTS = 4
SHARED_PARTS = 8


CRASHING_PART = PromptPart('m/bad', 1)


class Scenario(NamedTuple):
    """What happens besides sound requests, `rate` of them in a second.

    `crashing` requests come again and again from `begin_s` on. Of those with
    a part that crashes engines, `part_rate` come in a second from then on, no
    two alike. Engines end by themselves at random, `faults` in a second, and
    at the times in `ends` by engine. Each crashing request comes in `copies`
    at the same time, and engines queue requests for `queue_s`. A crashing
    request ends its engine `crash_after_s` after it begins.
    """

    crashing: int = 0
    engines: int = 8
    rate: float = 30.0
    faults: float = 0.0
    ends: tuple[tuple[int, float], ...] = ()
    part_rate: float = 0.0
    begin_s: float = 5.0
    copies: int = 1
    queue_s: float = 0.0
    crash_after_s: float = 0.05


class Outcome(NamedTuple):
    """When each crashing request was sent, and what else was refused.

    `refused` has the longest time of each sound request or part, in seconds.
    `delayed` counts how often a sound one had to wait for another one's try.
    """

    sent_at: dict[str, list[float]]
    refused: dict[str, float]
    delayed: int


class _Run(NamedTuple):
    request: LostRequest
    engine: int
    begun_at: float
    ends_at: float
    tries: int
    attempts: int
    claims: tuple[tuple[str, int], ...] = ()


class _Waiting(NamedTuple):
    at: float
    request: LostRequest
    tries: int
    attempts: int


def power_cut(at: float, engines: int, spread_s: float) -> tuple:
    """Return ends of engines one after another, over `spread_s`."""
    return tuple((n, at + spread_s * n / engines) for n in range(engines))


def play(scenario: Scenario, seed: int) -> Outcome:
    """Play RUN_S seconds of a scenario."""
    return _Simulation(scenario, random.Random(seed)).play()


class _Simulation:
    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self._scenario = scenario
        self._rng = rng
        self._causes = CrashCauses()
        self._causes.upstreams = scenario.engines
        self._down_until = [0.0] * scenario.engines
        self._starts = [0] * scenario.engines
        self._isolated_until = [0.0] * scenario.engines
        self._trials: dict[str, float] = {}
        self._running: list[_Run] = []
        self._waiting: list[_Waiting] = []
        self._judge_at: list[float] = []
        self._open_claims: list[tuple[float, str, int]] = []
        self._count = 0
        self._sent_at: dict[str, list[float]] = collections.defaultdict(list)
        self._refused: dict[str, float] = {}
        self._delayed = 0

    def play(self) -> Outcome:
        for number in range(self._scenario.crashing):
            request = self._request(f'bad{number}')
            begin_s = self._scenario.begin_s + 0.1 * number
            first = _Waiting(begin_s, request, 0, 0)
            self._waiting += [first] * self._scenario.copies
        ends = sorted(self._scenario.ends, key=lambda end: end[1])
        for step in range(round(RUN_S / STEP_S)):
            now = step * STEP_S
            if self._rng.random() < self._scenario.rate * STEP_S:
                self._count += 1
                request = self._request(f'good{self._count}')
                self._waiting.append(_Waiting(now, request, 0, 0))
            if now > self._scenario.begin_s and self._rng.random() < (
                self._scenario.part_rate * STEP_S
            ):
                self._count += 1
                request = self._request(f'part{self._count}')
                parts = (*request.parts, CRASHING_PART)
                request = request._replace(parts=parts)
                self._waiting.append(_Waiting(now, request, 0, 0))
            if self._rng.random() < self._scenario.faults * STEP_S:
                self._end(self._rng.randrange(self._scenario.engines), now)
            while ends and ends[0][1] <= now:
                self._end(ends.pop(0)[0], now)
            self._end_claims(now)
            self._answer_partly(now)
            self._finish_runs(now)
            if self._judge_at and self._judge_at[0] <= now:
                self._judge_at = [at for at in self._judge_at if at > now]
                self._judge(now)
            due = [item for item in self._waiting if item.at <= now]
            self._waiting = [item for item in self._waiting if item.at > now]
            for item in due:
                self._send(item, now)
        return Outcome(dict(self._sent_at), self._refused, self._delayed)

    def _request(self, name: str) -> LostRequest:
        part = PromptPart(f'm/{self._rng.randrange(SHARED_PARTS)}', 0)
        return LostRequest(name, '', (part,))

    def _judge(self, now: float) -> None:
        self._trials.clear()
        for refusal in self._causes.judge(now):
            if refusal.for_s:
                self._record_refused(refusal.name, refusal.for_s)

    def _record_refused(self, cause: str, for_s: float) -> None:
        name = fingerprint_of(cause) or cause
        if not name.startswith(('bad', 'part', CRASHING_PART.name)):
            self._refused[name] = max(self._refused.get(name, 0.0), for_s)

    def _may_try(self, name: str, limited: list[str], now: float) -> bool:
        tries = self._causes.tries
        for cause in limited:
            if tries.are_used_up(cause) and not tries.open_for_s(cause, now):
                self._record_refused(cause, crash_evidence.REFUSE_S)
        return not limited or self._causes.may_be_tried(name, limited, now)

    def _send(self, item: _Waiting, now: float) -> None:
        name = item.request.fingerprint
        causes = [crash_causes.request_cause(name)]
        causes += [part.name for part in item.request.parts]
        if self._causes.refused_for_s(causes, now) or any(
            self._trials.get(cause, 0.0) > now for cause in causes
        ):
            self._come_again(item, now)
            return
        limited = [c for c in causes if self._causes.may_only_be_tried(c)]
        if not self._may_try(name, limited, now):
            self._delayed += not name.startswith(('bad', 'part'))
            self._come_again(item, now)
            return
        up = [n for n, until in enumerate(self._down_until) if until <= now]
        up = [n for n in up if self._isolated_until[n] <= now]
        if not up:
            self._come_again(item, now)
            return
        for cause in limited:
            number = self._causes.tries.count(cause) + 1
            self._causes.tries.record(cause, number, now)
        engine = self._rng.choice(up)
        isolated_s = self._isolated_s(name, causes)
        if isolated_s:
            loads = collections.Counter(run.engine for run in self._running)
            engine = min(up, key=lambda n: loads[n])
            self._isolated_until[engine] = now + isolated_s
        for cause in causes:
            if self._causes.is_unproven(cause):
                self._trials[cause] = now + 1.0
        is_crashing = name.startswith(('bad', 'part'))
        crash_after_s = self._scenario.crash_after_s
        lasts_s = crash_after_s if is_crashing else self._rng.uniform(0.1, 2)
        lasts_s += self._scenario.queue_s
        if is_crashing:
            shared = CRASHING_PART in item.request.parts
            sent_at = self._sent_at[CRASHING_PART.name if shared else name]
            sent_at.append(now)
        self._running.append(
            _Run(
                item.request,
                engine,
                now,
                now + lasts_s,
                item.tries + 1,
                item.attempts,
                tuple((c, self._causes.tries.count(c)) for c in limited),
            )
        )

    def _isolated_s(self, name: str, causes: Iterable[str]) -> float:
        if self._causes.must_be_isolated(name) or any(
            map(self._causes.may_only_be_tried, causes)
        ):
            return 1.0
        is_trial = any(map(self._causes.is_unproven, causes))
        return crash_evidence.JUST_BEGUN_S if is_trial else 0.0

    def _come_again(self, item: _Waiting, now: float) -> None:
        is_crashing = item.request.fingerprint.startswith('bad')
        if is_crashing or item.attempts + 1 < CALLER_ATTEMPTS:
            at = now + self._rng.uniform(*CALLER_PAUSE_S)
            again = _Waiting(at, item.request, 0, item.attempts + 1)
            self._waiting.append(again)

    def _end_claims(self, now: float) -> None:
        for at, name, number in self._open_claims:
            if at <= now:
                self._causes.tries.end(name, number)
        self._open_claims = [c for c in self._open_claims if c[0] > now]

    def _answer_partly(self, now: float) -> None:
        for run in self._running:
            age_s = now - run.begun_at - self._scenario.queue_s
            if 0 < age_s - crash_evidence.JUST_BEGUN_S <= STEP_S:
                request = run.request
                parts = [part.name for part in request.parts]
                self._causes.answered(request.fingerprint, parts, now, False)

    def _finish_runs(self, now: float) -> None:
        for run in list(self._running):
            if run.ends_at > now or run not in self._running:
                continue
            if run.request.fingerprint.startswith(('bad', 'part')):
                self._end(run.engine, now)
                continue
            self._running.remove(run)
            parts = [part.name for part in run.request.parts]
            if self._causes.answered(run.request.fingerprint, parts, now):
                self._judge_at.append(now + JUDGEMENT_S)

    def _end(self, engine: int, now: float) -> None:
        if self._down_until[engine] > now:
            return
        self._down_until[engine] = now + DOWN_S
        self._starts[engine] += 1
        upstream = f'i-{engine}-{self._starts[engine]}'
        for run in self._runs_at(engine):
            self._running.remove(run)
            ran_s = now - run.begun_at
            lost = run.request._replace(
                upstream=upstream,
                ran_s=ran_s,
                is_late=ran_s >= crash_evidence.JUST_BEGUN_S,
            )
            self._causes.crashed(lost, now)
            for cause, tried in run.claims:
                is_often = self._causes.has_reached_crash_limit(cause)
                at = (
                    now
                    + JUDGEMENT_S
                    + (CRASHED_TRY_PAUSE_S if is_often else 0.0)
                )
                self._open_claims.append((at, cause, tried))
            count = self._causes.crash_count(run.request.fingerprint)
            # One that was in a crash before waits for the judgement.
            at = now + JUDGEMENT_S if count > 1 else now
            item = _Waiting(at, run.request, run.tries, run.attempts)
            if run.tries < TRIES and count < crash_evidence.MIN_CRASHES:
                self._waiting.append(item)
            else:
                self._come_again(item, now)
        self._judge_at.append(now + JUDGEMENT_S)

    def _runs_at(self, engine: int) -> Iterator[_Run]:
        return iter([run for run in self._running if run.engine == engine])
