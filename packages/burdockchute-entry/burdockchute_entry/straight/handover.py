"""Has the rest of a stream begun elsewhere before its run is given up.

A `Run` is what one upstream makes of a stream. A `Handover` asks others for
the rest in a greenlet of its own, while events of the present run are still
passed on. Its owner changes over once the new run has brought an event.
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
from burdockchute_entry.straight.attempts import Elsewhere
from burdockchute_entry.straight.attempts import Interrupted
from burdockchute_entry.straight.attempts import Lost
from burdockchute_entry.straight.attempts import Overtaken
from burdockchute_entry.straight.attempts import Sent
from burdockchute_entry.straight.attempts import Silent
from burdockchute_entry.straight.sending import Sender
from burdockchute_entry.straight.service_queues import Slot

OK = 200


class Begun(NamedTuple):
    """Events of a stream that came together, and whether they end it."""

    events: list[Event]
    whole: bool


class Run:
    """One upstream's run of a stream."""

    def __init__(self, sender: Sender, sent: Sent, head: AnswerHead) -> None:
        self.sent = sent
        self.head = head
        self._sender = sender
        self._cutter = EventCutter()

    @property
    def upstream(self) -> str:
        """The id of the upstream."""
        return self.sent.slot.target.id

    @property
    def torn(self) -> bytes:
        """What came after the last whole event."""
        return self._cutter.rest

    def next(self, until: Callable[[], bool] | None = None) -> Begun | None:
        """Wait for more events; None when the time is over.

        Raises Broken, and Waiting once `until` is so and nothing came.
        """
        while True:
            data = self._sender.part(self.sent, until)
            if data is None:
                return None
            if not data:
                return Begun([], True)
            events = self._cutter.feed(data)
            if events:
                self._sender.note_begun(self.sent)
                return Begun(events, False)


class Rest(NamedTuple):
    """The rest of a stream has begun; `begun` are its first events."""

    run: Run
    begun: Begun


class NoRest(NamedTuple):
    """Nobody goes on with a stream, at the moment."""

    reason: str


class Handover:
    """Has the rest of a stream begun at another upstream.

    `slot` is where to ask first; None to wait for a place and, if that
    attempt comes to nothing, for another one. The attempts that come to
    nothing are told to `interrupted`, by upstream, cause and reason.
    """

    def __init__(
        self,
        sender: Sender,
        head: AnswerHead,
        slot: Slot | None,
        interrupted: Interrupted,
    ) -> None:
        self.is_move = slot is not None
        self._sender = sender
        self._head = head
        self._interrupted = interrupted
        self._cancelled = False
        self._place = slot
        self._greenlet = gevent.spawn(self._seek)

    @property
    def ready(self) -> bool:
        """Whether the rest has begun, or nobody goes on with it."""
        return self._greenlet.ready()

    def wait(self) -> Rest | NoRest:
        """Wait until it is ready, which it is by the request's deadline."""
        self._greenlet.join()
        if not self._greenlet.successful():
            # The event loop has logged it.
            return NoRest(f'internal error: {self._greenlet.exception!r}')
        return self._greenlet.value

    def cancel(self) -> None:
        """End it; what it has begun is given up."""
        self._cancelled = True
        slot, self._place = self._place, None
        if slot is not None:
            # Killed before it has begun, its greenlet would keep the place.
            self._sender.release(slot)
        if not self._greenlet.ready():
            self._greenlet.kill(block=False)
        elif isinstance(rest := self._greenlet.value, Rest):
            self._sender.abandon(rest.run.sent)

    def _seek(self) -> Rest | NoRest:
        slot, self._place = self._place, None
        found = self._begin(slot) if slot else self._seek_place()
        if self._cancelled and isinstance(found, Rest):
            self._sender.abandon(found.run.sent)
        if isinstance(found, Rest | NoRest):
            return found
        return NoRest(found.reason)

    def _seek_place(self) -> Rest | NoRest:
        while True:
            slot = self._sender.next_place()
            if not isinstance(slot, Slot):
                return NoRest(slot.reason)
            found = self._begin(slot)
            if isinstance(found, Rest):
                return found
            if not self._sender.may_go_on(found, wait_limits.MAX_RETRY_WAIT_S):
                return NoRest(found.reason)

    def _begin(self, slot: Slot) -> Rest | Elsewhere | Lost:
        target = slot.target.id
        sent = self._sender.dispatch(slot)
        if isinstance(sent, Elsewhere):
            self._interrupted(target, 'refused', sent.reason)
            return sent
        try:
            self._sender.send(sent)
            head = self._sender.head(sent)
            if head is not None and head.not_run:
                refused = self._sender.refused(sent, head)
                self._interrupted(target, 'refused', refused.reason)
                return refused
            run = Run(self._sender, sent, self._validated(head))
            begun = run.next()
            if begun is None:
                raise Broken('no event in time', False)
            return Rest(run, begun)
        except Broken as exc:
            self._interrupted(target, cause_of(exc), str(exc))
            return self._sender.broke(sent, exc)
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
    if isinstance(exc, Silent):
        return 'silent'
    if isinstance(exc, Overtaken):
        return 'overtaken'
    return 'broken_off' if exc.ended else 'invalid'
