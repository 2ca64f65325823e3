"""Callers of the load bench: open loop, seeded, each answer timed.

A call is good if its whole answer came within its deadline. Arrivals do not
wait for answers, as callers in the evening do not either.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
import time
from typing import NamedTuple

import gevent

from burdockchute_testing import client

DEADLINE_S = 2.0


class Shape(NamedTuple):
    """A stream of like requests; `per_s` arrive each second on average.

    Their lengths lie evenly within `spread` tokens around `max_tokens`: were
    all alike, the slots of an engine would all end together. Prompts differ
    between runs, since what an outage takes twice is suspect afterwards.
    """

    name: str
    customer: str
    per_s: float
    max_tokens: int = 24
    spread: int = 0
    prompt: Callable[[random.Random], str] = lambda rng: (
        f'tale {time.monotonic_ns()}'
    )
    deadline_s: float = DEADLINE_S
    key: Callable[[], str] | None = None


class Sample(NamedTuple):
    """What one caller got; times are seconds, None where nothing came."""

    shape: str
    due: float
    good: bool
    outcome: str
    first_s: float | None
    total_s: float
    intervals: tuple[float, ...]
    cached_tokens: int


class Target(NamedTuple):
    """Sends one request: gives URL, headers and extra members of the body.

    `done` is told the URL when its answer is over.
    """

    choose: Callable[[Shape], tuple[str, dict[str, str], dict]]
    done: Callable[[str], None]


def run(
    target: Target, shapes: Iterable[Shape], seconds: float, seed: int
) -> list[Sample]:
    """Send for so many seconds and wait for all answers."""
    samples: list[Sample] = []
    started = time.monotonic()
    feeds = [
        gevent.spawn(
            _feed, target, shape, seconds, random.Random(seed + n), samples
        )
        for n, shape in enumerate(shapes)
    ]
    gevent.joinall(feeds, raise_error=True)
    for feed in feeds:
        gevent.joinall(feed.value, raise_error=True)
    return [
        sample._replace(due=sample.due - started)
        for sample in sorted(samples, key=lambda sample: sample.due)
    ]


def _feed(
    target: Target,
    shape: Shape,
    seconds: float,
    rng: random.Random,
    samples: list[Sample],
) -> list[gevent.Greenlet]:
    start = time.monotonic()
    due = 0.0
    calls = []
    while shape.per_s:
        due += rng.expovariate(shape.per_s)
        if due > seconds:
            break
        gevent.sleep(max(0.0, start + due - time.monotonic()))
        tokens = shape.max_tokens + rng.randint(-shape.spread, shape.spread)
        body = {
            'model': 'story',
            'prompt': shape.prompt(rng),
            'max_tokens': tokens,
            'stream': True,
        }
        calls.append(
            gevent.spawn(_call, target, shape, body, start + due, samples)
        )
    return calls


def _call(
    target: Target,
    shape: Shape,
    body: dict,
    due: float,
    samples: list[Sample],
) -> None:
    url, headers, more = target.choose(shape)
    times: list[float] = []
    last: dict = {}
    outcome = 'cut'
    try:
        with gevent.Timeout(shape.deadline_s + 0.5):
            outcome = _read(url, headers, body | more, times, last)
    except (client.NoResponse, gevent.Timeout):
        pass
    finally:
        target.done(url)
    total_s = time.monotonic() - due
    samples.append(
        Sample(
            shape.name,
            due,
            outcome == 'answered' and total_s <= shape.deadline_s,
            outcome,
            times[0] - due if times else None,
            total_s,
            tuple(b - a for a, b in zip(times, times[1:], strict=False)),
            int(last.get('cached_tokens', 0)),
        )
    )


def _read(
    url: str,
    headers: dict[str, str],
    document: dict,
    times: list[float],
    last: dict,
) -> str:
    """Read a stream to its end and give its outcome.

    An engine that is called directly ends with [DONE]; the system ends with
    an event of its own.
    """
    stream = client.Stream(url, document, headers, timeout_s=30.0)
    try:
        if stream.status != 200:
            return str(stream.headers.get('burdockchute-outcome', 'refused'))
        for event in stream.events():
            if event.data == '[DONE]':
                return 'answered'
            found = json.loads(event.data)
            if event.name == 'outcome':
                return found['outcome']
            if 'finish' in found:
                last.update(found)
            else:
                times.append(event.at)
        return 'cut'
    finally:
        stream.close()
