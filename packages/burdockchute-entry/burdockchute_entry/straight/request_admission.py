"""Admits requests of callers, or refuses them before they are scheduled.

The route and the customer are found, and the body is read if there is memory
for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import blake3

from burdockchute.adapters import Adapter
from burdockchute.callers import http
from burdockchute.callers.environment import HEADERS_KEY
from burdockchute.callers.environment import SHUTDOWN_RETRY_S
from burdockchute.callers.environment import TARGET_KEY
from burdockchute.callers.parse import Rejection
from burdockchute.decisions import connection_limits
from burdockchute.decisions import memory_budget
from burdockchute.decisions import returning_callers
from burdockchute.decisions import routing
from burdockchute.decisions.connection_limits import RequestLimits
from burdockchute.decisions.homes import Home
from burdockchute.decisions.routing import RouteTable
from burdockchute.model.crash_reports import PromptPart
from burdockchute.model.exchanges import InboundRequest
from burdockchute.model.known_state import KnownState
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Regions
from burdockchute.model.routes import Route
from burdockchute_entry.straight.memory_account import Holding
from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.memory_account import Use

# Retry-After before the first configuration has been read; there usually is
# one after this time.
NOT_READY_RETRY_S = 1.0

# Time limit of a request that has none itself; routes set shorter ones.
DEFAULT_TIMEOUT_S = 30.0


# A request whose body was received after this entry has stopped accepting is
# run if this many times its objective are left.
LATE_RUN_OBJECTIVES = 3.0


class ShutdownState(NamedTuple):
    """Whether this entry shuts down, and whether it still accepts requests.

    Callers of requests that it still accepts are told to use another
    connection for the next one. The entry exits at `exit_at` at the latest.
    """

    shutting_down: bool
    accepting: bool
    exit_at: float = float('inf')


class AdmittedRequest(NamedTuple):
    """An accepted request with its route, service and context.

    `home` tells in which regions it may run, `holding` has the bytes that are
    held for it.
    """

    inbound: InboundRequest
    route: Route
    service: str
    ctx: RequestContext
    elapsed_s: float
    home: Home
    holding: Holding


class RouteMatch(NamedTuple):
    """The route, service and customer of a request; priority 0 is highest."""

    route: Route
    service: str
    customer: str
    priority: int
    customer_regions: Regions


class Refusal(NamedTuple):
    """A request that is refused before it is scheduled.

    `request_id` is empty if none could be read.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0
    request_id: str = ''


LEAVING = Refusal(503, 'this entry is leaving', SHUTDOWN_RETRY_S)


class RequestAdmission:
    """Admits or refuses the requests of callers.

    `memory` has the bytes held for requests, and `time_to_run_s` tells how
    long a request for a service is expected to run.
    """

    def __init__(
        self,
        adapter: Adapter,
        known_state: Callable[[], KnownState],
        shutdown_state: Callable[[], ShutdownState],
        memory: MemoryAccount,
        now: Callable[[], float],
        time_to_run_s: Callable[[str], float],
    ) -> None:
        self._adapter = adapter
        self._known_state = known_state
        self._shutdown_state = shutdown_state
        self._memory = memory
        self._now = now
        self._time_to_run_s = time_to_run_s
        # The longest time that callers had left, by route.
        self._max_time_left_s: dict[str, float] = {}

    def admit(
        self, environ: dict[str, Any], arrived: float, holding: Holding
    ) -> AdmittedRequest | Refusal:
        """Admit or refuse a request that arrived at `arrived`.

        The bytes of its body are added to `holding`.
        """
        try:
            inbound = self._adapter.decode_request(
                environ['REQUEST_METHOD'],
                environ[TARGET_KEY],
                environ[HEADERS_KEY],
            )
        except ValueError as exc:
            return Refusal(400, str(exc))
        if not inbound.id:
            return Refusal(400, 'no request id')
        admitted = self._admit_decoded(environ, inbound, arrived, holding)
        if isinstance(admitted, Refusal):
            return admitted._replace(request_id=inbound.id)
        return admitted

    def _admit_decoded(
        self,
        environ: dict[str, Any],
        inbound: InboundRequest,
        arrived: float,
        holding: Holding,
    ) -> AdmittedRequest | Refusal:
        if not self._shutdown_state().accepting:
            return LEAVING
        known_state = self._known_state()
        if known_state.routes is None or not known_state.complete:
            return Refusal(503, 'no configuration yet', NOT_READY_RETRY_S)
        route_match = _match_route(known_state.routes, inbound)
        if isinstance(route_match, Refusal):
            return route_match
        limits = known_state.routes.configuration.limits
        body = self._read_body(environ, limits.max_body_bytes, holding)
        if isinstance(body, Refusal):
            return body
        if not may_run(
            self._shutdown_state(),
            route_match.route,
            self._time_to_run_s(route_match.service),
            self._now(),
        ):
            return LEAVING
        elapsed_s = self._elapsed_s(route_match.route, inbound)
        return _make_admitted(
            inbound._replace(body=body),
            route_match,
            arrived,
            elapsed_s,
            holding,
        )

    def _read_body(
        self, environ: dict[str, Any], max_body_bytes: int, holding: Holding
    ) -> bytes | Refusal:
        """Read the body if there is memory for it."""
        reserved = _reserved_bytes(
            environ, max_body_bytes, self._memory.budget_bytes
        )
        if not self._memory.may_admit(reserved):
            return Refusal(503, http.OUT_OF_MEMORY, memory_budget.RETRY_S)
        holding.take(Use.BODIES, reserved)
        taken = reserved

        def has_memory(size: int) -> bool:
            nonlocal taken
            more = size - taken
            if more <= 0:
                return True
            if not self._memory.may_admit(more):
                return False
            holding.take(Use.BODIES, more)
            taken = size
            return True

        body = http.read_body(
            environ, http.Limits(max_body_bytes=max_body_bytes), has_memory
        )
        if isinstance(body, Rejection):
            return Refusal(
                body.status, body.findings[0].text, body.retry_after_s
            )
        holding.give_back(Use.BODIES, taken - len(body))
        return body

    def _elapsed_s(self, route: Route, inbound: InboundRequest) -> float:
        """Estimate the seconds the caller spent on earlier attempts.

        Callers send the time that they have left. One that sends much less
        than others on its route has tried before.
        """
        if inbound.time_left_s is None:
            return 0.0
        max_time_left_s = max(
            self._max_time_left_s.get(route.name, 0.0), inbound.time_left_s
        )
        self._max_time_left_s[route.name] = max_time_left_s
        return returning_callers.elapsed_s(
            max_time_left_s, inbound.time_left_s
        )


