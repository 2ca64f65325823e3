"""Shares what entries refuse because of crashes through the store.

Reports of crashes reach the entries that are linked at the time. What they
lead to also has to hold for an entry that was cut off, joins or starts again,
so the requests and parts of prompts that an entry refuses are kept in the
platform's store, where all read them.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event
from gevent import queue
from returns.result import Failure

from burdockchute import logs
from burdockchute.decisions.crash_causes import CrashCauses
from burdockchute.decisions.crash_evidence import REFUSE_S
from burdockchute.decisions.crash_evidence import WEAK_REFUSE_S
from burdockchute.feed_follower import Cursor
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import CauseAllowed
from burdockchute.model.feeds import CauseRefused
from burdockchute.model.feeds import Change
from burdockchute.model.feeds import CrashRecords
from burdockchute_entry.straight.crash_watch import log_refused

# Changes are rare. They are read by long polls for this long after a crash or
# an outage of the store, and otherwise at this interval.
EXPECTING_S = 30.0
IDLE_INTERVAL_S = 20.0
MIN_INTERVAL_S = 0.5

# A failed read is repeated until one succeeds: an entry that starts while the
# store is away knows nothing of the refused causes.
RETRY_S = 0.5

# How long to retry the save of a change. Most callers of refused requests
# have given up by then.
SAVE_TIMEOUT_S = 120.0


class CrashRecordsTask:
    """Reads the refused causes into `causes`, and saves changes of this entry.

    A read stays open at the store for up to `wait_s`.
    """

    def __init__(
        self,
        crash_records: CrashRecords,
        causes: CrashCauses,
        wait_s: float,
        now: Callable[[], float],
        now_unix: Callable[[], float],
    ) -> None:
        self._crash_records = crash_records
        self._causes = causes
        self._wait_s = wait_s
        self._now = now
        self._now_unix = now_unix
        self._inbox: queue.Queue = queue.Queue()
        self._expecting_until = float('-inf')
        self._woken = event.Event()

    def expect_changes(self) -> None:
        """Read at once, and by long polls for a while."""
        self._expecting_until = self._now() + EXPECTING_S
        self._woken.set()

    def read_soon(self) -> None:
        """Read once, as changes may have been missed."""
        self._woken.set()

    def save(self, name: str, for_s: float) -> None:
        """Save that this entry refuses a cause, or no longer with 0."""
        self._inbox.put(
            self._refused(name, for_s) if for_s else CauseAllowed(name)
        )

    def _refused(self, name: str, for_s: float) -> CauseRefused:
        # A record holds for REFUSE_S; one for less is dated back.
        return CauseRefused(name, self._now_unix() + for_s - REFUSE_S)

    def save_forever(self) -> None:
        """Save the changes of this entry in their order, forever."""
        while True:
            change = self._inbox.get()
            until = self._now() + SAVE_TIMEOUT_S
            while not self._crash_records.save(change):
                if self._now() > until:
                    logs.warn('crash_record_not_saved', cause=change.name)
                    break
                gevent.sleep(RETRY_S)

    def read_forever(self) -> None:
        """Apply the changes of all entries, forever."""
        cursor = Cursor()
        was_read = True
        while True:
            self._woken.clear()
            is_expecting = self._now() < self._expecting_until
            wait_s = self._wait_s if is_expecting else 0.0
            result = self._crash_records.read(cursor.position, wait_s)
            if isinstance(result, Failure):
                error = result.failure()
                if error.expired:
                    cursor.expire()
                if was_read:
                    logs.event('crash_records_unread', reason=error.reason)
                was_read = False
                gevent.sleep(RETRY_S)
                continue
            batch = result.unwrap()
            was_read = True
            restored = cursor.advance(batch.position)
            for change in batch.changes:
                self._apply(change)
            if restored:
                self._save_missing(batch)
            if self._now() >= self._expecting_until:
                # Many agents may be linked again at the same time.
                gevent.sleep(MIN_INTERVAL_S)
                self._woken.wait(IDLE_INTERVAL_S - MIN_INTERVAL_S)

    def _save_missing(self, batch: Batch) -> None:
        """Save again what a store that was restored from a copy lacks."""
        stored = {
            change.name
            for change in batch.changes
            if isinstance(change, CauseRefused)
        }
        for name, left_s in self._causes.refused(self._now()).items():
            if name not in stored:
                self._inbox.put(self._refused(name, left_s))

    def _apply(self, change: Change) -> None:
        now = self._now()
        if isinstance(change, CauseAllowed):
            self._causes.clear(change.name)
        elif isinstance(change, CauseRefused):
            age_s = max(0.0, self._now_unix() - change.at_unix)
            left_s = REFUSE_S - age_s
            if left_s <= 0:
                return
            if left_s <= WEAK_REFUSE_S and self._causes.was_answered(
                change.name
            ):
                # The other entry has weak evidence, and no answer on it.
                return
            if not self._causes.is_refused(change.name, now):
                log_refused(change.name, 'store', left_s)
            self._causes.refuse(change.name, left_s, now)
