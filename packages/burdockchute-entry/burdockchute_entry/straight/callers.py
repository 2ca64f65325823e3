"""WSGI application of an entry: answers the requests of callers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import json
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

import gevent
from gevent import get_hub

from burdockchute import logs
from burdockchute.callers.environment import has_next_request
from burdockchute.callers.environment import ResponseBody
from burdockchute.callers.environment import SOCKET_KEY
from burdockchute.callers.environment import status_line
from burdockchute.callers.environment import TARGET_KEY
from burdockchute.callers.environment import WRITE_WATCH_KEY
from burdockchute.callers.environment import WriteWatch
from burdockchute.callers.http import OUT_OF_MEMORY
from burdockchute.decisions.size_classes import SizeClass
from burdockchute.model import outcomes
from burdockchute.model.known_state import KnownState
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Unknown
from burdockchute_entry.straight.caller_watch import CallerWatch
from burdockchute_entry.straight.exchange import Exchange
from burdockchute_entry.straight.memory_account import MemoryAccount
from burdockchute_entry.straight.read_ahead import ReadAhead
from burdockchute_entry.straight.replies import CallerGone
from burdockchute_entry.straight.replies import CompleteAnswer
from burdockchute_entry.straight.replies import ExitDue
from burdockchute_entry.straight.replies import Reply
from burdockchute_entry.straight.replies import StreamAnswer
from burdockchute_entry.straight.replies import StreamBroken
from burdockchute_entry.straight.request_admission import AdmittedRequest
from burdockchute_entry.straight.request_admission import Refusal
from burdockchute_entry.straight.request_admission import RequestAdmission
from burdockchute_entry.straight.request_admission import ShutdownState
from burdockchute_entry.straight.sending import Dependencies


class FinishedRequest(NamedTuple):
    """How a request ended, for metrics; times are in seconds.

    `interruptions` has the causes why attempts at a stream ended early,
    `size_classes` its classes among the requests of its route.
    """

    route: str
    outcome: str
    status: int
    total_s: float
    first_event_s: float | None
    interruptions: tuple[str, ...] = ()
    size_classes: Mapping[str, SizeClass] = MappingProxyType({})


class CallersApp:
    """The WSGI application.

    `memory` has the bytes held for requests; without one, they are counted
    without a limit.
    """

    def __init__(
        self,
        deps: Dependencies,
        known_state: Callable[[], KnownState],
        shutdown_state: Callable[[], ShutdownState],
        observe: Callable[[FinishedRequest], None],
        memory: MemoryAccount | None = None,
    ) -> None:
        self.memory = memory or MemoryAccount(deps.now)
        # The handlers that wait for an answer, with their greenlets.
        self.waiting: dict[_RequestHandler, gevent.Greenlet] = {}
        self._deps = deps
        self._shutdown_state = shutdown_state
        self._observe = observe
        self._admission = RequestAdmission(
            deps.adapter,
            known_state,
            shutdown_state,
            self.memory,
            deps.now,
            deps.scheduler.time_to_run_s,
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one request."""
        arrived = self._deps.now()
        holding = self.memory.holding()
        try:
            admitted = self._admission.admit(environ, arrived, holding)
            if isinstance(admitted, Refusal):
                holding.close()
                return self._send_refusal(environ, start_response, admitted)
            handler = _RequestHandler(self, admitted, environ, start_response)
            return handler.run()
        except BaseException:
            holding.close()
            raise

    def end_waiting(self) -> None:
        """Answer all requests that still wait for the head of an answer.

        Those that may have run get 502, the others 503 with Retry-After.
        """
        for handler in self.waiting:
            get_hub().loop.run_callback(self._interrupt, handler)

    def _interrupt(self, handler: _RequestHandler) -> None:
        # This runs in the event loop, so the request can't have got its
        # answer since it was looked up.
        greenlet = self.waiting.get(handler)
        if greenlet is not None:
            greenlet.throw(ExitDue('this process exits'))

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
        size_classes = exchange.sender.pending.size_classes or {}
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
            size=_describe_size_classes(size_classes),
            overtaken_by=exchange.sender.pending.overtaken_by,
            body=len(admitted.inbound.body),
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
                size_classes,
            )
        )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._deps.now()

    def connection_headers(
        self, environ: dict[str, Any]
    ) -> list[tuple[str, str]]:
        """Return the headers about the caller's connection."""
        if not self._shutdown_state().shutting_down:
            return []
        return [] if has_next_request(environ) else [('Connection', 'close')]

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
            body=environ.get('CONTENT_LENGTH'),
            target=environ.get(TARGET_KEY),
            host=environ.get('HTTP_HOST'),
        )
        self._observe(
            FinishedRequest('', 'turned_away', refusal.status, 0.0, None)
        )
        headers = self.connection_headers(environ)
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
        holding = self._admitted.holding
        try:
            return ResponseBody(self._start(), holding.close)
        except BaseException:
            holding.close()
            raise

    def _start(self) -> Iterable[bytes]:
        try:
            self._watch.start()
            reply = self._wait_for_reply()
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

    def _wait_for_reply(self) -> Reply:
        self._app.waiting[self] = gevent.getcurrent()
        try:
            return self._exchange.answer()
        except ExitDue:
            return self._exchange.reply_at_exit()
        finally:
            del self._app.waiting[self]

    def _respond(self, reply: Reply) -> list[bytes]:
        headers = self._app.connection_headers(self._environ)
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
        headers = self._app.connection_headers(self._environ) + list(
            reply.head.headers
        )
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


def _describe_size_classes(classes: Mapping[str, SizeClass]) -> str:
    return ','.join(
        f'{measure}:{size_class.value}'
        for measure, size_class in classes.items()
    )


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
