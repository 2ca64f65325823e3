"""Callers that go on asking for a model while a test breaks something."""

from __future__ import annotations

import blake3
import gevent

from burdockchute.model.findings import Finding
from burdockchute_testing import calls
from burdockchute_testing import harness
from burdockchute_testing import history
from burdockchute_testing.calls import Call

BEARER = 'key-of-traffic'
CALLERS = 3
PAUSE_S = 0.05
TOKENS = 6


class Traffic:
    """Streams completions of one model through one entry."""

    def __init__(self, system: harness.System, entry: str, model: str) -> None:
        self.calls: list[Call] = []
        self._system = system
        self._entry = entry
        self._model = model
        self._is_on = True
        self._tasks: list[gevent.Greenlet] = []

    def allow(self) -> None:
        """Put the callers' customer into the table."""
        self._system.set_row(
            'customer',
            'traffic',
            key_digests=blake3.blake3(BEARER.encode()).hexdigest(),
            requests_per_s=1000,
            tokens_per_s=1000000,
        )

    def start(self) -> None:
        """Start the callers."""
        self._tasks = [gevent.spawn(self._call, n) for n in range(CALLERS)]

    def stop(self) -> None:
        """Let each caller get its last answer."""
        self._is_on = False
        gevent.joinall(self._tasks, raise_error=True)

    def answered(self) -> int:
        """Give how many answers have come so far."""
        return sum(call.outcome == calls.ANSWERED for call in self.calls)

    def digests(self) -> set[str]:
        """Give the digests that answers have named so far."""
        return {pair[0] for call in self.calls for pair in call.parts}

    def findings(self, *digests: str) -> list[Finding]:
        """Check all that was seen; `digests` were ever in the table."""
        return history.check(
            history.History(
                tuple(self.calls),
                history.runs_of(self._system.runs()),
                digests=frozenset(digests),
            )
        )

    def _call(self, number: int) -> None:
        url = self._system.url(self._entry, 'http_port')
        count = 0
        while self._is_on:
            count += 1
            spec = calls.completion(
                f'traffic-{number}-{count}',
                self._model,
                'a hare met a fox',
                max_tokens=TOKENS,
                stream=True,
            )
            self.calls.append(calls.send(url, BEARER, spec, self._entry))
            gevent.sleep(PAUSE_S)
