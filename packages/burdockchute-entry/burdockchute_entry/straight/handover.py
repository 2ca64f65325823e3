"""Has the rest of a stream begun elsewhere before its run is given up.

A `StreamRun` is what one upstream makes of a stream. A `Handover` asks
others for the rest in a greenlet of its own, while events of the present run
are still passed on. Its owner changes over once the new run has brought an
event.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent

from burdockchute.decisions import wait_limits
from burdockchute.model.exchanges import AnswerHead
from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.events import Event
from burdockchute.upstreams.events import EventCutter
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
    """Events of a stream that came together, and whether they end it."""

    events: list[Event]
    complete: bool


class StreamRun:
    """One upstream's run of a stream."""

    def __init__(
        self, sender: Sender, sent: SentRequest, head: AnswerHead
    ) -> None:
        self.sent = sent
        self.head = head
        self._sender = sender
        self._cutter = EventCutter()

    @property
    def upstream(self) -> str:
        """The id of the upstream."""
        return self.sent.slot.target.id

    @property
    def partial_event(self) -> bytes:
        """What came after the last whole event."""
        return self._cutter.rest

    def next_batch(
        self, should_stop: Callable[[], bool] | None = None
    ) -> EventBatch | None:
        """Wait for more events; None when the time is over.

        Raises Broken, and Waiting once `should_stop` is so and nothing came.
        """
        while True:
            data = self._sender.read_part(self.sent, should_stop)
            if data is None:
                return None
            if not data:
                return EventBatch([], True)
            events = self._cutter.feed(data)
            if events:
                self._sender.mark_started(self.sent)
                return EventBatch(events, False)


class Continuation(NamedTuple):
    """The rest of a stream has begun; `batch` are its first events."""

    run: StreamRun
    first_batch: EventBatch


class NoContinuation(NamedTuple):
    """Nobody goes on with a stream, at the moment."""

    reason: str


class Handover:
    """Has the rest of a stream begun at another upstream.

    `slot` is where to ask first; None to wait for a place and, if that
    attempt comes to nothing, for another one. The attempts that come to
    nothing are told to `on_interrupted`, by upstream, cause and reason.
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
        """Whether the rest has begun, or nobody goes on with it."""
        return self._greenlet.ready()

    def wait(self) -> Continuation | NoContinuation:
        """Wait until it is ready, which it is by the request's deadline."""
        self._greenlet.join()
        if not self._greenlet.successful():
            # The event loop has logged it.
            return NoContinuation(
                f'internal error: {self._greenlet.exception!r}'
            )
        return self._greenlet.value

    def cancel(self) -> None:
        """End it; what it has begun is given up."""
        self._cancelled = True
        slot, self._slot = self._slot, None
        if slot is not None:
            # Killed before it has begun, its greenlet would keep the place.
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
                raise Broken('no event in time', False)
            return Continuation(run, batch)
        except Broken as exc:
            self._on_interrupted(target, cause_of(exc), str(exc))
            return self._sender.mark_broken(sent, exc)
        except BaseException:
            self._sender.abandon(sent)
            raise

    def _validated(self, head: AnswerHead | None) -> AnswerHead:
        if head is None:
            raise Broken('no answer in time', False)
        if head.status != OK or not head.is_stream or not head.sealed:
            raise Broken(f'status {head.status} for the rest', False)
        if None not in (head.version, self._head.version):
            if head.version != self._head.version:
                raise Broken(f'the rest is of version {head.version}', False)
        return head


def cause_of(exc: Broken) -> str:
    """Name why an attempt at a stream ended, for the log."""
    if isinstance(exc, UpstreamSilent):
        return 'silent'
    if isinstance(exc, WeightsReplaced):
        return 'overtaken'
    return 'broken_off' if exc.ended else 'invalid'
