"""Run requests on the upstream, each in a greenlet of its own.

Only the runner forwards requests, so only it may answer NotRun. Before the
call is sent, a refused request has certainly not run. From then on each
failure is an AnswerEnd with an error, which leaves open whether the request
ran.
"""

from __future__ import annotations

import collections
import json
import math
import time
import traceback
from typing import Any
from typing import NamedTuple

import gevent

from burdockchute import logs
from burdockchute.decisions import backpressure
from burdockchute.model.exchanges import Backpressure
from burdockchute.nodes import links
from burdockchute.upstreams import calls
from burdockchute.upstreams.gate import Gate
from burdockchute.wire import messages

# Attempt ids are remembered to reject duplicates: a dispatch of a
# non-idempotent request can still arrive through a connection that was
# considered lost. At this number they span more than the longest deadline of
# a request, and take little memory.
MAX_REMEMBERED_ATTEMPTS = 20_000

MAX_PLAIN_ANSWER_BYTES = 8 * 1024 * 1024

# Statuses with which an engine refuses a request without running it.
ENGINE_REFUSALS = (404, 409, 429, 503)

REFUSED_RETRY_MS = 500
CANCEL_TIMEOUT_S = 5.0
LEAVING = 'leaving'

EVENT_STREAM = 'text/event-stream'
_END_OF_STREAM = '[DONE]'


class RunningRequest(NamedTuple):
    """A request in flight; `is_cancellable` unless it goes to a service."""

    link: links.Link
    greenlet: Any
    started: float
    is_cancellable: bool


class Upstream(NamedTuple):
    """URL of the upstream and the longest wait for its next bytes."""

    url: str
    stall_s: float


class _NotRunError(Exception):
    """The request was not run; it may be sent again in `retry_ms`."""

    def __init__(self, reason: str, retry_ms: int = REFUSED_RETRY_MS) -> None:
        super().__init__(reason)
        self.retry_ms = retry_ms


class _WeightsMismatchError(Exception):
    pass


