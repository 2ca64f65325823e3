"""Live requests that are sent while weights are copied."""

from __future__ import annotations

import math
import random
import time
from typing import NamedTuple

import gevent

from burdockchute_testing import calls
from burdockchute_testing.benches.rollout_fleet import API_KEY

REQUESTS_PER_S = 25.0
TOKENS = 16


class TrafficSummary(NamedTuple):
    """Counts and latency of the requests started in a time span."""

    sent: int
    failed: int
    p95_s: float


class LiveTraffic:
    """Sends completions at random times with a fixed mean rate."""

    def __init__(self, entry_url: str, model: str, seed: int) -> None:
        self.calls: list[calls.Call] = []
        self._entry_url = entry_url
        self._model = model
        self._rng = random.Random(seed)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop sending."""
        self._task.kill()

    def summarize(self, start: float, end: float) -> TrafficSummary:
        """Summarize the requests started in a span of Unix seconds."""
        started = [call for call in self.calls if start <= call.start < end]
        answered = [c for c in started if c.outcome == calls.ANSWERED]
        durations_s = sorted(call.end - call.start for call in answered)
        p95 = (
            durations_s[math.ceil(0.95 * len(durations_s)) - 1]
            if durations_s
            else math.nan
        )
        return TrafficSummary(len(started), len(started) - len(answered), p95)

    def digests(self, start: float, end: float) -> set[str]:
        """Return the digests in answers to requests started in a time span."""
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
        call = calls.send(self._entry_url, API_KEY, spec)
        self.calls.append(call._replace(start=started))
