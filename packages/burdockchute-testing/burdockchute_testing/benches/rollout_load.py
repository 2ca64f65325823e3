"""Live requests that flow while weights are copied."""

from __future__ import annotations

import math
import random
import time
from typing import NamedTuple

import gevent

from burdockchute_testing import calls
from burdockchute_testing.benches.rollout_fleet import BEARER

REQUESTS_PER_S = 25.0
TOKENS = 16


class Latency(NamedTuple):
    """Of the requests begun in a span of time; seconds."""

    asked: int
    failed: int
    p95_s: float


class Load:
    """Sends completions at random times of a fixed mean rate."""

    def __init__(self, entry_url: str, model: str, seed: int) -> None:
        self.calls: list[calls.Call] = []
        self._entry_url = entry_url
        self._model = model
        self._rng = random.Random(seed)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Send no more."""
        self._task.kill()

    def between(self, start: float, end: float) -> Latency:
        """Give the latency of the requests begun in a span of time."""
        found = [call for call in self.calls if start <= call.start < end]
        good = [c for c in found if c.outcome == calls.ANSWERED]
        took = sorted(call.end - call.start for call in good)
        p95 = took[math.ceil(0.95 * len(took)) - 1] if took else math.nan
        return Latency(len(found), len(found) - len(good), p95)

    def digests(self, start: float, end: float) -> set[str]:
        """Give the digests that answers begun in a span of time named."""
        return {
            digest
            for call in self.calls
            if start <= call.start < end
            for digest, _adapter in call.parts
        }

    def _run(self) -> None:
        number = 0
        while True:
            gevent.sleep(self._rng.expovariate(REQUESTS_PER_S))
            number += 1
            gevent.spawn(self._send, number)

    def _send(self, number: int) -> None:
        spec = calls.completion(
            f'live-{number}',
            self._model,
            'a hare met a fox',
            max_tokens=TOKENS,
        )
        started = time.time()
        call = calls.send(self._entry_url, BEARER, spec)
        self.calls.append(call._replace(start=started))
