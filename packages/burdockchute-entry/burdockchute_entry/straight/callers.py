"""WSGI application of an entry that sends requests to upstreams."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

import blake3

from burdockchute import logs
from burdockchute.callers import http
from burdockchute.callers.parse import Rejection
from burdockchute.callers.server import HEADERS_KEY
from burdockchute.callers.server import ResponseBody
from burdockchute.callers.server import SOCKET_KEY
from burdockchute.callers.server import status_line
from burdockchute.callers.server import TARGET_KEY
from burdockchute.callers.server import WRITE_WATCH_KEY
from burdockchute.callers.server import WriteWatch
from burdockchute.decisions import memory_budget
from burdockchute.decisions import returning_callers
from burdockchute.decisions import routing
from burdockchute.decisions.homes import Home
from burdockchute.decisions.routing import RouteTable
from burdockchute.model import outcomes
from burdockchute.model.crash_reports import PromptPart
from burdockchute.model.exchanges import InboundRequest
from burdockchute.model.known_state import KnownState
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute.model.requests import RequestContext
from burdockchute.model.routes import Kind
from burdockchute.model.routes import Regions
from burdockchute.model.routes import Route
from burdockchute_entry.straight.caller_watch import CallerWatch
from burdockchute_entry.straight.exchange import Exchange
from burdockchute_entry.straight.memory_account import Holding
from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.memory_account import Use
from burdockchute_entry.straight.read_ahead import ReadAhead
from burdockchute_entry.straight.replies import CallerGone
from burdockchute_entry.straight.replies import CompleteAnswer
from burdockchute_entry.straight.replies import Reply
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.sending import Dependencies

# Retry-After before the first configuration has been read; there usually is
# one after this time.
NOT_READY_RETRY_S = 1.0

# Retry-After of a request refused during shutdown; another entry accepts it.
SHUTDOWN_RETRY_S = 0.05

# The reason for refusing a request for which there is no memory.
OUT_OF_MEMORY = 'too many bytes are held for callers'

# Time limit of a request that has none itself; routes set shorter ones.
DEFAULT_TIMEOUT_S = 30.0


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


class ShutdownState(NamedTuple):
    """Whether this entry shuts down, and whether it still accepts requests.

    Callers of requests that it still accepts are told to use another
    connection for the next one.
    """

    shutting_down: bool
    accepting: bool


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


class FinishedRequest(NamedTuple):
    """How a request ended, for metrics; times are in seconds.

    `interruptions` has the causes why attempts at a stream ended early.
    """

    route: str
    outcome: str
    status: int
    total_s: float
    first_event_s: float | None
    interruptions: tuple[str, ...] = ()


class CallersApp:
    """The WSGI application.

    `open_requests` counts requests until the last byte of their answer is
    written. `memory` has the bytes held for them; without one, they are
    counted without a limit.
    """

    def __init__(
        self,
        deps: Dependencies,
        known_state: Callable[[], KnownState],
        shutdown_state: Callable[[], ShutdownState],
        observe: Callable[[FinishedRequest], None],
        memory: MemoryAccount | None = None,
    ) -> None:
        self.open_requests = 0
        self.memory = memory or MemoryAccount(deps.now)
        self._max_time_left_s: dict[str, float] = {}
        self._deps = deps
        self._known_state = known_state
        self._shutdown_state = shutdown_state
        self._observe = observe

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one request."""
        arrived = self._deps.now()
        holding = self.memory.holding()
        try:
            admitted = self._admit(environ, arrived, holding)
            if isinstance(admitted, Refusal):
                holding.close()
                return self._send_refusal(environ, start_response, admitted)
            handler = _RequestHandler(self, admitted, environ, start_response)
            return handler.run()
        except BaseException:
            holding.close()
            raise

    def _admit(
        self, environ: dict[str, Any], arrived: float, holding: Holding
    ) -> AdmittedRequest | Refusal:
        try:
            inbound = self._deps.adapter.decode_request(
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
            return Refusal(503, 'this entry is leaving', SHUTDOWN_RETRY_S)
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
            environ, max_body_bytes, self.memory.budget_bytes
        )
        if not self.memory.may_admit(reserved):
            return Refusal(503, OUT_OF_MEMORY, memory_budget.RETRY_S)
        holding.take(Use.BODIES, reserved)
        body = http.read_body(
            environ, http.Limits(max_body_bytes=max_body_bytes)
        )
        if isinstance(body, Rejection):
            return Refusal(body.status, body.findings[0].text)
        if len(body) < reserved:
            holding.give_back(Use.BODIES, reserved - len(body))
        else:
            holding.take(Use.BODIES, len(body) - reserved)
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

    def exchange(
        self, admitted: AdmittedRequest, has_caller_left: Callable[[], bool]
    ) -> Exchange:
        """Create the exchange of an admitted request."""
        return Exchange(
            self._deps,
            admitted.inbound,
            admitted.ctx,
            admitted.route,
            admitted.service,
            admitted.elapsed_s,
            admitted.home,
            admitted.holding,
            has_caller_left,
        )

    def finished(
        self,
        admitted: AdmittedRequest,
        exchange: Exchange,
        status: int,
        outcome: str,
    ) -> None:
        """Log and count a request that has its final outcome."""
        total_s = self._deps.now() - admitted.ctx.arrived
        first_s = exchange.first_event_s
        stream, framing = exchange.stream, exchange.sender.framing
        logs.event(
            'request_finished',
            request_id=admitted.inbound.id,
            route=admitted.route.name,
            customer=admitted.ctx.customer,
            outcome=outcome,
            status=status,
            upstream=exchange.sender.upstream,
            runs=exchange.sender.runs,
            sends=exchange.sender.sends,
            first_ms=None if first_s is None else int(first_s * 1000),
            gap_ms=int(stream.longest_gap_s * 1000) if stream else None,
            events=stream.event_count if stream else None,
            framing=framing.value if framing else None,
            tokens=f'{admitted.inbound.prompt_tokens},'
            f'{admitted.inbound.max_tokens},{admitted.inbound.likely_tokens}',
            left_ms=int((admitted.ctx.deadline - admitted.ctx.arrived) * 1e3),
            spent_ms=int(admitted.elapsed_s * 1000),
            ms=int(total_s * 1000),
        )
        self._observe(
            FinishedRequest(
                admitted.route.name,
                outcome,
                status,
                total_s,
                first_s,
                tuple(stream.interruptions) if stream else (),
            )
        )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._deps.now()

    def connection_headers(self) -> list[tuple[str, str]]:
        """Return the headers about the caller's connection."""
        return (
            [('Connection', 'close')]
            if self._shutdown_state().shutting_down
            else []
        )

    def _send_refusal(
        self,
        environ: dict[str, Any],
        start_response: Callable,
        refusal: Refusal,
    ) -> list[bytes]:
        logs.event(
            'request_turned_away',
            request_id=refusal.request_id,
            status=refusal.status,
            reason=refusal.reason,
            target=environ.get(TARGET_KEY),
            host=environ.get('HTTP_HOST'),
        )
        self._observe(
            FinishedRequest('', 'turned_away', refusal.status, 0.0, None)
        )
        headers = self.connection_headers()
        if refusal.status in (408, 413) or refusal.reason == OUT_OF_MEMORY:
            headers = [('Connection', 'close')]
        return _error_response(
            start_response,
            refusal.status,
            refusal.reason,
            refusal.retry_after_s,
            headers,
        )


