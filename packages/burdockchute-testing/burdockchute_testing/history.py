"""Check a concurrent history against the system's invariants.

A history consists of the calls recorded by callers and the runs recorded by
the stand-in upstreams, on one clock. Each check returns all violations with
the place where they occurred; an empty list means that the history is valid.

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

# An instance that shuts down may still receive requests that were in transit.
SHUTDOWN_GRACE_S = 3.0


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
    """A graceful shutdown of an upstream's agent, started at `at` seconds."""

    upstream: str
    at: float


class History(NamedTuple):
    """The recorded calls and runs, and the events of the recording.

    `digests` are the weights that the table named at any time; if it is
    empty, all weights are allowed. `killed` names the killed entries, whose
    callers may see their connection cut.
    """

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]
    graceful_stops: tuple[GracefulStop, ...] = ()
    digests: frozenset[str] = frozenset()
    killed: frozenset[str] = frozenset()


def check(history: History) -> list[Finding]:
    """Return all violations, sorted by place."""
    by_marker = _runs_by_marker(history)
    known_ids = {c.request_id for c in history.calls if c.request_id}
    violations: list[Finding] = []
    for call in history.calls:
        runs = by_marker[call.spec.marker]
        violations.extend(_check_answer(call, runs, history.digests))
        violations.extend(_check_not_run(call, runs, known_ids))
        violations.extend(_check_outcome(call, history.killed))
    violations.extend(_check_at_most_once(history.calls, by_marker))
    for graceful_stop in history.graceful_stops:
        violations.extend(_check_graceful_stop(graceful_stop, history))
    return sorted(violations)


def runs_of(records: Iterable[Mapping[str, Any]]) -> tuple[Run, ...]:
    """Return the runs in the records of stand-in upstreams."""
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
    runs_by_marker: dict[str, list[Run]] = collections.defaultdict(list)
    for run in history.runs:
        marker = run.text.partition(' ')[0]
        if marker in markers:
            runs_by_marker[marker].append(run)
    return runs_by_marker


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
    if not any(_produced(run, call) for run in runs):
        yield Finding(place, 'answered, but no upstream finished it')


def _check_completion(
    place: str, call: Call, digests: frozenset[str]
) -> Iterator[Finding]:
    answer_digests = (call.digest, call.adapter_digest)
    if call.parts != {answer_digests}:
        yield Finding(
            place,
            f'its parts are from {_short(call.parts)}, not from one '
            f'{_short([answer_digests])}',
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
    call: Call, runs: list[Run], known_ids: Container[str]
) -> Iterator[Finding]:
    if call.outcome != calls.NOT_RUN:
        return
    for run in runs:
        if _belongs(run, call, known_ids):
            yield Finding(
                _place(call), f'not-run, but it ran at {run.upstream}'
            )


def _belongs(run: Run, call: Call, known_ids: Container[str]) -> bool:
    # Each attempt is a separate request, even under an idempotency key that
    # was used before: not-run refers to this attempt only. A run has the
    # request id that the entry gave to the attempt. If no caller ever received
    # that id, the run may belong to any attempt in progress when it started.
    if run.request_id in known_ids:
        return run.request_id == call.request_id
    return call.start <= run.start <= call.end


def _check_outcome(call: Call, killed: frozenset[str]) -> Iterator[Finding]:
    final_outcomes = (calls.ANSWERED, calls.NOT_RUN, calls.UNKNOWN)
    if call.outcome in final_outcomes or call.entry in killed:
        return
    yield Finding(
        _place(call), f'no final outcome: {call.status} {call.error[:200]}'
    )


def _check_at_most_once(
    all_calls: Iterable[Call], by_marker: Mapping[str, list[Run]]
) -> Iterator[Finding]:
    non_idempotent = {
        call.spec.marker for call in all_calls if not call.spec.idempotent
    }
    for marker in sorted(non_idempotent):
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
        if run.start > graceful_stop.at + SHUTDOWN_GRACE_S:
            delay_s = run.start - graceful_stop.at
            yield Finding(place, f'began {delay_s:.1f} s after leaving began')
        in_flight = run.end is None or run.end >= graceful_stop.at
        if in_flight and run.state != recording.FINISHED:
            yield Finding(place, f'was cut off by leaving: {run.state}')


def _produced(run: Run, call: Call) -> bool:
    return (
        run.state == recording.FINISHED
        and run.digest == call.digest
        and run.adapter_digest == call.adapter_digest
    )


def _place(call: Call) -> str:
    return f'{call.spec.marker}@{call.entry}'


def _short(pairs: Iterable[tuple[str, str]]) -> list[str]:
    return sorted(f'{base[:8]}+{adapter[:8]}' for base, adapter in pairs)
