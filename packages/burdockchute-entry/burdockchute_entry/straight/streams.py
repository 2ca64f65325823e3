"""Passes a stream on, and goes on with it elsewhere where that is needed.

A stream goes on at another upstream when its own breaks off or falls silent,
or when its engine waits for it to load other weights. It goes on after the
last event that the caller has, on the same weights, and never looks whole
when it is not. A run that may still bring events is kept until the rest has
begun elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterator
import logging

from burdockchute import logs
from burdockchute.decisions import stream_moves
from burdockchute.decisions import wait_limits
from burdockchute.model.exchanges import AnswerHead
from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.connections import LOOK_S
from burdockchute.upstreams.connections import Waiting
from burdockchute.upstreams.events import Event
from burdockchute_entry.straight.attempts import Lost
from burdockchute_entry.straight.attempts import Sent
from burdockchute_entry.straight.attempts import Silent
from burdockchute_entry.straight.handover import Begun
from burdockchute_entry.straight.handover import cause_of
from burdockchute_entry.straight.handover import Handover
from burdockchute_entry.straight.handover import NoRest
from burdockchute_entry.straight.handover import Run
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.sending import Dependencies
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import Slot

# How often to look whether the rest has begun elsewhere.
HANDOVER_POLL_S = 0.05

# How often to seek the rest of a stream whose upstream stays silent.
SEEK_S = 0.5


class Stream:
    """One stream; `longest_gap_s` is the longest pause between two reads.

    `interruptions` has why each attempt at it ended early, the first first.
    """

    def __init__(
        self, tools: Dependencies, sender: Sender, sent: Sent, head: AnswerHead
    ) -> None:
        self.count = 0
        self.longest_gap_s = 0.0
        self.began_at = 0.0
        self.head = head
        self.interruptions: list[str] = []
        self._tools = tools
        self._sender = sender
        self._run: Run | None = Run(sender, sent, head)
        self._handover: Handover | None = None
        self._may_move = True
        # When the rest was last sought since this run was heard.
        self._sought_at: float | None = None
        self._lost: Lost | None = None
        self._event_at = 0.0
        self._tokens_per_event = tools.scheduler.tokens_per_event(
            sender.pending.spec.service
        )

    def begin(self) -> Begun | None:
        """Wait for the first events; None when the time is over.

        Raises Broken.
        """
        assert self._run is not None
        begun = self._run.next()
        self.began_at = self._event_at = self._tools.now()
        return begun

    def events(self, begun: Begun) -> Iterator[bytes]:
        """Give the events as they come; raises StreamBroken."""
        try:
            yield from self._joined(self._new_only(begun.events))
            while not begun.whole:
                begun = self._next()
                events = self._new_only(begun.events)
                if events:
                    self._note_gap()
                yield from self._joined(events)
            self._cancel_handover()
            assert self._run is not None
            if self._run.torn:
                yield self._run.torn
            head = self._run.head
            self._sender.settle(self._ended(), head)
        finally:
            self._cancel_handover()
            if self._run is not None:
                self._sender.abandon(self._ended())

    def _ended(self) -> Sent:
        """Give what an upstream has in hand, for whoever ends it."""
        assert self._run is not None
        sent, self._run = self._run.sent, None
        return sent

    def _next(self) -> Begun:
        """Wait for more events of whichever run has them first."""
        while True:
            if self._run is None:
                return self._next_elsewhere()
            self._move_if_better()
            if self._handover is not None and self._handover.ready:
                rest = self._take_over(self._handover)
                if isinstance(rest, Begun):
                    return rest
            try:
                begun = self._run.next(self._is_rest_ready)
            except Waiting:
                continue
            except Silent as exc:
                self._seek_beside(exc)
                continue
            except Broken as exc:
                self._seek_instead(exc)
                continue
            if begun is None:
                raise StreamBroken('its time is over')
            self._note_heard()
            return begun

    def _new_only(self, events: list[Event]) -> list[Event]:
        # The rest may begin before the last event that was passed on.
        last = self._sender.last_event
        if not last.isdigit():
            return events
        return [
            event
            for event in events
            if not event.id.isdigit() or int(event.id) > int(last)
        ]

    def _joined(self, events: list[Event]) -> Iterator[bytes]:
        if not events:
            return
        yield b''.join(event.data for event in events)
        self.count += len(events)
        for event in events:
            if event.id:
                self._sender.last_event = event.id

    def _note_gap(self) -> None:
        now = self._tools.now()
        self.longest_gap_s = max(self.longest_gap_s, now - self._event_at)
        self._event_at = now

    # Elsewhere.

    @property
    def _may_resume(self) -> bool:
        resumable = self._sender.route.resumable
        return resumable and bool(self._sender.last_event)

    @property
    def _may_overlap(self) -> bool:
        # What two runs both bring is told by the numbers of the events.
        return self._may_resume and self._sender.last_event.isdigit()

    def _seek_beside(self, exc: Silent) -> None:
        """Ask others for the rest; the silent run may still go on."""
        now = self._tools.now()
        if self._handover is not None or not self._may_overlap:
            return
        if self._sought_at is not None and now - self._sought_at < SEEK_S:
            return
        self._sought_at = now
        self._pin()
        assert self._run is not None
        self._sender.note_silent(self._run.sent)
        if not self._tools.scheduler.may_host(self._sender.pending):
            return
        if not self._sender.may_go_on(Lost(str(exc))):
            return
        self._note_interruption(self._run.upstream, 'silent', str(exc))
        self._hand_over(None)

    def _seek_instead(self, exc: Broken) -> None:
        """Ask others for the rest of a run that has ended.

        Raises StreamBroken.
        """
        sent = self._ended()
        upstream = sent.slot.target.id
        self._note_interruption(upstream, cause_of(exc), str(exc))
        self._lost = self._sender.broke(sent, exc)
        if self._handover is None:
            self._seek_again(self._lost)

    def _seek_again(self, lost: Lost) -> None:
        """Ask others for the rest of a lost run; raises StreamBroken."""
        self._pin()
        wait_s = wait_limits.MAX_RETRY_WAIT_S
        if not self._may_resume or not self._sender.may_go_on(lost, wait_s):
            raise StreamBroken(lost.reason)
        self._hand_over(None)

    def _next_elsewhere(self) -> Begun:
        """Wait for the rest, which no run of ours brings any more.

        Raises StreamBroken.
        """
        while True:
            assert self._handover is not None and self._lost is not None
            handover = self._handover
            rest = self._take_over(handover)
            if isinstance(rest, Begun):
                return rest
            if not handover.is_move:
                raise StreamBroken(rest.reason)
            # A move has one place to try.
            self._seek_again(self._lost)

    def _move_if_better(self) -> None:
        """Ask another engine for the rest if its own waits to load."""
        if self._run is None or self._handover is not None:
            return
        now = self._tools.now()
        sender, target = self._sender, self._run.sent.slot.target
        closed_s = target.closed_for_s(now)
        if closed_s is None or not self._may_move or not self._may_overlap:
            return
        gap_s = sender.route.gap_s
        rest_s = self._rest_s(now)
        if sender.runs >= sender.route.max_attempts:
            return
        if not stream_moves.should_move(closed_s, rest_s, gap_s, sender.runs):
            return
        self._pin()
        sender.pending.avoided.add(target.id)
        slot = self._tools.scheduler.reserve_slot(
            sender.pending, stream_moves.GAP_SHARE * gap_s, rest_s
        )
        if slot is None:
            return
        service = sender.pending.spec.service
        if not self._tools.scheduler.retry_budgets.take(service, now):
            self._tools.scheduler.release(sender.pending, slot)
            return
        self._may_move = False
        self._hand_over(slot)

    def _rest_s(self, now: float) -> float:
        made = self.count * self._tokens_per_event
        likely = max(1, self._sender.ctx.max_tokens)
        return stream_moves.remainder_s(now - self.began_at, made / likely)

    def _pin(self) -> None:
        pending = self._sender.pending
        pending.spec = pending.spec._replace(exact=self.head.version)
        pending.resuming = True

    def _hand_over(self, slot: Slot | None) -> None:
        self._handover = Handover(
            self._sender, self.head, slot, self._note_interruption
        )
        if self._run is not None:
            self._run.sent.conn.look_each(HANDOVER_POLL_S)

    def _take_over(self, handover: Handover) -> Begun | NoRest:
        """Change over to the run that has begun, if there is one."""
        rest = handover.wait()
        self._handover = None
        if isinstance(rest, NoRest):
            self._stay()
            return rest
        if self._run is not None and self._is_empty(rest.begun):
            # The run that goes on knows better where the stream ends.
            self._sender.abandon(rest.run.sent)
            self._stay()
            return NoRest('the rest is empty')
        self._sought_at = None
        before = ''
        if self._run is not None:
            before = self._run.upstream
            if handover.is_move:
                why = 'its engine is to load'
                self._note_interruption(before, 'closing', why)
            self._sender.abandon(self._ended())
        event = 'stream_moved' if handover.is_move else 'stream_resumed'
        self._log(event, rest.run.sent.slot, before)
        self._run = rest.run
        return rest.begun

    def _is_empty(self, begun: Begun) -> bool:
        return begun.whole and not self._new_only(begun.events)

    def _is_rest_ready(self) -> bool:
        return self._handover is not None and self._handover.ready

    def _note_heard(self) -> None:
        """Note that the run goes on; only a move is still of use."""
        self._sought_at = None
        if self._handover is not None and not self._handover.is_move:
            self._cancel_handover()

    def _cancel_handover(self) -> None:
        handover, self._handover = self._handover, None
        if handover is not None:
            handover.cancel()
            self._stay()

    def _stay(self) -> None:
        """Go on with the present run, if there is one."""
        if self._run is not None:
            self._sender.upstream = self._run.upstream
            self._run.sent.conn.look_each(LOOK_S)

    # What is logged.

    def _note_interruption(
        self, upstream: str, cause: str, reason: str
    ) -> None:
        self.interruptions.append(cause)
        sender = self._sender
        now = self._tools.now()
        service = sender.pending.spec.service
        logs.event(
            'stream_interrupted',
            logging.INFO,
            request_id=sender.asked.id,
            upstream=upstream,
            cause=cause,
            reason=reason,
            after=sender.last_event,
            version=self.head.version,
            quiet_ms=int((now - self._event_at) * 1000),
            left_ms=int((sender.ctx.deadline - now) * 1000),
            runs=sender.runs,
            sends=sender.sends,
            retries_left=round(
                self._tools.scheduler.retry_budgets.balance(service, now), 1
            ),
        )

    def _log(self, event: str, slot: Slot, before: str) -> None:
        logs.event(
            event,
            logging.INFO,
            request_id=self._sender.asked.id,
            upstream=slot.target.id,
            before=before,
            after=self._sender.last_event,
            version=self.head.version,
        )
