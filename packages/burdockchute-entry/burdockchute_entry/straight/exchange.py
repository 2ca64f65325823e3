"""One request from its place to its answer, and what is tried on the way."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import retries
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import Asked
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Route
from burdockchute.upstreams.connections import Broken
from burdockchute_entry.straight.attempts import Answered
from burdockchute_entry.straight.attempts import Attempt
from burdockchute_entry.straight.attempts import Elsewhere
from burdockchute_entry.straight.attempts import Failed
from burdockchute_entry.straight.attempts import Lost
from burdockchute_entry.straight.attempts import Sent
from burdockchute_entry.straight.attempts import Silent
from burdockchute_entry.straight.attempts import TimeUp
from burdockchute_entry.straight.handover import OK
from burdockchute_entry.straight.replies import Reply
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.replies import WholeAnswer
from burdockchute_entry.straight.sending import Dependencies
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import RequestSpec
from burdockchute_entry.straight.service_queues import Slot
from burdockchute_entry.straight.streams import Stream

GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502

# A request that has crashed its upstreams may come back after this long, to
# hear the same until its time of refusal is over.
SUSPECT_RETRY_S = 1.0

Read = TypeVar('Read')


class _Replaced(Exception):
    """Another upstream has answered in place of one that was silent."""

    def __init__(self, attempt: Answered) -> None:
        super().__init__('another upstream has answered')
        self.attempt = attempt


class Exchange:
    """One caller's request; its methods run in the caller's greenlet."""

    def __init__(
        self,
        tools: Dependencies,
        asked: Asked,
        ctx: RequestContext,
        route: Route,
        service: str,
        elapsed_s: float,
    ) -> None:
        self.stream: Stream | None = None
        spec = RequestSpec(service, asked.model, route.objective_s, elapsed_s)
        self.sender = Sender(tools, asked, ctx, route, spec)
        self._tools = tools
        # Upstreams that have the request in hand, the newest last.
        self._open: list[Sent] = []

    @property
    def first_event_s(self) -> float | None:
        """The time from arrival to the first event, None before that."""
        if self.stream is None or not self.stream.began_at:
            return None
        return self.stream.began_at - self.sender.ctx.arrived

    def answer(self) -> Reply:
        """Give the reply for the caller; streams go on in its events."""
        sender = self.sender
        refused_s = self._tools.suspects.refused_for_s(
            sender.ctx.fingerprint, self._tools.now()
        )
        if refused_s:
            reason = 'it crashed the upstreams that ran it'
            return NotRun(reason, 503, SUSPECT_RETRY_S)
        while True:
            slot = sender.next_place()
            if not isinstance(slot, Slot):
                return self._truthful(slot)
            attempt = self._attempt(slot)
            if isinstance(attempt, Answered):
                return attempt.reply
            if isinstance(attempt, TimeUp):
                return Unknown('no answer in time', GATEWAY_TIMEOUT)
            if not sender.may_go_on(attempt):
                return self._conclude(attempt)
            self._log_retry(slot, attempt)

    def _conclude(self, attempt: Elsewhere | Lost | Failed) -> Reply:
        if isinstance(attempt, Failed):
            return attempt.answer
        if isinstance(attempt, Lost):
            return Unknown(attempt.reason, BAD_GATEWAY)
        retry_s = admission.retry_after_s(self.sender.route.objective_s)
        return self._truthful(NotRun(attempt.reason, 503, retry_s))

    def _truthful(self, outcome: NotRun) -> Reply:
        # Whatever the last upstream says: an earlier one may have run it.
        if self.sender.runs:
            return Unknown(outcome.reason, BAD_GATEWAY)
        return outcome

    def _attempt(self, slot: Slot) -> Attempt:
        sent = self.sender.dispatch(slot)
        if isinstance(sent, Elsewhere):
            return sent
        self._open.append(sent)
        try:
            self.sender.send(sent)
            return self._read(sent)
        except _Replaced as exc:
            self.sender.broke(sent, Silent(str(exc), False))
            return exc.attempt
        except Broken as exc:
            return self.sender.broke(sent, exc)
        except BaseException:
            # The caller has gone, or an error that nobody foresaw.
            self.sender.abandon(sent)
            raise
        finally:
            self._open.remove(sent)

    def _read(self, sent: Sent) -> Attempt:
        sender = self.sender
        head = self._unless_replaced(sent, lambda: sender.head(sent))
        if head is None:
            return self._time_up(sent)
        if head.not_run:
            return sender.refused(sent, head)
        if head.status < 400 and not head.sealed:
            raise Broken(f'status {head.status} without a signature', False)
        if head.is_stream and head.status == OK:
            return self._begin_stream(sent, head)
        body = sender.body(
            sent,
            lambda: self._unless_replaced(sent, lambda: sender.part(sent)),
        )
        if body is None:
            return self._time_up(sent)
        answer = WholeAnswer(head, body)
        if head.status >= 500:
            sender.fail(sent, head)
            return Failed(answer)
        sender.settle(sent, head)
        return Answered(answer)

    def _begin_stream(self, sent: Sent, head: AnswerHead) -> Attempt:
        stream = Stream(self._tools, self.sender, sent, head)
        begun = self._unless_replaced(sent, stream.begin)
        if begun is None:
            return self._time_up(sent)
        self.stream = stream
        return Answered(StreamAnswer(head, stream.events(begun)))

    # Silent upstreams.

    def _unless_replaced(self, sent: Sent, read: Callable[[], Read]) -> Read:
        """Read on from an upstream until another one has answered.

        One that is silent may be dark or only slow. It keeps the request
        while another is asked, since that one may reject it.
        """
        while True:
            try:
                return read()
            except Silent:
                self._ask_another(sent)

    def _ask_another(self, sent: Sent) -> None:
        """Ask other upstreams for the answer; returns if none gives it.

        Raises _Replaced if one does, and Silent if an upstream that was
        asked before has begun to answer.
        """
        sender, target = self.sender, sent.slot.target
        earlier = self._open[: self._open.index(sent)]
        if any(not other.conn.is_quiet() for other in earlier):
            raise Silent('an earlier upstream answers', False)
        if not sender.pending.avoids(target):
            sender.note_silent(sent)
        while self._may_ask_more():
            slot = sender.next_place()
            if not isinstance(slot, Slot):
                break
            silent = Lost('the upstream is silent')
            if not sender.may_go_on(silent):
                self._tools.scheduler.release(sender.pending, slot)
                break
            self._log_retry(sent.slot, silent)
            attempt = self._attempt(slot)
            if isinstance(attempt, Answered):
                raise _Replaced(attempt)
            if not sent.conn.is_quiet():
                break
        sender.upstream = target.id

    def _may_ask_more(self) -> bool:
        sender = self.sender
        return (
            sender.runs < sender.route.max_attempts
            and sender.sends < retries.MAX_PLACEMENTS
        )

    def _time_up(self, sent: Sent) -> TimeUp:
        self.sender.give_up(sent)
        return TimeUp()

    def _log_retry(
        self, slot: Slot, attempt: Elsewhere | Lost | Failed
    ) -> None:
        sender = self.sender
        service = sender.pending.spec.service
        left = self._tools.scheduler.retry_budgets.balance(
            service, self._tools.now()
        )
        logs.event(
            'request_retried',
            request_id=sender.asked.id,
            upstream=slot.target.id,
            reason=attempt.reason,
            runs=sender.runs,
            sends=sender.sends,
            retries_left=round(left, 1),
        )
