"""One request from its place to its answer, and what is tried on the way.

Three things are kept apart, since what a caller may be told depends on it:
a request that was certainly not run (it goes elsewhere, or the caller hears
not-run), one that may have run (it is run again only where that does no
harm), and one that was answered.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple
from typing import TypeVar

from burdockchute import logs
from burdockchute.adapters import Adapter
from burdockchute.decisions import admission
from burdockchute.decisions import health
from burdockchute.decisions import moving
from burdockchute.decisions import retries
from burdockchute.decisions.placement import Work
from burdockchute.decisions.suspects import Suspects
from burdockchute.model.exchanges import AnswerHead
from burdockchute.model.exchanges import Asked
from burdockchute.model.exchanges import Onward
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Route
from burdockchute.upstreams.connections import Broken
from burdockchute.upstreams.connections import Connection
from burdockchute.upstreams.connections import HeaderList
from burdockchute.upstreams.connections import NotConnected
from burdockchute.upstreams.connections import Waiting
from burdockchute.upstreams.events import Event
from burdockchute.upstreams.events import EventCutter
from burdockchute_entry.straight.placer import Place
from burdockchute_entry.straight.placer import Placer
from burdockchute_entry.straight.placer import Placing
from burdockchute_entry.straight.placer import Wish
from burdockchute_entry.straight.replies import Reply
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.replies import WholeAnswer

# Longest body of a plain answer that is held until it is whole.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# An upstream answers by itself when the time that it was given is over; its
# own answer says more than ours, so it is waited for this much longer.
LAST_ANSWER_S = 0.1

# With less time left than this a request is not sent: no upstream could
# answer it, and it would only take a place.
LEAST_TIME_S = 0.02

GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502


class Tools(NamedTuple):
    """What all exchanges of an entry share."""

    adapter: Adapter
    placer: Placer
    suspects: Suspects
    now: Callable[[], float]


class Elsewhere(NamedTuple):
    """It was certainly not run there; `arrived` tells if it got there."""

    reason: str
    arrived: bool


class Lost(NamedTuple):
    """It may have run there, and its answer did not come whole."""

    reason: str
    ended: bool


class Overtaken(Broken):
    """The request was stopped before it began on weights of the past."""


class TimeUp(NamedTuple):
    """The time of the request is over while an upstream has it."""


class Failed(NamedTuple):
    """The upstream ran it and says that it failed."""

    answer: WholeAnswer


class Answered(NamedTuple):
    """The upstream's answer, or the begin of it."""

    reply: WholeAnswer | StreamAnswer


Read = TypeVar('Read')

Attempt = Elsewhere | Lost | TimeUp | Failed | Answered


class Sent(NamedTuple):
    """A request that an upstream has in hand.

    `begin_by` is when it has to have begun on the weights that it was sent
    for; None for no such bound.
    """

    place: Place
    conn: Connection
    at: float
    begin_by: float | None = None


