"""Order of the requests that wait for the same instances.

There are more requests than slots, and customers send very unequal amounts,
with different priorities, deadlines and lengths. If requests waited in the
engines, no entry could order them: one customer's flood would run before
everyone else's next request, a mail merge of thousand-word letters would
occupy every slot while a teacher waits for one rhyme, and a caller would learn
only at its deadline that its request never ran.

Requests are ordered by priority first, then fairly between customers, then by
earliest deadline within a customer. Some requests go before all others of
their customer and priority (`goes_first`). Fairness is start-time fair
queueing: of the customers with waiting requests, the one that has received the
least work goes next. A customer that was idle gets no credit for it.

A request rises by one priority for each AGING_INTERVAL_S of waiting, so that a
steady stream of a higher priority delays it but does not starve it. When a
queue is full (`max_waiting` of the row), the newest request of the customer
with the most waiting requests at the lowest priority is displaced, so that a
flood displaces itself.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import math
from typing import NamedTuple

from burdockchute.model.requests import RequestContext

# Ten times the objective for a first token; by then the usual order has failed
# the request.
AGING_INTERVAL_S = 5.0


class QueuedRequest(NamedTuple):
    """A waiting request; `cost` is its work in generated tokens."""

    ctx: RequestContext
    cost: float
    is_long: bool
    queued_at: float
    sequence: int
    goes_first: bool = False


class _QueueKey(NamedTuple):
    customer: str
    priority: int
    is_long: bool
    goes_first: bool


class _ClassKey(NamedTuple):
    customer: str
    priority: int


class FairQueue:
    """Requests that wait for the same instances."""

    def __init__(self, max_waiting: int) -> None:
        self.max_waiting = max_waiting
        self._waiting: dict[str, QueuedRequest] = {}
        # Entries of removed requests stay in a heap until they reach its top
        # or make up more than half of it.
        self._heaps: dict[_QueueKey, list[tuple[float, int, str]]] = {}
        self._counts: dict[_QueueKey, int] = {}
        self._work: dict[_ClassKey, float] = {}
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
        may_displace: Callable[[QueuedRequest], bool] = lambda item: True,
        goes_first: bool = False,
    ) -> list[QueuedRequest]:
        """Queue a request and return the requests that this displaces.

        If the queue is full and the new request can't displace another one, or
        `may_displace` forbids it, the new request itself is returned.
        """
        self._next_sequence += 1
        item = QueuedRequest(
            ctx, cost, is_long, now, self._next_sequence, goes_first
        )
        refused = []
        if len(self._waiting) >= self.max_waiting:
            displaced = self._choose_displaced(item)
            if displaced is item or not may_displace(displaced):
                return [item]
            self.remove(displaced.ctx.request_id)
            refused.append(displaced)
        self._add(item)
        return refused

    def put_back(self, item: QueuedRequest) -> None:
        """Requeue a request that did not start, at its old position."""
        customer = item.ctx.customer
        self._virtual_finish[customer] = (
            self._virtual_finish.get(customer, 0.0) - item.cost
        )
        self._add(item)

    def pop(self, now: float, allow_long: bool = True) -> QueuedRequest | None:
        """Remove and return the next request, None if there is none."""
        queue = self._next_key(now, allow_long)
        if queue is None:
            return None
        request_id = self._heaps[queue][0][2]
        item = self.remove(request_id)
        assert item is not None
        start = max(
            self._virtual_now, self._virtual_finish.get(queue.customer, 0.0)
        )
        self._virtual_now = start
        self._virtual_finish[queue.customer] = start + item.cost
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove one request, whatever its position in the order."""
        item = self._waiting.pop(request_id, None)
        if item is None:
            return None
        queue = _queue_key(item)
        self._counts[queue] -= 1
        self._work[_class_key(item)] -= item.cost
        if self._counts[queue]:
            self._compact(queue)
            return item
        del self._heaps[queue]
        del self._counts[queue]
        key = _class_key(item)
        if not any(
            (other.customer, other.priority) == key for other in self._counts
        ):
            del self._work[key]
        return item

    def queued_before(self, at: float) -> list[QueuedRequest]:
        """Return the requests that were queued before a time."""
        return [item for item in self._waiting.values() if item.queued_at < at]

    def work_ahead_of(self, ctx: RequestContext) -> float:
        """Return the work that runs before a request that arrives now.

        Only work of at least its priority counts, and other customers' work
        only up to their fair part, which is as much as waits of its own
        customer, and one request more: the flood of one customer does not
        lengthen the expected wait of the others. The work of the request
        itself does not count, as it is ordered by when it may begin.
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
        fair = own + self.work() / max(1, len(self))
        return own + sum(min(work, fair) for work in others.values())

    def work(self) -> float:
        """Return the waiting work, in generated tokens."""
        return sum(self._work.values())

    def _add(self, item: QueuedRequest) -> None:
        queue = _queue_key(item)
        entry = (item.ctx.deadline, item.sequence, item.ctx.request_id)
        heapq.heappush(self._heaps.setdefault(queue, []), entry)
        self._counts[queue] = self._counts.get(queue, 0) + 1
        key = _class_key(item)
        self._work[key] = self._work.get(key, 0.0) + item.cost
        self._waiting[item.ctx.request_id] = item

    def _next_key(self, now: float, allow_long: bool) -> _QueueKey | None:
        best: tuple[float, float, bool, float] | None = None
        chosen = None
        for queue, heap in self._heaps.items():
            if queue.is_long and not allow_long:
                continue
            head = self._waiting[heap[0][2]]
            finish = self._virtual_finish.get(queue.customer, 0.0)
            rank = (
                -_effective_priority(head, now),
                max(self._virtual_now, finish),
                not queue.goes_first,
                head.ctx.deadline,
            )
            if best is None or rank < best:
                best = rank
                chosen = queue
        return chosen

    def _choose_displaced(self, newcomer: QueuedRequest) -> QueuedRequest:
        lowest = min(queue.priority for queue in self._heaps)
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
        for queue, count in self._counts.items():
            if queue.priority == priority:
                counts[queue.customer] = counts.get(queue.customer, 0) + count
        return counts

    def _compact(self, queue: _QueueKey) -> None:
        heap = self._heaps[queue]
        while heap and not self._is_live(heap[0]):
            heapq.heappop(heap)
        if len(heap) > 2 * self._counts[queue] + 16:
            heap[:] = [entry for entry in heap if self._is_live(entry)]
            heapq.heapify(heap)

    def _is_live(self, entry: tuple[float, int, str]) -> bool:
        item = self._waiting.get(entry[2])
        return item is not None and item.sequence == entry[1]


def _queue_key(item: QueuedRequest) -> _QueueKey:
    ctx = item.ctx
    return _QueueKey(ctx.customer, ctx.priority, item.is_long, item.goes_first)


def _class_key(item: QueuedRequest) -> _ClassKey:
    return _ClassKey(item.ctx.customer, item.ctx.priority)


def _effective_priority(item: QueuedRequest, now: float) -> int:
    waited = max(0.0, now - item.queued_at)
    return item.ctx.priority + math.floor(waited / AGING_INTERVAL_S)
