"""Callers of the load benchmark: open loop, seeded, each answer timed.

A call is good if its complete answer arrived within its deadline. Arrivals
do not wait for earlier answers, as callers at peak time in the evening do
not either.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
import time
from typing import NamedTuple

import gevent

from burdockchute.decisions import size_classes
from burdockchute.decisions.size_classes import Sizes
from burdockchute_testing import client

DEADLINE_S = 2.0


class Workload(NamedTuple):
    """Similar requests; `requests_per_s` arrive per second on average.

    Their lengths are distributed uniformly within `spread` tokens around
    `max_tokens`: with equal lengths all slots of an engine would become free
    at the same time. Prompts differ between runs, since a request that is
    interrupted twice by an outage is treated as a suspect afterwards.
    """

    name: str
    customer: str
    requests_per_s: float
    max_tokens: int = 24
    spread: int = 0
    prompt: Callable[[random.Random], str] = lambda rng: (
        f'tale {time.monotonic_ns()}'
    )
    deadline_s: float = DEADLINE_S
    key: Callable[[], str] | None = None


class Sample(NamedTuple):
    """Result of one call; times in seconds, None without a first token.

    `sizes` are the lengths of its prompt and of its answer.
    """

    workload: str
    due: float
    good: bool
    outcome: str
    first_token_s: float | None
    total_s: float
    intervals: tuple[float, ...]
    cached_tokens: int
    sizes: Sizes


class Target(NamedTuple):
    """Destination of requests.

    `choose` returns URL, headers and extra members of the body of a request;
    `on_end` is called with the URL when its answer has ended.
    """

    choose: Callable[[Workload], tuple[str, dict[str, str], dict]]
    on_end: Callable[[str], None]


def run(
    target: Target, workloads: Iterable[Workload], seconds: float, seed: int
) -> list[Sample]:
    """Send for `seconds`, wait for all answers and return the samples."""
    samples: list[Sample] = []
    started = time.monotonic()
    senders = [
        gevent.spawn(
            _send_workload,
            target,
            workload,
            seconds,
            random.Random(seed + n),
            samples,
        )
        for n, workload in enumerate(workloads)
    ]
    gevent.joinall(senders, raise_error=True)
    for sender in senders:
        gevent.joinall(sender.value, raise_error=True)
    return [
        sample._replace(due=sample.due - started)
        for sample in sorted(samples, key=lambda sample: sample.due)
    ]


def _send_workload(
    target: Target,
    workload: Workload,
    seconds: float,
    rng: random.Random,
    samples: list[Sample],
) -> list[gevent.Greenlet]:
    start = time.monotonic()
    due = 0.0
    calls = []
    while workload.requests_per_s:
        due += rng.expovariate(workload.requests_per_s)
        if due > seconds:
            break
        gevent.sleep(max(0.0, start + due - time.monotonic()))
        tokens = workload.max_tokens + rng.randint(
            -workload.spread, workload.spread
        )
        body = {
            'model': 'story',
            'prompt': workload.prompt(rng),
            'max_tokens': tokens,
            'stream': True,
        }
        calls.append(
            gevent.spawn(_call, target, workload, body, start + due, samples)
        )
    return calls


def _call(
    target: Target,
    workload: Workload,
    body: dict,
    due: float,
    samples: list[Sample],
) -> None:
    url, headers, extra_members = target.choose(workload)
    token_times: list[float] = []
    final_event: dict = {}
    outcome = 'cut'
    try:
        with gevent.Timeout(workload.deadline_s + 0.5):
            outcome = _read(
                url, headers, body | extra_members, token_times, final_event
            )
    except (client.NoResponse, gevent.Timeout):
        pass
    finally:
        target.on_end(url)
    total_s = time.monotonic() - due
    samples.append(
        Sample(
            workload.name,
            due,
            outcome == 'answered' and total_s <= workload.deadline_s,
            outcome,
            token_times[0] - due if token_times else None,
            total_s,
            tuple(
                b - a
                for a, b in zip(token_times, token_times[1:], strict=False)
            ),
            int(final_event.get('cached_tokens', 0)),
            size_classes.sizes_of(
                len(body['prompt'].split()), body['max_tokens']
            ),
        )
    )


def _read(
    url: str,
    headers: dict[str, str],
    document: dict,
    token_times: list[float],
    final_event: dict,
) -> str:
    """Read a stream to its end and return its outcome.

    An engine that is called directly ends a stream with [DONE]; the system
    ends it with an `outcome` event.
    """
    stream = client.Stream(url, document, headers, timeout_s=30.0)
    try:
        if stream.status != 200:
            return str(stream.headers.get('burdockchute-outcome', 'refused'))
        for event in stream.events():
            if event.data == '[DONE]':
                return 'answered'
            payload = json.loads(event.data)
            if event.name == 'outcome':
                return payload['outcome']
            if 'finish' in payload:
                final_event.update(payload)
            else:
                token_times.append(event.at)
        return 'cut'
    finally:
        stream.close()
