"""What operators want served: routes, services, customers and limits.

A route says which service answers the requests of one host below one path,
and how long a caller may be kept waiting. All times are seconds, all sizes
bytes.
"""

from __future__ import annotations

import enum
from typing import NamedTuple


class Kind(enum.Enum):
    """What may be done with a request of a route a second time."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Share(NamedTuple):
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    `objective_s` is the time to a whole answer, or to the first event of a
    stream, within which an answer counts as on time, and `gap_s` the longest
    pause between two events for which it still does. `max_attempts` bounds
    the upstreams that may run one request. Priority 0 is the most urgent.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run again after one that was lost."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


class EngineCost(NamedTuple):
    """How fast an engine works, as its operators declare it.

    A step makes one token for each running request and takes `step_s` plus
    `request_step_s` for each of them; prompts are read at
    `prompt_tokens_per_s`. A pass of the batch makes `steps_per_pass` steps.
    """

    step_s: float
    request_step_s: float
    prompt_tokens_per_s: float
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float


class Model(NamedTuple):
    """One model that a service's engines can run."""

    name: str
    load_s: float


class Service(NamedTuple):
    """Upstreams of one kind.

    `origin` is set for the service that gives out weights. `models` and
    `cost` are empty for services that are no engines.
    """

    name: str
    max_connections: int
    origin: str = ''
    models: tuple[Model, ...] = ()
    slots: int = 0
    cost: EngineCost | None = None


class Keyholder(NamedTuple):
    """A customer with the keys it may use and its priority, if it has one."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class CallerLimits(NamedTuple):
    """What a caller may send, and for how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """Everything operators want at one version of it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    keyholders: tuple[Keyholder, ...] | None
    limits: CallerLimits
