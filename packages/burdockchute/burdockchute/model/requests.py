"""A caller's request as the system handles it."""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.crash_reports import PromptPart


class RequestContext(NamedTuple):
    """A request that was validated and whose target was resolved.

    Times are seconds of the entry's monotonic clock. `target` names a model,
    adapter or service row. `digest` and `adapter_digest` are set when the
    request is placed and do not change afterwards; they are empty before
    that, and for services. `fingerprint` is a digest over customer, target
    and body. `prefixes` are digests of the prompt's first 1, 2, 3... blocks,
    longest last. `prompt_parts` are the named parts of the prompt that other
    requests may share.
    """

    request_id: str
    customer: str
    target: str
    kind: str
    idempotent: bool
    idempotency_key: str
    arrived: float
    deadline: float
    priority: int
    prompt_tokens: int
    max_tokens: int
    stream: bool
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: str
    prefixes: tuple[str, ...] = ()
    digest: str = ''
    adapter_digest: str = ''
    prompt_parts: tuple[PromptPart, ...] = ()