class _RequestHandler:
    """Handles one admitted request and writes its answer."""

    def __init__(
        self,
        app: CallersApp,
        admitted: AdmittedRequest,
        environ: dict[str, Any],
        start_response: Callable,
    ) -> None:
        self._app = app
        self._admitted = admitted
        self._start_response = start_response
        self._watch = CallerWatch(environ[SOCKET_KEY])
        self._exchange = app.exchange(admitted, self._watch.has_caller_left)
        self._environ = environ

    def run(self) -> Iterable[bytes]:
        self._app.open_requests += 1
        try:
            return ResponseBody(self._start(), self._on_written)
        except BaseException:
            self._on_written()
            raise

    def _on_written(self) -> None:
        self._app.open_requests -= 1
        self._admitted.holding.close()

    def _start(self) -> Iterable[bytes]:
        try:
            self._watch.start()
            reply = self._exchange.answer()
        except CallerGone:
            self._finish(0, 'caller_gone')
            raise StreamBroken('the caller has gone') from None
        except BaseException:
            self._finish(0, 'failed')
            raise
        if isinstance(reply, StreamAnswer):
            return self._stream(reply)
        self._finish(_status_of(reply), _outcome_name(reply))
        return self._respond(reply)

    def _respond(self, reply: Reply) -> list[bytes]:
        headers = self._app.connection_headers()
        if isinstance(reply, CompleteAnswer):
            headers += reply.head.headers
            headers.append(('Content-Length', str(len(reply.body))))
            self._watch_writes(WriteWatch())
            self._start_response(status_line(reply.head.status), headers)
            return [reply.body]
        assert isinstance(reply, NotRun | Unknown)
        retry_s = reply.retry_after_s if isinstance(reply, NotRun) else 0.0
        return _error_response(
            self._start_response, reply.status, reply.reason, retry_s, headers
        )

    def _stream(self, reply: StreamAnswer) -> Iterator[bytes]:
        headers = self._app.connection_headers() + list(reply.head.headers)
        self._start_response(status_line(reply.head.status), headers)
        outcome = 'stream_broken'
        read_ahead = ReadAhead(
            reply.events,
            self._admitted.holding,
            self._admitted.inbound.id,
            self._app.now,
        )
        self._watch_writes(read_ahead)
        try:
            yield from read_ahead.parts()
            outcome = 'answered'
        except CallerGone:
            outcome = 'caller_gone'
            raise StreamBroken('the caller has gone') from None
        except OSError as exc:
            outcome = f'stream_broken: {exc.strerror}'
            raise
        except GeneratorExit:
            outcome = 'caller_gone'
            raise
        finally:
            read_ahead.close()
            self._finish(reply.head.status, outcome)

    def _watch_writes(self, watch: WriteWatch) -> None:
        if self._app.memory.budget_bytes is not None:
            self._environ[WRITE_WATCH_KEY] = watch

    def _finish(self, status: int, outcome: str) -> None:
        self._watch.stop()
        self._app.finished(self._admitted, self._exchange, status, outcome)


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
    if 'HTTP_TRANSFER_ENCODING' in environ:
        declared = None
    else:
        length = environ.get('CONTENT_LENGTH') or '0'
        declared = int(length) if length.isdigit() else 0
    return memory_budget.reserved_bytes(declared, max_body_bytes, budget)


def _fingerprint(customer: str, inbound: InboundRequest) -> str:
    named = '\0'.join((customer, inbound.method, inbound.host, inbound.target))
    hasher = blake3.blake3(named.encode())
    hasher.update(b'\0' + inbound.body)
    return hasher.hexdigest()


def _error_response(
    start_response: Callable,
    status: int,
    reason: str,
    retry_after_s: float,
    headers: list[tuple[str, str]],
) -> list[bytes]:
    body = json.dumps({'error': reason}).encode()
    headers = [
        *headers,
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    if retry_after_s > 0:
        headers.append(('Retry-After', f'{retry_after_s:.2f}'))
    start_response(status_line(status), headers)
    return [body]


def _status_of(reply: Reply) -> int:
    if isinstance(reply, CompleteAnswer):
        return reply.head.status
    assert isinstance(reply, NotRun | Unknown)
    return reply.status


def _outcome_name(reply: Reply) -> str:
    if isinstance(reply, CompleteAnswer):
        return 'answered'
    assert isinstance(reply, NotRun | Unknown)
    return f'{outcomes.name_of(reply)}: {reply.reason}'
