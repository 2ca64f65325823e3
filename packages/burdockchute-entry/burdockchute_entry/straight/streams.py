"""Forwards a stream and resumes it at another upstream if necessary.

A stream is resumed at another upstream if its own one breaks the connection or
falls silent, if the engine waits for the stream to end before it loads other
weights, or if its availability zone is evacuated. It is resumed after the last
event that the caller has received, on the same version of the weights. An
incomplete stream never looks complete to the caller. A run that may still
produce events is kept until another one has sent an event that the caller
lacks. The first events of a remainder are often old ones, as the previous run
has gone on meanwhile, and an upstream may end before it gets past them.
"""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Iterator
import logging
from typing import NamedTuple

from burdockchute import logs
from burdockchute.decisions import evacuation
from burdockchute.decisions import stream_moves
from burdockchute.decisions import wait_limits
from burdockchute.model.exchanges import AnswerHead
from burdockchute.upstreams.connections import AnswerFailed
from burdockchute.upstreams.connections import NoDataYet
from burdockchute.upstreams.connections import POLL_INTERVAL_S
from burdockchute.upstreams.events import Event
from burdockchute_entry.straight.attempts import EmptyRemainder
from burdockchute_entry.straight.attempts import OutcomeUnknown
from burdockchute_entry.straight.attempts import SentRequest
from burdockchute_entry.straight.attempts import UpstreamSilent
from burdockchute_entry.straight.handover import cause_of
from burdockchute_entry.straight.handover import Continuation
from burdockchute_entry.straight.handover import EventBatch
from burdockchute_entry.straight.handover import Handover
from burdockchute_entry.straight.handover import NoContinuation
from burdockchute_entry.straight.handover import StreamRun
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.retry_budgets import MAX_LEASE_WAIT_S
from burdockchute_entry.straight.sending import Dependencies
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import Slot

# Interval between checks whether the remainder has started elsewhere.
HANDOVER_POLL_S = 0.05

# The remainder of a stream repeats a few events; an upstream that ignores
# where it is resumed repeats all that the caller has.
MAX_REPEATED_BYTES = 256 * 1024

# Interval between handover attempts while the upstream stays silent.
HANDOVER_RETRY_S = 0.5


class MoveCause(NamedTuple):
    """Why a stream moves; `cause` and `reason` are logged."""

    cause: str
    reason: str


CLOSING = MoveCause('closing', 'its engine waits to load weights')
EVACUATED = MoveCause('evacuated', 'its availability zone is evacuated')


class PreviousRun(NamedTuple):
    """A run that is kept while the one that replaces it has sent nothing new.

    `move_cause` is None if it was replaced because it fell silent.
    """

    run: StreamRun
    move_cause: MoveCause | None


