"""Validates a caller's request and resolves the row that it names.

All findings are collected before a request is rejected. Each has a place:
the name of a header, or a member of the body such as `body.prompt`.
"""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

import blake3
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.callers import auth
from burdockchute.model import findings
from burdockchute.model import table as tables
from burdockchute.model.findings import Finding
from burdockchute.model.requests import RequestContext
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import CustomerRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ServiceRow
from burdockchute.model.table import Table

COMPLETIONS_PATH = '/v1/completions'
SERVICES_PREFIX = '/v1/services/'

DEADLINE_HEADER = 'Burdockchute-Deadline-Ms'
PRIORITY_HEADER = 'Burdockchute-Priority'
IDEMPOTENT_HEADER = 'Burdockchute-Idempotent'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

MAX_DEADLINE_MS = 600_000
MAX_TOKENS = 32_768
DEFAULT_MAX_TOKENS = 256
MAX_KEY_CHARS = 200

# A caller may lower the priority of its requests, but not raise it above the
# one in the customer's row.
LOWEST_PRIORITY = -9
HIGHEST_PRIORITY = 0

# Words in a block of the engines' prefix cache, and the number of blocks that
# are digested: more would take time on every request and only help with the
# tail of long documents.
BLOCK_WORDS = 64
MAX_BLOCKS = 64


class Rejection(NamedTuple):
    """Why a request was rejected; it was certainly not run."""

    status: int
    findings: tuple[Finding, ...]
    retry_after_s: float = 0.0


