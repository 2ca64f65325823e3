"""A model of an engine that works in passes over a batch.

A pass generates `steps_per_pass` tokens for each request of the batch and
processes up to `PASS_TOKENS` prompt tokens; the prompts prolong it. Requests
without a slot wait, the most urgent first and in FIFO order among equally
urgent ones. As on the platform, the engine reports the number of its requests
with a delay.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

from burdockchute.decisions import engine_placement
from burdockchute.model.routes import EngineCost
from burdockchute_testing.emulator.clock import Clock

# The engine counts its requests at one interval and reports the last count
# at another.
COUNT_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 0.15

# One-way delay of a request or a report.
NETWORK_DELAY_S = 0.003


class Job:
    """A request at an engine, with callbacks for its first and last token.

    The lower `urgency` is admitted first.
    """

    def __init__(
        self,
        prompt_tokens: int,
        answer_tokens: int,
        on_started: Callable[[], None],
        on_finished: Callable[[], None],
        urgency: int = 0,
    ) -> None:
        self.urgency = urgency
        self.prompt_left = prompt_tokens
        self.answer_left = answer_tokens
        self.on_started = on_started
        self.on_finished = on_finished
        self.has_started = False


class Engine:
    """One engine with `slots` concurrent requests.

    Up to `queue` more requests wait; the engine refuses any beyond that.
    `on_report` is called with each reported number of requests; `offset_s`
    delays the first count and report.
    """

    def __init__(
        self,
        clock: Clock,
        cost: EngineCost,
        slots: int,
        queue: int,
        on_report: Callable[[int], None],
        offset_s: float = 0.0,
    ) -> None:
        self.busy_s = 0.0
        self.is_open = False
        self._clock = clock
        self._cost = cost
        self._slots = slots
        self._max_waiting = queue
        self._on_report = on_report
        self._running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._is_working = False
        self._counted = 0
        clock.after(offset_s, self._count)
        clock.after(offset_s, self._report)

    @property
    def request_count(self) -> int:
        """The number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    def open(self) -> None:
        """Start to accept requests, and report the load at once."""
        self.is_open = True
        self._on_report(self.request_count)

    def accept(self, job: Job) -> bool:
        """Accept a request; returns False if it is refused."""
        full = self.request_count >= self._slots + self._max_waiting
        if full or not self.is_open:
            return False
        heapq.heappush(self._waiting, (job.urgency, next(self._order), job))
        if not self._is_working:
            self._is_working = True
            self._start_pass()
        return True

    def _start_pass(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            self._running.append(heapq.heappop(self._waiting)[2])
        if not self._running:
            self._is_working = False
            return
        cost = self._cost
        prompt_budget = engine_placement.PASS_TOKENS
        for job in self._running:
            prompt_tokens_read = min(job.prompt_left, prompt_budget)
            job.prompt_left -= prompt_tokens_read
            prompt_budget -= prompt_tokens_read
        step_s = cost.step_s + cost.request_step_s * len(self._running)
        read_s = (
            engine_placement.PASS_TOKENS - prompt_budget
        ) / cost.prompt_tokens_per_s
        pass_s = cost.steps_per_pass * step_s + read_s
        self.busy_s += pass_s
        self._clock.after(pass_s, self._end_pass)

    def _end_pass(self) -> None:
        unfinished = []
        for job in self._running:
            if job.prompt_left > 0:
                unfinished.append(job)
                continue
            if not job.has_started:
                job.has_started = True
                job.on_started()
            job.answer_left -= self._cost.steps_per_pass
            if job.answer_left > 0:
                unfinished.append(job)
            else:
                job.on_finished()
        self._running = unfinished
        self._start_pass()

    def _count(self) -> None:
        self._counted = self.request_count
        self._clock.after(COUNT_INTERVAL_S, self._count)

    def _report(self) -> None:
        if self.is_open:
            request_count = self._counted
            self._clock.after(
                NETWORK_DELAY_S, lambda: self._on_report(request_count)
            )
        self._clock.after(REPORT_INTERVAL_S, self._report)
