"""The router: owns each request from its arrival to its final outcome.

One greenlet owns all state and handles one message at a time, so that no
locks are needed. The rules are in `burdockchute.decisions`; the state of a
request and of its attempts is in `attempts`.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import random
from typing import Any

from gevent import queue

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import retries
from burdockchute.decisions.answer_ends import BrokenOff
from burdockchute.decisions.suspects import Suspects
from burdockchute.model import claims
from burdockchute.model import table as tables
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.crash_reports import CrashReport
from burdockchute.model.crash_reports import PeerCrashReport
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import CallerGone
from burdockchute.model.replies import RequestSummary
from burdockchute.model.replies import Submit
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry import admission_control
from burdockchute_entry import completion
from burdockchute_entry import fleet as fleets
from burdockchute_entry.attempts import Attempt
from burdockchute_entry.attempts import Request
from burdockchute_entry.dispatcher import Dispatcher
from burdockchute_entry.limits_task import DemandMeasured
from burdockchute_entry.limits_task import PERIOD_S
from burdockchute_entry.limits_task import SharesChanged

# The queues are checked this often even if no message arrives, since load
# reports age and waiting times end.
TICK_S = 0.25


# An attempt cut off by its deadline counts as a failure of its instance if it
# took more than this many times the usual time.
SLOW_FACTOR = 2.0


class Router:
    """Handles the messages in `inbox`; see docs/design/interfaces.md.

    `claim` gets the messages of `burdockchute.model.claims`, `crash` each
    CrashReport, `observe` each RequestSummary and `demand` the customers'
    demand once a period. `now` returns monotonic seconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        rng: random.Random,
        claim: Callable[[Any], None] | None = None,
        crash: Callable[[CrashReport], None] = lambda _event: None,
        observe: Callable[[RequestSummary], None] = lambda _event: None,
        demand: Callable[[DemandMeasured], None] = lambda _event: None,
        name: str = '',
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._now = now
        self._claim = claim
        self._crash = crash
        self._observe = observe
        self._demand = demand
        self._demand_due = now() + PERIOD_S
        self._table: Table = tables.EMPTY_TABLE
        self._requests: dict[str, Request] = {}
        self._dispatcher = Dispatcher(
            now,
            rng,
            self._requests,
            lambda request, refusal: self._finish(request, refusal),
            name,
        )
        self._deadlines: list[tuple[float, str]] = []
        self._admission = admission_control.AdmissionControl()
        self._suspects = Suspects()
        self._ticked_at = now()
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            CallerGone: self._caller_gone,
            TableChanged: self._table_changed,
            MembersChanged: self._members_changed,
            SharesChanged: self._shares_changed,
            PeerCrashReport: self._crash_reported,
            claims.ClaimDecided: self._claim_decided,
            links.Opened: self._link_opened,
            links.Received: self._received,
            links.Closed: self._link_closed,
        }

    def run(self) -> None:
        """Handle messages forever."""
        while True:
            try:
                event = self.inbox.get(timeout=self._next_deadline_in_s())
            except queue.Empty:
                self.tick()
                continue
            self.handle(event)

    def handle(self, event: Any) -> None:
        """Handle one message."""
        self._handlers[type(event)](event)
        if self._now() - self._ticked_at >= TICK_S:
            self.tick()

    def tick(self) -> None:
        """Expire deadlines, fill free slots and report the demand."""
        now = self._now()
        self._ticked_at = now
        while self._deadlines and self._deadlines[0][0] <= now:
            _deadline, request_id = heapq.heappop(self._deadlines)
            request = self._requests.get(request_id)
            if request is not None:
                self._expire(request)
        self._dispatcher.tick()
        if self._demand_due <= now:
            self._demand_due = now + PERIOD_S
            demands = self._admission.take_demands(PERIOD_S)
            if demands:
                self._demand(DemandMeasured(demands))

    def open_requests(self) -> int:
        """Return the number of requests without a final outcome."""
        return len(self._requests)

    def in_use(self, name: str) -> bool:
        """Whether a request of this entry runs on an instance."""
        instance = self._dispatcher.fleet.instances.get(name)
        return instance is not None and instance.load.ours > 0

    def instances(self) -> list[str]:
        """Return the names of the linked instances."""
        return sorted(self._dispatcher.fleet.instances)

    def _next_deadline_in_s(self) -> float:
        if not self._deadlines:
            return TICK_S
        return min(TICK_S, max(0.0, self._deadlines[0][0] - self._now()))

    # New requests.

    def _submit(self, event: Submit) -> None:
        ctx = event.ctx
        request = Request(ctx, event.replies)
        request.base = fleets.base_of(ctx, self._table)
        self._requests[ctx.request_id] = request
        heapq.heappush(self._deadlines, (ctx.deadline, ctx.request_id))
        refusal = self._refusal(request)
        if refusal is not None:
            self._finish(request, refusal)
        elif ctx.idempotent:
            self._dispatcher.enqueue(request)
        else:
            self._request_claim(request)

    def _refusal(self, request: Request) -> NotRun | None:
        now = self._now()
        fingerprint = request.ctx.fingerprint
        refused_s = self._suspects.refused_for_s(fingerprint, now)
        if refused_s:
            return NotRun('crashed the upstreams', 503, refused_s)
        pool = self._dispatcher.pool(request)
        loads = self._dispatcher.loads_of(pool)
        return self._admission.refusal(request, pool, loads, self._table, now)

    def _request_claim(self, request: Request) -> None:
        ctx = request.ctx
        if self._claim is None:
            self._finish(request, NotRun('claims are not available'))
            return
        request.claim_id = ctx.request_id
        self._claim(claims.ClaimRequested(ctx, request.claim_id, self.inbox))

    def _claim_decided(self, event: claims.ClaimDecided) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            # The request has ended meanwhile; its claim is being released.
            return
        if isinstance(event.verdict, claims.Won):
            self._dispatcher.enqueue(request)
            return
        request.claim_id = ''
        outcome = admission_control.outcome_of(event.verdict)
        if isinstance(outcome, Answered):
            outcome = completion.replay(request, outcome, self._now())
        self._finish(request, outcome)

    # Answers.

    def _received(self, event: links.Received) -> None:
        message = event.message
        if isinstance(message, messages.LoadReport):
            self._dispatcher.load_reported(event.link, message)
            return
        handler = self._ANSWER_HANDLERS.get(type(message))
        request = self._requests.get(getattr(message, 'request_id', ''))
        if handler is None or request is None:
            return
        # Late messages of an earlier attempt are ignored.
        if request.attempt and request.attempt.link is event.link:
            handler(self, request, message)

    def _on_part(self, request: Request, part: messages.AnswerPart) -> None:
        assert request.attempt is not None
        ready = request.attempt.accept(part)
        request.parts.extend(ready)
        if ready and request.ctx.stream:
            completion.send_parts(request, ready, self._now())

    def _on_end(self, request: Request, end: messages.AnswerEnd) -> None:
        attempt = request.attempt
        assert attempt is not None
        verdict = attempt.check_end(end)
        if isinstance(verdict, BrokenOff):
            self._attempt_lost(request, verdict)
            return
        now = self._now()
        self._dispatcher.release_instance(request)
        pool = self._dispatcher.pool(request)
        service_s = now - attempt.sent_at
        attempt.instance.load.on_answered(
            request.work, service_s, pool.unit_s, now
        )
        if end.running is not None:
            attempt.instance.load.update_in_flight(end.running, now)
        pool.record_unit_time(service_s / request.work.cost)
        request.attempt = None
        self._suspects.answered(request.ctx.fingerprint)
        if not request.ctx.stream:
            completion.send_parts(request, request.parts, now)
        outcome = Answered(
            end.status, end.content_type, b'', end.digest, end.adapter_digest
        )
        self._finish(request, outcome)
        self._dispatcher.fill_slots_for(request)

    def _on_not_run(self, request: Request, message: messages.NotRun) -> None:
        attempt = request.attempt
        assert attempt is not None
        attempt.instance.load.on_returned(request.work)
        self._dispatcher.release_instance(request)
        request.attempt = None
        request.attempts -= 1
        request.avoid(attempt.instance)
        if request.placements < retries.MAX_PLACEMENTS:
            self._dispatcher.requeue(request)
            return
        retry_s = (message.retry_after_ms or 0) / 1000
        reason = f'{message.reason} at {attempt.instance.name}'
        self._finish(
            request, NotRun(reason, 503, admission.retry_after_s(retry_s))
        )

    _ANSWER_HANDLERS: dict[type, Callable[[Router, Request, Any], None]] = {
        messages.AnswerPart: _on_part,
        messages.AnswerEnd: _on_end,
        messages.NotRun: _on_not_run,
    }

    def _attempt_lost(self, request: Request, broken: BrokenOff) -> None:
        """Retry or end a request whose attempt got no complete answer."""
        attempt = request.attempt
        assert attempt is not None
        self._count_failure(request, attempt)
        if broken.crashed:
            self._count_crash(request, attempt)
        self._dispatcher.release_instance(request)
        request.attempt = None
        refused = self._suspects.refused_for_s(
            request.ctx.fingerprint, self._now()
        )
        may_retry = not refused and request.may_run_again()
        if not may_retry or not self._dispatcher.may_retry(request):
            self._finish(request, Unknown(broken.reason, 502))
            return
        request.parts.clear()
        request.avoid(attempt.instance)
        request.is_suspect = broken.crashed
        self._dispatcher.requeue(request)

    def _count_failure(self, request: Request, attempt: Attempt) -> None:
        now = self._now()
        load = attempt.instance.load
        mean_unit_s = self._dispatcher.pool(request).unit_s
        service_s = now - attempt.sent_at
        load.on_failed(request.work, service_s, mean_unit_s, now)

    def _count_if_slow(self, request: Request, attempt: Attempt) -> None:
        # A request that was sent shortly before its deadline misses it
        # through no fault of the instance.
        mean_unit_s = self._dispatcher.pool(request).unit_s
        usual_s = mean_unit_s * request.work.cost
        if self._now() - attempt.sent_at > SLOW_FACTOR * usual_s:
            self._count_failure(request, attempt)
        else:
            attempt.instance.load.on_returned(request.work)

    def _count_crash(self, request: Request, attempt: Attempt) -> None:
        ctx = request.ctx
        name = attempt.instance.name
        alone = attempt.instance.load.reserved_for == ctx.request_id
        convicted = self._suspects.crashed(
            ctx.fingerprint, name, alone, self._now()
        )
        self._crash(CrashReport(ctx.fingerprint, name, alone, convicted))
        logs.warn(
            'upstream_crashed',
            instance=name,
            request_id=ctx.request_id,
            customer=ctx.customer,
            fingerprint=ctx.fingerprint,
            convicted=convicted,
        )

    # Deadlines and disconnected callers.

    def _expire(self, request: Request) -> None:
        if request.attempt is None:
            reason = 'deadline passed before its turn'
            self._finish(request, NotRun(reason, 503))
            return
        self._count_if_slow(request, request.attempt)
        self._cancel_attempt(request)
        self._finish(request, Unknown('deadline passed'))

    def _caller_gone(self, event: CallerGone) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            return
        if request.attempt is None:
            self._finish(request, NotRun('caller has gone', 503))
        elif request.claim_id:
            # Cancelling it half-way would leave its outcome unknown for
            # good; the caller may send it again with the same key.
            logs.event('caller_gone', request_id=event.request_id)
        else:
            request.attempt.instance.load.on_returned(request.work)
            self._cancel_attempt(request)
            self._finish(request, Unknown('caller has gone'))

    def _cancel_attempt(self, request: Request) -> None:
        attempt = request.attempt
        assert attempt is not None
        try:
            attempt.link.send(messages.Cancel(request.ctx.request_id))
        except links.LinkError:
            # The agent cancels the requests of a link that has closed.
            pass
        request.attempt = None
        self._dispatcher.fill_slots_for(request)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        del self._requests[request.ctx.request_id]
        self._dispatcher.remove(request)
        outcome = completion.reportable_outcome(request, outcome)
        completion.report_outcome(request, outcome, self._now(), self._observe)
        if request.claim_id and self._claim is not None:
            completion.settle_claim(request, outcome, self._claim)

    # Instances and the table.

    def _link_opened(self, event: links.Opened) -> None:
        self._dispatcher.fleet.link_opened(event.link, self._now())

    def _link_closed(self, event: links.Closed) -> None:
        self._dispatcher.fleet.link_closed(event.link)
        reason = f'link closed: {event.reason}'
        for request in list(self._requests.values()):
            if request.attempt and request.attempt.link is event.link:
                self._attempt_lost(request, BrokenOff(reason, False))

    def _table_changed(self, event: TableChanged) -> None:
        self._table = event.table
        self._dispatcher.table_changed(event.table)

    def _members_changed(self, event: MembersChanged) -> None:
        leaving = [m.name for m in event.members if m.leaving]
        self._dispatcher.fleet.members_changed(leaving)
        self._dispatcher.entries = sorted(
            m.name for m in event.members if m.role == 'entry'
        )

    def _shares_changed(self, event: SharesChanged) -> None:
        self._admission.shares = event.shares
        self._admission.entries = event.entries

    def _crash_reported(self, event: PeerCrashReport) -> None:
        self._suspects.peer_reported(event, self._now())
