"""A simulated engine with a staging area, and the agent that loads it.

Nothing runs by itself: tests run the agent's jobs one by one, and choose what
happens at each call to the engine.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast
from unittest import mock

import gevent
from returns.result import Failure
from returns.result import Success

from burdockchute.decisions.versions import History
from burdockchute.decisions.versions import NamedVersion
from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.staged.forecast import AvailabilityForecast
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.staged_task import EnginePolled
from burdockchute_agent.staged.staged_task import StagedTask

MODEL = 'story'
CHUNKS = 3
NO_ANSWER = CallFailed(0, 'no answer')

# A load with a chunk that was corrupt for longer than this is wrong.
EXCUSED_S = 3.0
# The platform executes no call later than this after it timed out.
MAX_LATE_S = 4.0


def chunk(version: int, index: int) -> bytes:
    """Return the right content of a chunk."""
    return b'%03d%03d' % (version, index)


def complete_copy(version: int) -> Copy:
    """Return a complete copy of a version."""
    content = b''.join(chunk(version, index) for index in range(CHUNKS))
    copy = Copy(manifests.build(MODEL, content, 6))
    for index in range(CHUNKS):
        copy.add(index, chunk(version, index))
    return copy


class AgentKilled(Exception):
    """The agent was killed during a call to its engine."""


class SimulatedEngine:
    """An engine; `on_call` is called at each call, with its name.

    It may change the state, raise AgentKilled, or return 'lost' or 'late' for
    a call that is not answered, and executed never or by `execute_late`.
    `wrong_loads` has the start and sequence of each load from chunks that
    were wrong at the time it was accepted.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.started_ms = 1
        self.sequence = 0
        self.versions = {MODEL: 1}
        self.loading: int | None = None
        self.staged_chunks = {i: chunk(1, i) for i in range(CHUNKS)}
        self.corrupt_since: dict[int, float] = {}
        self.wrong_loads: set[tuple[int, int]] = set()
        self.late: list[tuple[float, Callable[[], object]]] = []
        self.on_call: Callable[[str], str] = lambda name: ''

    # Calls of the agent.

    def report(self):
        def answer():
            return Success(
                EngineReport(
                    dict(self.versions),
                    self.loading is not None,
                    self.sequence,
                    0,
                    0,
                    0.0,
                    0.0,
                    1.0,
                    self.started_ms,
                )
            )

        return self._call('report', answer, Failure(NO_ANSWER))

    def load(self, order):
        started_ms = self.started_ms

        def accept():
            # A connection to an earlier start was closed with it.
            if started_ms != self.started_ms:
                return OrderOutcome.UNKNOWN
            return self._accept(order.version, order.sequence)

        return self._call('load', accept, OrderOutcome.UNKNOWN)

    def staged(self, model, index):
        def read():
            if index not in self.staged_chunks:
                return Failure(CallFailed(404, 'status 404'))
            return Success(self.staged_chunks[index])

        return self._call('staged', read, Failure(NO_ANSWER))

    def stage(self, model, index, data):
        started_ms = self.started_ms

        def write():
            if started_ms == self.started_ms:
                self.staged_chunks[index] = data
                self.corrupt_since.pop(index, None)
            return Success(b'')

        return self._call('stage', write, Failure(NO_ANSWER))

    def _call(self, name, act, no_answer):
        outcome = self.on_call(name)
        if outcome == 'late':
            self.late.append((self.now, act))
        if outcome in ('late', 'lost'):
            self.now += 2.0
            return no_answer
        self.now += 0.01
        return act()

    # What happens to it.

    def execute_late(self):
        """Execute the calls that were not answered and are not too old."""
        late, self.late = self.late, []
        for sent_at, act in late:
            if self.now - sent_at <= 2.0 + MAX_LATE_S:
                act()

    def corrupt(self, index):
        """Corrupt a staged chunk."""
        if index in self.staged_chunks:
            self.staged_chunks[index] = b'??'
            self.corrupt_since.setdefault(index, self.now)

    def finish_load(self):
        """End the load in progress."""
        if self.loading is not None:
            self.versions = {MODEL: self.loading}
            self.loading = None

    def restart(self, with_power_loss=False):
        """Crash, and start again without weights."""
        self.started_ms += 1
        self.sequence = 0
        self.versions, self.loading = {}, None
        if with_power_loss:
            self.staged_chunks.clear()
            self.corrupt_since.clear()

    def _accept(self, version, sequence):
        if version in (self.versions.get(MODEL), self.loading):
            return OrderOutcome.IN_EFFECT
        if self.loading is not None or sequence != self.sequence:
            return OrderOutcome.REFUSED
        self.sequence += 1
        self.loading = version
        if any(self._is_wrong(version, index) for index in range(CHUNKS)):
            self.wrong_loads.add((self.started_ms, self.sequence))
        return OrderOutcome.STARTED

    def _is_wrong(self, version, index):
        since = self.corrupt_since.get(index, self.now - 2 * EXCUSED_S)
        is_excused = self.now - since <= EXCUSED_S
        return self.staged_chunks.get(index) != chunk(version, index) and (
            not is_excused
        )


