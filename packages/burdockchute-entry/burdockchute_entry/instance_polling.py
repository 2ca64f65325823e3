"""Polls the platform's instance list."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import time
from typing import NamedTuple

import gevent
from returns.result import Failure

from burdockchute import logs
from burdockchute.decisions import membership
from burdockchute.model.members import Member
from burdockchute.platform.instances import InstanceList
from burdockchute.wire import messages

TICK_S = 0.5


class Tick(NamedTuple):
    """Sent every TICK_S; `listed` is None if the list was not read."""

    listed: tuple[Member, ...] | None


def poll(instances: InstanceList, put: Callable[[Tick], None]) -> None:
    """Poll the list forever, less often the longer it is."""
    due = 0.0
    while True:
        if time.monotonic() < due:
            put(Tick(None))
        else:
            tick = _read(instances)
            count = len(tick.listed or ())
            due = time.monotonic() + membership.poll_interval_s(count)
            put(tick)
        gevent.sleep(TICK_S)


def agents_on_wire(members: Iterable[Member]) -> Iterator[messages.Member]:
    """Return the agents among the members, as messages to agents."""
    for member in members:
        if member.role == 'agent':
            yield messages.Member(
                member.name,
                member.address,
                member.port,
                member.place.zone,
                member.place.region,
                member.place.pool,
                member.leaving,
            )


def _read(instances: InstanceList) -> Tick:
    result = instances.fetch()
    if isinstance(result, Failure):
        logs.warn('instance_list_unavailable', reason=result.failure().reason)
        # Keep the known members, and dial those whose link was lost.
        return Tick(None)
    return Tick(tuple(sorted(result.unwrap(), key=lambda m: m.name)))
