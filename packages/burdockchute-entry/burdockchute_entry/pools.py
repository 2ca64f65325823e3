"""Queues of requests for the same instances, and the choice of an instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from burdockchute.decisions import placement
from burdockchute.decisions.fair_queue import FairQueue
from burdockchute.decisions.placement import InstanceLoad
from burdockchute.decisions.placement import SMOOTHING
from burdockchute.decisions.placement import Work
from burdockchute.model import table as tables
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import Table
from burdockchute_entry.attempts import Request
from burdockchute_entry.fleet import Instance
from burdockchute_entry.fleet import PinnedWeights

# Largest share of a pool's instances that may be reserved for suspects, so
# that requests unrelated to a crash are still served.
MAX_RESERVED_SHARE = 0.5


class Placeable(Protocol):
    """What placement needs of a request; hosts that it avoids are skipped."""

    @property
    def ctx(self) -> RequestContext: ...
    @property
    def work(self) -> Work: ...
    def avoids(self, host: Any, /) -> bool: ...


class Host(Protocol):
    """What placement needs of an instance."""

    @property
    def name(self) -> str: ...
    @property
    def load(self) -> InstanceLoad: ...


AnyHost = TypeVar('AnyHost', bound=Host)

Hosts = list[tuple[PinnedWeights, list[Instance]]]


class ChosenHost(NamedTuple, Generic[AnyHost]):
    """The instance chosen for a request, and the weights it is pinned to."""

    instance: AnyHost
    pinned: PinnedWeights


class Pool:
    """The queue for one base model or service.

    `unit_s` is the mean time per unit of work in seconds, 0 before the first
    answer.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.queue = FairQueue(max_waiting=1)
        self.suspects: list[Request] = []
        self.unit_s = 0.0
        self.long_tokens = 0
        self.long_share = 1.0

    def configure(self, table: Table) -> None:
        """Apply the limits in the row."""
        kind, _slash, name = self.key.partition('/')
        if kind == 'service':
            service = tables.find_row(table, ServiceRow, name)
            if service is not None:
                self.queue.max_waiting = service.max_waiting
            return
        model = tables.find_row(table, ModelRow, name)
        if model is not None:
            self.queue.max_waiting = model.max_waiting
            self.long_tokens = model.long_tokens
            self.long_share = model.long_share

    def is_long(self, cost: float) -> bool:
        """Whether a request occupies a slot for long.

        A long prompt alone does not: it is processed in a fraction of the
        time that the same number of generated tokens takes.
        """
        return 0 < self.long_tokens <= cost

    def record_unit_time(self, unit_s: float) -> None:
        """Add the time per unit of work of an answer to the moving average."""
        if self.unit_s:
            unit_s = (1 - SMOOTHING) * self.unit_s + SMOOTHING * unit_s
        self.unit_s = unit_s

    def expected_wait_s(
        self, request: Placeable, loads: Iterable[InstanceLoad], now: float
    ) -> float:
        """Estimate in seconds how long a request queued now would wait."""
        loads = list(loads)
        if any(load.headroom(now) for load in loads) and not len(self.queue):
            return 0.0
        slots = sum(_available_slots(load, now) for load in loads)
        return (
            self.queue.work_ahead_of(request.ctx) * self.unit_s / max(1, slots)
        )

    def drain_s(self, loads: Iterable[InstanceLoad], now: float) -> float:
        """Estimate in seconds how long the queued requests will take."""
        slots = sum(_available_slots(load, now) for load in loads)
        return self.queue.work() * self.unit_s / max(1, slots)

    def waiting_before(
        self, requests: Mapping[str, Request], cutoff: float
    ) -> list[Request]:
        """Return the requests that have waited since before `cutoff`."""
        queued = [
            requests[item.ctx.request_id]
            for item in self.queue.queued_before(cutoff)
        ]
        waiting = queued + self.suspects
        return [
            request for request in waiting if request.waiting_since < cutoff
        ]

    def choose_host(
        self,
        request: Placeable,
        hosts: list[tuple[PinnedWeights, list[AnyHost]]],
        now: float,
        rng: random.Random,
    ) -> ChosenHost[AnyHost] | None:
        """Choose a host for a request; None if none of its hosts has room.

        The version named by the table comes first. If its replicas are full,
        a replica where an earlier version is still open gets the request:
        otherwise the first replica of a new version would get the load of
        all callers.
        """
        for pinned, instances in hosts:
            candidates = [i for i in instances if not request.avoids(i)]
            loads: Iterable[InstanceLoad] = [i.load for i in candidates]
            if request.work.is_long:
                loads = placement.accepting_long(loads, self.long_share)
            load = placement.choose_instance(
                tuple(loads), request.work, self.unit_s, now, rng
            )
            if load is not None:
                by_name = {i.name: i for i in candidates}
                return ChosenHost(by_name[load.name], pinned)
        return None

    def choose_for_suspect(
        self,
        request: Request,
        hosts: Hosts,
        may_reserve: Callable[[str], bool] = lambda name: True,
    ) -> ChosenHost[Instance] | None:
        """Choose an instance on which a suspect runs alone.

        A busy instance is reserved for the suspect and gets no further work
        until it is idle; None is returned meanwhile. If two entries ran
        suspects of one crash on the same instance, a second crash would also
        convict an innocent request. `may_reserve` tells which instances this
        entry may reserve; it is ignored if that is none of them.
        """
        reservable = [
            (pinned, [i for i in found if may_reserve(i.name)])
            for pinned, found in hosts
        ]
        if any(found for _pinned, found in reservable):
            hosts = reservable
        reserved = _find_reserved(request, hosts)
        if reserved is None:
            reserved = _reserve_one(request, hosts)
        if reserved is None or reserved.instance.load.ours:
            return None
        return reserved


def _available_slots(load: InstanceLoad, now: float) -> int:
    return max(1, load.slots - (load.in_flight(now) - load.ours))


def _find_reserved(
    request: Request, hosts: Hosts
) -> ChosenHost[Instance] | None:
    for pinned, instances in hosts:
        for instance in instances:
            if instance.load.reserved_for == request.ctx.request_id:
                return ChosenHost(instance, pinned)
    return None


def _reserve_one(
    request: Request, hosts: Hosts
) -> ChosenHost[Instance] | None:
    by_name = {i.name: i for _pinned, found in hosts for i in found}
    reserved = sum(bool(i.load.reserved_for) for i in by_name.values())
    if reserved >= max(1, int(len(by_name) * MAX_RESERVED_SHARE)):
        return None
    for pinned, instances in hosts:
        free = [
            i
            for i in instances
            if not i.load.reserved_for and not request.avoids(i)
        ]
        if free:
            chosen = min(free, key=lambda i: (i.load.ours, i.name))
            chosen.load.reserved_for = request.ctx.request_id
            return ChosenHost(chosen, pinned)
    return None
