"""Claims keys for the router, and gathers claims of all entries.

Which entry gathers a stream is chosen by rendezvous hash among those that
the instance list shows live. That two may think so of themselves for a while
costs appends and nothing else, since the stream's order decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent import queue

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

# A claim costs two trips to the log and two between entries; one that takes
# this long meets an outage, and its caller is better told so.
CLAIM_TIMEOUT_S = 2.0
RETRY_AFTER_S = 2.0

# The list of instances shows a dead entry as live for a while, and every
# claim passed to it would time out. An entry that let one claim time out is
# passed over for longer than the list lags; if it was only slow, two entries
# gather a stream for a while, which costs appends and nothing else.
EXCLUDED_S = 30.0

# How often a release or an outcome is sent again until it is in the log.
# Each is sent until its key is out of its window: without a release the
# caller could not come again, without an outcome it would never hear it.
RESEND_S = 3.0
MAX_UNSETTLED = 20_000

TICK_S = 0.2

# A stream that nobody asks for any more is read on for a while, as the list
# of live entries may change back.
IDLE_S = 120.0

ENTRY = 'entry'

SendTo = Callable[[str, Any], None]


class _PendingClaim(NamedTuple):
    wanted: ClaimRequested
    due: float
    collecting_entry: str


class _Unsettled(NamedTuple):
    act: Act
    due: float
    until: float


class _LocalVerdict(NamedTuple):
    """A verdict of a gatherer in this process, for whoever asked."""

    peer: str
    act: Act
    verdict: Verdict


class ClaimsTask:
    """Takes messages in `inbox`.

    It takes those of `burdockchute.model.claims`, MembersChanged, and
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
            ClaimRequested: self._claim_wanted,
            ClaimReleased: self._claim_released,
            ClaimFinished: self._claim_finished,
            MembersChanged: self._members_changed,
            links.Received: self._received,
            _LocalVerdict: self._on_local_verdict,
        }

    def run(self) -> None:
        """Take messages for ever."""
        tasks.process_inbox(
            self.inbox, self.handle, self.tick, TICK_S, self._clocks.now
        )

    def handle(self, event: Any) -> None:
        """Take one message."""
        self._handlers[type(event)](event)

    def stop(self) -> None:
        """Stop the gatherers."""
        for collector in self.collectors.values():
            collector.stop()

    def settled(self) -> bool:
        """Tell whether every release and outcome is in the log."""
        return not self._unsettled

    def tick(self) -> None:
        """Give up what takes too long and send again what has no reply."""
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

    # For the router of this entry.

    def _claim_wanted(self, event: ClaimRequested) -> None:
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
        # The claim may have landed all the same, or land later. The router
        # is told first and will not dispatch this attempt any more; only
        # then is the key given back.
        pending = self._pending.pop(attempt_id)
        self._reply(pending.wanted, verdict)
        self._send_until_logged(
            _act(claims.RELEASE, pending.wanted.ctx, attempt_id)
        )

    def _reply(self, wanted: ClaimRequested, verdict: Verdict) -> None:
        wanted.replies.put(
            ClaimDecided(wanted.ctx.request_id, wanted.attempt_id, verdict)
        )

    # Between entries.

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
            # Given up in the meantime.
            return
        if isinstance(verdict, Unavailable):
            self._abandon_claim(attempt_id, verdict)
            return
        self._reply(self._pending.pop(attempt_id).wanted, verdict)

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
    return Act(
        message.act,
        ClaimKey(message.customer, message.key),
        message.attempt_id,
        message.request_digest,
        (message.outcome or b'').decode(),
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
        return Recorded(claims.decode_outcome(message.outcome.decode()))
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
