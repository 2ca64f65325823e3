"""Claims: which attempt may run a non-idempotent request.

Load it answers: the same request sent to several entries at once, sent
again after a lost answer, or handed on by an entry that was paused and
believes that it still may.

Without it a print proof is billed twice, a letter posted twice.

How it decides: claims on a key are records in the platform's log, and the
first one in the log's order holds the key. There is no lease that could
lapse, and so no paused holder to fear: nobody else ever gets the key unless
the holding attempt itself was given up with certainty, which a release in
the log says. An attempt whose outcome is not known holds its key for good.
A record that is in the log twice counts once, since the attempt's id is in
it, and a claim that lands after its own release counts for nothing.

Thresholds: a key is good for WINDOW_S from the time of issue that it
carries, long enough for a person or a job with backoff to come again. Older
keys are refused, since nobody could tell whether they have run. Clocks of
two entries may differ by SKEW_S; keys are remembered for the window and
twice that. The log has to keep its records for longer than KEEP_S.
"""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import NamedTuple

import blake3

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

# A recorded answer takes room in the log and in memory for the window;
# receipts of prints and dispatches are far smaller than this.
MAX_RECORDED_BYTES = 16 * 1024

FORMAT = 1

CLAIM = 'claim'
RELEASE = 'release'
FINISH = 'finish'
ACTS = (CLAIM, RELEASE, FINISH)


class ClaimKey(NamedTuple):
    """An idempotency key of one customer; `key` starts with its issue."""

    customer: str
    key: str


class Act(NamedTuple):
    """One step of an attempt, as it stands in the log.

    `request_digest` tells a resend from another request under the same key.
    `outcome` is only set to finish.
    """

    act: str
    key: ClaimKey
    attempt_id: str
    request_digest: str = ''
    outcome: str = ''


class _Holding(NamedTuple):
    attempt_id: str
    request_digest: str
    outcome: str
    released: frozenset[str]


_NOBODY = _Holding('', '', '', frozenset())


class ClaimTable:
    """Who holds which key, after the records that were applied."""

    def __init__(self) -> None:
        self._holdings: dict[ClaimKey, _Holding] = {}

    def __len__(self) -> int:
        return len(self._holdings)

    def apply(self, act: Act, now_unix: float) -> None:
        """Take in the next act in the log's order."""
        if _age(act.key, now_unix) > KEEP_S:
            return
        old = self._holdings.get(act.key, _NOBODY)
        self._holdings[act.key] = _STEPS[act.act](old, act)

    def verdict(self, act: Act, now_unix: float) -> Verdict:
        """Tell a claim that was applied whether it has won."""
        if _age(act.key, now_unix) > WINDOW_S + SKEW_S:
            return OutsideWindow('Idempotency-Key was issued too long ago')
        holding = self._holdings.get(act.key, _NOBODY)
        if holding.attempt_id == act.attempt_id:
            return Won(act.attempt_id)
        if not holding.attempt_id:
            # This attempt was released before its claim has landed.
            return Held()
        if holding.request_digest != act.request_digest:
            return OtherBody()
        if holding.outcome:
            return Recorded(decode_outcome(holding.outcome))
        return Held()

    def forget(self, now_unix: float) -> None:
        """Drop keys that are refused everywhere by their age."""
        self._holdings = {
            key: holding
            for key, holding in self._holdings.items()
            if _age(key, now_unix) <= KEEP_S
        }


def _claim(old: _Holding, act: Act) -> _Holding:
    if old.attempt_id or act.attempt_id in old.released:
        return old
    return old._replace(
        attempt_id=act.attempt_id, request_digest=act.request_digest
    )


def _release(old: _Holding, act: Act) -> _Holding:
    # The release may stand before the claim that it takes back: the claim's
    # append was thought lost and lands late. It is kept in mind, or that
    # claim would hold the key with nobody to run it.
    released = old.released | {act.attempt_id}
    if old.attempt_id != act.attempt_id or old.outcome:
        return old._replace(released=released)
    return _NOBODY._replace(released=released)


def _finish(old: _Holding, act: Act) -> _Holding:
    if old.attempt_id != act.attempt_id or old.outcome:
        return old
    return old._replace(outcome=act.outcome)


_STEPS = {CLAIM: _claim, RELEASE: _release, FINISH: _finish}


def stream_of(key: ClaimKey) -> str:
    """Give the stream of the log on which a key is claimed."""
    text = f'{key.customer}\0{key.key}'
    digest = blake3.blake3(text.encode()).digest(4)
    return f'claims-{int.from_bytes(digest) % STREAMS}'


def outside_window(
    key: str, issued_at: float, now_unix: float
) -> OutsideWindow | None:
    """Tell an entry whether a key that a caller sends is too old or new."""
    if now_unix - issued_at > WINDOW_S:
        text = f'Idempotency-Key {key!r} is older than {WINDOW_S:g} s'
        return OutsideWindow(text)
    if issued_at - now_unix > SKEW_S:
        text = f'Idempotency-Key {key!r} was issued in the future'
        return OutsideWindow(text)
    return None


def encode_batch(acts: list[Act]) -> str:
    """Give the log record that holds some acts in their order."""
    return json.dumps(
        {'v': FORMAT, 'acts': [_to_json(act) for act in acts]},
        separators=(',', ':'),
    )


def decode_batch(data: str) -> list[Act]:
    """Give the acts of a record, none for one that can't be read.

    A record of a newer format must not stop the reading of those after it;
    its writer knows that older processes pass over it.
    """
    try:
        document = json.loads(data)
        if document['v'] != FORMAT:
            return []
        return [_from_json(item) for item in document['acts']]
    except (ValueError, KeyError, TypeError, RecursionError):
        return []


def encode_outcome(outcome: Answered | Unknown) -> str:
    """Give the form in which an outcome is recorded."""
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
    """Give a recorded outcome as a resend gets it."""
    document = json.loads(text)
    if 'unknown' in document:
        return Unknown(document['unknown'], 409)
    return Answered(
        document['status'],
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
        raise ValueError(f'{name!r} is no act')
    if outcome:
        decode_outcome(outcome)
    found = ClaimKey(customer, key)
    _age(found, 0.0)
    return Act(name, found, attempt_id, request_digest, outcome)


def _age(key: ClaimKey, now_unix: float) -> float:
    return now_unix - float(key.key.partition('-')[0])
