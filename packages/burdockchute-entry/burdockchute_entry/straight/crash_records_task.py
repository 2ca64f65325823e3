"""Shares what entries know of crashes through the platform's store.

Reports of crashes reach the entries that are linked at the time. What is known
also has to reach an entry that was cut off, joins or starts again, even if no
other entry runs: the requests that crashes lost, which of them were answered
since, and the requests and parts of prompts that entries refuse.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import itertools

import gevent
from gevent import event
from gevent import lock
from gevent import queue
from returns.result import Failure
from returns.result import Result

from burdockchute import logs
from burdockchute.decisions.crash_causes import CRASH_TTL_S
from burdockchute.decisions.crash_causes import LIMITED_TTL_S
from burdockchute.decisions.crash_evidence import REFUSE_S
from burdockchute.decisions.crash_evidence import WEAK_REFUSE_S
from burdockchute.feed_state import Cursor
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import CauseAnswered
from burdockchute.model.feeds import CauseRefused
from burdockchute.model.feeds import Change
from burdockchute.model.feeds import ClaimResult
from burdockchute.model.feeds import CrashRecord
from burdockchute.model.feeds import CrashRecorded
from burdockchute.model.feeds import CrashRecords
from burdockchute.model.feeds import FeedError
from burdockchute.model.feeds import RecordRemoved
from burdockchute.model.feeds import TRY_PREFIX
from burdockchute.model.feeds import TryClaimed
from burdockchute.model.positions import Position
from burdockchute_entry.straight.crash_watch import CrashWatch
from burdockchute_entry.straight.crash_watch import log_refused
from burdockchute_entry.straight.try_limits import TryResult

# Callers wait for a claim, and may come again soon.
MAX_CLAIM_S = 1.0
CLAIM_RETRY_S = 0.05

# Changes are rare. For this long after a crash or an outage of the store, they
# are read by short polls, whose silence is noticed; otherwise by long ones, as
# each call costs operators.
EXPECTING_S = 30.0
IDLE_POLL_S = 20.0
MIN_INTERVAL_S = 0.5

# A failed read is repeated until one succeeds: an entry that starts while the
# store is away knows nothing of earlier crashes.
RETRY_S = 0.5

# How long to retry a save. Most callers of refused requests have given up by
# then.
SAVE_TIMEOUT_S = 120.0
MAX_SAVE_RETRY_S = 4.0
# Each call of the store costs the operators, so what becomes known within an
# interval is saved together. It doubles while more and more is: an outage of
# many upstreams must not become one of the store.
SAVE_INTERVAL_S = 0.05
MAX_SAVE_INTERVAL_S = 0.8
MAX_SAVED_TOGETHER = 200
MAX_ANSWERS_PER_SAVE = 20
# Records of one answer are no further apart than this, clocks of machines
# included.
ANSWERED_TOGETHER_S = 30.0

# An entry keeps the newest of its evidence in the store. What has expired, of
# any entry, is removed by the next save.
MAX_OWN_RECORDS = 200


_Evidence = CrashRecorded | CauseAnswered | TryClaimed


class CrashRecordsTask:
    """Reads the records into `crash_watch`, and saves those of this entry.

    A read stays open at the store for up to `wait_s`.
    """

    def __init__(
        self,
        crash_records: CrashRecords,
        crash_watch: CrashWatch,
        wait_s: float,
        now: Callable[[], float],
        now_unix: Callable[[], float],
    ) -> None:
        self._crash_records = crash_records
        self._crash_watch = crash_watch
        self._causes = crash_watch.causes
        self._wait_s = wait_s
        self._now = now
        self._now_unix = now_unix
        self._inbox: queue.Queue[CrashRecord] = queue.Queue()
        self._expecting_until = float('-inf')
        self._woken = event.Event()
        # The evidence that this entry has saved, by key.
        self._own: dict[str, _Evidence] = {}
        # The keys of all evidence in the store, and its Unix times.
        self._stored_at: dict[str, float] = {}
        # The keys of the answers in the store that were not whole.
        self._stored_partial: set[str] = set()
        self._cursor = Cursor()
        self._was_read = True
        # The read that is open while no changes are expected.
        self._idle_read: gevent.Greenlet | None = None
        self._idle_position: Position | None = None
        # One claim after another, as each needs to know those before.
        self._claiming = lock.BoundedSemaphore(1)
        crash_watch.is_informed.clear()

    def expect_changes(self) -> None:
        """Read at once, and by long polls for a while."""
        self._expecting_until = self._now() + EXPECTING_S
        self._woken.set()

    def read_soon(self) -> None:
        """Read once, as changes may have been missed."""
        self._woken.set()

    # Saves.

    def save_refused(self, name: str, for_s: float) -> None:
        """Save that this entry refuses a cause, or no longer with 0."""
        self._inbox.put(
            self._refused(name, for_s) if for_s else RecordRemoved(name)
        )

    def save_crash(self, lost: LostRequest) -> None:
        """Save that this entry lost a request in a crash just now."""
        self._inbox.put(CrashRecorded(lost, self._now_unix()))

    def save_try_over(self, name: str, number: int) -> None:
        """Save that a try of this entry ended without an outcome."""
        key = TryClaimed(name, number, 0.0).key
        claimed = self._own.get(key)
        if isinstance(claimed, TryClaimed):
            self._inbox.put(claimed._replace(has_ended=True))

    def save_answered(self, name: str, is_whole: bool = True) -> None:
        """Save that what was in crashes has been answered."""
        if not is_whole:
            self._inbox.put(self._answered(name, self._now()))
            return
        self._inbox.put(CauseAnswered(name, self._now_unix(), is_whole))
        tries = [key for key in self._stored_at if _is_try_of(name, key)]
        if tries:
            # They, and that it was refused, outlast the record of the answer.
            for key in (*tries, name):
                self._inbox.put(RecordRemoved(key))

    def _answered(self, name: str, at: float) -> CauseAnswered:
        """Return the record of the last whole answer, or of one at a time.

        Only a whole answer shows entries that start later that the crashes
        before it don't count.
        """
        now, now_unix = self._now(), self._now_unix()
        whole_at = self._causes.unanswered.answered_at(name)
        if whole_at is not None and now - whole_at <= CRASH_TTL_S:
            return CauseAnswered(name, now_unix - (now - whole_at), True)
        return CauseAnswered(name, now_unix - (now - at))

    def _refused(self, name: str, for_s: float) -> CauseRefused:
        # A record holds for REFUSE_S; one for less is dated back.
        return CauseRefused(name, self._now_unix() + for_s - REFUSE_S)

    def save_forever(self) -> None:
        """Save the changes of this entry in their order, forever."""
        interval_s = SAVE_INTERVAL_S
        while True:
            changes = [self._inbox.get()]
            while not self._inbox.empty():
                if len(changes) == MAX_SAVED_TOGETHER:
                    break
                changes.append(self._inbox.get())
            self._save(changes)
            gevent.sleep(interval_s)
            interval_s = (
                SAVE_INTERVAL_S
                if self._inbox.empty()
                else min(2 * interval_s, MAX_SAVE_INTERVAL_S)
            )

    def _save(self, changes: Sequence[CrashRecord]) -> None:
        for change in changes:
            if isinstance(change, _Evidence):
                self._own[change.key] = change
                self._record_stored(change)
        if any(isinstance(change, CrashRecorded) for change in changes):
            changes = [*changes, *self._unsaved_answers()]
        changes = [*changes, *self._remove_expired()]
        until = self._now() + SAVE_TIMEOUT_S
        retry_s = RETRY_S
        while not self._crash_records.save(changes):
            if self._now() > until:
                for change in changes:
                    logs.warn('crash_record_not_saved', key=change.key)
                break
            gevent.sleep(retry_s)
            # The store may reject writes because there are too many.
            retry_s = min(2 * retry_s, MAX_SAVE_RETRY_S)

    # Tries.

    def claim_tries(self, fingerprint: str, names: Sequence[str]) -> TryResult:
        """Claim a try of each of some causes by a request, one of MAX_TRIES.

        All entries claim in the order of the store, and only if they know all
        claims before. Without the store, nothing is tried.
        """
        until = self._now() + MAX_CLAIM_S
        if not self._claiming.acquire(timeout=MAX_CLAIM_S):
            return TryResult.TAKEN
        try:
            while self._now() < until:
                if not self._was_read:
                    # Its outage is known.
                    return TryResult.STORE_AWAY
                if not self._may_be_tried(fingerprint, names):
                    return TryResult.TAKEN
                result = self._claim(fingerprint, names)
                if result is not None:
                    return result
            return TryResult.STORE_AWAY
        finally:
            self._claiming.release()

    def _may_be_tried(self, fingerprint: str, names: Sequence[str]) -> bool:
        return self._causes.may_be_tried(fingerprint, names, self._now())

    def _claim(
        self, fingerprint: str, names: Sequence[str]
    ) -> TryResult | None:
        """Claim a try by what the store has now; None to do it again."""
        read = self._crash_records.read(self._cursor.position, 0.0)
        if isinstance(read, Failure):
            if read.failure().expired:
                self._cursor.expire()
            gevent.sleep(CLAIM_RETRY_S)
            return None
        batch = read.unwrap()
        self._apply_batch(batch)
        if not self._may_be_tried(fingerprint, names):
            return TryResult.TAKEN
        at_unix, tries = self._now_unix(), self._causes.tries
        claims = [
            TryClaimed(name, tries.count(name) + 1, at_unix) for name in names
        ]
        result = self._crash_records.claim(claims, batch.position)
        if result is ClaimResult.OUTDATED:
            return None
        if result is ClaimResult.REFUSED:
            return TryResult.STORE_AWAY
        # One without an answer may be saved yet.
        for claim in claims:
            self._own[claim.key] = claim
            self._stored_at[claim.key] = at_unix
            tries.record(claim.name, claim.number, self._now())
        if result is ClaimResult.UNKNOWN:
            # It is not sent.
            for claim in claims:
                tries.end(claim.name, claim.number)
                self.save_try_over(claim.name, claim.number)
            return TryResult.STORE_AWAY
        return TryResult.CLAIMED

    def _unsaved_answers(self) -> list[CauseAnswered]:
        """Return answers on parts that the store does not have yet.

        An entry that starts later judges crashes with such a part as this one
        does. They are saved with crashes, so they cost no call.
        """
        answered = (
            self._answered(part, at)
            for part, at in self._causes.answered_parts()
        )
        unsaved = (
            record
            for record in answered
            if record.key not in self._stored_at
            or record.is_whole
            and record.key in self._stored_partial
        )
        records = list(itertools.islice(unsaved, MAX_ANSWERS_PER_SAVE))
        for record in records:
            self._record_stored(record)
        return records

    def _record_stored(self, record: _Evidence) -> None:
        self._stored_at[record.key] = record.at_unix
        self._stored_partial.discard(record.key)
        if isinstance(record, CauseAnswered) and not record.is_whole:
            self._stored_partial.add(record.key)

    def _remove_expired(self) -> list[RecordRemoved]:
        """Forget expired evidence; return what removes it from the store."""
        now_unix = self._now_unix()
        surplus = max(0, len(self._own) - MAX_OWN_RECORDS)
        removed = [
            *itertools.islice(self._own, surplus),
            *(
                key
                for key, at_unix in self._stored_at.items()
                if now_unix - at_unix > _ttl_s(key)
            ),
        ][:MAX_SAVED_TOGETHER]
        for key in removed:
            self._stored_at.pop(key, None)
            self._stored_partial.discard(key)
            self._own.pop(key, None)
        return [RecordRemoved(key) for key in removed]

    # Reads.

    def read_forever(self) -> None:
        """Apply the changes of all entries, forever."""
        cursor = self._cursor
        while True:
            result = self._read_changes()
            if isinstance(result, Failure):
                error = result.failure()
                if error.expired:
                    cursor.expire()
                if self._was_read:
                    logs.event('crash_records_unread', reason=error.reason)
                self._was_read = False
                self._crash_watch.is_informed.set()
                gevent.sleep(RETRY_S)
                continue
            batch = result.unwrap()
            self._was_read = True
            restored = cursor.advance(batch.position)
            self._apply_batch(batch)
            self._crash_watch.is_informed.set()
            if restored:
                self._save_missing(batch)
            if self._now() >= self._expecting_until:
                # Many agents may be linked again at the same time.
                gevent.sleep(MIN_INTERVAL_S)

    def _read_changes(self) -> Result[Batch, FeedError]:
        """Wait for changes and read them, at once if some are expected.

        While none are, one read stays open, so that an entry learns of crashes
        that no agent tells it of. It is not relied on once it is woken: its
        connection may have gone silent.
        """
        position = self._cursor.position
        if position is None or self._now() < self._expecting_until:
            self._woken.clear()
            return self._crash_records.read(position, self._wait_s)
        if self._idle_read is None or self._idle_read.ready():
            self._idle_read = gevent.spawn(
                self._crash_records.read, position, IDLE_POLL_S
            )
            self._idle_position = position
        gevent.wait([self._idle_read, self._woken], count=1)
        if self._idle_read.ready() and self._idle_position == position:
            return self._idle_read.get()
        self._woken.clear()
        return self._crash_records.read(position, 0.0)

    def _save_missing(self, batch: Batch) -> None:
        """Save again what a store that was restored from a copy lacks."""
        stored = {
            change.key
            for change in batch.changes
            if isinstance(change, CauseRefused | _Evidence)
        }
        for name, left_s in self._causes.refused(self._now()).items():
            if name not in stored:
                self._inbox.put(self._refused(name, left_s))
        for key, record in self._own.items():
            if key not in stored:
                self._inbox.put(record)

    def _apply_batch(self, batch: Batch) -> None:
        refused = self._causes.refused(self._now())
        for change in batch.changes:
            self._apply(change)
        for change in batch.changes:
            if isinstance(change, RecordRemoved) and change.key in refused:
                self._forget_evidence(change.key)

    def _forget_evidence(self, name: str) -> None:
        """Take evidence of the past against an allowed cause as refuted.

        An operator who removes the record of a cause allows it for good. Each
        entry that starts later would read the evidence and refuse it again.
        """
        self._causes.answered_elsewhere(name, self._now(), self._now(), True)
        answered = CauseAnswered(name, self._now_unix(), True)
        stored_at = self._stored_at.get(answered.key, 0.0)
        # The entry that removes it because of an answer saves both.
        if answered.at_unix - stored_at > ANSWERED_TOGETHER_S:
            self._inbox.put(answered)

    def _apply(self, change: Change) -> None:
        match change:
            case RecordRemoved():
                self._stored_at.pop(change.key, None)
                self._stored_partial.discard(change.key)
                self._causes.clear(change.key, self._now())
            case CauseRefused():
                self._apply_refused(change)
            case CrashRecorded() | CauseAnswered() | TryClaimed():
                self._record_stored(change)
                age_s = max(0.0, self._now_unix() - change.at_unix)
                if age_s <= _ttl_s(change.key):
                    self._apply_evidence(change, self._now() - age_s)

    def _apply_evidence(self, record: _Evidence, at: float) -> None:
        if isinstance(record, TryClaimed):
            answered_at = self._causes.whole_answer_at(record.name)
            if answered_at is None or at > answered_at:
                self._causes.tries.record(
                    record.name, record.number, at, not record.has_ended
                )
                if record.has_ended:
                    self._crash_watch.recheck_tries()
            return
        if isinstance(record, CauseAnswered):
            self._crash_watch.stored_answer(record.name, at, record.is_whole)
            return
        self._crash_watch.stored_crash(record.lost, at)
        # More may follow, from entries that are not linked.
        self._expecting_until = max(self._expecting_until, at + EXPECTING_S)

    def _apply_refused(self, change: CauseRefused) -> None:
        now = self._now()
        age_s = max(0.0, self._now_unix() - change.at_unix)
        left_s = REFUSE_S - age_s
        if left_s <= -LIMITED_TTL_S:
            return
        if left_s <= WEAK_REFUSE_S:
            # Entries of earlier releases refuse on weak evidence, too, and
            # may not have seen the answers that this one has.
            if left_s <= 0:
                self._causes.was_refused(change.name, now + left_s)
            elif not self._causes.was_answered(change.name):
                self._causes.suspect(change.name, now)
            return
        if not self._causes.is_refused(change.name, now):
            log_refused(change.name, 'store', left_s)
        self._causes.refuse(change.name, left_s, now)


def _ttl_s(key: str) -> float:
    return LIMITED_TTL_S if key.startswith(TRY_PREFIX) else CRASH_TTL_S


def _is_try_of(name: str, key: str) -> bool:
    return key.startswith(TRY_PREFIX) and key.endswith(f':{name}')
