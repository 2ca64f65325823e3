"""The HTTP interface towards callers, as a WSGI application.

Each request has a greenlet of its own, which validates the request, submits
it and forwards its answer. A request that is refused is answered at once.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import json
import math
from typing import Any
from typing import NamedTuple
import uuid

import gevent
from gevent import queue
from returns.result import Failure

from burdockchute.callers import auth
from burdockchute.callers import parse
from burdockchute.callers import sse
from burdockchute.callers.environment import caller_disconnected
from burdockchute.callers.environment import ReadingEnded
from burdockchute.callers.environment import ResponseBody
from burdockchute.callers.environment import status_line
from burdockchute.decisions import memory_budget
from burdockchute.model import outcomes
from burdockchute.model.findings import Finding
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import NotRun
from burdockchute.model.outcomes import Outcome
from burdockchute.model.outcomes import Unknown
from burdockchute.model.replies import AnswerStarted
from burdockchute.model.replies import Done
from burdockchute.model.replies import Part
from burdockchute.model.replies import Reply
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import CustomerRow
from burdockchute.model.table import Table

REQUEST_ID = 'Burdockchute-Request-Id'
OUTCOME = 'Burdockchute-Outcome'
DIGEST = 'Burdockchute-Digest'
ADAPTER_DIGEST = 'Burdockchute-Adapter-Digest'

# Interval at which a waiting task checks whether its caller has disconnected.
DISCONNECT_POLL_S = 0.25

# The router answers each request by its deadline. This long after it, the
# router is assumed to have failed, so that no caller waits without limit.
ANSWER_GRACE_S = 2.0

BODY_PIECE_BYTES = 64 * 1024

# The reason for refusing a request whose body there is no memory for.
OUT_OF_MEMORY = 'too many bytes are held for callers'

Submit = Callable[[RequestContext], queue.Queue]
OnDisconnect = Callable[[str], None]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
App = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class Limits(NamedTuple):
    """Limits of a request; `body_timeout_s` covers the complete body."""

    max_body_bytes: int = 1024 * 1024
    default_deadline_s: float = 60.0
    body_timeout_s: float = 10.0


class BodyBudget:
    """Bytes that the bodies of all requests may take together."""

    def __init__(self, most: float = math.inf) -> None:
        self.held = 0
        self._most = most

    def take(self, count: int) -> bool:
        """Take the bytes of a body; False if there are not so many."""
        if self.held + count > self._most:
            return False
        self.held += count
        return True

    def give_back(self, count: int) -> None:
        """Give back what was taken."""
        self.held -= count


class Exchange(NamedTuple):
    """One request and the callable that starts its response."""

    environ: dict[str, Any]
    start_response: StartResponse
    request_id: str


def make_app(
    submit: Submit,
    on_disconnect: OnDisconnect,
    table: Callable[[], Table],
    now: Callable[[], float],
    accepting: Callable[[], bool] = lambda: True,
    limits: Limits = Limits(),  # noqa: B008
    bodies: BodyBudget | None = None,
) -> App:
    """Return the WSGI application.

    A request gets 503 before its body is read if it does not fit into
    `bodies`. `submit` starts a request and returns the queue of its replies;
    `on_disconnect` is called with the request id if the caller disconnects
    before the last of them.
    """
    customers = _customers_of(table)
    budget = bodies or BodyBudget()

    def app(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        declared = declared_bytes(environ)
        most = limits.max_body_bytes
        size = most if declared is None else min(declared, most)
        if not budget.take(size):
            ex = Exchange(environ, start_response, uuid.uuid4().hex)
            return _answer_rejection(ex, out_of_memory())
        try:
            return ResponseBody(
                answer(environ, start_response),
                lambda: budget.give_back(size),
            )
        except BaseException:
            budget.give_back(size)
            raise

    def answer(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        ex = Exchange(environ, start_response, uuid.uuid4().hex)
        if not accepting():
            return _answer_outcome(ex, NotRun('this entry is leaving'))
        customer = auth.customer_of(
            environ.get('HTTP_AUTHORIZATION', ''), customers()
        )
        if customer is None:
            return _refuse(ex, 401, 'Authorization', 'no valid bearer key')
        body = read_body(environ, limits)
        if isinstance(body, parse.Rejection):
            return _answer_rejection(ex, body)
        parsed = parse.parse_request(
            _received_request(ex, body, now()),
            customer,
            table(),
            limits.default_deadline_s,
        )
        if isinstance(parsed, Failure):
            return _answer_rejection(ex, parsed.failure())
        ctx = parsed.unwrap()
        replies = _replies_until_done(ex, ctx, submit(ctx), on_disconnect, now)
        if ctx.stream:
            return _answer_stream(ex, ctx, replies)
        return _answer_plain(ex, replies)

    return app


def _customers_of(
    table: Callable[[], Table],
) -> Callable[[], Mapping[str, CustomerRow]]:
    # Rebuilt only when the table has changed: with 10,000 rows that takes
    # milliseconds, too much for every request.
    cached: list[Any] = [None, {}]

    def current() -> Mapping[str, CustomerRow]:
        present = table()
        if cached[0] is not present:
            cached[:] = [present, auth.customers_by_digest(present)]
        return cached[1]

    return current


def _received_request(
    ex: Exchange, body: bytes, now: float
) -> parse.ReceivedRequest:
    environ = ex.environ
    path = environ.get('PATH_INFO', '')
    query = environ.get('QUERY_STRING', '')
    return parse.ReceivedRequest(
        request_id=ex.request_id,
        method=environ['REQUEST_METHOD'],
        path=f'{path}?{query}' if query else path,
        headers=_headers(environ),
        body=body,
        now=now,
    )


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    names = (
        parse.DEADLINE_HEADER,
        parse.PRIORITY_HEADER,
        parse.IDEMPOTENT_HEADER,
        parse.IDEMPOTENCY_KEY_HEADER,
    )
    headers = {}
    for name in names:
        value = environ.get('HTTP_' + name.upper().replace('-', '_'))
        if value is not None:
            headers[name] = value
    if environ.get('CONTENT_TYPE'):
        headers['Content-Type'] = environ['CONTENT_TYPE']
    return headers


def read_body(
    environ: dict[str, Any],
    limits: Limits,
    has_memory: Callable[[int], bool] = lambda _size: True,
) -> bytes | parse.Rejection:
    """Read the complete body, or return why it is rejected.

    `has_memory` is called with the size of what has been read so far.
    """
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdigit():
        return _rejection(400, 'Content-Length', f'{declared!r} is no size')
    limit = limits.max_body_bytes
    if int(declared) > limit:
        return _rejection(413, 'body', f'longer than {limit} bytes')
    # A caller that sends one byte at a time could otherwise occupy a
    # greenlet, a connection and its buffers without limit. It shows as a
    # growing number of connections without requests. A timeout on the
    # complete body ends it; a timeout on each read would not.
    try:
        with gevent.Timeout(limits.body_timeout_s):
            body = _read_pieces(environ['wsgi.input'], limit + 1, has_memory)
    except gevent.Timeout:
        text = f'did not come within {limits.body_timeout_s:g} s'
        return _rejection(408, 'body', text)
    except ReadingEnded as exc:
        return parse.Rejection(
            503, (Finding('body', str(exc)),), exc.retry_after_s
        )
    except OSError as exc:
        return _rejection(400, 'body', f'broke off: {exc}')
    if body is None:
        return out_of_memory()
    if len(body) > limit:
        return _rejection(413, 'body', f'longer than {limit} bytes')
    if len(body) < int(declared):
        return _rejection(400, 'body', 'shorter than Content-Length')
    return body


def _read_pieces(
    body: Any, most: int, has_memory: Callable[[int], bool]
) -> bytes | None:
    """Read up to `most` bytes; None if there is no memory for them."""
    read = bytearray()
    while len(read) < most:
        piece = body.read(min(BODY_PIECE_BYTES, most - len(read)))
        if not piece:
            break
        read += piece
        if not has_memory(len(read)):
            return None
    return bytes(read)


def declared_bytes(environ: Mapping[str, Any]) -> int | None:
    """Return the length of the body, None if it is sent in chunks."""
    if 'HTTP_TRANSFER_ENCODING' in environ:
        return None
    length = environ.get('CONTENT_LENGTH') or '0'
    return int(length) if length.isdigit() else 0


def out_of_memory() -> parse.Rejection:
    """Return the rejection of a body that there is no memory for."""
    finding = Finding('body', OUT_OF_MEMORY)
    return parse.Rejection(503, (finding,), memory_budget.RETRY_S)


def _rejection(status: int, place: str, text: str) -> parse.Rejection:
    return parse.Rejection(status, (Finding(place, text),))


def _replies_until_done(
    ex: Exchange,
    ctx: RequestContext,
    replies: queue.Queue,
    on_disconnect: OnDisconnect,
    now: Callable[[], float],
) -> Iterator[Reply]:
    """Yield the replies up to Done; reports a caller that leaves earlier."""
    done = False
    try:
        while not done:
            reply = _next_reply(ex, ctx, replies, now)
            if reply is None:
                return
            done = isinstance(reply, Done)
            yield reply
    finally:
        if not done:
            on_disconnect(ctx.request_id)


def _next_reply(
    ex: Exchange,
    ctx: RequestContext,
    replies: queue.Queue,
    now: Callable[[], float],
) -> Reply | None:
    while True:
        try:
            return replies.get(timeout=DISCONNECT_POLL_S)
        except queue.Empty:
            if caller_disconnected(ex.environ):
                return None
            if now() > ctx.deadline + ANSWER_GRACE_S:
                return Done(Unknown('no answer by the deadline'))


def _answer_plain(ex: Exchange, replies: Iterator[Reply]) -> list[bytes]:
    body = b''
    for reply in replies:
        if isinstance(reply, Part):
            body += reply.data
        elif isinstance(reply, Done):
            outcome = reply.outcome
            if isinstance(outcome, Answered) and not outcome.body:
                outcome = outcome._replace(body=body)
            return _answer_outcome(ex, outcome)
    return _answer_outcome(ex, Unknown('caller has gone'))


def _answer_stream(
    ex: Exchange, ctx: RequestContext, replies: Iterator[Reply]
) -> Iterable[bytes]:
    first = next(replies, None)
    if first is None:
        return _answer_outcome(ex, Unknown('caller has gone'))
    if isinstance(first, Done):
        return _answer_outcome(ex, first.outcome)
    assert isinstance(first, AnswerStarted)
    headers = [
        ('Content-Type', sse.CONTENT_TYPE),
        ('Cache-Control', 'no-store'),
        (REQUEST_ID, ctx.request_id),
        (DIGEST, first.digest),
        (ADAPTER_DIGEST, first.adapter_digest),
    ]
    ex.start_response(status_line(200), headers)
    return _EventStream(ctx, replies)


class _EventStream:
    """The events of a stream; `close` is called when the caller disconnects.

    It also closes the replies, even if no event was taken. If this were a
    generator, closing it before it was started would run none of its code.
    """

    def __init__(self, ctx: RequestContext, replies: Iterator[Reply]) -> None:
        self._ctx = ctx
        self._replies = replies
        self._part_count = 0

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        reply = next(self._replies)
        while isinstance(reply, AnswerStarted):
            reply = next(self._replies)
        if isinstance(reply, Part):
            self._part_count += 1
            return sse.data_event(reply.data)
        assert isinstance(reply, Done)
        return sse.outcome_event(
            _outcome_fields(self._ctx.request_id, reply.outcome)
            | {'parts': self._part_count}
        )

    def close(self) -> None:
        close = getattr(self._replies, 'close', None)
        if close is not None:
            close()


def _outcome_fields(request_id: str, outcome: Outcome) -> dict[str, object]:
    fields: dict[str, object] = {
        'outcome': outcomes.name_of(outcome),
        'request_id': request_id,
    }
    if isinstance(outcome, Answered):
        fields['status'] = outcome.status
        fields['digest'] = outcome.digest
        fields['adapter_digest'] = outcome.adapter_digest
    else:
        fields['error'] = {'place': 'request', 'text': outcome.reason}
    if isinstance(outcome, NotRun) and outcome.retry_after_s > 0:
        fields['retry_after_s'] = outcome.retry_after_s
    return fields


def _answer_outcome(ex: Exchange, outcome: Outcome) -> list[bytes]:
    headers = [
        (REQUEST_ID, ex.request_id),
        (OUTCOME, outcomes.name_of(outcome)),
    ]
    if isinstance(outcome, Answered):
        headers.append((DIGEST, outcome.digest))
        headers.append((ADAPTER_DIGEST, outcome.adapter_digest))
        return _respond(
            ex, outcome.status, headers, outcome.content_type, outcome.body
        )
    if isinstance(outcome, NotRun) and outcome.retry_after_s > 0:
        headers.append(retry_after(outcome.retry_after_s))
    findings = (Finding('request', outcome.reason),)
    body = _error_body(ex, findings, outcomes.name_of(outcome))
    return _respond(ex, outcome.status, headers, 'application/json', body)


def _answer_rejection(ex: Exchange, rejection: parse.Rejection) -> list[bytes]:
    headers = [(REQUEST_ID, ex.request_id), (OUTCOME, 'not-run')]
    if rejection.retry_after_s > 0:
        headers.append(retry_after(rejection.retry_after_s))
    if rejection.status in (408, 413, 503):
        # The remainder of the body is not read, so the connection can't be
        # reused.
        headers.append(('Connection', 'close'))
    if rejection.status == 401:
        headers.append(('WWW-Authenticate', 'Bearer'))
    body = _error_body(ex, rejection.findings, 'not-run')
    return _respond(ex, rejection.status, headers, 'application/json', body)


def _refuse(ex: Exchange, status: int, place: str, text: str) -> list[bytes]:
    return _answer_rejection(ex, _rejection(status, place, text))


def retry_after(seconds: float) -> tuple[str, str]:
    """Return the Retry-After header in whole seconds, rounded up.

    >>> retry_after(0.2)
    ('Retry-After', '1')
    """
    return 'Retry-After', str(max(1, math.ceil(seconds)))


def _error_body(
    ex: Exchange, findings: Iterable[Finding], outcome: str
) -> bytes:
    errors = [{'place': f.place, 'text': f.text} for f in findings]
    document = {
        'error': errors[0],
        'errors': errors,
        'outcome': outcome,
        'request_id': ex.request_id,
    }
    return json.dumps(document).encode()


def _respond(
    ex: Exchange,
    status: int,
    headers: list[tuple[str, str]],
    content_type: str,
    body: bytes,
) -> list[bytes]:
    fields = [
        ('Content-Type', content_type or 'application/octet-stream'),
        ('Content-Length', str(len(body))),
    ]
    ex.start_response(status_line(status), fields + headers)
    return [body]