class SimulatedCopies:
    """Copies: complete up to a version, and without a chunk after that."""

    def __init__(self, newest_complete: int) -> None:
        self.newest_complete = newest_complete
        self._copies: dict[str, Copy] = {}

    def copy_of(self, name):
        if name not in self._copies:
            self._copies[name] = complete_copy(int(name.rpartition('@')[2]))
        return self._copies[name]

    def complete_copy(self, name):
        version = int(name.rpartition('@')[2])
        return self.copy_of(name) if version <= self.newest_complete else None

    def manifest_of(self, name):
        return self.copy_of(name).manifest

    def progress(self, name):
        held = CHUNKS if self.complete_copy(name) else CHUNKS - 1
        return held, CHUNKS

    def known(self, name):
        return CHUNKS

    def full_copy_s(self, name):
        return 1.0

    def size_of(self, name):
        return self.copy_of(name).manifest.size

    def set_engine_phase(self, name, loading, loaded):
        pass


class SimulatedAgent:
    """An agent on the machine of a simulated engine.

    Unless it `is_first`, an earlier one may have sent orders.
    """

    def __init__(
        self, engine: SimulatedEngine, newest: int, is_first: bool = True
    ) -> None:
        self.engine = engine
        self.jobs: list[Callable[[], None]] = []
        adapter = mock.MagicMock(engine=lambda address: engine)
        self.task = StagedTask(
            mock.MagicMock(),
            adapter,
            mock.MagicMock(),
            lambda: mock.MagicMock(history=lambda model: self._history),
            lambda: engine.now,
            mock.MagicMock(),
        )
        self.task.bounds = mock.MagicMock(version_s=10.0)
        self.copies = SimulatedCopies(newest)
        self.task._copies = cast(CopyManager, self.copies)
        self.task._scanned_copies = {
            copy_name(MODEL, version) for version in range(100)
        }
        rollout = self.task._rollout_of(MODEL)
        if is_first:
            rollout.order_pending_until = 0.0
        self.name(newest)

    def name(self, version):
        """Name a version, which is copied now."""
        self._history = History((NamedVersion(version, None),))

    def poll(self):
        """Read the engine's report."""
        requested_at = self.engine.now
        result = self.task._engine.report()
        self.task._handle(EnginePolled(requested_at, result))

    def step(self):
        """Derive the next step; its jobs are run by `run_jobs`."""

        def spawn(function, *args):
            self.jobs.append(lambda: function(*args))

        with mock.patch.object(gevent, 'spawn', spawn):
            self.task._step_model(self.task._rollouts[MODEL], self.engine.now)

    def run_jobs(self):
        """Run the jobs of earlier steps."""
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            job()
        while not self.task.inbox.empty():
            self.task._handle(self.task.inbox.get())

    def work(self, rounds=6):
        """Poll, step and run jobs; loads end in each round."""
        for _round in range(rounds):
            self.poll()
            self.step()
            self.run_jobs()
            self.engine.finish_load()
            self.engine.now += 0.3

    def opens_in_s(self):
        """Return the agent's forecast of when the engine opens again."""
        forecast = AvailabilityForecast(
            self.task.report,
            self.task.loaded(),
            self.task._rollouts.values(),
            self.task._copies,
            lambda model: self._history,
            self.task.bounds.version_s,
            1e6,
            lambda name: None,
        )
        return forecast.opens_in_s(self.engine.now)

    def serves_wrong_load(self):
        """Whether a version counts as servable that was loaded wrongly."""
        report = self.task.report
        if report is None or not self.task.loaded():
            return False
        wrong = self.engine.wrong_loads
        return (report.started_ms or 0, report.sequence) in wrong
