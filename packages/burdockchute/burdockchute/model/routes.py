"""The operators' configuration: routes, services, customers and limits.

A route defines which services answer the requests for one host and path
prefix, and how long a caller may wait. All times are in seconds, all sizes
in bytes.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

# Regions in which requests may run; None for anywhere.
Regions = frozenset[str] | None


class Kind(enum.Enum):
    """Whether and how a request of a route may be run a second time."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Share(NamedTuple):
    """The fraction of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    An answer counts as on time if it is complete, or its first event has
    arrived for a stream, within `objective_s`, and if no interval between
    two events is longer than `gap_s`. `max_attempts` limits the upstreams
    that may run one request. Priority 0 is the most urgent. Requests run only
    on upstreams in `regions`.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    max_attempts: int
    anonymous: bool
    resumable: bool
    regions: Regions = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run again after an attempt was lost."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


class EngineCost(NamedTuple):
    """The speed of an engine, as its operators declare it.

    A step generates one token for each running request and takes `step_s`
    plus `request_step_s` for each of them. Prompts are processed at
    `prompt_tokens_per_s`. A pass over the batch makes `steps_per_pass`
    steps.
    """

    step_s: float
    request_step_s: float
    prompt_tokens_per_s: float
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float


class Model(NamedTuple):
    """A model that a service's engines can run; loading takes `load_s`."""

    name: str
    load_s: float


class Service(NamedTuple):
    """A group of upstreams of the same kind.

    `origin` is the address of the service that serves weights, empty for
    other services. `models` is empty and `cost` None for services whose
    upstreams are not engines. `health_path` is the path of the upstreams'
    health checks, empty if they have none. An upstream is cold for `cold_s`
    after a start and takes `cold_rate` requests per second meanwhile; both are
    0 if it is never cold.
    """

    name: str
    max_connections: int
    origin: str = ''
    models: tuple[Model, ...] = ()
    slots: int = 0
    cost: EngineCost | None = None
    cold_s: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ''


class Keyholder(NamedTuple):
    """A customer with its keys and its priority, None if it has none.

    Its requests run only on upstreams in `regions`.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: Regions = None


class CallerLimits(NamedTuple):
    """Limits on the size and duration of a caller's requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    keyholders: tuple[Keyholder, ...] | None
    limits: CallerLimits