class ReceivedRequest(NamedTuple):
    """A request as received; times are in monotonic seconds."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    now: float


class RequestOptions(NamedTuple):
    """Options from the request headers."""

    deadline: float
    priority: int
    idempotent: bool
    key: str


def parse_request(
    received: ReceivedRequest,
    customer: CustomerRow,
    table: Table,
    default_deadline_s: float,
) -> Result[RequestContext, Rejection]:
    """Return the validated request, or a rejection with all findings."""
    found: list[Finding] = []
    options = _parse_options(received, customer, default_deadline_s, found)
    if received.path == COMPLETIONS_PATH:
        return _parse_completion(received, customer, table, options, found)
    if received.path.startswith(SERVICES_PREFIX):
        return _parse_service(received, customer, table, options, found)
    return reject(404, 'path', f'nothing is served at {received.path!r}')


def reject(
    status: int, place: str, text: str
) -> Result[RequestContext, Rejection]:
    """Return a rejection with one finding."""
    return Failure(Rejection(status, (Finding(place, text),)))


def prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return the digests of the prompt's first 1, 2, 3... complete blocks."""
    words = prompt.split()
    blocks = min(len(words) // BLOCK_WORDS, MAX_BLOCKS)
    hasher = blake3.blake3()
    digests = []
    for block in range(blocks):
        start = block * BLOCK_WORDS
        text = ' '.join(words[start : start + BLOCK_WORDS])
        hasher.update((' ' + text if block else text).encode())
        digests.append(hasher.hexdigest())
    return tuple(digests)


def _parse_options(
    received: ReceivedRequest,
    customer: CustomerRow,
    default_deadline_s: float,
    found: list[Finding],
) -> RequestOptions:
    headers = received.headers
    budget_ms = _parse_int(
        headers.get(DEADLINE_HEADER),
        DEADLINE_HEADER,
        (1, MAX_DEADLINE_MS),
        int(default_deadline_s * 1000),
        found,
    )
    relative_priority = _parse_int(
        headers.get(PRIORITY_HEADER),
        PRIORITY_HEADER,
        (LOWEST_PRIORITY, HIGHEST_PRIORITY),
        HIGHEST_PRIORITY,
        found,
    )
    idempotent_text = headers.get(IDEMPOTENT_HEADER, 'yes').lower()
    if idempotent_text not in ('yes', 'no'):
        found.append(
            Finding(
                IDEMPOTENT_HEADER,
                findings.not_one_of(idempotent_text, ('yes', 'no')),
            )
        )
    key = headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARS:
        found.append(
            Finding(
                IDEMPOTENCY_KEY_HEADER, f'more than {MAX_KEY_CHARS} characters'
            )
        )
    return RequestOptions(
        deadline=received.now + budget_ms / 1000,
        priority=customer.priority + relative_priority,
        idempotent=idempotent_text != 'no',
        key=key,
    )


def _parse_int(
    text: str | None,
    place: str,
    valid: tuple[int, int],
    default: int,
    found: list[Finding],
) -> int:
    if text is None:
        return default
    low, high = valid
    try:
        value = int(text)
    except ValueError:
        value = low - 1
    if not low <= value <= high:
        found.append(
            Finding(place, f'{text!r} is no whole number {low} to {high}')
        )
        return default
    return value


def _parse_completion(
    received: ReceivedRequest,
    customer: CustomerRow,
    table: Table,
    options: RequestOptions,
    found: list[Finding],
) -> Result[RequestContext, Rejection]:
    if received.method != 'POST':
        return reject(405, 'method', f'{received.method!r} is not POST')
    body = _json_object(received.body, found)
    prompt = _get_member(body, 'prompt', str, None, found)
    model = _get_member(body, 'model', str, None, found)
    adapter = _get_member(body, 'adapter', str, '', found)
    stream = _get_member(body, 'stream', bool, False, found)
    tokens = _get_member(body, 'max_tokens', int, DEFAULT_MAX_TOKENS, found)
    if not 1 <= tokens <= MAX_TOKENS:
        found.append(
            Finding(
                'body.max_tokens',
                f'{tokens!r} is no whole number 1 to {MAX_TOKENS}',
            )
        )
    _check_key(options, options.idempotent, found)
    if found:
        return Failure(Rejection(400, tuple(found)))
    target = _resolve_model(model, adapter, customer, table)
    if isinstance(target, Rejection):
        return Failure(target)
    kind, name = target
    return Success(
        _context(received, customer, options, kind, name)._replace(
            prompt_tokens=len(prompt.split()),
            max_tokens=tokens,
            stream=stream,
            method='',
            prefixes=prefix_digests(prompt),
        )
    )


def _resolve_model(
    model: str, adapter: str, customer: CustomerRow, table: Table
) -> tuple[str, str] | Rejection:
    if not adapter:
        named_adapter = tables.find_row(table, AdapterRow, model)
        if named_adapter is not None:
            adapter, model = model, named_adapter.base
    if tables.find_row(table, ModelRow, model) is None:
        return _unknown_name('body.model', model, 'model')
    if not adapter:
        if not auth.may_call(customer, model):
            return _forbidden('body.model', customer, model)
        return 'model', model
    row = tables.find_row(table, AdapterRow, adapter)
    if row is None:
        return _unknown_name('body.adapter', adapter, 'adapter')
    if row.base != model:
        text = f'{adapter!r} is no adapter on {model!r}'
        return Rejection(404, (Finding('body.adapter', text),))
    if not auth.may_call(customer, adapter):
        return _forbidden('body.adapter', customer, adapter)
    return 'adapter', adapter


def _parse_service(
    received: ReceivedRequest,
    customer: CustomerRow,
    table: Table,
    options: RequestOptions,
    found: list[Finding],
) -> Result[RequestContext, Rejection]:
    remainder = received.path[len(SERVICES_PREFIX) :]
    name, _slash, path = remainder.partition('/')
    name = name.partition('?')[0]
    row = tables.find_row(table, ServiceRow, name)
    if row is None:
        return Failure(_unknown_name('path', name, 'service'))
    if not auth.may_call(customer, name):
        return Failure(_forbidden('path', customer, name))
    idempotent = options.idempotent and row.idempotent
    _check_key(options, idempotent, found)
    if found:
        return Failure(Rejection(400, tuple(found)))
    ctx = _context(received, customer, options, 'service', name)
    return Success(ctx._replace(idempotent=idempotent, path='/' + path))


def _check_key(
    options: RequestOptions, idempotent: bool, found: list[Finding]
) -> None:
    if idempotent:
        return
    if not options.key:
        found.append(
            Finding(
                IDEMPOTENCY_KEY_HEADER,
                'must be given with a non-idempotent request',
            )
        )
        return
    if issued_at(options.key) is None:
        found.append(
            Finding(
                IDEMPOTENCY_KEY_HEADER,
                f'{options.key!r} is not <unix seconds of issue>-<any token>',
            )
        )


def issued_at(key: str) -> float | None:
    """Return the time of issue in an idempotency key, in Unix seconds.

    >>> issued_at('1790000000-letter-17')
    1790000000.0
    """
    seconds, dash, token = key.partition('-')
    if not dash or not token or not seconds.isascii():
        return None
    return float(seconds) if seconds.isdigit() else None


def _context(
    received: ReceivedRequest,
    customer: CustomerRow,
    options: RequestOptions,
    kind: str,
    name: str,
) -> RequestContext:
    content_type = received.headers.get('Content-Type', 'application/json')
    return RequestContext(
        request_id=received.request_id,
        customer=customer.name,
        target=name,
        kind=kind,
        idempotent=options.idempotent,
        idempotency_key=options.key,
        arrived=received.now,
        deadline=options.deadline,
        priority=options.priority,
        prompt_tokens=0,
        max_tokens=0,
        stream=False,
        method=received.method,
        path='',
        content_type=content_type,
        body=received.body,
        fingerprint=_fingerprint(customer, name, received),
    )


def _fingerprint(
    customer: CustomerRow, name: str, received: ReceivedRequest
) -> str:
    parts = [customer.name, name, received.method, received.path]
    hasher = blake3.blake3('\0'.join(parts).encode())
    hasher.update(b'\0' + received.body)
    return hasher.hexdigest()


def _json_object(body: bytes, found: list[Finding]) -> dict[str, Any] | None:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        found.append(Finding('body', f'is not JSON: {exc}'))
        return None
    if not isinstance(value, dict):
        found.append(Finding('body', 'is not a JSON object'))
        return None
    return value


def _get_member(
    body: dict[str, Any] | None,
    name: str,
    expected_type: type,
    default: Any,
    found: list[Finding],
) -> Any:
    fallback = expected_type() if default is None else default
    if body is None:
        return fallback
    value = body.get(name)
    if value is None:
        if default is None:
            found.append(Finding(f'body.{name}', 'must be given'))
        return fallback
    if type(value) is not expected_type:
        found.append(
            Finding(
                f'body.{name}', f'{value!r} is no {_TYPE_NAMES[expected_type]}'
            )
        )
        return fallback
    return value


_TYPE_NAMES = {str: 'text', bool: 'true or false', int: 'whole number'}


def _unknown_name(place: str, name: str, kind: str) -> Rejection:
    return Rejection(404, (Finding(place, f'no {kind} {name!r}'),))


def _forbidden(place: str, customer: CustomerRow, name: str) -> Rejection:
    text = f'customer {customer.name!r} may not call {name!r}'
    return Rejection(403, (Finding(place, text),))
