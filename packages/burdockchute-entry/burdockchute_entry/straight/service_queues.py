"""Requests that wait for one service, and the places that they get."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gevent import event as events

from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.overload import OverloadDetector
from burdockchute.decisions.placement import Work
from burdockchute.model.requests import RequestContext
from burdockchute_entry.pools import Pool
from burdockchute_entry.straight.targets import Target

# A queue is bounded by the time that its requests may wait; this only bounds
# its memory when thousands come at once.
MAX_WAITING = 512


class RequestSpec(NamedTuple):
    """Where a request may run.

    `model` is empty for a service without weights. `elapsed_s` is what its
    caller has spent on earlier sendings. `exact_version` is the version that a
    stream was begun on, which a resumed one has to keep.
    """

    service: str
    model: str
    objective_s: float
    elapsed_s: float = 0.0
    exact_version: int | None = None


class ServiceQueue(Pool):
    """The requests that wait for one service.

    Streams that have begun wait in `resumed` and come first, then those in
    `queue`, which can still be on time, then those in `overdue`.
    """

    def __init__(self, service: str) -> None:
        super().__init__(f'service/{service}')
        self.queue.max_waiting = MAX_WAITING
        self.resumed = FairQueue(MAX_WAITING)
        self.overdue = FairQueue(MAX_WAITING)
        self.overload = OverloadDetector()
        self._overdue_served: deque[float] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether nobody waits."""
        return not any(map(len, self.queues))

    @property
    def queues(self) -> tuple[FairQueue, FairQueue, FairQueue]:
        """The queues, in the order in which they get places."""
        return self.resumed, self.queue, self.overdue

    def record_overdue_served(self, now: float) -> None:
        """Note that one of the late got a place."""
        self._overdue_served.append(now)

    def overdue_served_recently(self, now: float) -> int:
        """Give how many of the late got a place lately."""
        while self._overdue_served:
            if now - self._overdue_served[0] <= wait_limits.RECENT_WINDOW_S:
                break
            self._overdue_served.popleft()
        return len(self._overdue_served)


class Slot(NamedTuple):
    """Where a request runs, and the version of weights it runs on."""

    target: Target
    version: int | None


class PendingRequest:
    """One request that wants a place.

    `avoided` are targets that failed it, `rejected` when others had no room
    for it; `is_new` as long as it may be on time, `is_overdue` while it waits
    behind those, `resuming` once its caller has a part of its answer.
    """

    def __init__(
        self, ctx: RequestContext, work: Work, spec: RequestSpec
    ) -> None:
        self.ctx = ctx
        self.work = work
        self.spec = spec
        self.avoided: set[str] = set()
        self.rejected: dict[str, float] = {}
        self.is_new = False
        self.is_overdue = False
        self.resuming = False
        self.slot: events.AsyncResult = events.AsyncResult()

    def avoids(self, target: Target) -> bool:
        """Tell whether it has failed there already."""
        return target.id in self.avoided

    def was_rejected(self, target: Target, now: float) -> bool:
        """Tell whether it was rejected there a moment ago."""
        rejected_at = self.rejected.get(target.id, float('-inf'))
        return now - rejected_at < wait_limits.REJECTION_BACKOFF_S
