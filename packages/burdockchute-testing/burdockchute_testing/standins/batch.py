"""Continuous batching in the stand-in engine.

Requests join and leave the batch at any token. A prompt is processed before
its first token; prompts are processed one after the other at a common rate,
and a cached prefix costs nothing. Waiting requests get a slot by priority,
then in order of arrival.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import heapq
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event

from burdockchute_testing import answers
from burdockchute_testing.standins import prefix_cache
from burdockchute_testing.standins import recording


class EngineProfile(NamedTuple):
    """Speed and capacity of an engine.

    With all slots in use, a token takes longer by the share `batch_cost` of
    `token_interval_s`; with fewer, proportionally less.
    """

    slots: int = 8
    max_waiting: int = 64
    token_interval_s: float = 0.01
    prefill_tokens_per_s: float = 20_000.0
    batch_cost: float = 0.0


class Work(NamedTuple):
    """The parameters of one request."""

    request_id: str
    model: str
    digest: str
    adapter_digest: str
    prompt: str
    max_tokens: int
    priority: int


class Run:
    """One request in the engine, with its tokens so far and its end state.

    `readers` counts the streams that read the tokens.
    """

    def __init__(self, work: Work, record: dict[str, Any]) -> None:
        self.work = work
        self.record = record
        self.texts: list[str] = []
        self.cached_tokens = 0
        self.state = recording.RUNNING
        self.readers = 0
        self._changed = event.Event()

    @property
    def ended(self) -> bool:
        """Whether the run has ended, so that no more tokens follow."""
        return self.state != recording.RUNNING

    def add(self, text: str) -> None:
        """Add one token and wake the readers."""
        self.texts.append(text)
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self._changed.set()
        self._changed = event.Event()

    def tokens(self, start: int) -> Iterator[tuple[int, str]]:
        """Yield index and text of the tokens from `start` to the run's end."""
        index = start
        while True:
            while index < len(self.texts):
                yield index, self.texts[index]
                index += 1
            if self.ended:
                return
            self._changed.wait()


class Batch:
    """The running requests and the queue of waiting ones."""

    def __init__(
        self,
        profile: EngineProfile,
        cache: prefix_cache.PrefixCache,
        record: recording.Recording,
        clock: Callable[[], float],
        faults: Callable[[], dict[str, Any]],
    ) -> None:
        self.profile = profile
        self.generated = 0
        self._cache = cache
        self._recording = record
        self._clock = clock
        self._faults = faults
        self._running: dict[int, Run] = {}
        self._waiting: list[tuple[int, int, Run]] = []
        self._count = 0
        self._prefill_free_at = 0.0

    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(1 for *_order, run in self._waiting if not run.ended)

    def submit(self, work: Work) -> Run | None:
        """Accept a request; returns None if the queue is full."""
        full = len(self._running) >= self.profile.slots
        if full and self.waiting() >= self.profile.max_waiting:
            return None
        run = Run(work, self.record(work))
        self._count += 1
        heapq.heappush(self._waiting, (-work.priority, self._count, run))
        self._fill_slots()
        return run

    def record(self, work: Work) -> dict[str, Any]:
        """Record the start of a request in the history."""
        return self._recording.start(
            work.request_id,
            model=work.model,
            digest=work.digest,
            adapter_digest=work.adapter_digest,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
        )

    def end(self, run: Run, state: str) -> None:
        """End a run; has no effect on a run that has ended."""
        if run.ended:
            return
        run.state = state
        self._recording.end(run.record, state)
        run.wake()

    def break_runs_using(self, digest: str) -> None:
        """End the runs that use unloaded weights."""
        for run in self._all():
            if digest in (run.work.digest, run.work.adapter_digest):
                self.end(run, recording.BROKEN)

    def _all(self) -> list[Run]:
        waiting = [run for *_order, run in self._waiting]
        return [*self._running.values(), *waiting]

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self.profile.slots:
            *_order, run = heapq.heappop(self._waiting)
            if not run.ended:
                self._running[id(run)] = run
                gevent.spawn(self._generate, run)

    def _generate(self, run: Run) -> None:
        try:
            self._prefill(run)
            self._generate_tokens(run)
            self.end(run, recording.FINISHED)
        finally:
            del self._running[id(run)]
            self._fill_slots()

    def _prefill(self, run: Run) -> None:
        now = self._clock()
        work = run.work
        run.cached_tokens = self._cache.use(
            f'{work.digest}+{work.adapter_digest}', work.prompt, now
        )
        new = max(0, len(work.prompt.split()) - run.cached_tokens)
        cost = new / self.profile.prefill_tokens_per_s * self._slowdown()
        self._prefill_free_at = max(now, self._prefill_free_at) + cost
        gevent.sleep(self._prefill_free_at - now)

    def _generate_tokens(self, run: Run) -> None:
        work = run.work
        token = answers.token_function(
            work.digest, work.adapter_digest, work.prompt
        )
        for index in range(work.max_tokens):
            gevent.sleep(self._interval_s())
            self._stall(index)
            if run.ended:
                return
            if index == self._faults()['break_after']:
                self.end(run, recording.BROKEN)
                return
            run.add(token(index))
            self.generated += 1

    def _interval_s(self) -> float:
        load = len(self._running) / self.profile.slots
        factor = 1 + self.profile.batch_cost * load
        return self.profile.token_interval_s * factor * self._slowdown()

    def _slowdown(self) -> float:
        return self._faults()['slow']

    def _stall(self, index: int) -> None:
        while index == self._faults()['stall_after']:
            gevent.sleep(0.05)
