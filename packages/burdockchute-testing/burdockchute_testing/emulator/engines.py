"""A model of an engine that works in passes over a batch.

A pass makes `steps_per_pass` tokens for each request of the batch and reads
prompts for as long as it takes. What finds no slot waits in order. The engine
tells what it has in hand with a delay, as on the platform.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from burdockchute.decisions import engine_placement
from burdockchute.model.routes import EngineCost
from burdockchute_testing.emulator.clock import Clock

# How often the engine's own figures change, and how often they are told.
SAMPLE_S = 0.2
REPORT_S = 0.15

# A request, or a report, is on its way for so long.
WAY_S = 0.003


class Job:
    """A request at an engine; `begun` and `ended` are told of its events."""

    def __init__(
        self,
        prompt_tokens: int,
        answer_tokens: int,
        begun: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        self.prompt_left = prompt_tokens
        self.answer_left = answer_tokens
        self.begun = begun
        self.ended = ended
        self.has_begun = False


class Engine:
    """One engine; `told` gets what it has in hand, `queue` more may wait.

    A job beyond that is refused at once.
    """

    def __init__(
        self,
        clock: Clock,
        cost: EngineCost,
        slots: int,
        queue: int,
        told: Callable[[int], None],
        offset_s: float = 0.0,
    ) -> None:
        self.busy_s = 0.0
        self.is_open = False
        self._clock = clock
        self._cost = cost
        self._slots = slots
        self._most_waiting = queue
        self._told = told
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._is_working = False
        self._sampled = 0
        clock.after(offset_s, self._sample)
        clock.after(offset_s, self._report)

    @property
    def in_hand(self) -> int:
        """How many requests run or wait here."""
        return len(self._running) + len(self._waiting)

    def open(self) -> None:
        """Begin to take requests, and say so."""
        self.is_open = True
        self._told(self.in_hand)

    def take(self, job: Job) -> bool:
        """Take a request, or refuse it."""
        full = self.in_hand >= self._slots + self._most_waiting
        if full or not self.is_open:
            return False
        self._waiting.append(job)
        if not self._is_working:
            self._is_working = True
            self._begin_pass()
        return True

    def _begin_pass(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            self._running.append(self._waiting.popleft())
        if not self._running:
            self._is_working = False
            return
        cost = self._cost
        room = engine_placement.PASS_TOKENS
        for job in self._running:
            read = min(job.prompt_left, room)
            job.prompt_left -= read
            room -= read
        step_s = cost.step_s + cost.request_step_s * len(self._running)
        read_s = (
            engine_placement.PASS_TOKENS - room
        ) / cost.prompt_tokens_per_s
        pass_s = cost.steps_per_pass * step_s + read_s
        self.busy_s += pass_s
        self._clock.after(pass_s, self._end_pass)

    def _end_pass(self) -> None:
        left = []
        for job in self._running:
            if job.prompt_left > 0:
                left.append(job)
                continue
            if not job.has_begun:
                job.has_begun = True
                job.begun()
            job.answer_left -= self._cost.steps_per_pass
            if job.answer_left > 0:
                left.append(job)
            else:
                job.ended()
        self._running = left
        self._begin_pass()

    def _sample(self) -> None:
        self._sampled = self.in_hand
        self._clock.after(SAMPLE_S, self._sample)

    def _report(self) -> None:
        if self.is_open:
            in_hand = self._sampled
            self._clock.after(WAY_S, lambda: self._told(in_hand))
        self._clock.after(REPORT_S, self._report)
