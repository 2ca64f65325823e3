"""Queues requests and dispatches them to instances, within a retry budget."""

from __future__ import annotations

from collections.abc import Callable
import random

from burdockchute.decisions import admission
from burdockchute.decisions import hosting
from burdockchute.decisions import retries
from burdockchute.decisions.fair_queue import QueuedRequest
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.model import table as tables
from burdockchute.model.outcomes import NotRun
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry import fleet as fleets
from burdockchute_entry.attempts import Attempt
from burdockchute_entry.attempts import Request
from burdockchute_entry.fleet import Fleet
from burdockchute_entry.pools import ChosenHost
from burdockchute_entry.pools import Hosts
from burdockchute_entry.pools import Pool

# How long requests wait for the first instance of a target. A restart of
# the only instance takes longer, so that callers are better refused early.
NO_INSTANCE_WAIT_S = 2.0
NO_INSTANCE_RETRY_S = 2.0

# A request whose target is open nowhere does not block those queued behind
# it; at most this many are skipped in one pass over a queue.
MAX_SKIPPED = 32

Refuse = Callable[[Request, NotRun], None]


class Dispatcher:
    """Owns the queues, the instances and the retry budget.

    `requests` are those without a final outcome, by id; `refuse` ends one.
    """

    def __init__(
        self,
        now: Callable[[], float],
        rng: random.Random,
        requests: dict[str, Request],
        refuse: Refuse,
        name: str = '',
    ) -> None:
        self.fleet = Fleet()
        self._now = now
        self._rng = rng
        self._requests = requests
        self._refuse = refuse
        self._name = name
        self.entries: list[str] = []
        self._table: Table = tables.EMPTY_TABLE
        self._pools: dict[str, Pool] = {}
        self._policy = retries.DEFAULT_POLICY
        self._budget = retries.full_budget(now())

    def table_changed(self, table: Table) -> None:
        """Apply a new table."""
        self._table = table
        self.fleet.table_changed(table)
        for pool in self._pools.values():
            pool.configure(table)

    def load_reported(
        self, link: links.Link, report: messages.LoadReport
    ) -> None:
        """Apply an instance's load report, and fill its free slots."""
        instance = self.fleet.by_link(link)
        if instance is None:
            return
        rows = [
            tables.find_row(self._table, ServiceRow, name)
            for name in report.services or ()
        ]
        slots = [row.slots for row in rows if row is not None]
        instance.apply_report(report, max(slots, default=1), self._now())
        self._raise_burst(float(instance.load.slots))
        for pool in self._pools.values():
            if instance.hosts(pool.key):
                self._fill_slots(pool)

    def pool(self, request: Request) -> Pool:
        """Return the queue of a request's base model or service."""
        if request.base:
            key = f'model/{request.base}'
        else:
            key = f'service/{request.ctx.target}'
        pool = self._pools.get(key)
        if pool is None:
            pool = Pool(key)
            pool.configure(self._table)
            self._pools[key] = pool
        return pool

    def loads_of(self, pool: Pool) -> list[InstanceLoad]:
        """Return the loads of the instances that serve a queue."""
        return [i.load for i in self.fleet.hosting(pool.key)]

    def enqueue(self, request: Request) -> None:
        """Queue a request; it is dispatched at once if a slot is free."""
        pool = self.pool(request)
        ctx, now = request.ctx, self._now()
        is_long = pool.is_long(request.work.cost)
        request.work = request.work._replace(is_long=is_long)
        refused = pool.queue.offer(
            ctx, request.work.cost, is_long, now, self._is_evictable
        )
        for item in refused:
            victim = self._requests[item.ctx.request_id]
            drain_s = pool.drain_s(self.loads_of(pool), now)
            retry_s = admission.retry_after_s(drain_s)
            self._refuse(victim, NotRun('too many wait', 503, retry_s))
        self._fill_slots(pool)

    def requeue(self, request: Request) -> None:
        """Queue a request again after an attempt without an answer."""
        request.waiting_since = self._now()
        pool = self.pool(request)
        if request.is_suspect or request.queue_item is None:
            pool.suspects.append(request)
        else:
            pool.queue.put_back(request.queue_item)
        self._fill_slots(pool)

    def remove(self, request: Request) -> None:
        """Remove a request that has its final outcome."""
        pool = self.pool(request)
        pool.queue.remove(request.ctx.request_id)
        if request in pool.suspects:
            pool.suspects.remove(request)
        self.release_instance(request)

    def release_instance(self, request: Request) -> None:
        """Release the instance that is reserved for a suspect."""
        for instance in self.fleet.instances.values():
            if instance.load.reserved_for == request.ctx.request_id:
                instance.load.reserved_for = ''

    def fill_slots_for(self, request: Request) -> None:
        """Fill the slots that a request has freed."""
        self._fill_slots(self.pool(request))

    def tick(self) -> None:
        """Refuse requests that no instance can run, and fill free slots."""
        for pool in self._pools.values():
            self._refuse_without_instance(pool)
            self._fill_slots(pool)

    def may_retry(self, request: Request) -> bool:
        """Whether a request may be retried; debits the retry budget if so."""
        if request.attempts >= retries.MAX_ATTEMPTS:
            return False
        self._budget, allowed = retries.spend(
            self._budget, self._now(), self._policy
        )
        return allowed

    def _fill_slots(self, pool: Pool) -> None:
        for request in list(pool.suspects):
            hosts = self._hosts(request)
            chosen = pool.choose_for_suspect(request, hosts, self._may_reserve)
            if chosen is not None and self._dispatch(request, chosen):
                pool.suspects.remove(request)
        now = self._now()
        skipped: list[QueuedRequest] = []
        while len(pool.queue) and len(skipped) < MAX_SKIPPED:
            free = [load for load in self.loads_of(pool) if load.headroom(now)]
            if not free:
                break
            allow_long = any(
                load.accepts_long(pool.long_share) for load in free
            )
            item = pool.queue.pop(now, allow_long)
            if item is None:
                break
            if not self._try_dispatch(pool, item):
                skipped.append(item)
        for item in skipped:
            pool.queue.put_back(item)

    def _try_dispatch(self, pool: Pool, item: QueuedRequest) -> bool:
        request = self._requests[item.ctx.request_id]
        now = self._now()
        service_s = pool.unit_s * request.work.cost
        if admission.is_too_late(item.ctx, 0.0, service_s, now):
            self._refuse(request, NotRun('can not be done in time'))
            return True
        chosen = pool.choose_host(
            request, self._hosts(request), now, self._rng
        )
        if chosen is None:
            return False
        request.queue_item = item
        return self._dispatch(request, chosen)

    def _dispatch(self, request: Request, chosen: ChosenHost) -> bool:
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
            self._budget = retries.earn(self._budget, now, self._policy)
        request.attempts += 1
        request.pinned = pinned
        request.attempt = Attempt(attempt_id, instance, pinned, 0, now)
        instance.load.on_sent(request.work, now)
        return True

    def _refuse_without_instance(self, pool: Pool) -> None:
        # Without an instance, a request would stay in the queue until its
        # deadline, while its caller could have tried elsewhere.
        cutoff = self._now() - NO_INSTANCE_WAIT_S
        for request in pool.waiting_before(self._requests, cutoff):
            if not self._hosts(request):
                text = f'no instance is open for {request.ctx.target!r}'
                self._refuse(request, NotRun(text, 503, NO_INSTANCE_RETRY_S))

    def _is_evictable(self, item: QueuedRequest) -> bool:
        # After an attempt the outcome could only be reported as unknown.
        return not self._requests[item.ctx.request_id].attempts

    def _may_reserve(self, instance: str) -> bool:
        if self._name not in self.entries:
            return True
        key = f'suspect/{instance}'
        return hosting.ranked(key, self.entries)[0] == self._name

    def _hosts(self, request: Request) -> Hosts:
        return self.fleet.hosts(request.ctx, request.base)

    def _raise_burst(self, slots: float) -> None:
        # All requests on one instance may be lost in a single crash.
        more = slots - self._policy.burst
        if more > 0:
            self._policy = self._policy._replace(burst=slots)
            self._budget = self._budget._replace(
                balance=self._budget.balance + more
            )
