"""Callers that use a model continuously while a test injects faults."""

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
        self._is_running = True
        self._tasks: list[gevent.Greenlet] = []

    def add_customer(self) -> None:
        """Add the callers' customer to the table."""
        self._system.set_row(
            'customer',
            'traffic',
            key_digests=blake3.blake3(BEARER.encode()).hexdigest(),
            requests_per_s=1000,
            tokens_per_s=1000000,
        )

    def start(self) -> None:
        """Start the callers."""
        self._tasks = [
            gevent.spawn(self._run_caller, n) for n in range(CALLERS)
        ]

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._is_running = False
        gevent.joinall(self._tasks, raise_error=True)

    def answered(self) -> int:
        """Return the number of answered calls so far."""
        return sum(call.outcome == calls.ANSWERED for call in self.calls)

    def digests(self) -> set[str]:
        """Return the digests named in answers so far."""
        return {pair[0] for call in self.calls for pair in call.parts}

    def findings(self, *digests: str) -> list[Finding]:
        """Return the violations in the calls.

        `digests` are the weights that the table named at any time.
        """
        return history.check(
            history.History(
                tuple(self.calls),
                history.runs_of(self._system.runs()),
                digests=frozenset(digests),
            )
        )

    def _run_caller(self, number: int) -> None:
        url = self._system.url(self._entry, 'http_port')
        count = 0
        while self._is_running:
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
