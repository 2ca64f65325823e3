"""Places requests on upstreams, or tells at once that they can't be.

What decides is in `burdockchute.decisions`; here it meets the greenlets of
the requests, each of which waits for its place.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from gevent import event as events
from gevent import Timeout

from burdockchute import logs
from burdockchute.decisions import admission
from burdockchute.decisions import patience
from burdockchute.decisions import retries
from burdockchute.decisions import versions
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.placement import Work
from burdockchute.decisions.waiting import Waiting
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.machines import Bounds
from burdockchute.model.outcomes import NotRun
from burdockchute.model.requests import RequestContext
from burdockchute.model.upstreams import Upstream
from burdockchute.wire import messages
from burdockchute_entry.fleet import Pinned
from burdockchute_entry.pools import Pool
from burdockchute_entry.straight.targets import Target

# A queue is bounded by the time that its requests may wait; this only bounds
# its memory when thousands come at once.
MAX_WAITING = 512

# A request whose service has nobody to run it hears so at once; upstreams
# restart or are listed again within about this time.
NOBODY_RETRY_S = 1.0

# A request whose target has no room does not hold up those behind it; more
# than this many are not looked past in one go.
MAX_ASIDE = 16

# Weights that are loaded at one version; the pools know them as a digest.
NO_WEIGHTS = Pinned('', '')


class Wish(NamedTuple):
    """Where a request may run.

    `model` is empty for a service without weights. `exact` is the version
    that a stream was begun on, which a resumed one has to keep.
    """

    service: str
    model: str
    objective_s: float
    exact: int | None = None


class Place(NamedTuple):
    """Where a request runs, and the version of weights it runs on."""

    target: Target
    version: int | None


class Placing:
    """One request that wants a place; `avoided` are targets that failed."""

    def __init__(self, ctx: RequestContext, work: Work, wish: Wish) -> None:
        self.ctx = ctx
        self.work = work
        self.wish = wish
        self.avoided: set[str] = set()
        self.place: events.AsyncResult = events.AsyncResult()

    def avoids(self, target: Target) -> bool:
        """Tell whether it has failed there already."""
        return target.id in self.avoided


class Placer:
    """The targets, the queues and the budgets of retries of one entry."""

    def __init__(
        self,
        bounds: Bounds,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.entries = 1
        self._bounds = bounds
        self._now = now
        self._rng = rng
        self._beliefs = Beliefs()
        self._targets: dict[str, Target] = {}
        self._pools: dict[str, Pool] = {}
        self._waiting: dict[str, Placing] = {}
        self._budgets: dict[str, retries.Budget] = {}

    # What is learnt.

    def learn(self, beliefs: Beliefs) -> None:
        """Take in new beliefs."""
        self._beliefs = beliefs
        present = {upstream.id: upstream for upstream in beliefs.present()}
        for name in self._targets.keys() - present.keys():
            self._targets.pop(name).close_idle()
        for name, upstream in present.items():
            target = self._targets.get(name)
            if target is not None and _same_start(target, upstream):
                target.relisted(upstream)
                continue
            if target is not None:
                target.close_idle()
            self._targets[name] = Target(upstream, self._now())
        self.fill_all()

    def reported(self, address: str, report: messages.LoadReport) -> None:
        """Take in what the agent at an upstream's address reports."""
        now = self._now()
        self.entries = max(1, report.entries or 1)
        for target in self._targets.values():
            if str(target.upstream.endpoint) == address:
                self._take_report(target, report, now)

    def targets(self) -> list[Target]:
        """Give all targets, by id."""
        return [self._targets[name] for name in sorted(self._targets)]

    # Requests.

    def place(self, placing: Placing, wait_until: float) -> Place | NotRun:
        """Wait for a place, at most until a time.

        Gives NotRun at once if the request can't have one in time.
        """
        pool = self._pool(placing.wish.service)
        now = self._now()
        hosts = self._hosts(placing, now)
        if not hosts:
            reason = f'no upstream can run {placing.wish.service!r} now'
            return NotRun(reason, 503, NOBODY_RETRY_S)
        loads = self._loads(placing.wish.service, now)
        wait_s = pool.expected_wait_s(placing, loads, now)
        patience_s = patience.longest_wait_s(
            placing.wish.objective_s, wait_until - now
        )
        if wait_s > patience_s:
            return NotRun(
                f'the wait would be {wait_s:.2f} s',
                503,
                admission.retry_after_s(wait_s),
            )
        return self._wait(pool, placing, patience_s)

    def release(self, placing: Placing, place: Place) -> None:
        """Free the place of a request that was not run there."""
        place.target.load.returned(placing.work)
        self._fill(placing.wish.service)

    def answered(
        self, placing: Placing, place: Place, service_s: float
    ) -> None:
        """Free the place of a request that was answered in so long."""
        pool = self._pool(placing.wish.service)
        now = self._now()
        place.target.load.answered(placing.work, service_s, pool.unit_s, now)
        place.target.answered(now)
        pool.answered(service_s / placing.work.cost)
        self._fill(placing.wish.service)

    def failed(self, placing: Placing, place: Place, service_s: float) -> None:
        """Free the place of a request that failed there after so long."""
        pool = self._pool(placing.wish.service)
        now = self._now()
        place.target.load.failed(placing.work, service_s, pool.unit_s, now)
        self._fill(placing.wish.service)

    def count_first(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        now, terms = self._now(), self._terms()
        budget = self._budget(service, now, terms)
        self._budgets[service] = retries.earn(budget, now, terms)

    def may_retry(self, service: str) -> bool:
        """Take one retry out of a service's budget, if it has one."""
        now, terms = self._now(), self._terms()
        budget = self._budget(service, now, terms)
        self._budgets[service], allowed = retries.spend(budget, now, terms)
        return allowed

    def retries_left(self, service: str) -> float:
        """Give the balance of a service's budget."""
        return self._budget(service, self._now(), self._terms()).balance

    def fill_all(self) -> None:
        """Use what room there is."""
        for service in self._pools:
            self._fill(service)

    # How places are found.

    def _wait(
        self, pool: Pool, placing: Placing, patience_s: float
    ) -> Place | NotRun:
        ctx, now = placing.ctx, self._now()
        placing.place = events.AsyncResult()
        self._waiting[ctx.request_id] = placing
        cost = placing.work.cost
        for item in pool.queue.offer(ctx, cost, False, now):
            victim = self._waiting.pop(item.ctx.request_id)
            retry_s = admission.retry_after_s(patience_s)
            victim.place.set(NotRun('too many wait', 503, retry_s))
        self._fill(placing.wish.service)
        try:
            return placing.place.get(timeout=patience_s)
        except Timeout:
            self._forget(pool, placing)
            retry_s = admission.retry_after_s(patience_s)
            return NotRun(
                f'no place came free in {patience_s:.2f} s', 503, retry_s
            )
        except BaseException:
            # The caller has gone: what it was given in this moment is free.
            self._forget(pool, placing)
            if placing.place.ready() and isinstance(
                placing.place.value, Place
            ):
                self.release(placing, placing.place.value)
            raise

    def _forget(self, pool: Pool, placing: Placing) -> None:
        self._waiting.pop(placing.ctx.request_id, None)
        pool.queue.remove(placing.ctx.request_id)

    def _fill(self, service: str) -> None:
        pool = self._pool(service)
        now = self._now()
        aside: list[Waiting] = []
        while len(pool.queue) and len(aside) < MAX_ASIDE:
            if not any(load.room(now) for load in self._loads(service, now)):
                break
            item = pool.queue.pop(now)
            if item is None:
                break
            placing = self._waiting[item.ctx.request_id]
            if not self._give(pool, placing, now):
                aside.append(item)
        for item in aside:
            pool.queue.put_back(item)

    def _give(self, pool: Pool, placing: Placing, now: float) -> bool:
        hosts = self._hosts(placing, now)
        chosen = pool.place(placing, hosts, now, self._rng)
        if chosen is None:
            return False
        del self._waiting[placing.ctx.request_id]
        target = chosen.instance
        target.load.sent(placing.work, now)
        digest = chosen.pinned.digest
        placing.place.set(Place(target, int(digest) if digest else None))
        return True

    def _hosts(
        self, placing: Placing, now: float
    ) -> list[tuple[Pinned, list[Target]]]:
        wish = placing.wish
        usable = [
            target
            for target in self._usable(wish.service, now)
            if not placing.avoids(target)
        ]
        if not wish.model:
            return [(NO_WEIGHTS, usable)] if usable else []
        history = self._beliefs.history(wish.model)
        least = versions.least_allowed(history, self._bounds.version_s, now)
        by_version: dict[int, list[Target]] = {}
        for target in usable:
            version = target.versions.get(wish.model)
            if version is None or version < least:
                continue
            if wish.exact in (None, version):
                by_version.setdefault(version, []).append(target)
        return [
            (Pinned(str(version), ''), by_version[version])
            for version in sorted(by_version, reverse=True)
        ]

    def _usable(self, service: str, now: float) -> list[Target]:
        return [
            target
            for target in self._targets.values()
            if target.upstream.service == service and target.is_usable(now)
        ]

    def _loads(self, service: str, now: float) -> list[InstanceLoad]:
        return [
            target.load
            for target in self._usable(service, now)
            if target.versions or not target.agent_reports
        ]

    def _pool(self, service: str) -> Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = Pool(f'service/{service}')
            pool.queue.max_waiting = MAX_WAITING
        return pool

    def _terms(self) -> retries.Terms:
        bounds = self._bounds
        return retries.shared_terms(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_s,
            self.entries,
        )

    def _budget(
        self, service: str, now: float, terms: retries.Terms
    ) -> retries.Budget:
        return self._budgets.get(service) or retries.full_budget(now, terms)

    def _take_report(
        self, target: Target, report: messages.LoadReport, now: float
    ) -> None:
        loaded = {}
        for state in report.weights or ():
            model, _at, version = state.digest.rpartition('@')
            loaded[model] = int(version)
        if dict(target.versions) != loaded:
            logs.event(
                'upstream_versions_reported',
                upstream=target.id,
                versions=','.join(f'{m}@{v}' for m, v in loaded.items()),
            )
        target.versions = loaded
        target.reports += 1
        target.agent_reports = True
        slots = report.slots or target.upstream.slots
        target.load.report(report.running, slots, self.entries, 0.0, (), now)
        self._fill(target.upstream.service)


def _same_start(target: Target, upstream: Upstream) -> bool:
    known = target.upstream
    return (known.endpoint, known.started_ms, known.service) == (
        upstream.endpoint,
        upstream.started_ms,
        upstream.service,
    )