class Exchange:
    """One caller's request; its methods run in the caller's greenlet."""

    def __init__(
        self,
        tools: Tools,
        asked: Asked,
        ctx: RequestContext,
        route: Route,
        service: str,
        elapsed_s: float,
    ) -> None:
        self.runs = 0
        self.sends = 0
        self.first_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.events = 0
        self.upstream = ''
        self._event_at = 0.0
        self._begun: Connection | None = None
        self._tokens_an_event = tools.placer.tokens_an_event(service)
        self._tools = tools
        self._asked = asked
        self._ctx = ctx
        self._route = route
        self._last_event = asked.resume_after
        work = Work(admission.cost_of(ctx), False, ctx.prompt_tokens, ())
        wish = Wish(service, asked.model, route.objective_s, elapsed_s)
        self._placing = Placing(ctx, work, wish)

    def answer(self) -> Reply:
        """Give the reply for the caller; streams go on in its events."""
        refused_s = self._tools.suspects.refused_for_s(
            self._ctx.fingerprint, self._tools.now()
        )
        if refused_s:
            return NotRun('it crashed the upstreams that ran it', 503, 1.0)
        while True:
            place = self._next_place()
            if not isinstance(place, Place):
                return self._truthful(place)
            attempt = self._attempt(place)
            if isinstance(attempt, Answered):
                return attempt.reply
            if isinstance(attempt, TimeUp):
                return Unknown('no answer in time', GATEWAY_TIMEOUT)
            if not self._may_go_on(attempt):
                return self._conclude(attempt)
            logs.event(
                'request_retried',
                request_id=self._asked.id,
                upstream=place.target.id,
                reason=_reason_of(attempt),
                runs=self.runs,
                sends=self.sends,
                retries_left=round(
                    self._tools.placer.retries_left(self._wish.service), 1
                ),
            )

    @property
    def _wish(self) -> Wish:
        return self._placing.wish

    # Between attempts.

    def _next_place(self) -> Place | NotRun:
        now = self._tools.now()
        if self._ctx.deadline - now < LEAST_TIME_S:
            return NotRun('its time is over', 503, 0.0)
        place = self._tools.placer.place(self._placing, self._ctx.deadline)
        if isinstance(place, Place):
            logs.event(
                'request_placed',
                request_id=self._asked.id,
                upstream=place.target.id,
                version=place.version,
                waited_ms=int((self._tools.now() - now) * 1000),
                ours=place.target.load.ours,
                others=place.target.load.others,
                report_age_ms=int(
                    (now - place.target.load.reported_at) * 1000
                ),
            )
        return place

    def _may_go_on(self, attempt: Elsewhere | Lost | Failed) -> bool:
        if self.sends >= retries.MAX_PLACEMENTS:
            return False
        service = self._wish.service
        if isinstance(attempt, Elsewhere):
            if not attempt.arrived:
                return True
            return self._tools.placer.may_retry(service)
        again = self._route.may_repeat and self.runs < self._route.max_attempts
        if isinstance(attempt, Failed) and self._route.kind is Kind.STREAM:
            again = False
        return again and self._tools.placer.may_retry(service)

    def _conclude(self, attempt: Elsewhere | Lost | Failed) -> Reply:
        if isinstance(attempt, Failed):
            return attempt.answer
        if isinstance(attempt, Lost):
            return Unknown(attempt.reason, BAD_GATEWAY)
        retry_s = admission.retry_after_s(self._route.objective_s)
        return self._truthful(NotRun(attempt.reason, 503, retry_s))

    def _truthful(self, outcome: NotRun) -> Reply:
        # Whatever the last upstream says: an earlier one may have run it.
        if self.runs:
            return Unknown(outcome.reason, BAD_GATEWAY)
        return outcome

    def _begin_by(self, place: Place) -> float | None:
        if place.version is None:
            return None
        return self._tools.placer.ends_at(self._wish.model, place.version)

    def _is_overdue(self, sent: Sent, now: float) -> bool:
        if sent.begin_by is None or sent.conn is self._begun:
            return False
        return now > sent.begin_by

    # One attempt.

    def _attempt(self, place: Place) -> Attempt:
        now = self._tools.now
        target = place.target
        self.upstream = target.id
        self.sends += 1
        try:
            conn = target.connection(now(), not self._route.may_repeat)
        except NotConnected as exc:
            self._drop(place)
            return Elsewhere(f'no connection: {exc}', False)
        except BaseException:
            self._tools.placer.release(self._placing, place)
            raise
        sent = Sent(place, conn, now(), self._begin_by(place))
        settled = False
        try:
            attempt, settled = self._send_and_read(sent)
            return attempt
        finally:
            if not settled:
                # The caller has gone, or an error that nobody foresaw.
                conn.close()
                self._tools.placer.release(self._placing, place)

    def _send_and_read(self, sent: Sent) -> tuple[Attempt, bool]:
        try:
            self._send(sent)
            head = self._head(sent)
            if head is None:
                self._give_up(sent)
                return TimeUp(), True
            return self._take(sent, head), True
        except Broken as exc:
            return self._broke(sent, exc), True

    def _send(self, sent: Sent) -> None:
        place, now = sent.place, self._tools.now()
        onward = Onward(
            instance=place.target.id,
            customer=self._ctx.customer,
            time_left_s=max(LEAST_TIME_S, self._ctx.deadline - now),
            version=place.version,
            resume_after=self._last_event,
            urgency=_urgency(self._ctx.priority),
        )
        data = self._tools.adapter.encode_request(self._asked, onward)
        if not self.runs:
            self._tools.placer.count_first(self._wish.service)
        self.runs += 1
        sent.conn.send(data, self._asked.method, self._is_ours)

    def _is_ours(self, status: int, headers: HeaderList) -> bool:
        # An answer to an earlier request may come late on a kept connection.
        # A refusal may name no request; a success always does.
        wanted = self._tools.adapter.request_id_header.lower()
        for name, value in headers:
            if name.lower() == wanted:
                return value.strip() == self._asked.id
        return status >= 400

    def _head(self, sent: Sent) -> AnswerHead | None:
        read = self._patiently(sent, sent.conn.head)
        if read is None:
            return None
        return self._tools.adapter.decode_answer(*read)

    def _patiently(self, sent: Sent, read: Callable[[], Read]) -> Read | None:
        """Call until it gives something; None when the time is up."""
        target = sent.place.target
        while True:
            try:
                result = read()
            except Waiting:
                now = self._tools.now()
                if now > self._ctx.deadline + LAST_ANSWER_S:
                    return None
                if self._is_overdue(sent, now):
                    # It waits in the engine and would begin on weights that
                    # may begin nothing any more.
                    raise Overtaken(
                        'its weights are replaced', False
                    ) from None
                silent = health.is_silent(target.heard_at, sent.at, now)
                if silent and self._route.may_repeat:
                    raise Broken('the upstream is silent', False) from None
                continue
            target.heard_at = self._tools.now()
            return result

    def _take(self, sent: Sent, head: AnswerHead) -> Attempt:
        if head.not_run:
            return self._refused_there(sent, head)
        if head.status < 400 and not head.sealed:
            raise Broken(f'status {head.status} without a signature', False)
        if head.is_stream and head.status == 200:
            return self._begin_stream(sent, head)
        body = self._whole_body(sent)
        if body is None:
            self._give_up(sent)
            return TimeUp()
        answer = WholeAnswer(head, body)
        self._keep(sent, head)
        if head.status >= 500:
            self._tools.placer.failed(
                self._placing, sent.place, self._took(sent)
            )
            self._placing.avoided.add(sent.place.target.id)
            return Failed(answer)
        self._settle(sent)
        return Answered(answer)

    def _refused_there(self, sent: Sent, head: AnswerHead) -> Elsewhere:
        self.runs -= 1
        target = sent.place.target
        if self._whole_body(sent) is not None:
            self._keep(sent, head)
        else:
            sent.conn.close()
        if head.status == 421:
            # Another instance stands there, or other weights are loaded,
            # than the list or its agent last said.
            target.versions = {}
            target.failed(self._tools.now())
        self._tools.placer.failed(self._placing, sent.place, self._took(sent))
        self._placing.avoided.add(target.id)
        return Elsewhere(f'refused with status {head.status}', True)

    def _whole_body(self, sent: Sent) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        while True:
            data = self._patiently(sent, sent.conn.body)
            if data is None:
                return None
            if not data:
                return b''.join(parts)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise Broken(f'an answer over {MAX_ANSWER_BYTES} bytes', False)
            parts.append(data)

    def _broke(self, sent: Sent, exc: Broken) -> Lost:
        now = self._tools.now()
        target = sent.place.target
        sent.conn.close()
        self._placing.avoided.add(target.id)
        if isinstance(exc, Overtaken):
            self._tools.placer.release(self._placing, sent.place)
            return Lost(str(exc), exc.ended)
        if exc.ended and not self._asked.resume_after:
            self._suspect(sent)
        target.failed(now)
        self._tools.placer.failed(self._placing, sent.place, self._took(sent))
        return Lost(str(exc), exc.ended)

    def _suspect(self, sent: Sent) -> None:
        target = sent.place.target
        alone = target.load.ours == 1
        fingerprint = self._ctx.fingerprint
        convicted = self._tools.suspects.crashed(
            fingerprint, target.id, alone, self._tools.now()
        )
        logs.warn(
            'upstream_broke_off',
            request_id=self._asked.id,
            upstream=target.id,
            fingerprint=fingerprint,
            alone=alone,
            convicted=convicted,
        )

    def _drop(self, place: Place) -> None:
        place.target.failed(self._tools.now())
        self._placing.avoided.add(place.target.id)
        self._tools.placer.release(self._placing, place)

    def _give_up(self, sent: Sent) -> None:
        sent.conn.close()
        self._tools.placer.failed(self._placing, sent.place, self._took(sent))

    def _settle(self, sent: Sent) -> None:
        self._tools.suspects.answered(self._ctx.fingerprint)
        self._tools.placer.answered(
            self._placing, sent.place, self._took(sent)
        )

    def _keep(self, sent: Sent, head: AnswerHead) -> None:
        if head.idle_s is None:
            sent.conn.close()
            return
        sent.place.target.keep(sent.conn, head.idle_s, self._tools.now())

    def _took(self, sent: Sent) -> float:
        return self._tools.now() - sent.at

    # Streams.

    def _begin_stream(self, sent: Sent, head: AnswerHead) -> Attempt:
        cutter = EventCutter()
        events, whole = self._next_events(sent, cutter)
        if events is None:
            self._give_up(sent)
            return TimeUp()
        if self.first_event_s is None:
            self.first_event_s = self._tools.now() - self._ctx.arrived
        self._tools.placer.began(self._placing, sent.place)
        body = self._stream(sent, head, cutter, events, whole)
        return Answered(StreamAnswer(head, body))

    def _next_events(
        self, sent: Sent, cutter: EventCutter
    ) -> tuple[list[Event] | None, bool]:
        """Give the next events and whether the stream is at its end."""
        while True:
            data = self._patiently(sent, sent.conn.body)
            if data is None:
                return None, False
            if not data:
                return [], True
            events = self._new_only(cutter.feed(data))
            if events:
                self._begun = sent.conn
                return events, False

    def _new_only(self, events: list[Event]) -> list[Event]:
        # After a resumption an upstream might begin too early.
        last = self._last_event
        if not last.isdigit():
            return events
        return [
            event
            for event in events
            if not event.id.isdigit() or int(event.id) > int(last)
        ]

    def _stream(
        self,
        sent: Sent,
        head: AnswerHead,
        cutter: EventCutter,
        events: list[Event],
        whole: bool,
    ) -> Iterator[bytes]:
        version = head.version
        self._event_at = self._tools.now()
        open_sent: Sent | None = sent
        try:
            while True:
                if events:
                    yield b''.join(event.data for event in events)
                    self._note_last(events)
                if whole:
                    break
                place = self._better_place(sent, version)
                if place is not None:
                    open_sent = None
                    sent, cutter = self._move(sent, place, version)
                    open_sent = sent
                try:
                    found, whole = self._next_events(sent, cutter)
                except Broken as exc:
                    open_sent = None
                    lost = self._broke(sent, exc)
                    sent, cutter = self._resume(lost, version)
                    open_sent = sent
                    events = []
                    continue
                if found is None:
                    raise StreamBroken('its time is over')
                events = found
                self._note_gap()
            open_sent = None
            if cutter.rest:
                yield cutter.rest
            self._keep(sent, head)
            self._settle(sent)
        finally:
            if open_sent is not None:
                open_sent.conn.close()
                self._tools.placer.release(self._placing, open_sent.place)

    def _better_place(self, sent: Sent, version: int | None) -> Place | None:
        """Give where to go on if the engine waits for this stream to load."""
        now = self._tools.now()
        target = sent.place.target
        closed_s = target.closed_for_s(now)
        if closed_s is None:
            return None
        resumable = self._route.resumable and bool(self._last_event)
        gap_s = self._route.gap_s
        if not resumable or not moving.should_move(
            closed_s, self._rest_s(now), gap_s, self.runs
        ):
            return None
        self._placing.wish = self._wish._replace(exact=version)
        self._placing.avoided.add(target.id)
        place = self._tools.placer.place_now(
            self._placing, moving.GAP_SHARE * gap_s
        )
        if place is None:
            return None
        if not self._tools.placer.may_retry(self._wish.service):
            self._tools.placer.release(self._placing, place)
            return None
        return place

    def _rest_s(self, now: float) -> float:
        made = self.events * self._tokens_an_event
        began = self._ctx.arrived + (self.first_event_s or 0.0)
        return moving.rest_s(now - began, made / max(1, self._ctx.max_tokens))

    def _move(
        self, sent: Sent, place: Place, version: int | None
    ) -> tuple[Sent, EventCutter]:
        """Go on with a stream elsewhere; raises StreamBroken."""
        sent.conn.close()
        self._tools.placer.release(self._placing, sent.place)
        logs.event(
            'stream_moved',
            request_id=self._asked.id,
            upstream=place.target.id,
            before=sent.place.target.id,
            after=self._last_event,
        )
        moved = self._reopen(place)
        if isinstance(moved, Sent):
            return moved, EventCutter()
        return self._resume(moved, version)

    def _note_gap(self) -> None:
        now = self._tools.now()
        self.longest_gap_s = max(self.longest_gap_s, now - self._event_at)
        self._event_at = now

    def _note_last(self, events: list[Event]) -> None:
        self.events += len(events)
        for event in events:
            if event.id:
                self._last_event = event.id

    def _resume(
        self, lost: Elsewhere | Lost, version: int | None
    ) -> tuple[Sent, EventCutter]:
        """Go on with a stream at another upstream; raises StreamBroken."""
        attempt: Elsewhere | Lost = lost
        wish = self._wish._replace(exact=version)
        self._placing.wish = wish
        while True:
            resumable = self._route.resumable and bool(self._last_event)
            if not resumable or not self._may_go_on(attempt):
                raise StreamBroken(_reason_of(attempt))
            place = self._next_place()
            if not isinstance(place, Place):
                raise StreamBroken(place.reason)
            result = self._reopen(place)
            if isinstance(result, Sent):
                logs.event(
                    'stream_resumed',
                    request_id=self._asked.id,
                    upstream=place.target.id,
                    after=self._last_event,
                    version=version,
                    reason=lost.reason,
                )
                return result, EventCutter()
            attempt = result

    def _reopen(self, place: Place) -> Sent | Elsewhere | Lost:
        target = place.target
        self.upstream = target.id
        self.sends += 1
        try:
            conn = target.connection(self._tools.now(), False)
        except NotConnected as exc:
            self._drop(place)
            return Elsewhere(f'no connection: {exc}', False)
        except BaseException:
            self._tools.placer.release(self._placing, place)
            raise
        sent = Sent(place, conn, self._tools.now(), self._begin_by(place))
        settled = False
        try:
            result = self._reopened(sent)
            settled = True
            return result
        finally:
            if not settled:
                conn.close()
                self._tools.placer.release(self._placing, place)

    def _reopened(self, sent: Sent) -> Sent | Elsewhere | Lost:
        try:
            self._send(sent)
            head = self._head(sent)
            if head is None:
                raise Broken('no answer in time', False)
            if head.not_run:
                return self._refused_there(sent, head)
            if head.status != 200 or not head.is_stream:
                raise Broken(f'status {head.status} for the rest', False)
            return sent
        except Broken as exc:
            return self._broke(sent, exc)


def _urgency(priority: int) -> int:
    # Priorities of contexts rise with urgency, those of operators fall.
    return min(9, max(0, -priority))


def _reason_of(attempt: Elsewhere | Lost | Failed) -> str:
    if isinstance(attempt, Failed):
        return f'status {attempt.answer.head.status}'
    return attempt.reason
