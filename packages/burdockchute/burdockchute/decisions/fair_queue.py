"""Waiting: whose turn is next, and who has waited long enough.

Load it answers: more requests than slots, from customers that send very
unequal amounts, with priorities, deadlines and lengths that differ.

Without it, requests wait in the engines, where no entry can order them: one
customer's flood stands before everybody's next request, a mail merge of
thousand-word letters takes every slot while a teacher waits for one rhyme,
and a caller hears only at its deadline that its turn never came.

The order is by priority first, then fair between customers, then earliest
deadline within a customer. Fair means that of customers with work waiting
the one goes next that has had the least work done (start-time fair
queueing); one that was idle gets no credit for it.

Thresholds: a request rises by one priority for each AGE_S that it has
waited, so that a steady stream of a higher priority delays it and does not
starve it; five seconds is ten times the aim for a first token, by then
ordinary order has failed the caller. When a queue is full (`max_waiting` of
the row) the newest request of the customer with the most waiting at the
lowest priority makes room, so that a flood displaces itself.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import math
from typing import NamedTuple

from burdockchute.model.requests import RequestContext

AGE_S = 5.0


class QueuedRequest(NamedTuple):
    """A request that waits; `cost` is its work in generated tokens."""

    ctx: RequestContext
    cost: float
    is_long: bool
    since: float
    sequence: int


class _Lane(NamedTuple):
    customer: str
    priority: int
    is_long: bool


class _Class(NamedTuple):
    customer: str
    priority: int


class FairQueue:
    """Requests that wait for the same instances."""

    def __init__(self, max_waiting: int) -> None:
        self.max_waiting = max_waiting
        self._waiting: dict[str, QueuedRequest] = {}
        # Entries of removed requests stay in a heap until they come to its
        # top, or until they are the larger part of it.
        self._lanes: dict[_Lane, list[tuple[float, int, str]]] = {}
        self._counts: dict[_Lane, int] = {}
        self._work: dict[_Class, float] = {}
        self._virtual_now = 0.0
        self._virtual_finish: dict[str, float] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(
        self,
        ctx: RequestContext,
        cost: float,
        is_long: bool,
        now: float,
        may_yield: Callable[[QueuedRequest], bool] = lambda item: True,
    ) -> list[QueuedRequest]:
        """Let a request wait; gives whatever has to make room, or itself.

        What `may_yield` denies is kept, and the newcomer refused.
        """
        self._next_sequence += 1
        item = QueuedRequest(ctx, cost, is_long, now, self._next_sequence)
        refused = []
        if len(self._waiting) >= self.max_waiting:
            victim = self._victim(item)
            if victim is item or not may_yield(victim):
                return [item]
            self.remove(victim.ctx.request_id)
            refused.append(victim)
        self._add(item)
        return refused

    def put_back(self, item: QueuedRequest) -> None:
        """Let a request that had its turn in vain wait at its old place."""
        customer = item.ctx.customer
        self._virtual_finish[customer] = (
            self._virtual_finish.get(customer, 0.0) - item.cost
        )
        self._add(item)

    def pop(self, now: float, allow_long: bool = True) -> QueuedRequest | None:
        """Take out the request whose turn it is."""
        lane = self._next_lane(now, allow_long)
        if lane is None:
            return None
        request_id = self._lanes[lane][0][2]
        item = self.remove(request_id)
        assert item is not None
        start = max(
            self._virtual_now, self._virtual_finish.get(lane.customer, 0.0)
        )
        self._virtual_now = start
        self._virtual_finish[lane.customer] = start + item.cost
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take out one request, whoever's turn it is."""
        item = self._waiting.pop(request_id, None)
        if item is None:
            return None
        lane = _lane_of(item)
        self._counts[lane] -= 1
        self._work[_class_of(item)] -= item.cost
        if self._counts[lane]:
            self._tidy(lane)
            return item
        del self._lanes[lane]
        del self._counts[lane]
        if lane._replace(is_long=not lane.is_long) not in self._counts:
            del self._work[_class_of(item)]
        return item

    def queued_before(self, at: float) -> list[QueuedRequest]:
        """Give the requests that have waited since before a time."""
        return [item for item in self._waiting.values() if item.since < at]

    def work_ahead_of(self, ctx: RequestContext, cost: float) -> float:
        """Give the work that is done before a request that came now.

        Only work of at least its priority counts, and other customers come
        between only as far as their fair part goes: the flood of one does
        not lengthen the expected wait of the rest.
        """
        own = 0.0
        others: dict[str, float] = {}
        for (customer, priority), work in self._work.items():
            if priority < ctx.priority:
                continue
            if customer == ctx.customer:
                own += work
            else:
                others[customer] = others.get(customer, 0.0) + work
        return own + sum(min(work, own + cost) for work in others.values())

    def work(self) -> float:
        """Give the work that waits, in generated tokens."""
        return sum(self._work.values())

    def _add(self, item: QueuedRequest) -> None:
        lane = _lane_of(item)
        entry = (item.ctx.deadline, item.sequence, item.ctx.request_id)
        heapq.heappush(self._lanes.setdefault(lane, []), entry)
        self._counts[lane] = self._counts.get(lane, 0) + 1
        key = _class_of(item)
        self._work[key] = self._work.get(key, 0.0) + item.cost
        self._waiting[item.ctx.request_id] = item

    def _next_lane(self, now: float, allow_long: bool) -> _Lane | None:
        best: tuple[float, float, float] | None = None
        chosen = None
        for lane, heap in self._lanes.items():
            if lane.is_long and not allow_long:
                continue
            head = self._waiting[heap[0][2]]
            finish = self._virtual_finish.get(lane.customer, 0.0)
            rank = (
                -_effective_priority(head, now),
                max(self._virtual_now, finish),
                head.ctx.deadline,
            )
            if best is None or rank < best:
                best = rank
                chosen = lane
        return chosen

    def _victim(self, newcomer: QueuedRequest) -> QueuedRequest:
        lowest = min(lane.priority for lane in self._lanes)
        if newcomer.ctx.priority < lowest:
            return newcomer
        counts = self._counts_at(lowest)
        largest = max(counts, key=lambda customer: counts[customer])
        if newcomer.ctx.priority == lowest:
            own = counts.get(newcomer.ctx.customer, 0)
            if own + 1 >= counts[largest]:
                return newcomer
        return max(
            (
                item
                for item in self._waiting.values()
                if item.ctx.priority == lowest and item.ctx.customer == largest
            ),
            key=lambda item: item.sequence,
        )

    def _counts_at(self, priority: int) -> dict[str, int]:
        counts: dict[str, int] = {}
        for lane, count in self._counts.items():
            if lane.priority == priority:
                counts[lane.customer] = counts.get(lane.customer, 0) + count
        return counts

    def _tidy(self, lane: _Lane) -> None:
        heap = self._lanes[lane]
        while heap and not self._is_live(heap[0]):
            heapq.heappop(heap)
        if len(heap) > 2 * self._counts[lane] + 16:
            heap[:] = [entry for entry in heap if self._is_live(entry)]
            heapq.heapify(heap)

    def _is_live(self, entry: tuple[float, int, str]) -> bool:
        item = self._waiting.get(entry[2])
        return item is not None and item.sequence == entry[1]


def _lane_of(item: QueuedRequest) -> _Lane:
    return _Lane(item.ctx.customer, item.ctx.priority, item.is_long)


def _class_of(item: QueuedRequest) -> _Class:
    return _Class(item.ctx.customer, item.ctx.priority)


def _effective_priority(item: QueuedRequest, now: float) -> int:
    waited = max(0.0, now - item.since)
    return item.ctx.priority + math.floor(waited / AGE_S)
