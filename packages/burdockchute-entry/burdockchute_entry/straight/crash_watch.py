"""Finds out which requests and parts of prompts crash upstreams.

A request may crash each upstream that runs it, or all requests with one part
in their prompts may. Both are refused once crashes show it. A lost answer is
no crash: links are reset, and some upstreams break off single answers. An
upstream that has crashed refuses connections, or has started again.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

import gevent
from gevent import event

from burdockchute import logs
from burdockchute.decisions import crash_causes
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_causes import CRASHES_TO_ISOLATE
from burdockchute.decisions.crash_causes import request_cause
from burdockchute.decisions.crash_evidence import JUST_BEGUN_S
from burdockchute.decisions.crash_evidence import MIN_CRASHES
from burdockchute.decisions.crash_evidence import REFUSE_S
from burdockchute.decisions.tries import CRASHED_TRY_PAUSE_S
from burdockchute.decisions.tries import TRY_S
from burdockchute.decisions.unanswered_crashes import CRASHES_TO_LIMIT_PART
from burdockchute.model.crash_reports import AnsweredRequest
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext
from burdockchute_entry.straight.targets import Target
from burdockchute_entry.straight.try_limits import Claim
from burdockchute_entry.straight.try_limits import ClaimTries
from burdockchute_entry.straight.try_limits import TryLimits

# A crash breaks off all answers of an upstream within this time.
COLLECT_S = 0.02

# An upstream that starts again is listed by then.
RELIST_S = 2.0
RELIST_POLL_S = 0.2

# Other entries' reports of the same crash arrive within this time.
DECISION_DELAY_S = 0.1

# After an outage, hundreds of requests that were in crashes are answered.
ANSWERS_DELAY_S = 0.5

# A request that was in a crash before waits for the judgement of the next one
# before it is repeated.
MAX_JUDGEMENT_WAIT_S = 0.25

# The store answers within this time, or is away.
MAX_READ_WAIT_S = 0.7

# An upstream crashes within this time of being sent a request that crashes it,
# unless it queues the request.
ISOLATION_S = 1.0

# Requests that begin this much later are no candidates of its crash. Requests
# with unproven parts are many where entries have just started.
TRIAL_ISOLATION_S = JUST_BEGUN_S

# An upstream crashes, and the crash is judged, within this time.
TRIAL_S = 1.0
# Upstreams that rejected a request may be full for as long as this.
UNRUN_TRY_PAUSE_S = 1.0

# A trial may end without an answer, and another one begin.
MAX_TRIAL_WAIT_S = 2 * TRIAL_S


class _Trial(NamedTuple):
    """A request that shows whether a part of its prompt is sound."""

    request_id: str
    until: float


class _Loss(NamedTuple):
    """The requests that an upstream lost, and when the first one was."""

    at: float
    sent_at: float
    requests: list[LostRequest]


class CrashWatch:
    """The requests and parts of prompts that this entry refuses, and why.

    `has_ended` tells whether an upstream that a request was sent to at a time
    has ended. `publish` sends a report to the other entries. `on_suspicion` is
    called with each crash that is learned of, `on_changed` with each cause
    that this entry begins or ceases to refuse on its own evidence, and for how
    many seconds. `count_upstreams` returns how many upstreams are known.
    `on_cleared` is called with each cause in several crashes that this entry
    sees answered, and whether the answer was whole. `claim_tries` claims a
    try of each of some causes over all entries, by a request with a
    fingerprint; without it, this entry is alone. `on_try_over` is called with
    a cause and the number of its try that ended without an outcome.

    `is_informed` is not set while an entry that has just started does not know
    yet what others know of earlier crashes.
    """

    def __init__(
        self,
        now: Callable[[], float],
        has_ended: Callable[[Target, float], bool],
        publish: Callable[
            [LostRequest | AnsweredRequest], None
        ] = lambda report: None,
        on_suspicion: Callable[[], None] = lambda: None,
        on_changed: Callable[[str, float], None] = lambda name, for_s: None,
        count_upstreams: Callable[[], int] = lambda: 1,
        on_cleared: Callable[[str, bool], None] = lambda name, is_whole: None,
        claim_tries: ClaimTries | None = None,
        on_try_over: Callable[[str, int], None] = lambda name, number: None,
    ) -> None:
        self.is_informed = event.Event()
        self.is_informed.set()
        self.causes = CrashCauses()
        self._now = now
        self._has_ended = has_ended
        self._publish = publish
        self._on_suspicion = on_suspicion
        self._on_changed = on_changed
        self._count_upstreams = count_upstreams
        self._on_cleared = on_cleared
        self._report_try_over = on_try_over
        self.try_limits = TryLimits(
            self.causes,
            now,
            claim_tries,
            self._on_tries_used_up,
            self._on_try_over,
        )
        # The trial of each unproven part that a request was sent with.
        self._trials: dict[str, _Trial] = {}
        # Set, and replaced, with each trial that ends before its time.
        self._trial_ended = event.Event()
        # What upstreams have lost while they are checked. Two starts of one
        # may have the same id.
        self._losses: dict[Target, _Loss] = {}
        # When the next judgement is due.
        self._decide_at = float('inf')
        # Set while no crash is being checked or judged.
        self._is_settled = event.Event()
        self._is_settled.set()

    # Refusals.

    def refusal(
        self,
        ctx: RequestContext,
        started: bool = False,
        failed_at: Collection[str] = (),
    ) -> NotRun | None:
        """Return why a request must not be sent, None if it may be.

        The remainder of a stream that has `started` is only refused if one of
        the upstreams that it `failed_at` has crashed with it.
        """
        now = self._now()
        request = request_cause(ctx.fingerprint)
        if refused_s := self.causes.refused_for_s([request], now):
            if not started or self.causes.was_in_crash(
                ctx.fingerprint, failed_at
            ):
                reason = 'it crashed the upstreams that ran it'
                return NotRun(reason, 503, refused_s)
        names = [part.name for part in ctx.prompt_parts]
        if refused_s := self.causes.refused_for_s(names, now):
            reason = 'a part of its prompt crashed the upstreams that ran it'
            return NotRun(reason, 503, refused_s)
        limited = self.try_limits.limited_causes(ctx, started, failed_at)
        if refusal := self.try_limits.refusal(ctx, limited):
            return refusal
        trial_s = self._trial_left_s(ctx)
        if trial_s > 0:
            reason = 'a part of its prompt may crash upstreams and is on trial'
            return NotRun(reason, 503, trial_s)
        return None

    def begin(self, ctx: RequestContext) -> None:
        """Record that a request is sent.

        Others with an unproven part of its prompt wait meanwhile.
        """
        now = self._now()
        if crashes := self.causes.crash_count(ctx.fingerprint):
            logs.event(
                'suspect_sent',
                request_id=ctx.request_id,
                fingerprint=ctx.fingerprint,
                crashes=crashes,
            )
        self._trials = {
            name: trial
            for name, trial in self._trials.items()
            if trial.until > now
        }
        for part in ctx.prompt_parts:
            if self.causes.is_unproven(part.name):
                self._trials[part.name] = _Trial(ctx.request_id, now + TRIAL_S)

    def wait_for_trial(self, ctx: RequestContext, until: float) -> bool:
        """Wait while another request with a part of its prompt is on trial.

        So does one with the same content that is tried. Returns false if one
        still is at `until`.
        """
        while (trial_s := self._trial_or_try_left_s(ctx)) > 0:
            left_s = until - self._now()
            if left_s <= 0:
                return False
            self._trial_ended.wait(min(trial_s, left_s))
        return True

    def has_unproven_part(self, ctx: RequestContext) -> bool:
        """Whether a request shows whether a part of its prompt is sound."""
        return any(
            self.causes.is_unproven(part.name) for part in ctx.prompt_parts
        )

    def _trial_left_s(self, ctx: RequestContext) -> float:
        if not self._trials:
            return 0.0
        now = self._now()
        trials = [self._trials.get(part.name) for part in ctx.prompt_parts]
        return max(
            (
                trial.until - now
                for trial in trials
                if trial and trial.request_id != ctx.request_id
            ),
            default=0.0,
        )

    def _trial_or_try_left_s(self, ctx: RequestContext) -> float:
        limited = self.try_limits.limited_causes(ctx)
        if self.try_limits.are_exhausted(limited):
            # It is refused at once.
            return 0.0
        try_s = self.try_limits.open_for_s(limited)
        return max(self._trial_left_s(ctx), try_s)

    def _end_trials(self, names: Iterable[str]) -> None:
        for name in list(names):
            self._trials.pop(name, None)
        ended, self._trial_ended = self._trial_ended, event.Event()
        ended.set()

    def recheck_tries(self) -> None:
        """Let requests go on that wait for a try that is over."""
        self._end_trials(())

    def may_repeat(self, ctx: RequestContext) -> bool:
        """Whether a request may be repeated without its caller's asking."""
        count = self.causes.crash_count(ctx.fingerprint)
        return count < MIN_CRASHES

    def isolated_s(self, ctx: RequestContext) -> float:
        """Return for how long no other request may begin where one does.

        It is 0 for most requests. One that shows whether a part is sound must
        not be in a crash that another request causes.
        """
        if self.must_be_isolated(ctx):
            return ISOLATION_S
        return TRIAL_ISOLATION_S if self.has_unproven_part(ctx) else 0.0

    def must_be_isolated(self, ctx: RequestContext) -> bool:
        """Whether no other request may begin where one does."""
        return self.causes.must_be_isolated(ctx.fingerprint) or bool(
            self.try_limits.limited_causes(ctx)
        )

    def wait_until_judged(self, ctx: RequestContext) -> None:
        """Wait until crashes are judged that say something of a request.

        It was in one before, or has an unproven part, or one that may only be
        tried after the next crash.
        """
        if (
            self.causes.crash_count(ctx.fingerprint)
            or self.has_unproven_part(ctx)
            or any(
                self.causes.unanswered.count(part.name)
                >= CRASHES_TO_LIMIT_PART - 1
                for part in ctx.prompt_parts
            )
        ):
            self._is_settled.wait(MAX_JUDGEMENT_WAIT_S)

    def wait_until_informed(self, ctx: RequestContext) -> None:
        """Wait until this entry knows of earlier crashes, and judged them."""
        if not self.is_informed.is_set():
            self.is_informed.wait(MAX_READ_WAIT_S)
        if self.causes.must_be_isolated(ctx.fingerprint):
            self.wait_until_judged(ctx)

    def end_lost_tries(self, ctx: RequestContext) -> None:
        """End the tries of a request whose upstream may have crashed."""
        if claims := self.try_limits.take_claims(ctx):
            gevent.spawn(self._end_lost_tries, claims)

    def _end_lost_tries(self, claims: Sequence[Claim]) -> None:
        self._is_settled.wait(TRY_S)
        if any(
            self.causes.has_reached_crash_limit(name) for name, _ in claims
        ):
            gevent.sleep(CRASHED_TRY_PAUSE_S)
        self.try_limits.end_claims(claims)

    def end_unrun_tries(self, ctx: RequestContext) -> None:
        """End the tries of a request that its upstream did not run.

        Upstreams that reject requests after an outage must not use up all
        tries at once.
        """
        if claims := self.try_limits.take_claims(ctx):
            gevent.spawn_later(
                UNRUN_TRY_PAUSE_S, self.try_limits.end_claims, claims
            )

    # Evidence of this entry.

    def answer_lost(
        self,
        ctx: RequestContext,
        target: Target,
        ran_s: float,
        answering_s: float,
    ) -> None:
        """Check whether an upstream that closed a connection has crashed.

        `ran_s` is for how long the request had been there, `answering_s` for
        how long its answer had been arriving.
        """
        logs.warn(
            'upstream_broke_off',
            request_id=ctx.request_id,
            upstream=target.id,
            fingerprint=ctx.fingerprint,
            parts=','.join(part.name for part in ctx.prompt_parts),
            ran_ms=int(ran_s * 1000),
            answering_ms=int(answering_s * 1000),
            crashes=self.causes.crash_count(ctx.fingerprint),
        )
        is_late = answering_s > JUST_BEGUN_S
        parts = tuple(
            part._replace(is_answered=self.causes.was_answered(part.name))
            for part in ctx.prompt_parts
        )
        lost = LostRequest(
            ctx.fingerprint,
            target.id,
            parts,
            ran_s,
            is_late,
            target.upstream.started_ms,
        )
        if target in self._losses:
            self._losses[target].requests.append(lost)
            return
        now = self._now()
        self._losses[target] = _Loss(now, now - ran_s, [lost])
        self._is_settled.clear()
        gevent.spawn(self._check, target)

    def answer_unfinished(
        self,
        ctx: RequestContext,
        target: Target,
        reason: str,
        ran_s: float,
        answering_s: float,
    ) -> None:
        """Log an attempt that ended without a crash that can be shown."""
        if not ctx.prompt_parts:
            return
        logs.event(
            'answer_unfinished',
            request_id=ctx.request_id,
            upstream=target.id,
            reason=reason,
            fingerprint=ctx.fingerprint,
            parts=','.join(part.name for part in ctx.prompt_parts),
            ran_ms=int(ran_s * 1000),
            answering_ms=int(answering_s * 1000),
        )

    def answer_complete(
        self,
        ctx: RequestContext,
        has_content: bool,
        is_whole: bool = True,
        answering_s: float = 0.0,
    ) -> None:
        """Record a complete answer, or one that has been arriving for long.

        Only one with content shows that its prompt crashes no upstream.
        """
        if not has_content:
            return
        report = AnsweredRequest(ctx.fingerprint, ctx.prompt_parts, is_whole)
        crashes = {
            part.name: self.causes.unanswered.count(part.name)
            for part in ctx.prompt_parts
        }
        late_crashes = self.causes.late_crash_count(ctx.fingerprint)
        limited = self.try_limits.limited_causes(ctx)
        suspected = self._record_answered(report)
        if is_whole and late_crashes >= CRASHES_TO_ISOLATE:
            self._on_cleared(request_cause(ctx.fingerprint), True)
        if suspected:
            parts = tuple(
                part for part in ctx.prompt_parts if part.name in suspected
            )
            self._publish(report._replace(parts=parts))
        for name in suspected:
            count = max(self.causes.crashes_with(name), crashes.get(name, 0))
            if name in limited or count >= CRASHES_TO_ISOLATE:
                logs.event(
                    'cause_cleared',
                    request_id=ctx.request_id,
                    cause=name,
                    whole=is_whole,
                    answering_ms=int(answering_s * 1000),
                    limited=name in limited,
                    crashes=count,
                )
                self._on_cleared(name, is_whole)

    # Reports of other entries.

    def peer_lost(self, lost: LostRequest) -> None:
        """Apply another entry's report of a request in a crash."""
        self._record_crash([lost], self._now(), 'peer')
        self._on_suspicion()

    def stored_crash(self, lost: LostRequest, at: float) -> None:
        """Apply the record of a request in a crash at a time."""
        self._record_crash([lost], at, 'store')

    def stored_answer(
        self, name: str, at: float, is_whole: bool = False
    ) -> None:
        """Apply the record of an answer to a request or on a part."""
        self.causes.answered_elsewhere(name, at, self._now(), is_whole)
        self._end_trials([name])

    def peer_answered(self, report: AnsweredRequest) -> None:
        """Apply another entry's report of a complete answer."""
        self._record_answered(report)

    def _check(self, target: Target) -> None:
        gevent.sleep(COLLECT_S)
        has_crashed = self._has_ended(target, self._losses[target].sent_at)
        loss = self._losses.pop(target)
        if has_crashed:
            self._record_loss(loss)
        self._settle()
        if not has_crashed and self._is_listed_anew(target):
            self._record_loss(loss)

    def _is_listed_anew(self, target: Target) -> bool:
        """Wait until the list shows another start of an upstream, if it does.

        One that has started again under its id, at once, accepts connections
        and answers health checks as if it had not ended.
        """
        until = self._now() + RELIST_S
        while self._now() < until:
            gevent.sleep(RELIST_POLL_S)
            if target.is_replaced:
                return True
        return False

    def _record_loss(self, loss: _Loss) -> None:
        self._record_crash(loss.requests, loss.at, 'own')
        self._on_suspicion()
        for item in loss.requests:
            self._publish(item)

    def _record_crash(
        self, lost: Sequence[LostRequest], at: float, source: str
    ) -> None:
        # Several agents relay each report.
        news = [item for item in lost if self.causes.crashed(item, at)]
        if source == 'own':
            for item in lost:
                if item not in news:
                    logs.event(
                        'upstream_crash_known',
                        upstream=item.upstream,
                        fingerprint=item.fingerprint,
                        late=item.is_late,
                    )
        if not news:
            return
        for item in news:
            logs.event(
                'upstream_crash_seen',
                upstream=item.upstream,
                source=source,
                fingerprint=item.fingerprint,
                parts=','.join(part.name for part in item.parts),
                ran_ms=int(item.ran_s * 1000),
                late=item.is_late,
                crashes=self.causes.crash_count(item.fingerprint),
            )
            self._log_limited_parts(item)
        self._decide_soon()

    def _log_limited_parts(self, lost: LostRequest) -> None:
        for part in lost.parts:
            count = self.causes.unanswered.count(part.name)
            if (
                count == CRASHES_TO_LIMIT_PART
                and self.causes.has_reached_crash_limit(part.name)
            ):
                logs.event('tries_limited', cause=part.name, crashes=count)

    def _on_try_over(self, name: str, number: int) -> None:
        self.recheck_tries()
        self._report_try_over(name, number)

    def _on_tries_used_up(self, name: str) -> None:
        log_refused(name, 'tries', REFUSE_S)
        self._on_changed(name, REFUSE_S)

    def _decide_soon(self, delay_s: float = DECISION_DELAY_S) -> None:
        decide_at = self._now() + delay_s
        if decide_at >= self._decide_at:
            return
        self._decide_at = decide_at
        if delay_s <= DECISION_DELAY_S:
            self._is_settled.clear()
        gevent.spawn_later(delay_s, self._decide, decide_at)

    def _decide(self, decide_at: float) -> None:
        if decide_at != self._decide_at:
            # A crash has been judged sooner.
            return
        self._decide_at = float('inf')
        self._end_trials(self._trials)
        self.causes.upstreams = self._count_upstreams()
        refusals = self.causes.judge(self._now())
        if len(refusals) == crash_causes.MAX_REFUSALS:
            self._decide_soon()
        for refusal in refusals:
            if not refusal.for_s:
                logs.event(
                    'tries_limited',
                    cause=refusal.name,
                    crashes=refusal.crashes,
                )
                continue
            log_refused(
                refusal.name,
                'crashes',
                refusal.for_s,
                crashes=refusal.crashes,
            )
            self._on_changed(refusal.name, refusal.for_s)
        self._settle()

    def _settle(self) -> None:
        is_due = self._decide_at - self._now() <= DECISION_DELAY_S
        if not self._losses and not is_due:
            self._is_settled.set()

    def _record_answered(self, report: AnsweredRequest) -> list[str]:
        """Record a complete answer; return the causes that were suspected."""
        now = self._now()
        names = [part.name for part in report.parts]
        request = request_cause(report.fingerprint)
        refused = [
            name
            for name in (request, *names)
            if self.causes.is_refused(name, now)
        ]
        suspected = self.causes.answered(
            report.fingerprint, names, now, report.is_whole
        )
        if suspected or not self._trials.keys().isdisjoint(names):
            self._end_trials(names)
        for name in refused:
            if self.causes.is_refused(name, now):
                # It needs a whole answer.
                continue
            if (fingerprint := crash_causes.fingerprint_of(name)) is None:
                logs.event('prompt_part_allowed', part=name)
            else:
                logs.event('request_allowed', fingerprint=fingerprint)
            self._on_changed(name, 0.0)
        if suspected:
            # Fewer candidates are left for the crashes that it was in.
            self._decide_soon(ANSWERS_DELAY_S)
        return suspected


def log_refused(
    name: str, source: str, for_s: float, crashes: int | None = None
) -> None:
    """Log that a cause is refused from now on, and how this is known."""
    for_s = round(for_s, 1)
    if (fingerprint := crash_causes.fingerprint_of(name)) is None:
        logs.warn(
            'prompt_part_refused',
            part=name,
            source=source,
            for_s=for_s,
            crashes=crashes,
        )
    else:
        logs.warn(
            'request_refused',
            fingerprint=fingerprint,
            source=source,
            for_s=for_s,
            crashes=crashes,
        )
