"""Check a concurrent history against what must always hold.

A history has the calls that callers recorded and the runs that the stand-in
upstreams recorded, on one clock. Each check collects every breach with its
place; an empty list means that the history is sound.

>>> from burdockchute_testing.history import History
>>> check(History((), ()))
[]
"""

from __future__ import annotations

import collections
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from burdockchute.model.findings import Finding
from burdockchute_testing import answers
from burdockchute_testing import calls
from burdockchute_testing.calls import Call
from burdockchute_testing.standins import recording

# An instance that is leaving may still get what was on its way.
LEAVING_GRACE_S = 3.0


class Run(NamedTuple):
    """One run of a request in an upstream; `end` is None while it runs."""

    upstream: str
    request_id: str
    text: str
    start: float
    end: float | None
    state: str
    digest: str = ''
    adapter_digest: str = ''


class GracefulStop(NamedTuple):
    """An upstream left gracefully from `at` on, seconds."""

    upstream: str
    at: float


class History(NamedTuple):
    """What was recorded, and what is known about the time of it.

    `digests` are all the weights that were ever named by the table; empty
    means that any will do. `killed` names entries that were killed, whose
    callers may see their connection cut.
    """

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]
    graceful_stops: tuple[GracefulStop, ...] = ()
    digests: frozenset[str] = frozenset()
    killed: frozenset[str] = frozenset()


def check(history: History) -> list[Finding]:
    """Return every breach, in the order of their places."""
    by_marker = _runs_by_marker(history)
    known = {c.request_id for c in history.calls if c.request_id}
    found: list[Finding] = []
    for call in history.calls:
        runs = by_marker[call.spec.marker]
        found.extend(_check_answer(call, runs, history.digests))
        found.extend(_check_not_run(call, runs, known))
        found.extend(_check_final(call, history.killed))
    found.extend(_check_once(history.calls, by_marker))
    for graceful_stop in history.graceful_stops:
        found.extend(_check_graceful_stop(graceful_stop, history))
    return sorted(found)


def runs_of(records: Iterable[Mapping[str, Any]]) -> tuple[Run, ...]:
    """Return the runs from the records of stand-in upstreams."""
    return tuple(
        Run(
            upstream=record['upstream'],
            request_id=record['request_id'],
            text=record.get('prompt', record.get('body', '')),
            start=record['start'],
            end=record['end'],
            state=record['how'],
            digest=record['digest'],
            adapter_digest=record.get('adapter_digest', ''),
        )
        for record in records
    )


def _runs_by_marker(history: History) -> dict[str, list[Run]]:
    markers = {call.spec.marker for call in history.calls}
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history.runs:
        marker = run.text.partition(' ')[0]
        if marker in markers:
            found[marker].append(run)
    return found


def _check_answer(
    call: Call, runs: list[Run], digests: frozenset[str]
) -> Iterator[Finding]:
    if call.outcome != calls.ANSWERED or call.status != 200:
        return
    place = _place(call)
    if call.spec.kind == calls.SERVICE:
        if call.text != call.spec.text:
            yield Finding(place, 'the answer is not its own')
    else:
        yield from _check_completion(place, call, digests)
    if not any(_made(run, call) for run in runs):
        yield Finding(place, 'answered, but no upstream finished it')


def _check_completion(
    place: str, call: Call, digests: frozenset[str]
) -> Iterator[Finding]:
    named = (call.digest, call.adapter_digest)
    if call.parts != {named}:
        yield Finding(
            place,
            f'its parts are from {_short(call.parts)}, not from one '
            f'{_short([named])}',
        )
    if digests and call.digest not in digests:
        yield Finding(place, f'{call.digest[:8]} was never in the table')
    expected = answers.expected_text(
        call.digest, call.adapter_digest, call.spec.text, call.spec.max_tokens
    )
    if call.text == expected:
        return
    if expected.startswith(call.text):
        yield Finding(place, 'the answer is shortened')
    else:
        yield Finding(place, 'the answer is not its own')


def _check_not_run(
    call: Call, runs: list[Run], known: Container[str]
) -> Iterator[Finding]:
    if call.outcome != calls.NOT_RUN:
        return
    for run in runs:
        if _belongs(run, call, known):
            yield Finding(
                _place(call), f'not-run, but it ran at {run.upstream}'
            )


def _belongs(run: Run, call: Call, known: Container[str]) -> bool:
    # Each sending is a request of its own, also one under a key that was
    # sent before: not-run speaks of this sending. A run has the id that the
    # entry gave to its sending; where no caller ever heard that id, it may
    # be of any sending that was under way when it began.
    if run.request_id in known:
        return run.request_id == call.request_id
    return call.start <= run.start <= call.end


def _check_final(call: Call, killed: frozenset[str]) -> Iterator[Finding]:
    known = (calls.ANSWERED, calls.NOT_RUN, calls.UNKNOWN)
    if call.outcome in known or call.entry in killed:
        return
    yield Finding(
        _place(call), f'no final outcome: {call.status} {call.error[:200]}'
    )


def _check_once(
    made: Iterable[Call], by_marker: Mapping[str, list[Run]]
) -> Iterator[Finding]:
    guarded = {call.spec.marker for call in made if not call.spec.idempotent}
    for marker in sorted(guarded):
        runs = by_marker[marker]
        if len(runs) > 1:
            where = ', '.join(run.upstream for run in runs)
            yield Finding(marker, f'ran {len(runs)} times: {where}')


def _check_graceful_stop(
    graceful_stop: GracefulStop, history: History
) -> Iterator[Finding]:
    for run in history.runs:
        if run.upstream != graceful_stop.upstream:
            continue
        place = f'{run.upstream}:{run.text.partition(" ")[0]}'
        if run.start > graceful_stop.at + LEAVING_GRACE_S:
            late = run.start - graceful_stop.at
            yield Finding(place, f'began {late:.1f} s after leaving began')
        in_flight = run.end is None or run.end >= graceful_stop.at
        if in_flight and run.state != recording.FINISHED:
            yield Finding(place, f'was cut off by leaving: {run.state}')


def _made(run: Run, call: Call) -> bool:
    return (
        run.state == recording.FINISHED
        and run.digest == call.digest
        and run.adapter_digest == call.adapter_digest
    )


def _place(call: Call) -> str:
    return f'{call.spec.marker}@{call.entry}'


def _short(pairs: Iterable[tuple[str, str]]) -> list[str]:
    return sorted(f'{base[:8]}+{adapter[:8]}' for base, adapter in pairs)
