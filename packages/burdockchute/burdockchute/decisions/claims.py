"""Claims on idempotency keys: which attempt may run a request.

The same non-idempotent request may be sent to several entries at once, sent
again after a lost answer, or forwarded by an entry that was paused and
assumes that it may still do so. Without claims a print proof would be billed
twice and a letter posted twice.

Claims on a key are records in the platform's log, and the first one in the
log's order holds the key. There is no lease that could expire, and so a
paused holder can do no harm: no other attempt gets the key unless the
holding attempt was certainly abandoned, which a release in the log records.
An attempt whose outcome is unknown holds its key for good. A record that is
in the log twice counts once, since it carries the attempt's id, and a claim
that is appended after its own release has no effect.

A key is valid for WINDOW_S from the time of issue that it carries, long
enough for a person or a job with backoff to retry. Older keys are refused,
since it is no longer known whether their request has run. The clocks of
two entries may differ by SKEW_S, so keys are remembered for the window plus
twice that. The log has to retain its records for longer than KEEP_S.
"""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import NamedTuple

import blake3

from burdockchute import documents
from burdockchute.decisions import statuses
from burdockchute.model.claims import Held
from burdockchute.model.claims import OtherBody
from burdockchute.model.claims import OutsideWindow
from burdockchute.model.claims import Recorded
from burdockchute.model.claims import Verdict
from burdockchute.model.claims import Won
from burdockchute.model.outcomes import Answered
from burdockchute.model.outcomes import Unknown

WINDOW_S = 900.0
SKEW_S = 60.0
KEEP_S = WINDOW_S + 2 * SKEW_S

STREAMS = 16

# A recorded answer occupies the log and memory for the window; receipts of
# prints and dispatches are far smaller than this.
MAX_RECORDED_BYTES = 16 * 1024

FORMAT = 1

CLAIM = 'claim'
RELEASE = 'release'
FINISH = 'finish'
ACTS = (CLAIM, RELEASE, FINISH)


class ClaimKey(NamedTuple):
    """An idempotency key of one customer.

    `key` starts with its time of issue in Unix seconds, followed by a dash.
    """

    customer: str
    key: str


class Act(NamedTuple):
    """A claim, release or finish of one attempt, as recorded in the log.

    `act` is one of ACTS. `request_digest` distinguishes a resend from another
    request under the same key. `outcome` is only set where `act` is FINISH.
    """

    act: str
    key: ClaimKey
    attempt_id: str
    request_digest: str = ''
    outcome: str = ''


class _KeyState(NamedTuple):
    attempt_id: str
    request_digest: str
    outcome: str
    released: frozenset[str]


_UNCLAIMED = _KeyState('', '', '', frozenset())


