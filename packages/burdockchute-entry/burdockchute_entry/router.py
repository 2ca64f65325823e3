"""The router: owns each request from its arrival to its final outcome.

One greenlet owns all state and takes one message at a time, so that there
is nothing to lock. What it decides is in `burdockchute.decisions`; what it
does with a request that was handed on is in `attempts`.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import random
from typing import Any
from typing import NamedTuple

from gevent import queue

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import retries
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.suspects import REFUSE_S
from burdockchute.decisions.suspects import Suspects
from burdockchute.decisions.waiting import Waiting
from burdockchute.model import claims
from burdockchute.model import table as tables
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import CallerGone
from burdockchute.model.replies import Finished
from burdockchute.model.replies import Submit
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry import endings
from burdockchute_entry import fleet as fleets
from burdockchute_entry import intake
from burdockchute_entry.attempts import Attempt
from burdockchute_entry.attempts import Broken
from burdockchute_entry.attempts import Request
from burdockchute_entry.fleet import Fleet
from burdockchute_entry.pools import Chosen
from burdockchute_entry.pools import Hosts
from burdockchute_entry.pools import Pool

# How long requests wait for the first instance of a target. A restart of
# the only instance takes longer; then a caller is better told so at once.
NO_INSTANCE_S = 2.0
NO_INSTANCE_RETRY_S = 2.0

# The queues are looked at this often even if nothing comes in, since load
# reports age and windows of waiting end.
TICK_S = 0.25

# A request whose target is open nowhere does not hold up those behind it;
# more than this many are not looked past in one go.
MAX_ASIDE = 32


class CrashSeen(NamedTuple):
    """A request was in flight in a crash; goes to the other entries."""

    fingerprint: str
    upstream: str
    alone: bool
    convicted: bool


class CrashLearned(NamedTuple):
    """Another entry saw a crash or refuses a request; `age_s` ago."""

    seen: CrashSeen
    age_s: float


class Router:
    """Takes messages in `inbox`; see docs/design/interfaces.md.

    `claim` gets the messages of `burdockchute.model.claims`, `crash` each
    CrashSeen and `observe` each Finished. `now` gives monotonic seconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        rng: random.Random,
        claim: Callable[[Any], None] | None = None,
        crash: Callable[[CrashSeen], None] = lambda seen: None,
        observe: Callable[[Finished], None] = lambda finished: None,
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._now = now
        self._rng = rng
        self._claim = claim
        self._crash = crash
        self._observe = observe
        self._table: Table = tables.EMPTY
        self._fleet = Fleet()
        self._pools: dict[str, Pool] = {}
        self._requests: dict[str, Request] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._intake = intake.Intake()
        self._suspects = Suspects()
        self._budget = retries.full_budget(now())
        self._ticked_at = now()
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            CallerGone: self._caller_gone,
            TableChanged: self._table_changed,
            MembersChanged: self._members_changed,
            intake.RatesChanged: self._rates_changed,
            CrashLearned: self._crash_learned,
            claims.ClaimDecided: self._claim_decided,
            links.Opened: self._opened,
            links.Received: self._received,
            links.Closed: self._closed,
        }

    def run(self) -> None:
        """Take messages for ever."""
        while True:
            try:
                event = self.inbox.get(timeout=self._until_due())
            except queue.Empty:
                self.tick()
                continue
            self.handle(event)

    def handle(self, event: Any) -> None:
        """Take one message."""
        self._handlers[type(event)](event)
        if self._now() - self._ticked_at >= TICK_S:
            self.tick()

    def tick(self) -> None:
        """Do what time alone brings about."""
        now = self._now()
        self._ticked_at = now
        while self._deadlines and self._deadlines[0][0] <= now:
            _deadline, request_id = heapq.heappop(self._deadlines)
            request = self._requests.get(request_id)
            if request is not None:
                self._expire(request)
        for pool in self._pools.values():
            self._refuse_stranded(pool)
            self._pump(pool)

    def open_requests(self) -> int:
        """Give the number of requests without a final outcome."""
        return len(self._requests)

    def in_use(self, name: str) -> bool:
        """Tell whether a request of ours is at an instance."""
        instance = self._fleet.instances.get(name)
        return instance is not None and instance.load.ours > 0

    def instances(self) -> list[str]:
        """Give the names of the linked instances."""
        return sorted(self._fleet.instances)

    def _until_due(self) -> float:
        if not self._deadlines:
            return TICK_S
        return min(TICK_S, max(0.0, self._deadlines[0][0] - self._now()))

    # Requests that arrive.

    def _submit(self, event: Submit) -> None:
        ctx = event.ctx
        request = Request(ctx, event.replies)
        request.base = fleets.base_of(ctx, self._table)
        self._requests[ctx.request_id] = request
        heapq.heappush(self._deadlines, (ctx.deadline, ctx.request_id))
        refusal = self._refusal(request)
        if refusal is not None:
            self._finish(request, refusal)
        elif ctx.idempotent:
            self._enqueue(request)
        else:
            self._ask_for_claim(request)

    def _refusal(self, request: Request) -> NotRun | None:
        now = self._now()
        fingerprint = request.ctx.fingerprint
        refused_s = self._suspects.refused_for_s(fingerprint, now)
        if refused_s:
            return NotRun('crashed the upstreams', 503, refused_s)
        pool = self._pool(request)
        loads = self._loads_of(pool)
        return self._intake.refusal(request, pool, loads, self._table, now)

    def _ask_for_claim(self, request: Request) -> None:
        ctx = request.ctx
        if self._claim is None:
            self._finish(request, NotRun('claims are not available'))
            return
        request.claim_id = ctx.request_id
        self._claim(claims.ClaimWanted(ctx, request.claim_id, self.inbox))

    def _claim_decided(self, event: claims.ClaimDecided) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            # Given up in the meantime; its release is on its way.
            return
        if isinstance(event.verdict, claims.Won):
            self._enqueue(request)
            return
        request.claim_id = ''
        outcome = intake.outcome_of(event.verdict)
        if isinstance(outcome, Answered):
            outcome = endings.replay(request, outcome, self._now())
        self._finish(request, outcome)

    # Requests that wait.

    def _enqueue(self, request: Request) -> None:
        pool = self._pool(request)
        ctx, now = request.ctx, self._now()
        is_long = pool.is_long(admission.tokens_of(ctx))
        request.work = request.work._replace(is_long=is_long)
        refused = pool.queue.offer(ctx, request.work.cost, is_long, now)
        for item in refused:
            victim = self._requests[item.ctx.request_id]
            drain_s = pool.drain_s(self._loads_of(pool), now)
            retry_s = admission.retry_after_s(drain_s)
            self._finish(victim, NotRun('too many wait', 503, retry_s))
        self._pump(pool)

    def _pump(self, pool: Pool) -> None:
        for request in list(pool.suspects):
            chosen = pool.place_suspect(request, self._hosts(request))
            if chosen is not None:
                pool.suspects.remove(request)
                self._dispatch(request, chosen)
        now = self._now()
        aside: list[Waiting] = []
        while len(pool.queue) and len(aside) < MAX_ASIDE:
            free = [load for load in self._loads_of(pool) if load.room(now)]
            if not free:
                break
            allow_long = any(
                load.may_take_long(pool.long_share) for load in free
            )
            item = pool.queue.pop(now, allow_long)
            if item is None:
                break
            if not self._start(pool, item):
                aside.append(item)
        for item in aside:
            pool.queue.put_back(item)

    def _start(self, pool: Pool, item: Waiting) -> bool:
        request = self._requests[item.ctx.request_id]
        now = self._now()
        service_s = pool.unit_s * request.work.cost
        if admission.is_too_late(item.ctx, 0.0, service_s, now):
            self._finish(request, NotRun('can not be done in time'))
            return True
        chosen = pool.place(request, self._hosts(request), now, self._rng)
        if chosen is None:
            return False
        request.waiting = item
        return self._dispatch(request, chosen)

    def _refuse_stranded(self, pool: Pool) -> None:
        # Without an instance nothing would take a request out of the queue
        # before its deadline; its caller could long have gone elsewhere.
        now = self._now()
        for request in pool.stranded(self._requests, now - NO_INSTANCE_S):
            if not self._hosts(request):
                text = f'no instance is open for {request.ctx.target!r}'
                self._finish(request, NotRun(text, 503, NO_INSTANCE_RETRY_S))

    def _dispatch(self, request: Request, chosen: Chosen) -> bool:
        ctx, now = request.ctx, self._now()
        instance, pinned = chosen
        request.placements += 1
        attempt_id = f'{ctx.request_id}.{request.placements}'
        message = fleets.dispatch_of(
            ctx, request.base, pinned, attempt_id, ctx.deadline - now
        )
        try:
            instance.link.send(message)
        except links.LinkError:
            request.avoid(instance)
            return False
        if not request.attempts:
            self._budget = retries.earn(self._budget, now, self._burst())
        request.attempts += 1
        request.pinned = pinned
        request.attempt = Attempt(attempt_id, instance, pinned, 0, now)
        instance.load.sent(request.work)
        return True

    # Answers.

    def _received(self, event: links.Received) -> None:
        message = event.message
        if isinstance(message, messages.LoadReport):
            self._load_reported(event.link, message)
            return
        handler = self._ANSWERS.get(type(message))
        request = self._requests.get(getattr(message, 'request_id', ''))
        if handler is None or request is None:
            return
        # What comes late from an earlier attempt belongs to no answer.
        if request.attempt and request.attempt.link is event.link:
            handler(self, request, message)

    def _part(self, request: Request, part: messages.AnswerPart) -> None:
        assert request.attempt is not None
        ready = request.attempt.accept(part)
        request.parts.extend(ready)
        if ready and request.ctx.stream:
            endings.pass_on(request, ready, self._now())

    def _end(self, request: Request, end: messages.AnswerEnd) -> None:
        attempt = request.attempt
        assert attempt is not None
        verdict = attempt.judge(end)
        if isinstance(verdict, Broken):
            self._lost(request, verdict)
            return
        now = self._now()
        self._release_instance(request)
        attempt.instance.load.answered(
            request.work, now - attempt.sent_at, now
        )
        pool = self._pool(request)
        pool.answered((now - attempt.sent_at) / request.work.cost)
        request.attempt = None
        self._suspects.answered(request.ctx.fingerprint)
        if not request.ctx.stream:
            endings.pass_on(request, request.parts, now)
        outcome = Answered(
            end.status, end.content_type, b'', end.digest, end.adapter_digest
        )
        self._finish(request, outcome)
        self._pump(pool)

    def _not_run(self, request: Request, message: messages.NotRun) -> None:
        attempt = request.attempt
        assert attempt is not None
        attempt.instance.load.returned(request.work)
        self._release_instance(request)
        request.attempt = None
        request.attempts -= 1
        request.avoid(attempt.instance)
        if request.placements < retries.MAX_PLACEMENTS:
            self._wait_again(request)
            return
        retry_s = (message.retry_after_ms or 0) / 1000
        reason = f'{message.reason} at {attempt.instance.name}'
        self._finish(
            request, NotRun(reason, 503, admission.retry_after_s(retry_s))
        )

    _ANSWERS: dict[type, Callable[[Router, Request, Any], None]] = {
        messages.AnswerPart: _part,
        messages.AnswerEnd: _end,
        messages.NotRun: _not_run,
    }

    def _lost(self, request: Request, broken: Broken) -> None:
        """Decide on a request that was handed on and came to nothing."""
        attempt = request.attempt
        assert attempt is not None
        attempt.instance.load.failed(request.work)
        if broken.crashed:
            self._count_crash(request, attempt)
        self._release_instance(request)
        request.attempt = None
        refused = self._suspects.refused_for_s(
            request.ctx.fingerprint, self._now()
        )
        if (
            refused
            or not request.may_run_again()
            or not self._may_retry(request)
        ):
            self._finish(request, Unknown(broken.reason, 502))
            return
        request.parts.clear()
        request.avoid(attempt.instance)
        request.is_suspect = broken.crashed
        self._wait_again(request)

    def _may_retry(self, request: Request) -> bool:
        if request.attempts >= retries.MAX_ATTEMPTS:
            return False
        self._budget, allowed = retries.spend(
            self._budget, self._now(), self._burst()
        )
        return allowed

    def _wait_again(self, request: Request) -> None:
        pool = self._pool(request)
        if request.is_suspect or request.waiting is None:
            pool.suspects.append(request)
        else:
            pool.queue.put_back(request.waiting)
        self._pump(pool)

    def _count_crash(self, request: Request, attempt: Attempt) -> None:
        ctx = request.ctx
        name = attempt.instance.name
        alone = attempt.instance.load.reserved_for == ctx.request_id
        convicted = self._suspects.crashed(
            ctx.fingerprint, name, alone, self._now()
        )
        self._crash(CrashSeen(ctx.fingerprint, name, alone, convicted))
        logs.warn(
            'upstream_crashed',
            instance=name,
            request_id=ctx.request_id,
            customer=ctx.customer,
            fingerprint=ctx.fingerprint,
            convicted=convicted,
        )

    def _release_instance(self, request: Request) -> None:
        for instance in self._fleet.instances.values():
            if instance.load.reserved_for == request.ctx.request_id:
                instance.load.reserved_for = ''

    # What ends a request from outside.

    def _expire(self, request: Request) -> None:
        if request.attempt is None:
            reason = 'deadline passed before its turn'
            self._finish(request, NotRun(reason, 503))
            return
        self._give_up(request)
        self._finish(request, Unknown('deadline passed'))

    def _caller_gone(self, event: CallerGone) -> None:
        request = self._requests.get(event.request_id)
        if request is None:
            return
        if request.attempt is None:
            self._finish(request, NotRun('caller has gone', 503))
        elif request.claim_id:
            # Stopping it half-way would leave its outcome unknown for good;
            # its caller may come back with the same key.
            logs.event('caller_gone', request_id=event.request_id)
        else:
            self._give_up(request)
            self._finish(request, Unknown('caller has gone'))

    def _give_up(self, request: Request) -> None:
        attempt = request.attempt
        assert attempt is not None
        try:
            attempt.link.send(messages.Cancel(request.ctx.request_id))
        except links.LinkError:
            # The agent stops what came over a link that has closed.
            pass
        attempt.instance.load.failed(request.work)
        request.attempt = None

    def _finish(self, request: Request, outcome: Outcome) -> None:
        del self._requests[request.ctx.request_id]
        pool = self._pool(request)
        pool.queue.remove(request.ctx.request_id)
        if request in pool.suspects:
            pool.suspects.remove(request)
        self._release_instance(request)
        outcome = endings.truthful(request, outcome)
        endings.tell_caller(request, outcome, self._now(), self._observe)
        if request.claim_id and self._claim is not None:
            endings.tell_claims(request, outcome, self._claim)

    # Instances and the table.

    def _opened(self, event: links.Opened) -> None:
        self._fleet.opened(event.link, self._now())

    def _closed(self, event: links.Closed) -> None:
        self._fleet.closed(event.link)
        reason = f'link closed: {event.reason}'
        for request in list(self._requests.values()):
            if request.attempt and request.attempt.link is event.link:
                self._lost(request, Broken(reason, False))

    def _load_reported(
        self, link: links.Link, report: messages.LoadReport
    ) -> None:
        instance = self._fleet.by_link(link)
        if instance is None:
            return
        instance.report(report, self._now())
        for pool in self._pools.values():
            if instance.hosts(pool.key):
                self._pump(pool)

    def _table_changed(self, event: TableChanged) -> None:
        self._table = event.table
        self._fleet.table_changed(event.table)
        for pool in self._pools.values():
            pool.configure(event.table)

    def _members_changed(self, event: MembersChanged) -> None:
        leaving = [m.name for m in event.members if m.leaving]
        self._fleet.members_changed(leaving)

    def _rates_changed(self, event: intake.RatesChanged) -> None:
        self._intake.rates = event.rates

    def _crash_learned(self, event: CrashLearned) -> None:
        seen, at = event.seen, self._now() - event.age_s
        self._suspects.crashed(seen.fingerprint, seen.upstream, seen.alone, at)
        if seen.convicted:
            self._suspects.refuse(seen.fingerprint, REFUSE_S, at)

    def _pool(self, request: Request) -> Pool:
        ctx = request.ctx
        key = (
            f'model/{request.base}'
            if request.base
            else f'service/{ctx.target}'
        )
        pool = self._pools.get(key)
        if pool is None:
            pool = Pool(key)
            pool.configure(self._table)
            self._pools[key] = pool
        return pool

    def _hosts(self, request: Request) -> Hosts:
        return self._fleet.hosts(request.ctx, request.base)

    def _loads_of(self, pool: Pool) -> list[InstanceLoad]:
        return [i.load for i in self._fleet.hosting(pool.key)]

    def _burst(self) -> float:
        return max(retries.MIN_BURST, float(self._fleet.largest_slots()))
