"""Claims idempotency keys for the router, and collects claims of all entries.

The entry that collects the claims of a stream is chosen by rendezvous hashing
among the entries that the instance list shows as live. Two entries may collect
one stream for a while. That only costs more appends, since the order of the
records in the stream decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent import queue

from burdockchute import documents
from burdockchute import logs
from burdockchute import tasks
from burdockchute.callers import parse
from burdockchute.decisions import claims
from burdockchute.decisions import hosting
from burdockchute.decisions.claims import Act
from burdockchute.decisions.claims import ClaimKey
from burdockchute.model.changes import MembersChanged
from burdockchute.model.claims import ClaimDecided
from burdockchute.model.claims import ClaimFinished
from burdockchute.model.claims import ClaimReleased
from burdockchute.model.claims import ClaimRequested
from burdockchute.model.claims import Held
from burdockchute.model.claims import OtherBody
from burdockchute.model.claims import OutsideWindow
from burdockchute.model.claims import Recorded
from burdockchute.model.claims import Unavailable
from burdockchute.model.claims import Verdict
from burdockchute.model.claims import Won
from burdockchute.model.members import Member
from burdockchute.model.requests import RequestContext
from burdockchute.nodes import links
from burdockchute.platform.log import Log
from burdockchute.wire import messages
from burdockchute_entry.claim_collector import ClaimCollector
from burdockchute_entry.claim_collector import Clocks

# A claim takes two round trips to the log and two between entries. One that
# takes this long has met an outage, and its caller is refused.
CLAIM_TIMEOUT_S = 2.0
RETRY_AFTER_S = 2.0

# The instance list shows a dead entry as live for a while, and every claim
# sent to it would time out. An entry at which a claim has timed out is
# excluded for longer than the list lags. If it was only slow, two entries
# collect a stream for a while, which only costs more appends.
EXCLUDED_S = 30.0

# Interval at which a release or an outcome is sent again until it is in the
# log, or until the window of its key has ended. Without the release the caller
# could not use the key again; without the outcome, a resent request could not
# be answered.
RESEND_S = 3.0
MAX_UNSETTLED = 20_000

TICK_S = 0.2

# A stream for which no claims arrive is still read for a while, as the list of
# live entries may change back.
IDLE_S = 120.0

ENTRY = 'entry'

SendTo = Callable[[str, Any], None]


class _PendingClaim(NamedTuple):
    claim: ClaimRequested
    due: float
    collecting_entry: str


class _Unsettled(NamedTuple):
    act: Act
    due: float
    until: float


class _LocalVerdict(NamedTuple):
    """A verdict of a collector in this process; `peer` sent the claim.

    `peer` is empty for claims of this entry.
    """

    peer: str
    act: Act
    verdict: Verdict


class ClaimsTask:
    """Handles the messages in `inbox`.

    These are the messages of `burdockchute.model.claims`, MembersChanged, and
    ClaimRequest and ClaimReply as links.Received. `send_to` sends a message
    to another entry by its name.
    """

    def __init__(
        self, name: str, log: Log, send_to: SendTo, clocks: Clocks
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.collectors: dict[str, ClaimCollector] = {}
        self._name = name
        self._log = log
        self._send_to = send_to
        self._clocks = clocks
        self._entries: list[str] = [name]
        self._excluded_until: dict[str, float] = {}
        self._pending: dict[str, _PendingClaim] = {}
        self._unsettled: dict[tuple[str, str], _Unsettled] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            ClaimRequested: self._claim_requested,
            ClaimReleased: self._claim_released,
            ClaimFinished: self._claim_finished,
            MembersChanged: self._members_changed,
            links.Received: self._received,
            _LocalVerdict: self._on_local_verdict,
        }

    def run(self) -> None:
        """Handle messages forever."""
        tasks.process_inbox(
            self.inbox, self.handle, self.tick, TICK_S, self._clocks.now
        )

    def handle(self, event: Any) -> None:
        """Handle one message."""
        self._handlers[type(event)](event)

    def stop(self) -> None:
        """Stop the collectors."""
        for collector in self.collectors.values():
            collector.stop()

    def settled(self) -> bool:
        """Whether every release and outcome is in the log."""
        return not self._unsettled

    def tick(self) -> None:
        """Time out claims, and resend releases and outcomes without reply."""
        now = self._clocks.now()
        for attempt_id, pending in list(self._pending.items()):
            if pending.due <= now:
                self._exclude(pending.collecting_entry, now)
                reason = 'the claim was not read back in time'
                self._abandon_claim(
                    attempt_id, Unavailable(reason, RETRY_AFTER_S)
                )
        for act_id, unsettled in list(self._unsettled.items()):
            if unsettled.until <= now:
                del self._unsettled[act_id]
            elif unsettled.due <= now:
                self._unsettled[act_id] = unsettled._replace(
                    due=now + RESEND_S
                )
                self._forward(unsettled.act)
        self._stop_idle_collectors(now)

    # Messages of the router of this entry.

    def _claim_requested(self, event: ClaimRequested) -> None:
        ctx = event.ctx
        issued_at = parse.issued_at(ctx.idempotency_key) or 0.0
        outside = claims.outside_window(
            ctx.idempotency_key, issued_at, self._clocks.now_unix()
        )
        if outside is not None:
            self._reply(event, outside)
            return
        due = self._clocks.now() + CLAIM_TIMEOUT_S
        act = _act(claims.CLAIM, ctx, event.attempt_id)
        self._pending[event.attempt_id] = _PendingClaim(
            event, due, self._collecting_entry(act)
        )
        self._forward(act)

    def _claim_released(self, event: ClaimReleased) -> None:
        self._pending.pop(event.attempt_id, None)
        self._send_until_logged(
            _act(claims.RELEASE, event.ctx, event.attempt_id)
        )

    def _claim_finished(self, event: ClaimFinished) -> None:
        act = _act(claims.FINISH, event.ctx, event.attempt_id)
        outcome = claims.encode_outcome(event.outcome)
        self._send_until_logged(act._replace(outcome=outcome))

    def _send_until_logged(self, act: Act) -> None:
        now = self._clocks.now()
        if len(self._unsettled) < MAX_UNSETTLED:
            self._unsettled[act.attempt_id, act.act] = _Unsettled(
                act, now + RESEND_S, now + claims.KEEP_S
            )
        self._forward(act)

    def _abandon_claim(self, attempt_id: str, verdict: Verdict) -> None:
        # The claim may be in the log all the same, or get there later. The
        # router is notified first, so that it does not dispatch this attempt;
        # only then is the key released.
        pending = self._pending.pop(attempt_id)
        self._reply(pending.claim, verdict)
        self._send_until_logged(
            _act(claims.RELEASE, pending.claim.ctx, attempt_id)
        )

    def _reply(self, claim: ClaimRequested, verdict: Verdict) -> None:
        claim.replies.put(
            ClaimDecided(claim.ctx.request_id, claim.attempt_id, verdict)
        )

    # Messages between entries.

    def _forward(self, act: Act) -> None:
        collecting_entry = self._collecting_entry(act)
        if collecting_entry == self._name:
            self._collect('', act)
        else:
            self._send_to(collecting_entry, _request_of(act))

    def _collecting_entry(self, act: Act) -> str:
        now = self._clocks.now()
        entries = [
            name
            for name in self._entries
            if self._excluded_until.get(name, 0.0) <= now
        ]
        return hosting.ranked(claims.stream_of(act.key), entries)[0]

    def _exclude(self, name: str, now: float) -> None:
        if name != self._name:
            logs.warn('claims_pass_over', entry=name)
            self._excluded_until[name] = now + EXCLUDED_S

    def _collect(self, peer: str, act: Act) -> None:
        stream = claims.stream_of(act.key)
        collector = self.collectors.get(stream)
        if collector is None:
            collector = ClaimCollector(stream, self._log, self._clocks)
            collector.start()
            self.collectors[stream] = collector
            logs.event('claims_gathered_here', stream=stream)
        collector.submit(
            act,
            lambda verdict: self.inbox.put(_LocalVerdict(peer, act, verdict)),
        )

    def _on_local_verdict(self, event: _LocalVerdict) -> None:
        if event.peer:
            self._send_to(event.peer, _reply_of(event.act, event.verdict))
        else:
            self._apply_verdict(
                event.act.attempt_id, event.act.act, event.verdict
            )

    def _received(self, event: links.Received) -> None:
        message = event.message
        if isinstance(message, messages.ClaimRequest):
            act = _act_of(message)
            if act is not None:
                self._collect(event.link.peer.name, act)
        elif isinstance(message, messages.ClaimReply):
            attempt_id, _slash, act_name = message.claim_id.partition('/')
            self._apply_verdict(attempt_id, act_name, _verdict_of(message))

    def _apply_verdict(
        self, attempt_id: str, act_name: str, verdict: Verdict
    ) -> None:
        if act_name != claims.CLAIM:
            if not isinstance(verdict, Unavailable):
                self._unsettled.pop((attempt_id, act_name), None)
            return
        if attempt_id not in self._pending:
            # The claim has timed out or was released meanwhile.
            return
        if isinstance(verdict, Unavailable):
            self._abandon_claim(attempt_id, verdict)
            return
        self._reply(self._pending.pop(attempt_id).claim, verdict)

    def _members_changed(self, event: MembersChanged) -> None:
        self._entries = _live_entries(event.members, self._name)

    def _stop_idle_collectors(self, now: float) -> None:
        for stream, collector in list(self.collectors.items()):
            if now - collector.last_used > IDLE_S:
                collector.stop()
                del self.collectors[stream]


def _live_entries(members: tuple[Member, ...], own: str) -> list[str]:
    live = {m.name for m in members if m.role == ENTRY and not m.leaving}
    return sorted(live | {own})


def _act(name: str, ctx: RequestContext, attempt_id: str) -> Act:
    key = ClaimKey(ctx.customer, ctx.idempotency_key)
    return Act(name, key, attempt_id, ctx.fingerprint)


def _request_of(act: Act) -> messages.ClaimRequest:
    return messages.ClaimRequest(
        claim_id=f'{act.attempt_id}/{act.act}',
        customer=act.key.customer,
        key=act.key.key,
        request_digest=act.request_digest,
        attempt_id=act.attempt_id,
        expires_in_ms=int(CLAIM_TIMEOUT_S * 1000),
        act=act.act,
        outcome=act.outcome.encode(),
    )


def _act_of(message: messages.ClaimRequest) -> Act | None:
    if message.act not in claims.ACTS:
        return None
    if parse.issued_at(message.key) is None:
        return None
    try:
        outcome = message.outcome.decode()
        if outcome:
            claims.decode_outcome(outcome)
    except documents.INVALID:
        return None
    return Act(
        message.act,
        ClaimKey(message.customer, message.key),
        message.attempt_id,
        message.request_digest,
        outcome,
    )


_VERDICT_NAMES: dict[type, str] = {
    Won: 'won',
    Held: 'held',
    Recorded: 'recorded',
    OtherBody: 'other-body',
    OutsideWindow: 'outside-window',
    Unavailable: 'unavailable',
}


def _reply_of(act: Act, verdict: Verdict) -> messages.ClaimReply:
    reply = messages.ClaimReply(
        claim_id=f'{act.attempt_id}/{act.act}',
        verdict=_VERDICT_NAMES[type(verdict)],
        holder_attempt='',
        holder_request_digest='',
        outcome=b'',
        retry_after_ms=0,
    )
    if isinstance(verdict, Recorded):
        reply.outcome = claims.encode_outcome(verdict.outcome).encode()
    if isinstance(verdict, Unavailable):
        reply.retry_after_ms = int(verdict.retry_after_s * 1000)
    return reply


def _verdict_of(message: messages.ClaimReply) -> Verdict:
    if message.verdict == 'recorded':
        try:
            return Recorded(claims.decode_outcome(message.outcome.decode()))
        except documents.INVALID:
            # The request has run, so it must not be released.
            return Held()
    if message.verdict == 'outside-window':
        return OutsideWindow('Idempotency-Key was issued too long ago')
    simple: dict[str, Verdict] = {
        'won': Won(message.claim_id.partition('/')[0]),
        'held': Held(),
        'other-body': OtherBody(),
    }
    retry_s = (message.retry_after_ms or 0) / 1000 or RETRY_AFTER_S
    return simple.get(
        message.verdict, Unavailable('the log takes no claims', retry_s)
    )
