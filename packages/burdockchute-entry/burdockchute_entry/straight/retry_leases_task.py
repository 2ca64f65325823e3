"""Holds this entry's leases of extra retries in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
import random

import gevent
from gevent import event
from returns.result import Failure

from burdockchute import logs
from burdockchute.decisions import retry_leases
from burdockchute.decisions.retry_leases import Register
from burdockchute.feed_state import Cursor
from burdockchute.model.feeds import Change
from burdockchute.model.feeds import ClaimResult
from burdockchute.model.feeds import LeaseRecord
from burdockchute.model.feeds import RecordRemoved
from burdockchute.model.feeds import RetryLeases
from burdockchute.model.retry_leases import LeasesHeld
from burdockchute_entry.straight.retry_budgets import RetryBudgets

# Entries that start together know each other after a few reads.
FIRST_READ_INTERVAL_S = 1.0
TICK_S = 0.5

# Other entries may write between a read and a claim.
MAX_CLAIMS = 10
CONFLICT_S = 0.01
MAX_EXPIRED_PER_CLAIM = 50

# After a failed call.
RETRY_S = 1.0


class RetryLeasesTask:
    """Reads all records of leases, and writes that of this process.

    `on_entries` gets the number of entries that have records.
    """

    def __init__(
        self,
        leases: RetryLeases,
        budgets: RetryBudgets,
        entry: str,
        incarnation: str,
        on_entries: Callable[[int], None],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._leases = leases
        self._budgets = budgets
        self._own = LeasesHeld(entry, incarnation, {})
        self._on_entries = on_entries
        self._now = now
        self._cursor = Cursor()
        self._register = Register()
        # Keys of records that the next claim removes.
        self._expired: list[str] = []
        self._woken = event.Event()
        self._written_at = float('-inf')
        self._read_interval_s = FIRST_READ_INTERVAL_S
        self._next_read_at = float('-inf')
        self._paused_until = float('-inf')
        self._was_read = True
        budgets.on_short = self._woken.set

    def run(self) -> None:
        """Renew the leases forever, and lease more once retries run out."""
        while True:
            self._woken.wait(TICK_S)
            self._woken.clear()
            now = self._now()
            if now < self._paused_until:
                self._budgets.is_leasing = False
                continue
            if self._is_write_due(now) or now >= self._next_read_at:
                self._update()
            self._budgets.is_leasing = False

    def leave(self) -> None:
        """Write soon that this process exits.

        It uses its leases until its last request ends.
        """
        self._own = self._own._replace(is_leaving=True)
        self._written_at = float('-inf')
        self._woken.set()

    def _is_write_due(self, now: float) -> bool:
        return self._is_presence_due(now) or any(
            self._budgets.needs_lease(service, now)
            for service in self._budgets.leasing_services(now)
        )

    def _is_presence_due(self, now: float) -> bool:
        return now - self._written_at >= retry_leases.PRESENCE_INTERVAL_S

    def _update(self) -> None:
        """Read all records, and write the own one if that is due."""
        for attempt in range(MAX_CLAIMS):
            if not self._read():
                self._paused_until = self._now() + RETRY_S
                return
            now = self._now()
            if not self._is_write_due(now):
                return
            result = self._claim(now)
            if result in (None, ClaimResult.SAVED):
                return
            if result is not ClaimResult.OUTDATED:
                self._paused_until = self._now() + RETRY_S
                return
            gevent.sleep(self._rng.uniform(0, CONFLICT_S * 2**attempt))
        self._paused_until = self._now() + RETRY_S

    def _read(self) -> bool:
        result = self._leases.read(self._cursor.position, 0.0)
        now = self._now()
        if isinstance(result, Failure):
            if result.failure().expired:
                self._cursor.expire()
            if self._was_read:
                logs.event('leases_unread', reason=result.failure().reason)
            self._was_read = False
            return False
        self._was_read = True
        batch = result.unwrap()
        self._cursor.advance(batch.position)
        for change in batch.changes:
            self._apply(change, now)
        if now >= self._next_read_at:
            self._next_read_at = now + self._read_interval_s
            self._read_interval_s = min(
                2 * self._read_interval_s, retry_leases.PRESENCE_INTERVAL_S
            )
        self._on_entries(self._register.entries(self._own.entry, now))
        return True

    def _apply(self, change: Change, now: float) -> None:
        if isinstance(change, LeasesHeld):
            self._register.record(change, now)
        elif isinstance(change, RecordRemoved):
            self._register.remove(change.key)

    def _claim(self, now: float) -> ClaimResult | None:
        """Write what this process needs; None if nothing changes."""
        budgets, window_s = self._budgets, self._budgets.window_s
        entries = self._register.entries(self._own.entry, now)
        wanted = {
            service: budgets.wanted_leases(
                service,
                entries,
                self._register.taken(service, self._own.key, now, window_s),
                now,
            )
            for service in budgets.leasing_services(now)
        }
        if not budgets.changes_leases(wanted, now):
            if not self._is_presence_due(now):
                budgets.settle(wanted, now)
                return None
        self._expired += self._register.expire(now, window_s)
        expired = self._expired[:MAX_EXPIRED_PER_CLAIM]
        listed = budgets.own_leases.listed(wanted, now, window_s)
        record = self._own._replace(leases=listed)
        records: list[LeaseRecord] = [
            record,
            *(RecordRemoved(key) for key in expired if key != record.key),
        ]
        assert self._cursor.position is not None
        result = self._leases.claim(records, self._cursor.position)
        if result is ClaimResult.SAVED:
            self._written_at = now
            del self._expired[: len(expired)]
            budgets.settle(wanted, now)
            budgets.own_leases.grant(wanted, now)
            logs.event(
                'retries_leased',
                leases=','.join(f'{s}:{n}' for s, n in wanted.items()),
                entries=entries,
            )
        return result
