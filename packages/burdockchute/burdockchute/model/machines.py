"""The machine that a process runs on, as its platform describes it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.members import Place
from burdockchute.model.upstreams import Endpoint


class Bounds(NamedTuple):
    """What the platform's operators hold this system to.

    A saved configuration is in force within `config_apply_s`, a named
    version of weights within `version_s`, and an upstream that leaves gets
    no new work after `drain_s`. A process that is told to stop is killed
    after `grace_s`. In each `retry_window_s` a service may get as many
    retries as `retry_ratio` of its requests and `retry_extra` more, from all
    entries together. A process that was out of reach counts as back in
    touch after `contact_s`.
    """

    config_apply_s: float
    version_s: float
    drain_s: float
    grace_s: float
    contact_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float


class Machine(NamedTuple):
    """One machine.

    `regions` gives the region of each availability zone. `callers` and
    `probes` are set where the process serves callers, `upstream` and
    `service` where it stands beside an upstream. Links use the ports from
    the first to the second of `link_ports`.
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
