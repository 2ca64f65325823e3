"""Sends one request to upstreams and reads their answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

import gevent

from burdockchute import logs
from burdockchute.adapters import Adapter
from burdockchute.decisions import admission
from burdockchute.decisions import answer_ends
from burdockchute.decisions import crash_evidence
from burdockchute.decisions import engine_speed
from burdockchute.decisions import health
from burdockchute.decisions import retries
from burdockchute.decisions import versions
from burdockchute.decisions.answer_ends import BrokenOff
from burdockchute.decisions.answer_ends import DeadlineCheck
from burdockchute.decisions.answer_ends import Framing
from burdockchute.decisions.crash_evidence import AnswerTime
from burdockchute.decisions.crash_evidence import JUST_BEGUN_S
from burdockchute.decisions.placement import Work
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import ForwardedRequest
from burdockchute.model.exchanges import InboundRequest
from burdockchute.model.exchanges import MISDIRECTED
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.connections import Connection
from burdockchute.upstreams.connections import HeaderList
from burdockchute.upstreams.connections import MAX_ANSWER_BYTES
from burdockchute.upstreams.connections import NoDataYet
from burdockchute.upstreams.connections import NotConnected
from burdockchute.upstreams.connections import POLL_INTERVAL_S
from burdockchute_entry.straight.attempts import Failed
from burdockchute_entry.straight.attempts import NotExecuted
from burdockchute_entry.straight.attempts import OutcomeUnknown
from burdockchute_entry.straight.attempts import Overtaken
from burdockchute_entry.straight.attempts import SentRequest
from burdockchute_entry.straight.attempts import UpstreamSilent
from burdockchute_entry.straight.attempts import UpstreamSlow
from burdockchute_entry.straight.attempts import WeightsReplaced
from burdockchute_entry.straight.crash_watch import CrashWatch
from burdockchute_entry.straight.crash_watch import MAX_TRIAL_WAIT_S
from burdockchute_entry.straight.end_check import EndCheck
from burdockchute_entry.straight.memory_account import Holding
from burdockchute_entry.straight.memory_account import Use
from burdockchute_entry.straight.retry_budgets import LEASE_POLL_S
from burdockchute_entry.straight.retry_budgets import MAX_LEASE_WAIT_S
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.targets import Target

# An upstream answers by itself when the time limit sent to it is over. Its
# answer is more specific than ours, so it gets this much extra time.
ANSWER_GRACE_S = 0.1

# With less time left than this a request is not sent: no upstream could
# answer it, and it would only occupy a slot.
MIN_TIME_LEFT_S = 0.02

# Interval between checks which of two upstreams has started to answer.
HEDGE_POLL_S = 0.05

Read = TypeVar('Read')


class Dependencies(NamedTuple):
    """Objects that all exchanges of an entry share."""

    adapter: Adapter
    scheduler: Scheduler
    crash_watch: CrashWatch
    end_check: EndCheck
    now: Callable[[], float]


class Sender:
    """One request and its attempts; runs in the caller's greenlet.

    `runs` counts the upstreams that may have run the request, `sends` the
    attempts to send it. `uncounted_runs` are those runs that do not use up
    the attempts of the route. `framing` is what marked the end of a complete
    answer, None without one. `last_event` is the id of the last event that
    the caller has received. Every SentRequest is ended by exactly one of
    `finish`, `fail`, `time_out`, `abandon`, `mark_broken` and
    `take_refusal`, which free its slot. `has_caller_left` checks the caller's
    connection without waiting.
    """

    def __init__(
        self,
        deps: Dependencies,
        inbound: InboundRequest,
        ctx: RequestContext,
        route: Route,
        spec: RequestSpec,
        holding: Holding,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self.runs = 0
        self.uncounted_runs = 0
        self.sends = 0
        self.upstream = ''
        self.framing: Framing | None = None
        self.last_event = inbound.resume_after
        self.inbound = inbound
        self.ctx = ctx
        self.route = route
        self.holding = holding
        work = Work(admission.cost_of(ctx), False, ctx.prompt_tokens, ())
        self.pending = PendingRequest(ctx, work, spec)
        self._deps = deps
        self._has_caller_left = has_caller_left
        self._deadline_check = DeadlineCheck(ctx.deadline + ANSWER_GRACE_S)
        # For how long the answer on each connection has been arriving.
        self._answering: dict[Connection, AnswerTime] = {}
        # The connections whose end was taken for that of their answer although
        # their upstreams did not respond.
        self._unconfirmed: set[Connection] = set()
        # Whether an answer has been arriving for longer than a request that
        # crashes its upstream takes.
        self.has_outlasted = False
        # Whether it was sent before, and when retries were taken for what is
        # sent next.
        self._was_sent = False
        self._retries_taken: list[float] = []
        # Rejections of the remainder of an interrupted stream.
        self._rejections = 0

    # Slots.

    def next_slot(self) -> Slot | NotRun:
        """Wait for a slot."""
        now = self._deps.now()
        if reason := self._obsolete_reason(now):
            return NotRun(reason, 503, 0.0)
        crash_watch = self._deps.crash_watch
        crash_watch.wait_until_informed(self.ctx)
        # A caller that is refused needs time to come again.
        left_s = self.ctx.deadline - now
        until = now + min(MAX_TRIAL_WAIT_S, left_s / 2)
        crash_watch.wait_for_trial(self.ctx, until)
        while True:
            if refusal := self._crash_refusal():
                return refusal
            self.pending.isolated_s = crash_watch.isolated_s(self.ctx)
            slot = self._deps.scheduler.wait_for_slot(
                self.pending, self.ctx.deadline
            )
            # It may be refused by what happened while it waited.
            refusal = self._crash_refusal()
            if not refusal or not isinstance(slot, Slot):
                break
            self.release(slot)
            if not crash_watch.wait_for_trial(self.ctx, until):
                return refusal
        if isinstance(slot, Slot):
            load = slot.target.load
            logs.event(
                'request_placed',
                request_id=self.inbound.id,
                upstream=slot.target.id,
                version=slot.version,
                waited_ms=int((self._deps.now() - now) * 1000),
                ours=load.ours,
                others=load.others,
                report_age_ms=int((now - load.reported_at) * 1000),
                isolated=load.reserved_for == self.inbound.id,
            )
        return slot

    def may_retry(
        self,
        attempt: NotExecuted | OutcomeUnknown | Failed,
        wait_s: float = MAX_LEASE_WAIT_S,
    ) -> bool:
        """Whether another attempt is allowed; takes it from the retry budget.

        Waits for the next retry if the budget has one within `wait_s`.
        """
        if self.sends >= retries.MAX_PLACEMENTS:
            return False
        self._deps.crash_watch.wait_until_judged(self.ctx)
        has_arrived = not isinstance(attempt, NotExecuted) or attempt.arrived
        if has_arrived and not self._deps.crash_watch.may_repeat(self.ctx):
            return False
        if self._rejections >= retries.MAX_REJECTIONS:
            return False
        if isinstance(attempt, NotExecuted):
            return not has_arrived or self.take_retry(wait_s)
        if isinstance(attempt, Failed) and self.route.kind is Kind.STREAM:
            return False
        counted = self.runs - self.uncounted_runs
        again = self.route.may_repeat and counted < self.route.max_attempts
        return again and self.take_retry(wait_s)

    def take_retry(self, wait_s: float, is_move: bool = False) -> bool:
        """Take a retry from the budget, for what is sent next.

        Waits up to `wait_s` for the next one. A move leaves the retries that
        are reserved for started streams, and may be tried again soon.
        """
        budgets, service = (
            self._deps.scheduler.retry_budgets,
            self.pending.spec.service,
        )
        resuming = self.pending.resuming and not is_move
        deadline = self._deps.now() + wait_s
        while True:
            now = self._deps.now()
            if budgets.take(service, now, resuming):
                self._retries_taken.append(now)
                return True
            next_s = max(
                LEASE_POLL_S, budgets.next_retry_in_s(service, now, resuming)
            )
            if now + next_s > deadline:
                if is_move:
                    return False
                budgets.record_denied(service)
                logs.event(
                    'retry_denied',
                    request_id=self.inbound.id,
                    service=service,
                    resuming=resuming,
                    retries_left=round(budgets.balance(service, now), 1),
                    entries=self._deps.scheduler.entries,
                )
                return False
            gevent.sleep(next_s)

    # Dispatch.

    def dispatch(
        self,
        slot: Slot,
        may_hedge: bool = False,
        rival: Connection | None = None,
    ) -> SentRequest | NotExecuted:
        """Connect to the upstream of a slot.

        Frees the slot if that fails. With `may_hedge`, reading raises
        UpstreamSlow once the upstream has not started for too long. `rival`
        is the connection of a request that this one is sent in addition to.
        """
        target = slot.target
        self.upstream = target.id
        self.sends += 1
        non_idempotent = not self.route.may_repeat
        try:
            conn = target.connection(self._deps.now(), non_idempotent)
        except NotConnected as exc:
            target.record_failure(self._deps.now())
            self.pending.avoided.add(target.id)
            self._deps.scheduler.release(self.pending, slot)
            return NotExecuted(f'no connection: {exc}', False)
        except BaseException:
            self._deps.scheduler.release(self.pending, slot)
            raise
        now = self._deps.now()
        reason = self._reason_not_to_send(target, now)
        try_limits = self._deps.crash_watch.try_limits
        limited = try_limits.limited_causes(
            self.ctx, self.pending.resuming, self.pending.avoided
        )
        if not reason and limited:
            if try_limits.claim(self.ctx, limited):
                # A claim takes time.
                now = self._deps.now()
                reason = self._reason_not_to_send(target, now, is_claimed=True)
            else:
                reason = 'it may crash upstreams, and no try was claimed'
        if reason:
            conn.close()
            self._deps.crash_watch.end_unrun_tries(self.ctx)
            self._deps.scheduler.release(self.pending, slot)
            return NotExecuted(reason, False)
        start_by = None
        if slot.version is not None:
            start_by = self._deps.scheduler.start_deadline(
                self.pending.spec.model, slot.version
            )
        hedge_at = self._hedge_at(slot, now) if may_hedge else None
        if rival is not None:
            conn.set_poll_interval(HEDGE_POLL_S)
        elif hedge_at is not None:
            conn.set_poll_interval(min(POLL_INTERVAL_S, (hedge_at - now) / 2))
        return SentRequest(slot, conn, now, start_by, hedge_at, rival)

    def _reason_not_to_send(
        self, target: Target, now: float, is_claimed: bool = False
    ) -> str:
        """Return why a request must not be sent now, empty if it may be.

        With `is_claimed`, it is tried although it may crash its upstream.
        """
        if reason := self._obsolete_reason(now):
            return reason
        if not is_claimed and (refusal := self._crash_refusal()):
            return refusal.reason
        if not target.accepts_new(now):
            return 'the upstream accepts nothing new'
        if not self._deps.scheduler.is_allowed(self.pending, target):
            return 'its region is not known to be allowed'
        return ''

    def _hedge_at(self, slot: Slot, now: float) -> float | None:
        if not self._deps.scheduler.hedges or not self.route.may_repeat:
            return None
        crash_watch = self._deps.crash_watch
        if self.pending.isolated_s or crash_watch.isolated_s(self.ctx):
            return None
        expected_s = slot.target.usual_first_event_s(
            self.pending.ctx.request_id
        )
        if expected_s is None:
            return None
        return now + engine_speed.hedge_delay_s(expected_s)

    def _crash_refusal(self) -> NotRun | None:
        return self._deps.crash_watch.refusal(
            self.ctx, self.pending.resuming, self.pending.avoided
        )

    def _obsolete_reason(self, now: float) -> str:
        """Return why the answer is no longer needed, empty if it is.

        A process that was suspended, or waited for a connection, continues
        with requests whose callers have left meanwhile. The event of their
        disconnection may still be queued in the event loop.
        """
        if self.ctx.deadline - now < MIN_TIME_LEFT_S:
            return 'its time is over'
        return 'the caller has left' if self._has_caller_left() else ''

    def send(self, sent: SentRequest) -> None:
        """Send the request; raises AnswerFailed."""
        forwarded = ForwardedRequest(
            instance=sent.slot.target.id,
            customer=self.ctx.customer,
            time_left_s=max(MIN_TIME_LEFT_S, self.ctx.deadline - sent.sent_at),
            version=sent.slot.version,
            resume_after=self.last_event,
            urgency=self.pending.urgency,
        )
        data = self._deps.adapter.encode_request(self.inbound, forwarded)
        self._count_in_budget(sent.sent_at)
        self.runs += 1
        self._deps.crash_watch.begin(self.ctx)
        self.holding.take(Use.BODIES, len(data))
        try:
            sent.conn.send(data, self.inbound.method, self._is_own_answer)
        finally:
            self.holding.give_back(Use.BODIES, len(data))

    def _count_in_budget(self, now: float) -> None:
        budgets = self._deps.scheduler.retry_budgets
        service = self.pending.spec.service
        if not self._was_sent:
            self._was_sent = True
            budgets.record_first_attempt(service, now)
        elif self._retries_taken:
            budgets.mark_sent(service, self._retries_taken.pop(0), now)

    def _is_own_answer(self, status: int, headers: HeaderList) -> bool:
        # A late answer to an earlier request may arrive on a reused
        # connection. A rejection may lack the request id; a success always
        # has it.
        wanted = self._deps.adapter.request_id_header.lower()
        for name, value in headers:
            if name.lower() == wanted:
                return value.strip() == self.inbound.id
        return status >= 400

    # Reading. Each method returns None once the deadline has passed, and
    # raises AnswerFailed.

    def read_head(self, sent: SentRequest) -> AnswerHead | None:
        """Wait for the head of the answer."""
        read = self._read_until_deadline(sent, sent.conn.read_head)
        if read is None:
            return None
        head = self._deps.adapter.decode_answer(*read)
        if head.status != MISDIRECTED:
            # Another upstream may have sent a 421.
            self._deps.scheduler.record_backpressure(
                sent.slot.target,
                head.backpressure,
                self.inbound.id,
                sent.sent_at,
            )
            if head.cold_s is not None:
                self._deps.scheduler.record_cold_answer(
                    sent.slot.target, head.cold_s
                )
        return head

    def read_part(
        self, sent: SentRequest, should_stop: Callable[[], bool] | None = None
    ) -> bytes | None:
        """Wait for more of the body; returns empty bytes at its end.

        Also raises NoDataYet once `should_stop` returns true while nothing has
        arrived.
        """
        return self._read_until_deadline(
            sent, sent.conn.read_body_part, should_stop
        )

    def read_body(
        self,
        sent: SentRequest,
        read_next: Callable[[], bytes | None] | None = None,
    ) -> bytes | None:
        """Wait for the complete body.

        `read_next` reads the next part in place of `read_part`. The body
        stays in the holding of the request.
        """
        read_next = read_next or (lambda: self.read_part(sent))
        parts: list[bytes] = []
        size = 0
        complete = False
        try:
            while data := read_next():
                size += len(data)
                self.holding.take(Use.ANSWERS, len(data))
                if size > MAX_ANSWER_BYTES:
                    raise AnswerFailed(
                        f'answer exceeds {MAX_ANSWER_BYTES} bytes', False
                    )
                if self.holding.must_end_answer():
                    raise AnswerFailed(
                        f'no memory for an answer of over {size} bytes', False
                    )
                parts.append(data)
                if self.has_exceeded_deadline(sent):
                    return None
            if data is None:
                return None
            self._check_complete(sent)
            complete = True
            return b''.join(parts)
        finally:
            if not complete:
                self.holding.give_back(Use.ANSWERS, size)

    def has_exceeded_deadline(self, sent: SentRequest) -> bool:
        """Whether an answer goes on after its deadline, which is a failure."""
        target = sent.slot.target
        exceeded = self._deadline_check.is_exceeded(target.last_received_at)
        if exceeded:
            target.record_failure(target.last_received_at)
        return exceeded

    def check_stream_complete(
        self, sent: SentRequest, partial_event: bytes, has_events: bool
    ) -> None:
        """Raise AnswerFailed unless the stream whose end came is complete.

        `partial_event` has the bytes after its last event. A remainder may
        have no events, as its caller may have the last one.
        """
        is_remainder = bool(self.last_event)
        self._check_complete(
            sent, partial_event, not has_events and not is_remainder
        )

    def _check_complete(
        self,
        sent: SentRequest,
        partial_event: bytes = b'',
        lacks_events: bool = False,
    ) -> None:
        end = answer_ends.judge(
            sent.conn.framing,
            partial_event,
            lacks_events,
            lambda: self._is_upstream_gone(sent),
        )
        if isinstance(end, BrokenOff):
            raise AnswerFailed(end.reason, end.crashed)

    def _is_upstream_gone(self, sent: SentRequest) -> bool:
        has_ended = self._deps.end_check.ask(sent.slot.target, sent.sent_at)
        if has_ended is None:
            self._unconfirmed.add(sent.conn)
        return bool(has_ended)

    def mark_started(self, sent: SentRequest) -> None:
        """Record events of the answer: the prompt was processed."""
        lasted_s = self._record_answering(sent.conn)
        if lasted_s > JUST_BEGUN_S and not self.has_outlasted:
            self.has_outlasted = True
            self._deps.crash_watch.answer_complete(
                self.ctx, True, is_whole=False, answering_s=lasted_s
            )
        if sent.hedge_at is not None or sent.rival is not None:
            sent.conn.set_poll_interval(POLL_INTERVAL_S)
        self._deps.scheduler.mark_started(self.pending, sent.slot)

    def _record_answering(self, conn: Connection) -> float:
        """Return for how many seconds an answer has been arriving."""
        now = self._deps.now()
        time = self._answering.get(conn, AnswerTime(now))
        self._answering[conn] = time = crash_evidence.after_read(time, now)
        return time.lasted_s

    def _read_until_deadline(
        self,
        sent: SentRequest,
        read: Callable[[], Read],
        should_stop: Callable[[], bool] | None = None,
    ) -> Read | None:
        target = sent.slot.target
        while True:
            try:
                result = read()
            except NoDataYet:
                now = self._deps.now()
                if sent.conn in self._answering:
                    self._record_answering(sent.conn)
                if now > self.ctx.deadline + ANSWER_GRACE_S:
                    return None
                self._check_start_deadline(sent, now)
                self._check_rival(sent)
                if should_stop is not None and should_stop():
                    raise
                silent = health.is_silent(
                    target.last_received_at, sent.sent_at, now
                )
                if silent and self.route.may_repeat:
                    raise UpstreamSilent(
                        'the upstream is silent', False
                    ) from None
                self._check_slow(sent, now)
                continue
            target.last_received_at = self._deps.now()
            return result

    def _check_rival(self, sent: SentRequest) -> None:
        if sent.rival is None or sent.conn in self._answering:
            return
        if not sent.rival.is_quiet():
            raise Overtaken('the first upstream has started to answer', False)

    def _check_slow(self, sent: SentRequest, now: float) -> None:
        if sent.hedge_at is None or sent.conn in self._answering:
            return
        if now >= sent.hedge_at:
            raise UpstreamSlow('the upstream is slow', False)

    def hedge_slot(self, sent: SentRequest) -> Slot | None:
        """Return a slot at a second upstream, within the retry budget."""
        target = sent.slot.target
        self.pending.avoided.add(target.id)
        slot = self._deps.scheduler.reserve_hedge_slot(
            self.pending, sent.sent_at
        )
        if slot is None:
            self.pending.avoided.discard(target.id)
            return None
        slow = OutcomeUnknown('the upstream is slow')
        if not self.may_retry(slow, wait_s=0.0):
            self._deps.scheduler.release(self.pending, slot)
            self.pending.avoided.discard(target.id)
            return None
        return slot

    def release(self, slot: Slot) -> None:
        """Free a slot to which nothing was sent."""
        self._deps.scheduler.release(self.pending, slot)

    def mark_silent(self, sent: SentRequest) -> None:
        """Record that an upstream fell silent; it keeps the request."""
        target = sent.slot.target
        self.pending.avoided.add(target.id)
        target.record_failure(self._deps.now())

    def _check_start_deadline(self, sent: SentRequest, now: float) -> None:
        # A request still queued in the engine would start on weights that
        # may no longer start any request. Nothing would detect that, and the
        # caller would get an answer of an outdated version.
        if sent.conn in self._answering:
            return
        if versions.must_cancel(sent.start_by, sent.sent_at, now):
            raise WeightsReplaced(
                'weights were replaced before the start', False
            )

    # Ends.

    def finish(self, sent: SentRequest, head: AnswerHead) -> None:
        """End the attempt with a complete answer."""
        self.framing = sent.conn.framing
        self._keep_connection(sent, head)
        # An empty remainder shows nothing of the prompt.
        has_events = not head.is_stream or sent.conn in self._answering
        self._deps.crash_watch.answer_complete(
            self.ctx,
            head.status < 400 and has_events,
            # An upstream that crashes may end its answer in the same way.
            is_whole=sent.conn not in self._unconfirmed,
            answering_s=self._answering_s(sent),
        )
        self._end_tries()
        self._deps.scheduler.mark_answered(
            self.pending, sent.slot, self._elapsed_s(sent)
        )

    def fail(self, sent: SentRequest, head: AnswerHead) -> None:
        """End the attempt with an error answer of the upstream."""
        self._keep_connection(sent, head)
        self._end_tries()
        self.pending.avoided.add(sent.slot.target.id)
        self._deps.scheduler.mark_failed(
            self.pending, sent.slot, self._elapsed_s(sent)
        )

    def time_out(self, sent: SentRequest) -> None:
        """End the attempt because the deadline passed."""
        sent.conn.abort()
        self._log_unfinished(sent, 'timed_out')
        self._end_tries()
        self._deps.scheduler.mark_failed(
            self.pending, sent.slot, self._elapsed_s(sent)
        )

    def abandon(self, sent: SentRequest) -> None:
        """End the attempt for a reason that is not the upstream's fault."""
        sent.conn.abort()
        self._end_tries()
        self._deps.scheduler.release(self.pending, sent.slot)

    def take_refusal(self, sent: SentRequest, head: AnswerHead) -> NotExecuted:
        """End the attempt because the upstream did not run the request."""
        self.runs -= 1
        target = sent.slot.target
        self._drain_refusal(sent, head)
        self._deps.crash_watch.end_unrun_tries(self.ctx)
        if head.status == MISDIRECTED:
            # Another instance runs at this address, or other weights are
            # loaded, than the upstream list or the agent last reported.
            target.versions = {}
            target.record_failure(self._deps.now())
        self._deps.scheduler.mark_failed(
            self.pending, sent.slot, self._elapsed_s(sent)
        )
        if self.pending.resuming and head.status != MISDIRECTED:
            self._rejections += 1
            self.pending.rejected[target.id] = self._deps.now()
        else:
            self.pending.avoided.add(target.id)
        return NotExecuted(f'refused with status {head.status}', True)

    def _drain_refusal(self, sent: SentRequest, head: AnswerHead) -> None:
        # The head of the answer is sufficient. A fault in its body only costs
        # the connection.
        try:
            sent.conn.discard_body(POLL_INTERVAL_S)
            self._keep_connection(sent, head)
        except (AnswerFailed, NoDataYet) as exc:
            sent.conn.close()
            if isinstance(exc, AnswerFailed) and not exc.closed_by_upstream:
                sent.slot.target.record_failure(self._deps.now())

    def mark_broken(
        self, sent: SentRequest, exc: AnswerFailed
    ) -> OutcomeUnknown:
        """End the attempt with an incomplete answer."""
        target = sent.slot.target
        self.pending.avoided.add(target.id)
        if isinstance(exc, WeightsReplaced):
            self.abandon(sent)
            return OutcomeUnknown(str(exc))
        sent.conn.abort()
        if exc.closed_by_upstream:
            if sent.conn in self._answering:
                self._record_answering(sent.conn)
            self._deps.crash_watch.answer_lost(
                self.ctx,
                target,
                self._elapsed_s(sent),
                self._answering_s(sent),
            )
        else:
            is_silent = isinstance(exc, UpstreamSilent)
            self._log_unfinished(sent, 'silent' if is_silent else 'failed')
        self._deps.crash_watch.end_lost_tries(self.ctx)
        target.record_failure(self._deps.now())
        self._deps.scheduler.mark_failed(
            self.pending, sent.slot, self._elapsed_s(sent)
        )
        return OutcomeUnknown(str(exc))

    def _keep_connection(self, sent: SentRequest, head: AnswerHead) -> None:
        if head.idle_s is None or not self.holding.account.keeps_idle:
            sent.conn.close()
            return
        sent.slot.target.keep(sent.conn, head.idle_s, self._deps.now())

    def _end_tries(self) -> None:
        try_limits = self._deps.crash_watch.try_limits
        try_limits.end_claims(try_limits.take_claims(self.ctx))

    def _log_unfinished(self, sent: SentRequest, reason: str) -> None:
        self._deps.crash_watch.answer_unfinished(
            self.ctx,
            sent.slot.target,
            reason,
            self._elapsed_s(sent),
            self._answering_s(sent),
        )

    def _answering_s(self, sent: SentRequest) -> float:
        time = self._answering.get(sent.conn)
        return time.lasted_s if time else 0.0

    def _elapsed_s(self, sent: SentRequest) -> float:
        return self._deps.now() - sent.sent_at
