"""Batches claims on one stream of the log into few appends.

One greenlet appends and another reads. Only the records read decide, in the
order of the stream and starting with the oldest one kept. A lost reply to an
append, a second collector or a pause of this process thus changes no verdict.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import queue
from returns.result import Failure

from burdockchute import logs
from burdockchute import tasks
from burdockchute.decisions import claims
from burdockchute.decisions.claims import Act
from burdockchute.decisions.claims import ClaimTable
from burdockchute.model.claims import Unavailable
from burdockchute.model.claims import Verdict
from burdockchute.platform import log as platform_log
from burdockchute.platform.log import Log

# Minimum interval between appends to one stream. All streams together then
# stay near 300 appends per second, however many claims there are.
BATCH_INTERVAL_S = 0.05
MAX_BATCH = 256

READ_WAIT_S = 1.0
MAX_RECORDS = 500
RETRY_S = 0.5
RETRY_AFTER_S = 2.0

# An append that has taken this long is stuck; new claims are refused at once
# instead of waiting behind it.
STUCK_APPEND_S = 1.0

# How long to wait until an append whose reply was lost has been read back.
LOST_REPLY_WAIT_S = 1.0
FORGET_INTERVAL_S = 30.0

Answer = Callable[[Verdict], None]


class Clocks(NamedTuple):
    """Monotonic and unix seconds."""

    now: Callable[[], float]
    now_unix: Callable[[], float]


class _Pending(NamedTuple):
    act: Act
    answer: Answer
    due: float


class ClaimCollector:
    """Collects the claims on one stream; `submit` never blocks."""

    def __init__(self, stream: str, log: Log, clocks: Clocks) -> None:
        self.stream = stream
        self.last_used = clocks.now()
        self.table = ClaimTable()
        self.offset = -1
        self.appends = 0
        self._log = log
        self._clocks = clocks
        self._inbox: queue.Queue = queue.Queue()
        self._pending: dict[tuple[str, str], list[_Pending]] = {}
        self._appending_since: float | None = None
        self._last_forget_at = clocks.now()
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start appending and reading."""
        self._tasks = [
            tasks.start_part(self._append_forever),
            tasks.start_part(self._read_forever),
        ]

    def stop(self) -> None:
        """Stop both tasks; pending acts are never answered."""
        gevent.killall(self._tasks)

    def submit(self, act: Act, answer: Answer) -> None:
        """Append an act to the log; `answer` is called once it is read."""
        now = self._clocks.now()
        self.last_used = now
        if self._is_stuck(now):
            answer(Unavailable('the log does not answer', RETRY_AFTER_S))
            return
        pending = _Pending(act, answer, now + claims.SKEW_S)
        self._pending.setdefault(_id_of(act), []).append(pending)
        self._inbox.put(act)

    def _is_stuck(self, now: float) -> bool:
        since = self._appending_since
        return since is not None and now - since > STUCK_APPEND_S

    def _append_forever(self) -> None:
        while True:
            acts = [self._inbox.get()]
            while len(acts) < MAX_BATCH and not self._inbox.empty():
                acts.append(self._inbox.get())
            self._append(acts)
            gevent.sleep(BATCH_INTERVAL_S)

    def _append(self, acts: list[Act]) -> None:
        self._appending_since = self._clocks.now()
        self.appends += 1
        appended = self._log.append(self.stream, claims.encode_batch(acts))
        self._appending_since = None
        if not isinstance(appended, Failure):
            return
        error = appended.failure()
        logs.warn('claims_not_appended', stream=self.stream, error=error)
        if isinstance(error, platform_log.Unsure):
            gevent.spawn_later(
                LOST_REPLY_WAIT_S, self._refuse, acts, 'no reply'
            )
            return
        self._refuse(acts, 'the log takes no claims')

    def _refuse(self, acts: list[Act], reason: str) -> None:
        for act in acts:
            self._answer(act, Unavailable(reason, RETRY_AFTER_S))

    def _answer(self, act: Act, verdict: Verdict) -> None:
        for pending in self._pending.pop(_id_of(act), ()):
            pending.answer(verdict)

    def _read_forever(self) -> None:
        while True:
            if self.offset < 0 and not self._find_start():
                gevent.sleep(RETRY_S)
                continue
            self._read()
            self._forget()

    def _find_start(self) -> bool:
        extent = self._log.extent(self.stream)
        if isinstance(extent, Failure):
            return False
        # All records kept are read, since the claim that decides may be as
        # old as the window of its key.
        self.offset = extent.unwrap().earliest
        self.table = ClaimTable()
        return True

    def _read(self) -> None:
        read = self._log.read(
            self.stream, self.offset, MAX_RECORDS, READ_WAIT_S
        )
        if isinstance(read, Failure):
            if isinstance(read.failure(), platform_log.Trimmed):
                # This process was paused for longer than the log keeps
                # records; those that it missed may claim keys.
                self.offset = -1
                return
            gevent.sleep(RETRY_S)
            return
        batch = read.unwrap()
        for record in batch.records:
            self._apply(claims.decode_batch(record.data))
        self.offset = batch.next_offset

    def _apply(self, acts: list[Act]) -> None:
        now_unix = self._clocks.now_unix()
        for act in acts:
            self.table.apply(act, now_unix)
            if _id_of(act) in self._pending:
                self._answer(act, self.table.verdict(act, now_unix))

    def _forget(self) -> None:
        now = self._clocks.now()
        if now - self._last_forget_at < FORGET_INTERVAL_S:
            return
        self._last_forget_at = now
        self.table.forget(self._clocks.now_unix())
        for key, pending_acts in list(self._pending.items()):
            if all(pending.due < now for pending in pending_acts):
                del self._pending[key]


def _id_of(act: Act) -> tuple[str, str]:
    return act.attempt_id, act.act