class Stream:
    """One stream to a caller.

    `longest_gap_s` is the longest pause between two batches of new events.
    `interruptions` are the causes why attempts ended early, in order.
    """

    def __init__(
        self,
        deps: Dependencies,
        sender: Sender,
        sent: SentRequest,
        head: AnswerHead,
    ) -> None:
        self.event_count = 0
        self.longest_gap_s = 0.0
        self.first_event_at = 0.0
        self.head = head
        self.interruptions: list[str] = []
        self._deps = deps
        self._sender = sender
        self._run: StreamRun | None = StreamRun(sender, sent, head)
        self._previous: PreviousRun | None = None
        self._handover: Handover | None = None
        self._may_move = True
        # Why the handover under way moves the stream.
        self._move_cause = CLOSING
        # Whether a move may have run the request elsewhere, and whether an
        # upstream has ended while it ran the stream.
        self._move_ran = self._upstream_ended = False
        # When a handover was last tried since the last events of this run.
        self._handover_tried_at: float | None = None
        self._last_loss: OutcomeUnknown | None = None
        self._last_event_at = 0.0
        # Size of the events since the last new one.
        self._repeated_bytes = 0
        self._tokens_per_event = deps.scheduler.tokens_per_event(
            sender.pending.spec.service
        )

    def read_first_batch(self) -> EventBatch | None:
        """Wait for the first events; None if the deadline passes first.

        Raises AnswerFailed.
        """
        assert self._run is not None
        batch = self._run.next_batch()
        self.first_event_at = self._last_event_at = self._deps.now()
        return batch

    def events(self, batch: EventBatch) -> Generator[bytes, None, None]:
        """Yield the data of events as they arrive; raises StreamBroken.

        Another greenlet than the one that started it may go on with it.
        """
        try:
            yield from self._emit(self._unseen(batch.events))
            while not batch.complete:
                batch = self._next_batch()
                events = self._unseen(batch.events)
                if events:
                    self._record_gap()
                    self._repeated_bytes = 0
                elif not batch.complete:
                    self._count_repeated(batch.events)
                yield from self._emit(events)
            self._cancel_handover()
            assert self._run is not None
            head = self._run.head
            self._sender.finish(self._detach_run(), head)
        finally:
            self._cancel_handover()
            if self._run is not None:
                self._sender.abandon(self._detach_run())
            if self._previous is not None:
                self._sender.abandon(self._previous.run.sent)
                self._previous = None

    def _detach_run(self) -> SentRequest:
        """Return the request of the current run, which the caller must end."""
        assert self._run is not None
        sent, self._run = self._run.sent, None
        return sent

    def _next_batch(self) -> EventBatch:
        """Wait for more events of the current run or of a handover."""
        while True:
            if self._run is None:
                return self._next_from_handover()
            self._move_if_better()
            if self._handover is not None and self._handover.ready:
                continuation = self._switch_over(self._handover)
                if isinstance(continuation, EventBatch):
                    return continuation
            try:
                batch = self._run.next_batch(self._is_handover_ready)
                if batch is not None:
                    self._confirm_switch(batch)
            except NoDataYet:
                continue
            except AnswerFailed as exc:
                self._on_run_failed(exc)
                continue
            if batch is None:
                raise StreamBroken('deadline exceeded')
            self._on_batch_received()
            return batch

    def _on_run_failed(self, exc: AnswerFailed) -> None:
        """Find another run; raises StreamBroken."""
        if self._previous is not None:
            self._return_to_previous(self._previous.run, exc)
        elif isinstance(exc, UpstreamSilent):
            self._start_parallel_handover(exc)
        else:
            self._replace_broken_run(exc)

    def _unseen(self, events: list[Event]) -> list[Event]:
        # The remainder may repeat events that were already forwarded.
        last = self._sender.last_event
        if not last.isdigit():
            return events
        return [
            event
            for event in events
            if not event.id.isdigit() or int(event.id) > int(last)
        ]

    def _count_repeated(self, events: list[Event]) -> None:
        """Fail a run that only repeats events; raises StreamBroken."""
        self._repeated_bytes += sum(len(event.data) for event in events)
        if self._run is None:
            return
        if self._sender.has_exceeded_deadline(self._run.sent):
            raise StreamBroken('deadline exceeded')
        if self._repeated_bytes > MAX_REPEATED_BYTES:
            self._repeated_bytes = 0
            reason = f'{MAX_REPEATED_BYTES} bytes of repeated events'
            self._on_run_failed(AnswerFailed(reason, False))

    def _emit(self, events: list[Event]) -> Iterator[bytes]:
        if not events:
            return
        yield b''.join(event.data for event in events)
        self.event_count += len(events)
        for event in events:
            if event.id:
                self._sender.last_event = event.id

    def _record_gap(self) -> None:
        now = self._deps.now()
        self.longest_gap_s = max(self.longest_gap_s, now - self._last_event_at)
        self._last_event_at = now

    # Handovers.

    @property
    def _may_resume(self) -> bool:
        resumable = self._sender.route.resumable
        return resumable and bool(self._sender.last_event)

    @property
    def _may_overlap(self) -> bool:
        # Duplicates of two runs are recognized by numeric event ids.
        return self._may_resume and self._sender.last_event.isdigit()

    def _start_parallel_handover(self, exc: UpstreamSilent) -> None:
        """Request the remainder elsewhere; the silent run may continue."""
        now = self._deps.now()
        if self._handover is not None or not self._may_overlap:
            return
        if (
            self._handover_tried_at is not None
            and now - self._handover_tried_at < HANDOVER_RETRY_S
        ):
            return
        self._handover_tried_at = now
        self._pin_version()
        assert self._run is not None
        self._sender.mark_silent(self._run.sent)
        if not self._deps.scheduler.is_servable(self._sender.pending):
            return
        if not self._sender.may_retry(OutcomeUnknown(str(exc))):
            return
        self._record_interruption(self._run.upstream, 'silent', str(exc))
        self._start_handover(None)

    def _replace_broken_run(self, exc: AnswerFailed) -> None:
        """Request the remainder of a run that has broken off.

        Raises StreamBroken.
        """
        sent = self._detach_run()
        upstream = sent.slot.target.id
        self._record_interruption(upstream, cause_of(exc), str(exc))
        self._last_loss = self._sender.mark_broken(sent, exc)
        if exc.closed_by_upstream:
            self._upstream_ended = True
            self._excuse_run(sent)
        if self._handover is None:
            self._start_handover_or_fail(self._last_loss)

    def _excuse_run(self, sent: SentRequest) -> None:
        """Leave one attempt more if the upstream of the last one has ended.

        The platform's limit of attempts does not count such upstreams. A
        request under which they end as they begin to answer may be the cause.
        """
        sender = self._sender
        is_last = 1 < sender.route.max_attempts <= sender.runs
        if not is_last or sender.uncounted_runs or not self._may_resume:
            return
        if sender.has_outlasted and self._deps.end_check.has_ended(
            sent.slot.target, sent.sent_at
        ):
            sender.uncounted_runs = 1

    def _start_handover_or_fail(self, loss: OutcomeUnknown) -> None:
        """Request the remainder of a lost run; raises StreamBroken."""
        self._pin_version()
        wait_s = wait_limits.MAX_RETRY_WAIT_S
        if self._move_ran and self._upstream_ended:
            # A move is the entry's choice and must not cost the caller an
            # attempt. An upstream that has ended does not count as one.
            self._sender.uncounted_runs = 1
        if not self._may_resume or not self._sender.may_retry(loss, wait_s):
            raise StreamBroken(loss.reason)
        self._start_handover(None)

    def _next_from_handover(self) -> EventBatch:
        """Wait for a handover when there is no current run.

        Raises StreamBroken.
        """
        while True:
            assert self._handover is not None and self._last_loss is not None
            handover = self._handover
            continuation = self._switch_over(handover)
            if isinstance(continuation, EventBatch):
                return continuation
            if not handover.is_move:
                raise StreamBroken(continuation.reason)
            # A move only tries one slot.
            self._start_handover_or_fail(self._last_loss)

    def _move_if_better(self) -> None:
        """Move the stream if it should not end where it runs.

        Its engine waits to load other weights, or its availability zone is
        evacuated.
        """
        if self._run is None or self._handover is not None:
            return
        if self._previous is not None:
            # A switch is not confirmed yet.
            return
        now = self._deps.now()
        sender, target = self._sender, self._run.sent.slot.target
        closed_s = target.closed_for_s(now)
        if closed_s is None and target.evacuated_at is None:
            return
        if not self._may_move or not self._may_overlap:
            return
        if sender.runs >= sender.route.max_attempts:
            return
        gap_s = sender.route.gap_s
        remainder_s = self._remainder_s(now)
        evacuation_left_s = self._deps.scheduler.evacuation_left_s(target)
        if evacuation_left_s is not None and evacuation.should_move(
            evacuation_left_s, remainder_s
        ):
            move_cause = EVACUATED
        elif stream_moves.should_move(
            closed_s, remainder_s, gap_s, sender.runs
        ):
            move_cause = CLOSING
        else:
            return
        self._pin_version()
        sender.pending.avoided.add(target.id)
        within_s = stream_moves.GAP_SHARE * gap_s
        slot = self._deps.scheduler.reserve_slot(
            sender.pending,
            within_s or wait_limits.RESUME_START_LIMIT_S,
            remainder_s,
        )
        if slot is None:
            return
        if not sender.take_retry(MAX_LEASE_WAIT_S, is_move=True):
            self._deps.scheduler.release(sender.pending, slot)
            return
        self._may_move = False
        self._move_cause = move_cause
        self._start_handover(slot)

    def _remainder_s(self, now: float) -> float:
        produced = self.event_count * self._tokens_per_event
        likely = max(1, self._sender.ctx.max_tokens)
        return stream_moves.remainder_s(
            now - self.first_event_at, produced / likely
        )

    def _pin_version(self) -> None:
        pending = self._sender.pending
        pending.spec = pending.spec._replace(exact_version=self.head.version)
        pending.resuming = True

    def _start_handover(self, slot: Slot | None) -> None:
        self._handover = Handover(
            self._sender, self.head, slot, self._record_interruption
        )
        if self._run is not None:
            self._run.sent.conn.set_poll_interval(HANDOVER_POLL_S)

    def _switch_over(self, handover: Handover) -> EventBatch | NoContinuation:
        """Switch to the run that the handover has started, if any."""
        continuation = handover.wait()
        self._handover = None
        if handover.is_move:
            self._move_ran = self._sender.runs > 1
        if isinstance(continuation, NoContinuation):
            self._keep_current_run()
            return continuation
        if self._run is not None and self._is_empty(continuation.first_batch):
            # The current run goes on and decides where the stream ends.
            return self._decline(continuation, 'the remainder is empty')
        target = continuation.run.sent.slot.target
        if self._run is not None and handover.is_move and target.is_leaving:
            # Its answer may be the first word of its leaving.
            reason = 'the upstream is leaving'
            self._record_interruption(target.id, 'leaving', reason)
            return self._decline(continuation, reason)
        self._handover_tried_at = None
        if self._run is None:
            self._log_switch('stream_resumed', continuation.run, '')
        else:
            self._previous = PreviousRun(
                self._run, self._move_cause if handover.is_move else None
            )
        self._run = continuation.run
        self._confirm_switch(continuation.first_batch)
        return continuation.first_batch

    def _decline(
        self, continuation: Continuation, reason: str
    ) -> NoContinuation:
        """Abandon a run started elsewhere and keep the current one."""
        self._sender.abandon(continuation.run.sent)
        self._keep_current_run()
        return NoContinuation(reason)

    def _confirm_switch(self, batch: EventBatch) -> None:
        """Abandon the previous run once the current one has new events.

        Raises EmptyRemainder if the current run ends without any.
        """
        if self._previous is None:
            return
        if not self._unseen(batch.events):
            if batch.complete:
                raise EmptyRemainder('the remainder is empty', False)
            return
        assert self._run is not None
        previous, self._previous = self._previous, None
        before = previous.run.upstream
        event = 'stream_resumed'
        if previous.move_cause is not None:
            event = 'stream_moved'
            self._record_interruption(before, *previous.move_cause)
        self._sender.abandon(previous.run.sent)
        self._log_switch(event, self._run, before)

    def _return_to_previous(
        self, previous: StreamRun, exc: AnswerFailed
    ) -> None:
        """Continue with the previous run, as the current one has failed."""
        sent = self._detach_run()
        self._record_interruption(sent.slot.target.id, cause_of(exc), str(exc))
        if isinstance(exc, EmptyRemainder):
            self._sender.abandon(sent)
        else:
            self._sender.mark_broken(sent, exc)
        self._run, self._previous = previous, None
        self._keep_current_run()
        self._log_switch('stream_returned', previous, sent.slot.target.id)

    def _is_empty(self, batch: EventBatch) -> bool:
        return batch.complete and not self._unseen(batch.events)

    def _is_handover_ready(self) -> bool:
        return self._handover is not None and self._handover.ready

    def _on_batch_received(self) -> None:
        """Cancel a handover that is not a move, as the run continues."""
        self._handover_tried_at = None
        if self._handover is not None and not self._handover.is_move:
            self._cancel_handover()

    def _cancel_handover(self) -> None:
        handover, self._handover = self._handover, None
        if handover is not None:
            handover.cancel()
            self._keep_current_run()

    def _keep_current_run(self) -> None:
        """Continue with the current run, if there is one."""
        if self._run is not None:
            self._sender.upstream = self._run.upstream
            self._run.sent.conn.set_poll_interval(POLL_INTERVAL_S)

    # Logging.

    def _record_interruption(
        self, upstream: str, cause: str, reason: str
    ) -> None:
        self.interruptions.append(cause)
        sender = self._sender
        now = self._deps.now()
        service = sender.pending.spec.service
        logs.event(
            'stream_interrupted',
            logging.INFO,
            request_id=sender.inbound.id,
            service=service,
            upstream=upstream,
            cause=cause,
            reason=reason,
            after=sender.last_event,
            version=self.head.version,
            quiet_ms=int((now - self._last_event_at) * 1000),
            left_ms=int((sender.ctx.deadline - now) * 1000),
            runs=sender.runs,
            sends=sender.sends,
            retries_left=round(
                self._deps.scheduler.retry_budgets.balance(service, now), 1
            ),
        )

    def _log_switch(self, event: str, run: StreamRun, before: str) -> None:
        logs.event(
            event,
            logging.INFO,
            request_id=self._sender.inbound.id,
            upstream=run.upstream,
            before=before,
            after=self._sender.last_event,
            version=self.head.version,
        )
