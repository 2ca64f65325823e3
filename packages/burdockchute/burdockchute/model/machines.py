"""The machine that a process runs on, as the platform describes it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.members import Place
from burdockchute.model.upstreams import Endpoint


class Bounds(NamedTuple):
    """Limits that the platform's operators require this system to keep.

    A saved configuration must be in effect within `config_apply_s` and a
    named version of weights within `version_s`; a draining upstream must get
    no new work after `drain_s`. A process that is asked to stop is killed
    after `grace_s`. In each `retry_window_s` a service may get retries for
    the fraction `retry_ratio` of its requests and `retry_extra` more, from
    all entries together. A process that was unreachable counts as connected
    again after `contact_s`. Nothing may be sent to an evacuated availability
    zone after `evacuation_s`. A cold upstream may get `cold_overage` times its
    rate and `cold_slack` requests more in any second.
    """

    config_apply_s: float
    version_s: float
    drain_s: float
    grace_s: float
    contact_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    evacuation_s: float = 5.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0


class Machine(NamedTuple):
    """One machine.

    `regions` has the region of each availability zone. `callers` and
    `probes` are set if the process serves callers, `upstream` and `service`
    if it runs next to an upstream. Links use the ports from the first to the
    second of `link_ports`. `memory_bytes` is the memory that one process may
    use and `max_descriptors` the descriptors that it may open, None for no
    limit.
    """

    name: str
    address: str
    place: Place
    regions: Mapping[str, str]
    link_ports: tuple[int, int]
    callers: Endpoint | None
    probes: Endpoint | None
    store: Endpoint
    upstream: Endpoint | None
    service: str
    link_bytes_per_s: float
    bounds: Bounds
    memory_bytes: int | None = None
    max_descriptors: int | None = None
