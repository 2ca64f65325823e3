"""Requests that wait for a service, and the slots assigned to them."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from gevent import event as events

from burdockchute import metrics
from burdockchute.decisions import engine_placement
from burdockchute.decisions import size_classes
from burdockchute.decisions import wait_limits
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.homes import Home
from burdockchute.decisions.overload import OverloadDetector
from burdockchute.decisions.placement import SMOOTHING
from burdockchute.decisions.placement import Work
from burdockchute.decisions.size_classes import SizeClass
from burdockchute.decisions.size_classes import SizesByRoute
from burdockchute.decisions.urgency import UrgencyState
from burdockchute.model.requests import RequestContext
from burdockchute_entry.pools import Pool
from burdockchute_entry.straight.targets import Target

# The queues are bounded by the time that requests may wait. This limit only
# bounds their memory when thousands of requests arrive at once.
MAX_WAITING = 512


class RequestSpec(NamedTuple):
    """Where a request may run, and its objective.

    `model` is empty for a service without weights. `elapsed_s` is the time
    that the caller spent on earlier attempts. `exact_version` is the version
    that a stream was started on, which must be kept when it is resumed.
    `home` tells in which regions it may run. `route` is the name of its route.
    """

    service: str
    model: str
    objective_s: float
    elapsed_s: float = 0.0
    exact_version: int | None = None
    home: Home = Home()
    route: str = ''


class ServiceQueue(Pool):
    """The requests that wait for one service.

    Interrupted streams wait in `resumed` and are assigned first, then
    requests in `queue`, which can still be on time, then those in `overdue`.
    """

    def __init__(self, service: str) -> None:
        super().__init__(f'service/{service}')
        self.queue.max_waiting = MAX_WAITING
        self.resumed = FairQueue(MAX_WAITING)
        self.overdue = FairQueue(MAX_WAITING)
        self.overload = OverloadDetector()
        self.urgency = UrgencyState()
        self.urgent_slots = metrics.meter().create_counter(
            'burdockchute.urgent_slots',
            description='slots assigned beyond free ones, or lent',
        )
        # Whether less urgent work leaves slots free, as was logged last.
        self.is_pressed = False
        # Mean time from sending a request to its end.
        self.service_s = 0.0
        self._overdue_served: deque[float] = deque()
        self._sizes = SizesByRoute()

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return not self.waiting_count

    @property
    def waiting_count(self) -> int:
        """The number of requests that wait."""
        return sum(map(len, self.queues))

    @property
    def queues(self) -> tuple[FairQueue, FairQueue, FairQueue]:
        """The queues, in the order in which they get slots."""
        return self.resumed, self.queue, self.overdue

    def record_service_time(self, service_s: float) -> None:
        """Add the time of an answer to the moving average."""
        if self.service_s:
            service_s = (
                1 - SMOOTHING
            ) * self.service_s + SMOOTHING * service_s
        self.service_s = service_s

    def classify(self, pending: PendingRequest) -> None:
        """Set the size classes of a new request among those of its route."""
        if pending.size_classes is None and any(pending.size):
            ranks = self._sizes.get(pending.spec.route).ranks
            pending.size_classes = ranks.classify(
                size_classes.sizes_of(*pending.size)
            )

    def record_outcome(self, pending: PendingRequest, served: bool) -> None:
        """Record whether a request got a slot, once for each request."""
        if pending.size_classes is None or pending.is_counted:
            return
        pending.is_counted = True
        balance = self._sizes.get(pending.spec.route).balance
        balance.record(pending.size_classes, served)

    def size_ratio(self, pending: PendingRequest) -> float:
        """Return how often requests of its size are served, compared to all.

        It is 1 for the remainder of a stream.
        """
        if not pending.size_classes or pending.resuming:
            return 1.0
        balance = self._sizes.get(pending.spec.route).balance
        return balance.ratio(pending.size_classes)

    def record_overdue_served(self, now: float) -> None:
        """Record that an overdue request got a slot."""
        self._overdue_served.append(now)

    def overdue_served_recently(self, now: float) -> int:
        """Return how many overdue requests got a slot recently."""
        while self._overdue_served:
            if now - self._overdue_served[0] <= wait_limits.RECENT_WINDOW_S:
                break
            self._overdue_served.popleft()
        return len(self._overdue_served)


class ServiceQueues(dict[str, ServiceQueue]):
    """The queues of an entry by service, created on first use."""

    def __missing__(self, service: str) -> ServiceQueue:
        service_queue = self[service] = ServiceQueue(service)
        return service_queue


class Slot(NamedTuple):
    """Room for one request on a target, and the weights version there."""

    target: Target
    version: int | None


class PendingRequest:
    """A request that needs a slot.

    `avoided` are the targets that failed the request. `rejected` gives, by
    target, when one had no capacity for it. `is_new` is set while the
    request may be on time, `is_overdue` while it waits in the overdue queue,
    `resuming` once its caller has received a part of the answer. No
    other request may begin where it does for `isolated_s`. `size_classes` are
    its classes among the requests of its route, None until it is planned and
    where its lengths are not known. `overtaken_by` counts the later requests
    of its queue that got a slot in rounds in which it got none.
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
        self.isolated_s = 0.0
        self.size_classes: Mapping[str, SizeClass] | None = None
        self.overtaken_by = 0
        # Whether it is counted among the requests that got a slot or did not.
        self.is_counted = False
        # Priority by which the engine admits it, if not its own.
        self.lent_priority: int | None = None
        self.slot: events.AsyncResult = events.AsyncResult()

    @property
    def size(self) -> engine_placement.RequestSize:
        """The lengths of its prompt and answer."""
        return engine_placement.RequestSize(
            self.ctx.prompt_tokens, self.ctx.max_tokens
        )

    @property
    def urgency(self) -> int:
        """The urgency by which the engine admits it, 0 is the most urgent."""
        priority = self.lent_priority
        if priority is None:
            priority = self.ctx.priority
        # The priority of a context rises with urgency.
        return min(9, max(0, -priority))

    def avoids(self, target: Target) -> bool:
        """Whether the request already failed on a target."""
        return target.id in self.avoided

    def was_rejected(self, target: Target, now: float) -> bool:
        """Whether a target rejected the request a moment ago."""
        rejected_at = self.rejected.get(target.id, float('-inf'))
        return now - rejected_at < wait_limits.REJECTION_BACKOFF_S

    def objective_left_s(self, now: float) -> float | None:
        """Return what is left of the objective.

        It is None for a request that can no longer be on time.
        """
        if self.resuming:
            return wait_limits.RESUME_START_LIMIT_S
        if self.is_overdue:
            return None
        spent_s = self.spec.elapsed_s + now - self.ctx.arrived
        return self.spec.objective_s - spent_s