class ClaimTable:
    """The holder of each key, after the records that were applied."""

    def __init__(self) -> None:
        self._states: dict[ClaimKey, _KeyState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def apply(self, act: Act, now_unix: float) -> None:
        """Apply the next act in the log's order."""
        if _age(act.key, now_unix) > KEEP_S:
            return
        old = self._states.get(act.key, _UNCLAIMED)
        self._states[act.key] = _TRANSITIONS[act.act](old, act)

    def verdict(self, act: Act, now_unix: float) -> Verdict:
        """Return the verdict on a claim that was applied before."""
        if _age(act.key, now_unix) > WINDOW_S + SKEW_S:
            return OutsideWindow('Idempotency-Key was issued too long ago')
        state = self._states.get(act.key, _UNCLAIMED)
        if state.attempt_id == act.attempt_id:
            return Won(act.attempt_id)
        if not state.attempt_id:
            # This attempt was released before its claim was appended.
            return Held()
        if state.request_digest != act.request_digest:
            return OtherBody()
        if state.outcome:
            return Recorded(decode_outcome(state.outcome))
        return Held()

    def forget(self, now_unix: float) -> None:
        """Drop keys that every entry refuses because of their age."""
        self._states = {
            key: state
            for key, state in self._states.items()
            if _age(key, now_unix) <= KEEP_S
        }


def _claim(old: _KeyState, act: Act) -> _KeyState:
    if old.attempt_id or act.attempt_id in old.released:
        return old
    return old._replace(
        attempt_id=act.attempt_id, request_digest=act.request_digest
    )


def _release(old: _KeyState, act: Act) -> _KeyState:
    # The release may precede the claim that it cancels, where the claim's
    # append seemed to be lost and completes late. It is remembered, as that
    # claim would otherwise hold the key with no attempt left to run.
    released = old.released | {act.attempt_id}
    if old.attempt_id != act.attempt_id or old.outcome:
        return old._replace(released=released)
    return _UNCLAIMED._replace(released=released)


def _finish(old: _KeyState, act: Act) -> _KeyState:
    if old.attempt_id != act.attempt_id or old.outcome:
        return old
    return old._replace(outcome=act.outcome)


_TRANSITIONS = {CLAIM: _claim, RELEASE: _release, FINISH: _finish}


def stream_of(key: ClaimKey) -> str:
    """Return the name of the log stream on which a key is claimed."""
    text = f'{key.customer}\0{key.key}'
    digest = blake3.blake3(text.encode()).digest(4)
    return f'claims-{int.from_bytes(digest) % STREAMS}'


def outside_window(
    key: str, issued_at: float, now_unix: float
) -> OutsideWindow | None:
    """Return why a key is refused for its age, None if it is valid."""
    if now_unix - issued_at > WINDOW_S:
        text = f'Idempotency-Key {key!r} is older than {WINDOW_S:g} s'
        return OutsideWindow(text)
    if issued_at - now_unix > SKEW_S:
        text = f'Idempotency-Key {key!r} was issued in the future'
        return OutsideWindow(text)
    return None


def encode_batch(acts: list[Act]) -> str:
    """Return the log record of these acts, in their order."""
    return json.dumps(
        {'v': FORMAT, 'acts': [_to_json(act) for act in acts]},
        separators=(',', ':'),
    )


def decode_batch(data: str) -> list[Act]:
    """Return the acts of a record, none for one that can't be parsed.

    A record in a newer format must not block the records after it; writers
    of such a format know that older processes skip it.
    """
    try:
        document = json.loads(data)
        if document['v'] != FORMAT:
            return []
        return [_from_json(item) for item in document['acts']]
    except documents.INVALID:
        return []


def encode_outcome(outcome: Answered | Unknown) -> str:
    """Return an outcome in the form in which it is recorded."""
    if isinstance(outcome, Unknown):
        document: dict[str, Any] = {'unknown': outcome.reason}
    elif len(outcome.body) > MAX_RECORDED_BYTES:
        text = 'was answered, but the answer is too long to be kept'
        document = {'unknown': text}
    else:
        document = {
            'status': outcome.status,
            'content_type': outcome.content_type,
            'body': base64.b64encode(outcome.body).decode(),
            'digest': outcome.digest,
            'adapter_digest': outcome.adapter_digest,
        }
    return json.dumps(document, separators=(',', ':'))


def decode_outcome(text: str) -> Answered | Unknown:
    """Return a recorded outcome as a resend receives it.

    Raises one of `documents.INVALID` for any other text.
    """
    document = json.loads(text)
    if 'unknown' in document:
        return Unknown(str(document['unknown']), 409)
    status = int(document['status'])
    if not statuses.is_final(status):
        return Unknown(f'was answered with status {status}', 409)
    return Answered(
        status,
        document['content_type'],
        base64.b64decode(document['body']),
        document['digest'],
        document['adapter_digest'],
    )


def _to_json(act: Act) -> list[str]:
    customer, key = act.key
    return [
        act.act,
        customer,
        key,
        act.attempt_id,
        act.request_digest,
        act.outcome,
    ]


def _from_json(item: list[str]) -> Act:
    name, customer, key, attempt_id, request_digest, outcome = item
    if name not in ACTS or not all(isinstance(text, str) for text in item):
        raise ValueError(f'{name!r}: no such act')
    if outcome:
        decode_outcome(outcome)
    claim_key = ClaimKey(customer, key)
    _age(claim_key, 0.0)
    return Act(name, claim_key, attempt_id, request_digest, outcome)


def _age(key: ClaimKey, now_unix: float) -> float:
    return now_unix - float(key.key.partition('-')[0])
