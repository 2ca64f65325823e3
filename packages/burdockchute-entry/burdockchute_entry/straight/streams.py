"""Passes a stream on, and goes on with it elsewhere where that is needed.

A stream goes on at another upstream when its own breaks off, or when its
engine waits for it to load other weights. It goes on after the last event
that the caller has, on the same weights, and never looks whole when it is
not.
"""

from __future__ import annotations

from collections.abc import Iterator
import logging
from typing import NamedTuple

from burdockchute import logs
from burdockchute.decisions import moving
from burdockchute.model.exchanges import AnswerHead
from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.events import Event
from burdockchute.upstreams.events import EventCutter
from burdockchute_entry.straight.attempts import Elsewhere
from burdockchute_entry.straight.attempts import Lost
from burdockchute_entry.straight.attempts import Overtaken
from burdockchute_entry.straight.attempts import Sent
from burdockchute_entry.straight.attempts import Silent
from burdockchute_entry.straight.lanes import Place
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.sending import Tools

OK = 200


class Begun(NamedTuple):
    """The first events of a stream, and whether they are all."""

    events: list[Event]
    whole: bool


class Stream:
    """One stream; `longest_gap_s` is the longest pause between two reads.

    `interruptions` has why each attempt at it ended early, the first first.
    """

    def __init__(
        self, tools: Tools, sender: Sender, sent: Sent, head: AnswerHead
    ) -> None:
        self.count = 0
        self.longest_gap_s = 0.0
        self.began_at = 0.0
        self.head = head
        self.interruptions: list[str] = []
        self._tools = tools
        self._sender = sender
        self._sent: Sent | None = sent
        self._cutter = EventCutter()
        self._event_at = 0.0
        self._tokens_an_event = tools.placer.tokens_an_event(
            sender.placing.wish.service
        )

    def begin(self) -> Begun | None:
        """Wait for the first events; None when the time is over."""
        begun = self._next()
        self.began_at = self._event_at = self._tools.now()
        return begun

    def events(self, begun: Begun) -> Iterator[bytes]:
        """Give the events as they come; raises StreamBroken."""
        try:
            yield from self._joined(begun.events)
            while not begun.whole:
                self._move_if_better()
                try:
                    found = self._next()
                except Broken as exc:
                    self._resume(self._broke(exc))
                    continue
                if found is None:
                    raise StreamBroken('its time is over')
                begun = found
                self._note_gap()
                yield from self._joined(begun.events)
            if self._cutter.rest:
                yield self._cutter.rest
            self._sender.settle(self._ended(), self.head)
        finally:
            if self._sent is not None:
                self._sender.abandon(self._ended())

    def _ended(self) -> Sent:
        """Give what an upstream has in hand, for whoever ends it."""
        assert self._sent is not None
        sent, self._sent = self._sent, None
        return sent

    def _next(self) -> Begun | None:
        assert self._sent is not None
        while True:
            data = self._sender.part(self._sent)
            if data is None:
                return None
            if not data:
                return Begun([], True)
            events = self._new_only(self._cutter.feed(data))
            if events:
                self._sender.note_begun(self._sent)
                return Begun(events, False)

    def _new_only(self, events: list[Event]) -> list[Event]:
        # After a resumption an upstream might begin too early.
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

    def _resume(self, attempt: Elsewhere | Lost) -> None:
        """Go on at another upstream; raises StreamBroken."""
        self._pin()
        while True:
            if not self._may_resume or not self._sender.may_go_on(attempt):
                raise StreamBroken(attempt.reason)
            place = self._sender.next_place()
            if not isinstance(place, Place):
                raise StreamBroken(place.reason)
            failure = self._reopen(place)
            if failure is None:
                self._log('stream_resumed', place, reason=attempt.reason)
                return
            attempt = failure

    def _move_if_better(self) -> None:
        """Go on elsewhere if the engine waits for this stream to load.

        Raises StreamBroken.
        """
        assert self._sent is not None
        now = self._tools.now()
        sender, target = self._sender, self._sent.place.target
        closed_s = target.closed_for_s(now)
        if closed_s is None or not self._may_resume:
            return
        gap_s = sender.route.gap_s
        rest_s = self._rest_s(now)
        if not moving.should_move(closed_s, rest_s, gap_s, sender.runs):
            return
        self._pin()
        sender.placing.avoided.add(target.id)
        place = self._tools.placer.place_now(
            sender.placing, moving.GAP_SHARE * gap_s, rest_s
        )
        if place is None:
            return
        service = sender.placing.wish.service
        if not self._tools.placer.retries.take(service, now):
            self._tools.placer.release(sender.placing, place)
            return
        self._note_interruption('closing', target.id, 'its engine is to load')
        sender.abandon(self._ended())
        self._log('stream_moved', place, before=target.id)
        failure = self._reopen(place)
        if failure is not None:
            self._resume(failure)

    def _rest_s(self, now: float) -> float:
        made = self.count * self._tokens_an_event
        likely = max(1, self._sender.ctx.max_tokens)
        return moving.rest_s(now - self.began_at, made / likely)

    def _pin(self) -> None:
        placing = self._sender.placing
        placing.wish = placing.wish._replace(exact=self.head.version)
        placing.resuming = True

    def _reopen(self, place: Place) -> Elsewhere | Lost | None:
        """Ask an upstream for the rest; gives why there is none."""
        sent = self._sender.hand_on(place)
        if isinstance(sent, Elsewhere):
            self._note_interruption('refused', place.target.id, sent.reason)
            return sent
        self._sent = sent
        try:
            self._sender.send(sent)
            head = self._sender.head(sent)
            if head is not None and head.not_run:
                refused = self._sender.refused(sent, head)
                self._sent = None
                target = place.target.id
                self._note_interruption('refused', target, refused.reason)
                return refused
            self._check_rest(head)
        except Broken as exc:
            return self._broke(exc)
        self._cutter = EventCutter()
        return None

    def _check_rest(self, head: AnswerHead | None) -> None:
        if head is None:
            raise Broken('no answer in time', False)
        if head.status != OK or not head.is_stream or not head.sealed:
            raise Broken(f'status {head.status} for the rest', False)
        if None not in (head.version, self.head.version):
            if head.version != self.head.version:
                raise Broken(f'the rest is of version {head.version}', False)

    def _broke(self, exc: Broken) -> Lost:
        sent = self._ended()
        cause = _cause_of(exc)
        self._note_interruption(cause, sent.place.target.id, str(exc))
        return self._sender.broke(sent, exc)

    def _note_interruption(
        self, cause: str, upstream: str, reason: str
    ) -> None:
        self.interruptions.append(cause)
        sender = self._sender
        now = self._tools.now()
        service = sender.placing.wish.service
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
                self._tools.placer.retries.left(service, now), 1
            ),
        )

    def _log(self, event: str, place: Place, **fields: object) -> None:
        logs.event(
            event,
            logging.INFO,
            request_id=self._sender.asked.id,
            upstream=place.target.id,
            after=self._sender.last_event,
            version=self.head.version,
            **fields,
        )


def _cause_of(exc: Broken) -> str:
    if isinstance(exc, Silent):
        return 'silent'
    if isinstance(exc, Overtaken):
        return 'overtaken'
    return 'broken_off' if exc.ended else 'invalid'
