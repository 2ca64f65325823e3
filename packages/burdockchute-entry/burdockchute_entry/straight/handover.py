"""Starts the remainder of a stream elsewhere before its run is abandoned.

A `StreamRun` is the execution of a stream at one upstream. A `Handover`
requests the remainder from other upstreams in a greenlet of its own, while
events of the current run are still forwarded. Once the new run has delivered
an event, its owner reads on there, and abandons the current run when an event
arrives that the caller lacks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent

from burdockchute.decisions import health
from burdockchute.decisions import wait_limits
from burdockchute.model.exchanges import AnswerHead
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.events import Event
from burdockchute.upstreams.events import EventSplitter
from burdockchute.upstreams.events import InvalidEvent
from burdockchute_entry.straight.attempts import NotExecuted
from burdockchute_entry.straight.attempts import OnInterrupted
from burdockchute_entry.straight.attempts import OutcomeUnknown
from burdockchute_entry.straight.attempts import SentRequest
from burdockchute_entry.straight.attempts import UpstreamSilent
from burdockchute_entry.straight.attempts import WeightsReplaced
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import Slot

OK = 200


class EventBatch(NamedTuple):
    """Events that arrived together, and whether the stream is complete."""

    events: list[Event]
    complete: bool


class StreamRun:
    """The execution of a stream at one upstream."""

    def __init__(
        self, sender: Sender, sent: SentRequest, head: AnswerHead
    ) -> None:
        self.sent = sent
        self.head = head
        self._sender = sender
        self._splitter = EventSplitter()
        self._has_events = False
        # When the event began to arrive that is not complete.
        self._partial_since = 0.0

    @property
    def upstream(self) -> str:
        """The id of the upstream."""
        return self.sent.slot.target.id

    def next_batch(
        self, should_stop: Callable[[], bool] | None = None
    ) -> EventBatch | None:
        """Wait for more events; None if the deadline passes first.

        Raises AnswerFailed, and NoDataYet once `should_stop` returns true
        while nothing has arrived.
        """
        while True:
            data = self._sender.read_part(self.sent, should_stop)
            if data is None:
                return None
            if not data:
                self._sender.check_stream_complete(
                    self.sent, self._splitter.partial_event, self._has_events
                )
                return EventBatch([], True)
            events = self._read_events(data)
            if events:
                self._has_events = True
                self._sender.mark_started(self.sent)
                return EventBatch(events, False)
            if self._sender.has_exceeded_deadline(self.sent):
                return None

    def _read_events(self, data: bytes) -> list[Event]:
        now = self.sent.slot.target.last_received_at
        had_partial_event = bool(self._splitter.partial_event)
        try:
            events = self._splitter.feed(data)
        except InvalidEvent as exc:
            raise AnswerFailed(str(exc), False) from exc
        if events or not had_partial_event:
            self._partial_since = now
        elif now - self._partial_since > health.SILENT_S:
            raise AnswerFailed('an event does not end', False)
        return events


class Continuation(NamedTuple):
    """The run that continues a stream, and its first events."""

    run: StreamRun
    first_batch: EventBatch


class NoContinuation(NamedTuple):
    """No upstream continues the stream at the moment."""

    reason: str


class Handover:
    """Starts the remainder of a stream at another upstream.

    `slot` is the only one to try; without it, the handover waits for a slot
    and, if that attempt fails, for another one. `on_interrupted` gets the
    upstream, cause and reason of each failed attempt.
    """

    def __init__(
        self,
        sender: Sender,
        head: AnswerHead,
        slot: Slot | None,
        on_interrupted: OnInterrupted,
    ) -> None:
        self.is_move = slot is not None
        self._sender = sender
        self._head = head
        self._on_interrupted = on_interrupted
        self._cancelled = False
        self._slot = slot
        self._greenlet = gevent.spawn(self._find_continuation)

    @property
    def ready(self) -> bool:
        """Whether the remainder has started, or no upstream continues it."""
        return self._greenlet.ready()

    def wait(self) -> Continuation | NoContinuation:
        """Wait until it is ready, by the request's deadline at the latest."""
        self._greenlet.join()
        if not self._greenlet.successful():
            # The event loop has logged the exception.
            return NoContinuation(
                f'internal error: {self._greenlet.exception!r}'
            )
        return self._greenlet.value

    def cancel(self) -> None:
        """Cancel it and abandon the run that it may have started."""
        self._cancelled = True
        slot, self._slot = self._slot, None
        if slot is not None:
            # If the greenlet is killed before it runs, nothing else frees
            # the slot.
            self._sender.release(slot)
        if not self._greenlet.ready():
            self._greenlet.kill(block=False)
        elif isinstance(continuation := self._greenlet.value, Continuation):
            self._sender.abandon(continuation.run.sent)

    def _find_continuation(self) -> Continuation | NoContinuation:
        slot, self._slot = self._slot, None
        result = self._try_slot(slot) if slot else self._try_slots()
        if self._cancelled and isinstance(result, Continuation):
            self._sender.abandon(result.run.sent)
        if isinstance(result, Continuation | NoContinuation):
            return result
        return NoContinuation(result.reason)

    def _try_slots(self) -> Continuation | NoContinuation:
        while True:
            slot = self._sender.next_slot()
            if not isinstance(slot, Slot):
                return NoContinuation(slot.reason)
            result = self._try_slot(slot)
            if isinstance(result, Continuation):
                return result
            if not self._sender.may_retry(
                result, wait_limits.MAX_RETRY_WAIT_S
            ):
                return NoContinuation(result.reason)

    def _try_slot(
        self, slot: Slot
    ) -> Continuation | NotExecuted | OutcomeUnknown:
        target = slot.target.id
        sent = self._sender.dispatch(slot)
        if isinstance(sent, NotExecuted):
            self._on_interrupted(target, 'refused', sent.reason)
            return sent
        try:
            self._sender.send(sent)
            head = self._sender.read_head(sent)
            if head is not None and head.not_run:
                refused = self._sender.take_refusal(sent, head)
                self._on_interrupted(target, 'refused', refused.reason)
                return refused
            run = StreamRun(self._sender, sent, self._validated(head))
            batch = run.next_batch()
            if batch is None:
                raise AnswerFailed('no event in time', False)
            return Continuation(run, batch)
        except AnswerFailed as exc:
            self._on_interrupted(target, cause_of(exc), str(exc))
            return self._sender.mark_broken(sent, exc)
        except BaseException:
            self._sender.abandon(sent)
            raise

    def _validated(self, head: AnswerHead | None) -> AnswerHead:
        if head is None:
            raise AnswerFailed('no answer in time', False)
        if head.status != OK or not head.is_stream or not head.sealed:
            raise AnswerFailed(
                f'status {head.status} for the remainder', False
            )
        if None not in (head.version, self._head.version):
            if head.version != self._head.version:
                raise AnswerFailed(
                    f'the remainder is of version {head.version}', False
                )
        return head


def cause_of(exc: AnswerFailed) -> str:
    """Return the cause that is logged for a failed attempt at a stream."""
    if isinstance(exc, UpstreamSilent):
        return 'silent'
    if isinstance(exc, WeightsReplaced):
        return 'overtaken'
    return 'broken_off' if exc.closed_by_upstream else 'invalid'
