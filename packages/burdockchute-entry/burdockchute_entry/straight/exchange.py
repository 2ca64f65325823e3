"""The exchange of one request: attempts, retries and the final reply."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import retries
from burdockchute.decisions.homes import Home
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import InboundRequest
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Route
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute_entry.straight.attempts import Answered
from burdockchute_entry.straight.attempts import AttemptResult
from burdockchute_entry.straight.attempts import Failed
from burdockchute_entry.straight.attempts import NotExecuted
from burdockchute_entry.straight.attempts import OutcomeUnknown
from burdockchute_entry.straight.attempts import Overtaken
from burdockchute_entry.straight.attempts import SentRequest
from burdockchute_entry.straight.attempts import TimedOut
from burdockchute_entry.straight.attempts import UpstreamSilent
from burdockchute_entry.straight.attempts import UpstreamSlow
from burdockchute_entry.straight.handover import OK
from burdockchute_entry.straight.memory_account import Holding
from burdockchute_entry.straight.memory_account import Use
from burdockchute_entry.straight.replies import CompleteAnswer
from burdockchute_entry.straight.replies import Reply
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.scheduler import LEAVING
from burdockchute_entry.straight.sending import Dependencies
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.streams import Stream

GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502

Read = TypeVar('Read')


class _AnsweredByAnother(Exception):
    """Another upstream answered in place of a silent or slow one."""

    def __init__(self, attempt: Answered, is_hedge: bool) -> None:
        super().__init__('another upstream has answered')
        self.attempt = attempt
        self.is_hedge = is_hedge


class Exchange:
    """One caller's request; all methods run in the caller's greenlet.

    Another one may read the events of a stream if the caller reads slowly.
    """

    def __init__(
        self,
        deps: Dependencies,
        inbound: InboundRequest,
        ctx: RequestContext,
        route: Route,
        service: str,
        elapsed_s: float,
        home: Home,
        holding: Holding,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self.stream: Stream | None = None
        spec = RequestSpec(
            service,
            inbound.model,
            route.objective_s,
            elapsed_s,
            home=home,
            route=route.name,
        )
        self.sender = Sender(
            deps, inbound, ctx, route, spec, holding, has_caller_left
        )
        self._deps = deps
        # The attempts in flight, the newest last.
        self._in_flight: list[SentRequest] = []
        self._has_hedged = False

    @property
    def first_event_s(self) -> float | None:
        """The seconds from arrival to the first event; None before it."""
        if self.stream is None or not self.stream.first_event_at:
            return None
        return self.stream.first_event_at - self.sender.ctx.arrived

    def answer(self) -> Reply:
        """Return the reply; a stream continues in its events."""
        sender = self.sender
        while True:
            slot = sender.next_slot()
            if not isinstance(slot, Slot):
                return self._not_run_unless_sent(slot)
            attempt = self._try_slot(slot)
            if isinstance(attempt, Answered):
                return attempt.reply
            if isinstance(attempt, TimedOut):
                return Unknown('no answer in time', GATEWAY_TIMEOUT)
            if not sender.may_retry(attempt):
                return self._final_reply(attempt)
            if isinstance(attempt, Failed):
                size = len(attempt.answer.body)
                sender.holding.give_back(Use.ANSWERS, size)
            self._log_retry(slot, attempt)

    def reply_at_exit(self) -> Reply:
        """Return the reply to a request that an exit has interrupted."""
        return self._not_run_unless_sent(LEAVING)

    def _final_reply(
        self, attempt: NotExecuted | OutcomeUnknown | Failed
    ) -> Reply:
        if isinstance(attempt, Failed):
            return attempt.answer
        if isinstance(attempt, OutcomeUnknown):
            return Unknown(attempt.reason, BAD_GATEWAY)
        retry_s = max(
            admission.retry_after_s(self.sender.route.objective_s),
            self._deps.scheduler.rest_left_s(self.sender.pending.spec.service),
        )
        return self._not_run_unless_sent(NotRun(attempt.reason, 503, retry_s))

    def _not_run_unless_sent(self, outcome: NotRun) -> Reply:
        # An earlier upstream may have run it, whatever the last one answered.
        if self.sender.runs:
            return Unknown(outcome.reason, BAD_GATEWAY)
        return outcome

    def _try_slot(
        self, slot: Slot, first: SentRequest | None = None
    ) -> AttemptResult:
        # `first` is the request that this one is sent in addition to.
        sent = self.sender.dispatch(
            slot,
            may_hedge=not self._has_hedged,
            rival=first.conn if first else None,
        )
        if isinstance(sent, NotExecuted):
            return sent
        self._in_flight.append(sent)
        try:
            self.sender.send(sent)
            return self._read_answer(sent)
        except _AnsweredByAnother as exc:
            if exc.is_hedge:
                self.sender.abandon(sent)
            else:
                self.sender.mark_broken(sent, UpstreamSilent(str(exc), False))
            return exc.attempt
        except Overtaken as exc:
            self.sender.abandon(sent)
            return OutcomeUnknown(str(exc))
        except AnswerFailed as exc:
            return self.sender.mark_broken(sent, exc)
        except BaseException:
            # The caller disconnected, or an unexpected error occurred.
            self.sender.abandon(sent)
            raise
        finally:
            self._in_flight.remove(sent)

    def _read_answer(self, sent: SentRequest) -> AttemptResult:
        sender = self.sender
        head = self._read_unless_replaced(sent, lambda: sender.read_head(sent))
        if head is None:
            return self._time_out(sent)
        if head.not_run:
            return sender.take_refusal(sent, head)
        if head.status < 400 and not head.sealed:
            raise AnswerFailed(
                f'status {head.status} without a signature', False
            )
        if head.is_stream and head.status == OK:
            return self._start_stream(sent, head)
        body = sender.read_body(
            sent,
            lambda: self._read_unless_replaced(
                sent, lambda: sender.read_part(sent)
            ),
        )
        if body is None:
            return self._time_out(sent)
        answer = CompleteAnswer(head, body)
        if head.status >= 500:
            sender.fail(sent, head)
            return Failed(answer)
        sender.finish(sent, head)
        return Answered(answer)

    def _start_stream(
        self, sent: SentRequest, head: AnswerHead
    ) -> AttemptResult:
        stream = Stream(self._deps, self.sender, sent, head)
        batch = self._read_unless_replaced(sent, stream.read_first_batch)
        if batch is None:
            return self._time_out(sent)
        self.stream = stream
        return Answered(StreamAnswer(head, stream.events(batch)))

    # Silent upstreams.

    def _read_unless_replaced(
        self, sent: SentRequest, read: Callable[[], Read]
    ) -> Read:
        """Read from an upstream until another one has answered.

        A silent upstream may be down or only slow. It keeps the request
        while another one is tried, since that one may reject it.
        """
        while True:
            try:
                return read()
            except UpstreamSilent:
                self._try_another_upstream(sent)
            except UpstreamSlow:
                self._hedge(sent)

    def _try_another_upstream(self, sent: SentRequest) -> None:
        """Send the request to other upstreams; returns if none answers.

        Raises _AnsweredByAnother if one does, and UpstreamSilent if an
        upstream that was tried earlier has started to answer.
        """
        sender, target = self.sender, sent.slot.target
        earlier = self._in_flight[: self._in_flight.index(sent)]
        if any(not other.conn.is_quiet() for other in earlier):
            raise UpstreamSilent(
                'an earlier upstream has started to answer', False
            )
        if not sender.pending.avoids(target):
            sender.mark_silent(sent)
        while self._may_try_another():
            slot = sender.next_slot()
            if not isinstance(slot, Slot):
                break
            silent = OutcomeUnknown('the upstream is silent')
            if not sender.may_retry(silent):
                self._deps.scheduler.release(sender.pending, slot)
                break
            self._log_retry(sent.slot, silent)
            attempt = self._try_slot(slot)
            if isinstance(attempt, Answered):
                raise _AnsweredByAnother(attempt, is_hedge=False)
            if not sent.conn.is_quiet():
                break
        sender.upstream = target.id

    def _hedge(self, sent: SentRequest) -> None:
        """Send the request to a second upstream as well.

        Returns if there is none, or if it does not answer first. Raises
        _AnsweredByAnother if it does.
        """
        sender, target = self.sender, sent.slot.target
        if self._has_hedged or not self._may_try_another():
            return
        slot = sender.hedge_slot(sent)
        if slot is None:
            return
        self._has_hedged = True
        self._deps.scheduler.hedged_count += 1
        now = self._deps.now()
        logs.event(
            'request_hedged',
            request_id=sender.inbound.id,
            upstream=target.id,
            second=slot.target.id,
            waited_ms=int((now - sent.sent_at) * 1000),
            slowness=round(target.slowness(now), 2),
            runs=sender.runs,
        )
        attempt = self._try_slot(slot, sent)
        if isinstance(attempt, Answered):
            raise _AnsweredByAnother(attempt, is_hedge=True)
        sender.pending.avoided.discard(target.id)
        sender.upstream = target.id

    def _may_try_another(self) -> bool:
        sender = self.sender
        return (
            sender.runs < sender.route.max_attempts
            and sender.sends < retries.MAX_PLACEMENTS
        )

    def _time_out(self, sent: SentRequest) -> TimedOut:
        self.sender.time_out(sent)
        return TimedOut()

    def _log_retry(
        self, slot: Slot, attempt: NotExecuted | OutcomeUnknown | Failed
    ) -> None:
        sender = self.sender
        service = sender.pending.spec.service
        left = self._deps.scheduler.retry_budgets.balance(
            service, self._deps.now()
        )
        logs.event(
            'request_retried',
            request_id=sender.inbound.id,
            service=service,
            upstream=slot.target.id,
            reason=attempt.reason,
            runs=sender.runs,
            sends=sender.sends,
            retries_left=round(left, 1),
        )