def request_limits(known_state: KnownState) -> RequestLimits:
    """Return the limits of a request, as the operators state them."""
    if known_state.routes is None:
        return RequestLimits()
    limits = known_state.routes.configuration.limits
    return connection_limits.from_operators(
        limits.max_header_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def may_run(
    state: ShutdownState, route: Route, time_to_run_s: float, now: float
) -> bool:
    """Whether a request that was received may be run before the exit.

    The length of a stream is not known, so once the entry has stopped
    accepting, none is begun.
    """
    if state.accepting:
        return True
    if route.kind is Kind.STREAM:
        return False
    needed_s = max(time_to_run_s, LATE_RUN_OBJECTIVES * route.objective_s)
    return now + needed_s <= state.exit_at


def _match_route(
    table: RouteTable, inbound: InboundRequest
) -> RouteMatch | Refusal:
    route = routing.find_route(table, inbound.host, inbound.path)
    if route is None:
        return Refusal(404, f'no route for {inbound.host!r} {inbound.path!r}')
    customer, priority = '', route.priority
    customer_regions = None
    if table.keyholders is not None:
        holder = table.keyholders.get(inbound.key)
        if holder is None and not route.anonymous:
            return Refusal(401, 'no valid key')
        if holder is not None:
            customer = holder.name
            customer_regions = holder.regions
            if holder.priority is not None:
                priority = holder.priority
    service = routing.choose_service(route.shares, inbound.id)
    if service is None:
        return Refusal(503, f'route {route.name!r} leads nowhere', 1.0)
    return RouteMatch(route, service, customer, priority, customer_regions)


def _make_admitted(
    inbound: InboundRequest,
    route_match: RouteMatch,
    arrived: float,
    elapsed_s: float,
    holding: Holding,
) -> AdmittedRequest:
    route, service, customer, priority, customer_regions = route_match
    left_s = min(inbound.time_left_s or DEFAULT_TIMEOUT_S, route.timeout_s)
    ctx = RequestContext(
        request_id=inbound.id,
        customer=customer,
        target=service,
        kind='model' if inbound.model else 'service',
        idempotent=route.may_repeat,
        idempotency_key='',
        arrived=arrived,
        deadline=arrived + left_s,
        priority=-priority,
        prompt_tokens=inbound.prompt_tokens,
        max_tokens=inbound.likely_tokens or inbound.max_tokens,
        stream=route.kind is Kind.STREAM,
        method=inbound.method,
        path=inbound.target,
        content_type='',
        body=b'',
        fingerprint=_fingerprint(customer, inbound),
        prompt_parts=tuple(
            PromptPart(f'{inbound.model:.64}/{part}', position)
            for position, part in enumerate(inbound.prompt_parts)
        ),
    )
    home = Home(
        route.host,
        inbound.path,
        route.prefix,
        customer,
        route.regions,
        customer_regions,
    )
    return AdmittedRequest(
        inbound, route, service, ctx, elapsed_s, home, holding
    )


def _reserved_bytes(
    environ: dict[str, Any], max_body_bytes: int, budget: int | None
) -> int:
    if budget is None:
        return 0
    return memory_budget.reserved_bytes(
        http.declared_bytes(environ), max_body_bytes, budget
    )


def _fingerprint(customer: str, inbound: InboundRequest) -> str:
    named = '\0'.join((customer, inbound.method, inbound.host, inbound.target))
    hasher = blake3.blake3(named.encode())
    hasher.update(b'\0' + inbound.body)
    return hasher.hexdigest()