class Runner:
    """The requests in flight on this instance's upstream."""

    def __init__(self, upstream: Upstream, gate: Gate) -> None:
        self.leaving = False
        self.finished = 0
        self._upstream = upstream
        self._gate = gate
        self._restrictions = backpressure.Restrictions()
        self._runs: dict[str, RunningRequest] = {}
        self._attempts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def dispatch(self, link: links.Link, req: messages.Dispatch) -> None:
        """Start a request received over a link."""
        if req.attempt_id in self._attempts:
            # A dispatch that was delayed in a connection arrives after the
            # entry has sent it again. NotRun would be wrong here, since the
            # first one may have run.
            self._send_end(
                link, _answer_end(req, 0, 0, error='attempt came twice')
            )
            return
        self._remember_attempt(req.attempt_id)
        greenlet = gevent.Greenlet(self._run, link, req)
        # If a request is cancelled before its greenlet starts, none of
        # `_run` is executed, and only this callback removes the request.
        greenlet.rawlink(lambda ended: self._remove(req.request_id, ended))
        self._runs[req.request_id] = RunningRequest(
            link, greenlet, time.monotonic(), is_cancellable=not req.path
        )
        greenlet.start()

    def cancel(self, request_id: str) -> None:
        """Stop a request whose caller has disconnected or timed out."""
        run = self._runs.get(request_id)
        if run is not None and run.is_cancellable:
            run.greenlet.kill(block=False)

    def link_closed(self, link: links.Link) -> None:
        """Stop the requests received over a link that closed.

        The entry at the other end reports them as unknown or retries them,
        so their answers would be discarded. A call to a plain service goes
        on: a postal dispatch that is interrupted half-way is worse than one
        whose answer is lost.
        """
        for run in list(self._runs.values()):
            if run.link is link and run.is_cancellable:
                run.greenlet.kill(block=False)

    def running(self) -> int:
        """Return the number of requests in flight."""
        return len(self._runs)

    def drain(self, timeout: float) -> bool:
        """Refuse new requests and wait for those in flight.

        Return whether all ended within `timeout` seconds.
        """
        self.leaving = True
        gevent.joinall(
            [run.greenlet for run in self._runs.values()], timeout=timeout
        )
        return not self._runs

    def _run(self, link: links.Link, req: messages.Dispatch) -> None:
        try:
            with gevent.Timeout(
                max(req.budget_ms, 0) / 1000, _DeadlinePassedError
            ):
                self._run_admitted(link, req)
        except _NotRunError as exc:
            _send(
                link,
                messages.NotRun(req.request_id, str(exc), exc.retry_ms),
            )
            logs.event(
                'request_not_run',
                request_id=req.request_id,
                customer=req.customer,
                target=req.target,
                reason=str(exc),
            )
        except _DeadlinePassedError:
            self._send_end(
                link, _answer_end(req, 0, 0, error='deadline passed')
            )
        except calls.AnswerFailed as exc:
            self._send_end(
                link,
                _answer_end(req, 0, 0, error=str(exc), crashed=exc.crashed),
            )
        except links.LinkError:
            # The entry notices that the link closed, and handles the request.
            pass
        except Exception:
            # Without an answer the caller would wait until its deadline.
            self._send_end(link, _answer_end(req, 0, 0, error='agent failed'))
            logs.warn(
                'request_failed',
                request_id=req.request_id,
                customer=req.customer,
                target=req.target,
                error=traceback.format_exc(),
            )

    def _run_admitted(self, link: links.Link, req: messages.Dispatch) -> None:
        if self.leaving:
            raise _NotRunError(LEAVING)
        if req.budget_ms <= 0:
            raise _NotRunError('deadline passed')
        self._check_rest()
        pinned = (_row_name(req), req.digest, req.adapter_digest)
        refusal = self._gate.enter(*pinned)
        if refusal is not None:
            raise _NotRunError(refusal.reason)
        try:
            run = self._run_service if req.path else self._run_engine
            run(link, req)
        finally:
            self._gate.leave(*pinned)

    def _run_service(self, link: links.Link, req: messages.Dispatch) -> None:
        reply = self._send_call(req, req.method, req.path, req.body)
        try:
            body = calls.read_body(reply, MAX_PLAIN_ANSWER_BYTES)
        finally:
            reply.close()
        _send(link, messages.AnswerPart(req.request_id, 0, body))
        self._send_end(
            link, _answer_end(req, 1, reply.status, reply.content_type)
        )

    def _run_engine(self, link: links.Link, req: messages.Dispatch) -> None:
        try:
            reply = self._forward(link, req)
        except _WeightsMismatchError as exc:
            self._gate.mark_mismatched(
                _row_name(req), req.digest, req.adapter_digest
            )
            self._stop_on_engine(req)
            self._send_end(link, _answer_end(req, 0, 0, error=str(exc)))
        except _NotRunError:
            raise
        except BaseException:
            # Cancelled, expired or broken. An engine continues a request
            # whose connection has closed, so that it can be resumed. Unless
            # it is cancelled there, it occupies a slot that others wait for.
            self._stop_on_engine(req)
            raise
        else:
            self._send_end(link, reply)

    def _forward(
        self, link: links.Link, req: messages.Dispatch
    ) -> messages.AnswerEnd:
        body = _engine_body(req)
        reply = self._send_call(req, 'POST', '/v1/completions', body)
        try:
            if reply.status in ENGINE_REFUSALS:
                self._check_rest()
                raise _NotRunError(f'engine answered {reply.status}')
            forward = _forward_stream if req.stream else _forward_plain
            parts = forward(link, req, reply)
        finally:
            reply.close()
        content_type = EVENT_STREAM if req.stream else reply.content_type
        return _answer_end(req, parts, reply.status, content_type)

    def _stop_on_engine(self, req: messages.Dispatch) -> None:
        gevent.spawn(_cancel, self._upstream.url, req.request_id)

    def _send_call(
        self, req: messages.Dispatch, method: str, path: str, body: bytes
    ) -> calls.Reply:
        headers = {
            'Content-Type': req.content_type or 'application/json',
            'Burdockchute-Request-Id': req.request_id,
        }
        sent_at = time.monotonic()
        try:
            reply = calls.send(
                self._upstream.url,
                method,
                path,
                body,
                headers,
                self._upstream.stall_s,
            )
        except calls.NotConnected as exc:
            raise _NotRunError(f'upstream takes no connection: {exc}') from exc
        self._record_rest(reply.rest_s, sent_at)
        return reply

    def _record_rest(self, rest_s: float | None, sent_at: float) -> None:
        # An agent is the only client of its upstream, so it has the whole of
        # a rest for itself.
        self._restrictions = backpressure.after_answer(
            self._restrictions,
            Backpressure(rest_s=rest_s),
            sent_at,
            entries=1,
            chance=0.0,
            now=time.monotonic(),
        )
        if rest_s is not None:
            logs.event('upstream_rests', rest_s=rest_s)

    def _check_rest(self) -> None:
        left_s = backpressure.rest_left_s(self._restrictions, time.monotonic())
        if left_s:
            raise _NotRunError(
                f'upstream rests for {left_s:.2f} s', math.ceil(left_s * 1000)
            )

    def _remove(self, request_id: str, ended: gevent.Greenlet) -> None:
        self.finished += 1
        run = self._runs.get(request_id)
        if run is not None and run.greenlet is ended:
            del self._runs[request_id]

    def _send_end(self, link: links.Link, end: messages.AnswerEnd) -> None:
        # Load reports are sent each second, and several short requests can
        # start and end in between; so each answer carries the current count.
        end.running = max(0, len(self._runs) - 1)
        _send(link, end)

    def _remember_attempt(self, attempt_id: str) -> None:
        self._attempts[attempt_id] = None
        if len(self._attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._attempts.popitem(last=False)


class _DeadlinePassedError(Exception):
    pass


def _cancel(url: str, request_id: str) -> None:
    path = f'/v1/cancel/{request_id}'
    try:
        calls.send(url, 'POST', path, b'', {}, CANCEL_TIMEOUT_S).close()
    except (calls.NotConnected, calls.AnswerFailed):
        # An engine that is down has nothing to cancel.
        pass


def _forward_stream(
    link: links.Link, req: messages.Dispatch, reply: calls.Reply
) -> int:
    sequence = 0
    for data in calls.events(reply):
        if data == _END_OF_STREAM:
            return sequence
        _check_digests(req, data)
        link.send(messages.AnswerPart(req.request_id, sequence, data.encode()))
        sequence += 1
    raise calls.AnswerFailed('stream ended without its last event')


def _forward_plain(
    link: links.Link, req: messages.Dispatch, reply: calls.Reply
) -> int:
    body = calls.read_body(reply, MAX_PLAIN_ANSWER_BYTES)
    if reply.status == 200:
        _check_digests(req, body)
    link.send(messages.AnswerPart(req.request_id, 0, body))
    return 1


def _check_digests(req: messages.Dispatch, data: str | bytes) -> None:
    # An order from an agent that was paused, or a restart of the engine, can
    # change the engine's weights while the gate stays open. Each answer names
    # the weights that produced it; an answer from other weights than those
    # the request is pinned to must not reach the caller as a success.
    try:
        event = json.loads(data)
        actual = event.get('digest', ''), event.get('adapter_digest', '')
    except (ValueError, AttributeError):
        raise calls.AnswerFailed('answer is not a JSON object') from None
    if actual != (req.digest, req.adapter_digest):
        raise _WeightsMismatchError(
            f'answer is from weights {actual[0]!r}, adapter {actual[1]!r}'
        )


def _row_name(req: messages.Dispatch) -> str:
    return req.adapter or req.target


def _engine_body(req: messages.Dispatch) -> bytes:
    body = json.loads(req.body)
    body.update(
        request_id=req.request_id,
        priority=req.priority,
        stream=req.stream,
        model=req.target,
        digest=req.digest,
    )
    if req.adapter:
        body['adapter'] = req.adapter
    return json.dumps(body).encode()


def _answer_end(
    req: messages.Dispatch,
    parts: int,
    status: int,
    content_type: str = '',
    error: str = '',
    crashed: bool = False,
) -> messages.AnswerEnd:
    return messages.AnswerEnd(
        req.request_id,
        parts,
        status,
        content_type,
        req.digest,
        req.adapter_digest,
        error,
        crashed,
    )


def _send(link: links.Link, message: Any) -> None:
    try:
        link.send(message)
    except links.LinkError:
        # The entry notices that the link closed, and handles the request.
        pass
