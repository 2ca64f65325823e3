"""Hands one request on to upstreams and reads what they answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

import gevent

from burdockchute import logs
from burdockchute.adapters import Adapter
from burdockchute.decisions import admission
from burdockchute.decisions import health
from burdockchute.decisions import retries
from burdockchute.decisions import versions
from burdockchute.decisions.placement import Work
from burdockchute.decisions.suspects import Suspects
from burdockchute.model.crashes import CrashSeen
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import Asked
from burdockchute.model.exchanges import Onward
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route
from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.connections import Connection
from burdockchute.upstreams.connections import HeaderList
from burdockchute.upstreams.connections import NotConnected
from burdockchute.upstreams.connections import Waiting
from burdockchute_entry.straight.attempts import Elsewhere
from burdockchute_entry.straight.attempts import Failed
from burdockchute_entry.straight.attempts import Lost
from burdockchute_entry.straight.attempts import Overtaken
from burdockchute_entry.straight.attempts import Sent
from burdockchute_entry.straight.attempts import Silent
from burdockchute_entry.straight.scheduler import Scheduler
from burdockchute_entry.straight.service_queues import PendingRequest
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot

# Longest body of a plain answer that is held until it is whole.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# An upstream answers by itself when the time that it was given is over; its
# own answer says more than ours, so it is waited for this much longer.
LAST_ANSWER_S = 0.1

# With less time left than this a request is not sent: no upstream could
# answer it, and it would only take a place.
LEAST_TIME_S = 0.02

MISDIRECTED = 421

Read = TypeVar('Read')


class Dependencies(NamedTuple):
    """What all exchanges of an entry share.

    `crash` tells other entries of a request that was in flight in a crash.
    """

    adapter: Adapter
    scheduler: Scheduler
    suspects: Suspects
    now: Callable[[], float]
    crash: Callable[[CrashSeen], None] = lambda seen: None


class Sender:
    """One request and its attempts; runs in the caller's greenlet.

    `runs` counts the upstreams that may have run it, `sends` how often it
    was to be sent. `last_event` is the id of the last event that its caller
    has. Every Sent is ended by exactly one of `settle`, `fail`, `give_up`,
    `broke` and `refused`, which free its place.
    """

    def __init__(
        self,
        tools: Dependencies,
        asked: Asked,
        ctx: RequestContext,
        route: Route,
        spec: RequestSpec,
    ) -> None:
        self.runs = 0
        self.sends = 0
        self.upstream = ''
        self.last_event = asked.resume_after
        self.asked = asked
        self.ctx = ctx
        self.route = route
        work = Work(admission.cost_of(ctx), False, ctx.prompt_tokens, ())
        self.pending = PendingRequest(ctx, work, spec)
        self._tools = tools
        self._begun: set[Connection] = set()
        # Of the rest of a stream that has begun.
        self._rejections = 0

    # Places.

    def next_place(self) -> Slot | NotRun:
        """Wait for a place."""
        now = self._tools.now()
        if self.ctx.deadline - now < LEAST_TIME_S:
            return NotRun('its time is over', 503, 0.0)
        slot = self._tools.scheduler.wait_for_slot(
            self.pending, self.ctx.deadline
        )
        if isinstance(slot, Slot):
            load = slot.target.load
            logs.event(
                'request_placed',
                request_id=self.asked.id,
                upstream=slot.target.id,
                version=slot.version,
                waited_ms=int((self._tools.now() - now) * 1000),
                ours=load.ours,
                others=load.others,
                report_age_ms=int((now - load.reported_at) * 1000),
            )
        return slot

    def may_go_on(
        self, attempt: Elsewhere | Lost | Failed, wait_s: float = 0.0
    ) -> bool:
        """Tell whether another attempt may follow; takes it of the budget.

        Waits for the next retry if that comes within `wait_s`.
        """
        if self.sends >= retries.MAX_PLACEMENTS:
            return False
        if self._rejections >= retries.MAX_REJECTIONS:
            return False
        if isinstance(attempt, Elsewhere):
            return not attempt.arrived or self._take_retry(wait_s)
        if isinstance(attempt, Failed) and self.route.kind is Kind.STREAM:
            return False
        again = self.route.may_repeat and self.runs < self.route.max_attempts
        return again and self._take_retry(wait_s)

    def _take_retry(self, wait_s: float) -> bool:
        budgets, service = (
            self._tools.scheduler.retry_budgets,
            self.pending.spec.service,
        )
        until = self._tools.now() + wait_s
        while True:
            now = self._tools.now()
            if budgets.take(service, now, self.pending.resuming):
                return True
            next_s = budgets.next_retry_in_s(
                service, now, self.pending.resuming
            )
            if now + next_s > until:
                return False
            gevent.sleep(next_s)

    # Dispatch.

    def dispatch(self, slot: Slot) -> Sent | Elsewhere:
        """Connect to the upstream of a place and send the request there.

        Raises Broken if it could not be sent whole; the place is free then.
        """
        target = slot.target
        self.upstream = target.id
        self.sends += 1
        careful = not self.route.may_repeat
        try:
            conn = target.connection(self._tools.now(), careful)
        except NotConnected as exc:
            target.record_failure(self._tools.now())
            self.pending.avoided.add(target.id)
            self._tools.scheduler.release(self.pending, slot)
            return Elsewhere(f'no connection: {exc}', False)
        except BaseException:
            self._tools.scheduler.release(self.pending, slot)
            raise
        begin_by = None
        if slot.version is not None:
            begin_by = self._tools.scheduler.ends_at(
                self.pending.spec.model, slot.version
            )
        return Sent(slot, conn, self._tools.now(), begin_by)

    def send(self, sent: Sent) -> None:
        """Send the request; raises Broken."""
        onward = Onward(
            instance=sent.slot.target.id,
            customer=self.ctx.customer,
            time_left_s=max(LEAST_TIME_S, self.ctx.deadline - sent.at),
            version=sent.slot.version,
            resume_after=self.last_event,
            urgency=_urgency(self.ctx.priority),
        )
        data = self._tools.adapter.encode_request(self.asked, onward)
        if self.sends == 1:
            self._tools.scheduler.retry_budgets.record_first_attempt(
                self.pending.spec.service, sent.at
            )
        self.runs += 1
        sent.conn.send(data, self.asked.method, self._is_ours)

    def _is_ours(self, status: int, headers: HeaderList) -> bool:
        # An answer to an earlier request may come late on a kept connection.
        # A refusal may name no request; a success always does.
        wanted = self._tools.adapter.request_id_header.lower()
        for name, value in headers:
            if name.lower() == wanted:
                return value.strip() == self.asked.id
        return status >= 400

    # Reading. Each gives None when the time of the request is over, and
    # raises Broken.

    def head(self, sent: Sent) -> AnswerHead | None:
        """Wait for the head of the answer."""
        read = self._patiently(sent, sent.conn.head)
        return self._tools.adapter.decode_answer(*read) if read else None

    def part(
        self, sent: Sent, until: Callable[[], bool] | None = None
    ) -> bytes | None:
        """Wait for more of the body; gives nothing at its end.

        Raises Waiting as well, once `until` is so and nothing came.
        """
        return self._patiently(sent, sent.conn.body, until)

    def body(
        self, sent: Sent, read: Callable[[], bytes | None] | None = None
    ) -> bytes | None:
        """Wait for the whole body; `read` gives a part in place of `part`."""
        read = read or (lambda: self.part(sent))
        parts: list[bytes] = []
        size = 0
        while data := read():
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise Broken(f'an answer over {MAX_ANSWER_BYTES} bytes', False)
            parts.append(data)
        return None if data is None else b''.join(parts)

    def note_begun(self, sent: Sent) -> None:
        """Note that the answer has begun: the prompt was read there."""
        self._begun.add(sent.conn)
        self._tools.scheduler.mark_started(self.pending, sent.slot)

    def _patiently(
        self,
        sent: Sent,
        read: Callable[[], Read],
        until: Callable[[], bool] | None = None,
    ) -> Read | None:
        target = sent.slot.target
        while True:
            try:
                result = read()
            except Waiting:
                now = self._tools.now()
                if now > self.ctx.deadline + LAST_ANSWER_S:
                    return None
                self._check_begun(sent, now)
                if until is not None and until():
                    raise
                silent = health.is_silent(
                    target.last_received_at, sent.at, now
                )
                if silent and self.route.may_repeat:
                    raise Silent('the upstream is silent', False) from None
                continue
            target.last_received_at = self._tools.now()
            return result

    def release(self, slot: Slot) -> None:
        """Give back a place on which nothing was sent."""
        self._tools.scheduler.release(self.pending, slot)

    def note_silent(self, sent: Sent) -> None:
        """Note that an upstream has fallen silent; it keeps the request."""
        target = sent.slot.target
        self.pending.avoided.add(target.id)
        target.record_failure(self._tools.now())

    def _check_begun(self, sent: Sent, now: float) -> None:
        # What still waits in its engine would begin on weights that may
        # begin nothing any more; nobody would notice but the reader of a
        # page of last week's weights.
        if sent.conn in self._begun:
            return
        if versions.must_cancel(sent.begin_by, sent.at, now):
            raise Overtaken('its weights are replaced', False)

    # Ends.

    def settle(self, sent: Sent, head: AnswerHead) -> None:
        """End it with the whole answer."""
        self._keep(sent, head)
        self._tools.suspects.answered(self.ctx.fingerprint)
        self._tools.scheduler.mark_answered(
            self.pending, sent.slot, self._took(sent)
        )

    def fail(self, sent: Sent, head: AnswerHead) -> None:
        """End it with the upstream's word that it failed."""
        self._keep(sent, head)
        self.pending.avoided.add(sent.slot.target.id)
        self._tools.scheduler.mark_failed(
            self.pending, sent.slot, self._took(sent)
        )

    def give_up(self, sent: Sent) -> None:
        """End it as too late."""
        sent.conn.close()
        self._tools.scheduler.mark_failed(
            self.pending, sent.slot, self._took(sent)
        )

    def abandon(self, sent: Sent) -> None:
        """End it for a reason that is not the upstream's."""
        sent.conn.close()
        self._tools.scheduler.release(self.pending, sent.slot)

    def refused(self, sent: Sent, head: AnswerHead) -> Elsewhere:
        """End it with the upstream's word that it did not run it."""
        self.runs -= 1
        target = sent.slot.target
        self._finish_refusal(sent, head)
        if head.status == MISDIRECTED:
            # Another instance stands there, or other weights are loaded,
            # than the list or its agent last said.
            target.versions = {}
            target.record_failure(self._tools.now())
        self._tools.scheduler.mark_failed(
            self.pending, sent.slot, self._took(sent)
        )
        if self.pending.resuming and head.status != MISDIRECTED:
            self._rejections += 1
            self.pending.rejected[target.id] = self._tools.now()
        else:
            self.pending.avoided.add(target.id)
        return Elsewhere(f'refused with status {head.status}', True)

    def _finish_refusal(self, sent: Sent, head: AnswerHead) -> None:
        # Its head has said all; what is wrong with the rest only costs the
        # connection.
        try:
            whole = self.body(sent) is not None
        except Broken:
            whole = False
        if whole:
            self._keep(sent, head)
        else:
            sent.conn.close()

    def broke(self, sent: Sent, exc: Broken) -> Lost:
        """End it with an answer that did not come whole."""
        target = sent.slot.target
        self.pending.avoided.add(target.id)
        if isinstance(exc, Overtaken):
            self.abandon(sent)
            return Lost(str(exc))
        sent.conn.close()
        if exc.ended and not self.asked.resume_after:
            self._suspect(sent)
        target.record_failure(self._tools.now())
        self._tools.scheduler.mark_failed(
            self.pending, sent.slot, self._took(sent)
        )
        return Lost(str(exc))

    def _suspect(self, sent: Sent) -> None:
        target = sent.slot.target
        alone = target.load.ours == 1
        fingerprint = self.ctx.fingerprint
        convicted = self._tools.suspects.crashed(
            fingerprint, target.id, alone, self._tools.now()
        )
        self._tools.crash(CrashSeen(fingerprint, target.id, alone, convicted))
        logs.warn(
            'upstream_broke_off',
            request_id=self.asked.id,
            upstream=target.id,
            fingerprint=fingerprint,
            alone=alone,
            convicted=convicted,
        )

    def _keep(self, sent: Sent, head: AnswerHead) -> None:
        if head.idle_s is None:
            sent.conn.close()
            return
        sent.slot.target.keep(sent.conn, head.idle_s, self._tools.now())

    def _took(self, sent: Sent) -> float:
        return self._tools.now() - sent.at


def _urgency(priority: int) -> int:
    # Priorities of contexts rise with urgency, those of operators fall.
    return min(9, max(0, -priority))
