"""Requests of callers and their results, recorded for the history checker."""

from __future__ import annotations

import json
import time
from typing import Any
from typing import NamedTuple

from burdockchute_testing import client

COMPLETION = 'completion'
SERVICE = 'service'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
# The connection ended without a final outcome.
CUT = 'cut'

_OUTCOME_EVENT = 'outcome'


class CallSpec(NamedTuple):
    """The parameters of a request; `marker` occurs in its text only.

    A repeated request stands for the same work, so it keeps its marker and
    its idempotency key.
    """

    marker: str
    target: str
    text: str
    kind: str = COMPLETION
    adapter: str = ''
    max_tokens: int = 8
    stream: bool = False
    idempotent: bool = True
    key: str = ''
    method: str = 'POST'
    deadline_ms: int = 20_000


class Call(NamedTuple):
    """One attempt of a request and its result.

    `start` and `end` are wall-clock times in seconds. `parts` holds the
    pairs of digests named in the parts of the answer. `first_s` is the time
    to the first part of a stream in seconds, None without one.
    """

    spec: CallSpec
    entry: str
    start: float
    end: float
    status: int = 0
    outcome: str = CUT
    request_id: str = ''
    digest: str = ''
    adapter_digest: str = ''
    parts: frozenset[tuple[str, str]] = frozenset()
    text: str = ''
    error: str = ''
    retry_after: str = ''
    first_s: float | None = None


def completion(
    marker: str, target: str, words: str = '', **fields: Any
) -> CallSpec:
    """Return a completion request whose prompt starts with its marker."""
    return CallSpec(marker, target, f'{marker} {words}'.strip(), **fields)


def service(marker: str, target: str, **fields: Any) -> CallSpec:
    """Return a request to a plain service whose body is its marker."""
    return CallSpec(marker, target, marker, kind=SERVICE, **fields)


def new_key(marker: str, now: float) -> str:
    """Return an idempotency key issued at `now`, in Unix seconds."""
    return f'{int(now)}-{marker}'


def send(
    entry_url: str,
    bearer: str,
    spec: CallSpec,
    entry: str = '',
    timeout_s: float = 60.0,
) -> Call:
    """Send a request to an entry and record the result."""
    call = Call(spec, entry or entry_url, time.time(), 0.0)
    url = entry_url + _path_of(spec)
    try:
        if spec.kind == COMPLETION and spec.stream:
            call = _send_stream(call, url, bearer, timeout_s)
        else:
            call = _send_plain(call, url, bearer, timeout_s)
    except client.NoResponse as exc:
        call = call._replace(error=str(exc))
    return call._replace(end=time.time())


def request_headers(spec: CallSpec, bearer: str) -> dict[str, str]:
    """Return the request headers."""
    headers = {
        'Authorization': f'Bearer {bearer}',
        'Content-Type': 'application/json',
        'Burdockchute-Deadline-Ms': str(spec.deadline_ms),
        'Burdockchute-Idempotent': 'yes' if spec.idempotent else 'no',
    }
    if spec.key:
        headers['Idempotency-Key'] = spec.key
    return headers


def completion_body(spec: CallSpec) -> dict[str, Any]:
    """Return the JSON body of a completion."""
    return {
        'model': spec.target,
        'adapter': spec.adapter,
        'prompt': spec.text,
        'max_tokens': spec.max_tokens,
        'stream': spec.stream,
    }


def _path_of(spec: CallSpec) -> str:
    if spec.kind == SERVICE:
        return f'/v1/services/{spec.target}/work'
    return '/v1/completions'


def _send_plain(call: Call, url: str, bearer: str, timeout_s: float) -> Call:
    spec = call.spec
    body = spec.text.encode()
    if spec.kind == COMPLETION:
        body = json.dumps(completion_body(spec)).encode()
    got = client.call(
        spec.method, url, body, request_headers(spec, bearer), timeout_s
    )
    call = _with_headers(call, got.status, got.headers)
    if got.status != 200:
        return call._replace(error=got.body.decode(errors='replace'))
    try:
        document = got.json()
    except ValueError as exc:
        return call._replace(error=f'body: {exc}')
    return _with_body(call, document)


def _with_body(call: Call, document: dict[str, Any]) -> Call:
    if call.spec.kind == SERVICE:
        return call._replace(text=document.get('echo', ''))
    digests = (document.get('digest', ''), document.get('adapter_digest', ''))
    return call._replace(
        text=document.get('text', ''), parts=frozenset([digests])
    )


def _send_stream(call: Call, url: str, bearer: str, timeout_s: float) -> Call:
    stream = client.Stream(
        url,
        completion_body(call.spec),
        request_headers(call.spec, bearer),
        timeout_s,
    )
    try:
        call = _with_headers(call, stream.status, stream.headers)
        if stream.status != 200:
            return call._replace(error=stream.read().decode())
        # The last event has the outcome; it isn't known yet when the headers
        # are sent.
        return _read_events(call._replace(outcome=CUT), stream)
    finally:
        stream.close()


def _read_events(call: Call, stream: client.Stream) -> Call:
    # The events before a broken connection must be kept.
    try:
        for event in stream.events():
            call = _with_event(call, event)
    except client.NoResponse as exc:
        call = call._replace(error=str(exc))
    return call


def _with_event(call: Call, event: client.Event) -> Call:
    if event.data.strip() == client.DONE:
        return call
    document = json.loads(event.data)
    if event.name == _OUTCOME_EVENT:
        return _with_outcome(call, document)
    digests = (document['digest'], document['adapter_digest'])
    if 'text' not in document:
        return call._replace(parts=call.parts | {digests})
    first_s = call.first_s
    if first_s is None:
        first_s = time.time() - call.start
    return call._replace(
        parts=call.parts | {digests},
        text=call.text + document['text'],
        first_s=first_s,
    )


def _with_outcome(call: Call, document: dict[str, Any]) -> Call:
    error = document.get('error') or {}
    return call._replace(
        outcome=document['outcome'],
        digest=document.get('digest', call.digest),
        adapter_digest=document.get('adapter_digest', call.adapter_digest),
        error=error.get('text', ''),
    )


def _with_headers(call: Call, status: int, headers: Any) -> Call:
    return call._replace(
        status=status,
        outcome=headers.get('burdockchute-outcome', CUT),
        request_id=headers.get('burdockchute-request-id', ''),
        digest=headers.get('burdockchute-digest', ''),
        adapter_digest=headers.get('burdockchute-adapter-digest', ''),
        retry_after=headers.get('retry-after', ''),
    )
