"""The tasks that follow what the platform says, and keep the beliefs.

Each feed has one task. A store that does not answer changes nothing: what
was learnt stays in force, and the age of it is logged when contact is lost
and regained.

A store may take calls and answer none of them. A read that was to stay open
is noticed as lost only after all of its wait, and one that is sent a moment
before the store is back is lost as well: a version that was named meanwhile
would be learnt seconds late everywhere, and its copies begin as late. So
after a read that failed, the next ones don't stay open, until one is
answered.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
import logging
import random
from typing import NamedTuple

import gevent
from returns.result import Failure

from burdockchute import logs
from burdockchute import metrics
from burdockchute.decisions import listing
from burdockchute.decisions import startup
from burdockchute.model import known_state as state_updates
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import FeedError
from burdockchute.model.feeds import Feeds
from burdockchute.model.feeds import ReadFeed
from burdockchute.model.known_state import KnownState
from burdockchute.model.known_state import PeerReport
from burdockchute.model.known_state import StateChange
from burdockchute.model.positions import Position

# A connection that has gone silent is noticed only when a read that was to
# stay open is over and its answer overdue, and a read after that takes a
# moment. All of it has to be over before the process counts as in touch
# again.
NOTICE_S = 1.0
LEAST_WAIT_S = 0.5

# A read that failed is followed by the next this long after it was sent: the
# store may turn calls away because there are too many, and each one is paid
# for. One that was waited for in vain has paused by that already.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 0.8
LEAST_PAUSE_S = 0.05

# Contact counts as lost after so long without an answer.
LOST_AFTER_S = 1.5


# After the store's return reads of the list don't stay open for so long: what
# has lapsed meanwhile comes back, or is dropped at the next reading after.
SETTLING_S = listing.SETTLE_S + 0.7


# A feed that others tell of is not read; whether they still do is looked at
# this often. It adds to the time in which a reader that is left alone learns
# of a version, which is paid for by the seconds until copies are whole.
REST_S = 0.25

# How often a process that starts looks whether its neighbours have told.
NEIGHBOURS_POLL_S = 0.01


def max_open_read_s(contact_s: float) -> float:
    """Give how long a read may stay open.

    It is answered as soon as there is something, so a longer wait costs fewer
    calls. `contact_s` is how long after a disturbance a process counts as in
    touch again.

    >>> longest_wait_s(3.0), longest_wait_s(1.0)
    (2.0, 0.5)
    """
    return max(contact_s - NOTICE_S, LEAST_WAIT_S)


class Cadence(NamedTuple):
    """How a feed is read.

    A read stays open at the store for up to `wait_s`; after one that brought
    changes the next comes `period_s` later, so that many changes in a row
    don't cost a call each. For `settling_s` after the store's return reads
    don't stay open.
    """

    wait_s: float
    period_s: float
    settling_s: float = 0.0


class Cursor:
    """Where a feed is read on; `position` is None where all is to be read."""

    def __init__(self) -> None:
        self.position: Position | None = None
        self._era: int | None = None

    def expire(self) -> None:
        """Note that the store has dropped what stood at the position."""
        self.position = None

    def advance(self, position: Position) -> bool:
        """Go on from a position; true if the store came back from a copy."""
        restored = self._era is not None and position.era != self._era
        self.position = position
        self._era = position.era
        return restored


class Returned(NamedTuple):
    """What a batch comes after.

    `regained` marks the first answer after an outage, `restored` the first
    one of a store that came back from a copy.
    """

    regained: bool
    restored: bool


class Contact:
    """Whether one feed answers, and since when it has not."""

    def __init__(self, name: str, now: float) -> None:
        self.lost = False
        self._name = name
        self._answered_at = now

    def age_s(self, now: float) -> float:
        """Give how long ago the feed last answered."""
        return now - self._answered_at

    def answered(self, now: float) -> bool:
        """Note an answer; true if contact had been lost."""
        regained = self.lost
        if regained:
            logs.event(
                'dependency_regained',
                dependency=self._name,
                away_s=round(self.age_s(now), 2),
            )
        self._answered_at = now
        self.lost = False
        return regained

    def restored(self, position: Position) -> None:
        """Note that the store has come back from a copy."""
        logs.warn(
            'dependency_restored',
            dependency=self._name,
            era=position.era,
            position=position.offset,
            kept_s=listing.SETTLE_S,
        )

    def rest(self, now: float) -> None:
        """Note that nothing was asked, so that silence means nothing."""
        self._answered_at = now

    def failed(self, error: FeedError, now: float) -> None:
        """Note a read that brought nothing."""
        silent_s = self.age_s(now)
        if not self.lost and silent_s > LOST_AFTER_S:
            self.lost = True
            logs.warn(
                'dependency_lost',
                dependency=self._name,
                reason=error.reason,
                age_s=round(silent_s, 2),
            )


class FeedFollower:
    """Keeps `known_state`; calls `changed` with each new value of it.

    `desired_state_cadence` gives None while others tell what operators want.
    """

    def __init__(
        self,
        feeds: Feeds,
        changed: Callable[[KnownState], None],
        now: Callable[[], float],
        rng: random.Random,
        desired_state_cadence: Callable[[], Cadence | None],
        upstreams_cadence: Cadence,
    ) -> None:
        self.known_state = KnownState()
        self._feeds = feeds
        self._changed = changed
        self._now = now
        self._rng = rng
        self._wishes_read = False
        self._started_at = now()
        self._heard = startup.NeighbourReports()
        self._held_back_at = 0.0
        self._desired_state_cadence = desired_state_cadence
        self._upstreams_cadence = upstreams_cadence
        self.desired_state_contact = Contact('wishes', now())
        self.upstreams_contact = Contact('upstream_list', now())

    def register_age_gauges(self) -> None:
        """Measure how long ago each feed last answered."""
        for name, contact in (
            ('wishes_age', self.desired_state_contact),
            ('upstream_list_age', self.upstreams_contact),
        ):
            metrics.register_gauge(
                f'burdockchute.{name}', 's', partial(self._age_s, contact)
            )

    def _age_s(self, contact: Contact) -> float:
        return contact.age_s(self._now())

    def follow_desired_state(self) -> None:
        """Follow what operators want, for ever."""
        self._follow(
            self._feeds.desired_state,
            self._desired_state_cadence,
            self.desired_state_contact,
            self._take_wishes,
        )

    def follow_upstreams(self) -> None:
        """Follow the list of upstreams, for ever."""
        self._follow(
            self._feeds.upstreams,
            lambda: self._upstreams_cadence,
            self.upstreams_contact,
            self._take_upstreams,
        )

    def receive_peer_reports(self, told: Sequence[PeerReport]) -> None:
        """Take in when other processes learnt of versions."""
        self._replace(
            *state_updates.apply_peer_reports(
                self.known_state, told, self._now()
            )
        )

    def receive_requirements(self, told: AgentRequirements) -> None:
        """Take in what an agent needs of the configuration."""
        self._replace(
            *state_updates.apply_reported_requirements(self.known_state, told)
        )

    def receive_configuration_version(self, version: int) -> None:
        """Take in the version of the configuration that a neighbour knows."""
        self._heard = startup.report_received(self._heard, version)

    def _follow(
        self,
        read: ReadFeed,
        cadence_now: Callable[[], Cadence | None],
        contact: Contact,
        take: Callable[[Batch, Returned, float], None],
    ) -> None:
        cursor = Cursor()
        reads_again_at = float('inf')
        failures = 0
        settled_at = float('-inf')
        while True:
            cadence = cadence_now()
            asked_at = self._now()
            if cadence is None:
                contact.rest(asked_at)
                gevent.sleep(REST_S)
                continue
            if asked_at >= reads_again_at:
                # Writers had the time to write again, so that what the store
                # names now is in force, though it was seen to leave.
                reads_again_at = float('inf')
                cursor.expire()
            hurries = failures > 0 or asked_at < settled_at
            wait_s = 0.0 if hurries else cadence.wait_s
            result = read(cursor.position, wait_s)
            now = self._now()
            if isinstance(result, Failure):
                error = result.failure()
                if error.expired:
                    cursor.expire()
                    continue
                contact.failed(error, now)
                failures += 1
                gevent.sleep(self._pause_s(failures, now - asked_at))
                continue
            failures = 0
            batch = result.unwrap()
            restored = cursor.advance(batch.position)
            regained = contact.answered(now)
            if restored:
                contact.restored(batch.position)
                reads_again_at = now + listing.SETTLE_S
            if regained or restored:
                settled_at = now + cadence.settling_s
            take(batch, Returned(regained, restored), now)
            if batch.changes or not wait_s:
                gevent.sleep(cadence.period_s)

    def _take_wishes(
        self, batch: Batch, _returned: Returned, now: float
    ) -> None:
        first = not self._wishes_read
        if first:
            now = self._wait_for_neighbours(batch.position)
        self._wishes_read = True
        least = self._heard.configuration
        after, learnt = state_updates.apply_desired_state(
            self.known_state, batch, first, now, least
        )
        if after.held_back_configuration is not None:
            if self.known_state.held_back_configuration is None:
                self._held_back_at = now
            elif startup.may_serve_outdated(self._held_back_at, now):
                after, taken = state_updates.apply_held_back(after)
                learnt = [*learnt, *taken]
        self._replace(after, learnt)

    def _wait_for_neighbours(self, position: Position) -> float:
        now = self._now()
        while startup.waits_for_neighbours(
            self._heard, position, self._started_at, now
        ):
            gevent.sleep(NEIGHBOURS_POLL_S)
            now = self._now()
        return now

    def _take_upstreams(
        self, batch: Batch, returned: Returned, now: float
    ) -> None:
        before = self.known_state
        if returned.regained or returned.restored:
            upstreams = listing.on_store_return(before.upstreams, now)
            before = before._replace(upstreams=upstreams)
            gevent.spawn_later(listing.SETTLE_S, self._settle)
        take = state_updates.apply_upstreams
        if returned.restored:
            take = state_updates.apply_restored_upstreams
        after, learnt = take(before, batch, now)
        self._replace(after, learnt)

    def _settle(self) -> None:
        """Drop what has not come back since the store's return.

        The next reading may be 0.7 s away, and an engine that left meanwhile
        would get requests for as much longer than it stays.
        """
        nothing = Batch(Position(0, 0), False, ())
        self._replace(
            *state_updates.apply_upstreams(
                self.known_state, nothing, self._now()
            )
        )

    def _replace(self, after: KnownState, learnt: list[StateChange]) -> None:
        for item in learnt:
            logs.event(item.event, logging.INFO, **item.fields)
        changed = bool(learnt) or after.complete != self.known_state.complete
        self.known_state = after
        if changed:
            self._changed(after)

    def _pause_s(self, failures: int, took_s: float) -> float:
        longest_s = min(MIN_PAUSE_S * 2 ** (failures - 1), MAX_PAUSE_S)
        apart_s = longest_s * (0.5 + 0.5 * self._rng.random())
        return max(apart_s - took_s, LEAST_PAUSE_S)
