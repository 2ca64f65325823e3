"""Confirms that the configuration in force here is the newest one.

Requests that are restricted to some regions need it; see
`burdockchute.decisions.confirmation`. The store is read for them if the read
that stays open there has not returned for a while. Without such requests, no
call is made.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event

from burdockchute import logs
from burdockchute.decisions import confirmation
from burdockchute.decisions.confirmation import Confirmation

# Interval of reads while none is answered, doubled with each failure. Each
# call of the store costs the operators.
RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 0.8


class ConfirmationTask:
    """Keeps the configuration confirmed while requests need that.

    `read_store` reads the desired state at once and returns whether the store
    has answered. `version` returns the version of the configuration in force
    here, `config_apply_s` the time after which a saved one is in force.
    `probe` asks agents what the store has, if it does not answer here.
    """

    def __init__(
        self,
        read_store: Callable[[], bool],
        version: Callable[[], int],
        config_apply_s: Callable[[], float],
        now: Callable[[], float],
        probe: Callable[[], None] = lambda: None,
    ) -> None:
        self._probe = probe
        self._read_store = read_store
        self.version = version
        self._config_apply_s = config_apply_s
        self._now = now
        self._state = Confirmation()
        # When the first read failed since the last confirmation.
        self._unconfirmed_since: float | None = None
        self._was_confirmed = True
        self._waiting = 0
        self._needed = event.Event()
        self._updated = event.Event()

    def record_confirmed(self, at: float) -> None:
        """Record until when all that the store has is known."""
        self._state = confirmation.confirmed(self._state, at)
        self._unconfirmed_since = None
        self._updated.set()

    def record_store_away(self, at: float) -> None:
        """Record that the store answered nobody at a time."""
        before = self._state
        self._state = confirmation.store_away(before, self.version(), at)
        if self._state is not before:
            self._unconfirmed_since = None
            self._updated.set()

    def record_version(self, version: int) -> None:
        """Record the version of the configuration that a neighbour knows."""
        self._state = confirmation.version_reported(
            self._state, version, self._now()
        )

    def age_s(self) -> float:
        """Return the seconds since the last confirmation."""
        return self._state.age_s(self._now())

    def is_confirmed(self) -> bool:
        """Whether no newer configuration can be in force; renews it."""
        now, version = self._now(), self.version()
        bound_s = self._config_apply_s()
        if confirmation.needs_renewal(self._state, version, bound_s, now):
            self._needed.set()
        is_confirmed = confirmation.is_confirmed(
            self._state, version, bound_s, now
        )
        if is_confirmed is not self._was_confirmed:
            self._was_confirmed = is_confirmed
            self._log(is_confirmed, now)
        return is_confirmed

    def wait_until_confirmed(self, until: float) -> bool:
        """Wait for a confirmation; whether there is one.

        Waits until the given time at the most, and not at all if reads have
        failed for a while.
        """
        self._waiting += 1
        try:
            while not self.is_confirmed():
                now = self._now()
                left_s = min(until, self._waits_until(now)) - now
                if left_s <= 0:
                    return False
                self._updated.clear()
                self._updated.wait(left_s)
            return True
        finally:
            self._waiting -= 1

    def _waits_until(self, now: float) -> float:
        """Return until when requests wait for the store to answer."""
        if confirmation.is_outdated(self._state, self.version(), now):
            return self._state.reported_at + confirmation.MAX_WAIT_S
        since = self._unconfirmed_since
        max_age_s = confirmation.max_age_s(self._config_apply_s())
        missing_since = max(
            now if since is None else since,
            self._state.confirmed_at + max_age_s,
        )
        return missing_since + confirmation.MAX_WAIT_S

    def run(self) -> None:
        """Read the store whenever a confirmation is needed, forever."""
        while True:
            self._needed.wait()
            self._confirm()
            # What is read may not be as new as others have reported.
            is_outdated = confirmation.is_outdated(
                self._state, self.version(), self._now()
            )
            gevent.sleep(
                MAX_RETRY_INTERVAL_S if is_outdated else RETRY_INTERVAL_S
            )

    def _confirm(self) -> None:
        """Read the store until it answers, or no request needs it."""
        interval_s = RETRY_INTERVAL_S
        while self._needed.is_set() or self._waiting:
            self._needed.clear()
            if self._read_store():
                return
            if self._unconfirmed_since is None:
                self._unconfirmed_since = self._now()
            self._probe()
            if self._waiting:
                interval_s = RETRY_INTERVAL_S
            gevent.sleep(interval_s)
            interval_s = min(2 * interval_s, MAX_RETRY_INTERVAL_S)

    def _log(self, is_confirmed: bool, now: float) -> None:
        write = logs.event if is_confirmed else logs.warn
        write(
            'configuration_confirmed'
            if is_confirmed
            else 'configuration_unconfirmed',
            version=self.version(),
            age_ms=int(min(self._state.age_s(now), 1e6) * 1000),
            reported=self._state.reported,
        )
