"""Follows the platform's feeds and keeps the known state up to date.

One task reads each feed by long polling. A store that does not answer
changes nothing: the last known state stays in force, and its age is logged
when contact is lost and regained.

A store may accept requests and answer none of them. The loss of a long poll
is detected only after its whole wait, and one that is sent a moment before
the store is back is lost as well: every process would read of a version that
was named meanwhile seconds late, and its copies would start as late. After a
failed read, the next ones therefore ask for an answer at once, until one is
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
from burdockchute.feed_state import Contact
from burdockchute.feed_state import Feed
from burdockchute.feed_state import StoreReturn
from burdockchute.model import known_state as state_updates
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import Feeds
from burdockchute.model.known_state import KnownState
from burdockchute.model.known_state import PeerReport
from burdockchute.model.known_state import StateChange
from burdockchute.model.positions import Position
from burdockchute.model.store_probes import LogEnd

# A silent connection is detected only when a long poll is over and its answer
# overdue, and the read after that takes a moment. All of it has to fit into
# the time after which the process counts as up to date again.
SILENCE_DETECTION_S = 1.0
MIN_WAIT_S = 0.5

# Interval from a failed read to the next one, doubled with each failure: the
# store may reject requests because there are too many, and each one costs
# money. The time that a failed read took counts towards the interval.
INITIAL_RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 0.8
MIN_RETRY_DELAY_S = 0.05

# For this long after the store's return, reads of the list are answered at
# once: expired upstreams are listed again, or dropped by the read after that.
SETTLING_S = listing.SETTLE_S + 0.7


# A feed that other processes report is not read; whether they still do is
# checked at this interval. When they stop, it adds to the time until a version
# is known here, and so to the time until copies are complete.
REPORTED_FEED_POLL_S = 0.25

# Interval at which a starting process checks for reports of its neighbours.
NEIGHBOURS_POLL_S = 0.01


# A store that compacts its log may notify open reads of a change this much
# later.
CHANGE_DELAY_S = 1.0

# Once the store has something new, the read that stays open gets this long to
# return it before another one is sent.
OPEN_READ_GRACE_S = 0.7
OPEN_READ_POLL_S = 0.01


def max_open_read_s(contact_s: float) -> float:
    """Return the seconds for which a read may stay open at the store.

    It is answered as soon as there is a change, so a longer wait costs fewer
    requests. `contact_s` is the time after a disturbance at which a process
    has to be up to date again.

    >>> max_open_read_s(3.0), max_open_read_s(1.0)
    (2.0, 0.5)
    """
    return max(contact_s - SILENCE_DETECTION_S, MIN_WAIT_S)


class Cadence(NamedTuple):
    """The timing of the reads of a feed.

    A read stays open at the store for up to `wait_s`. After one that returned
    changes the next follows `period_s` later, so that a series of changes
    doesn't cost a request each. For `settling_s` after the store's return,
    reads are answered at once.
    """

    wait_s: float
    period_s: float
    settling_s: float = 0.0


class FeedFollower:
    """Keeps `known_state` and calls `changed` with each new value.

    `desired_state_cadence` returns None while other processes report the
    desired state, so that it need not be read. `on_confirmed` is called after
    each answer of the store: all of the desired state that was stored before
    the given time has been read.
    """

    def __init__(
        self,
        feeds: Feeds,
        changed: Callable[[KnownState], None],
        now: Callable[[], float],
        rng: random.Random,
        desired_state_cadence: Callable[[], Cadence | None],
        upstreams_cadence: Cadence,
        on_confirmed: Callable[[float], None] = lambda at: None,
    ) -> None:
        self.known_state = KnownState()
        self._changed = changed
        self._now = now
        self._rng = rng
        self._has_read_desired_state = False
        self._started_at = now()
        self._neighbour_reports = startup.NeighbourReports()
        self._held_back_at = 0.0
        self._desired_state_cadence = desired_state_cadence
        self._upstreams_cadence = upstreams_cadence
        self.desired_state_contact = Contact('wishes', now())
        self.upstreams_contact = Contact('upstream_list', now())
        self._on_confirmed = on_confirmed
        # Up to where the desired state has been read.
        self.known_end: LogEnd | None = None
        self._read_end = feeds.desired_state_end
        self._store_era = feeds.store_era
        self._is_receiving = feeds.is_receiving
        self._desired_state = Feed(
            feeds.desired_state,
            self.desired_state_contact,
            self._apply_desired_state,
            feeds.desired_state_end,
        )
        self._upstreams = Feed(
            feeds.upstreams, self.upstreams_contact, self._apply_upstreams
        )

    def register_age_gauges(self) -> None:
        """Register gauges of the seconds since each feed last answered."""
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
        """Follow the desired state for ever."""
        self._follow(self._desired_state, self._desired_state_cadence)

    def follow_upstreams(self) -> None:
        """Follow the list of upstreams for ever."""
        self._follow(self._upstreams, lambda: self._upstreams_cadence)

    def confirm_desired_state(self) -> bool:
        """Ask the store for news at once; whether it has answered.

        The read that stays open may have gone silent, which is noticed only
        when its wait is over. After a failed read, the reads that follow it
        return what is new; this one only confirms that there is nothing.
        """
        feed = self._desired_state
        read_from = feed.cursor.position
        if read_from is None:
            return False
        sent_at = self._now()
        end = self._read_end()
        if isinstance(end, Failure):
            return False
        batch = Batch(read_from, False, ())
        if end.unwrap() != read_from:
            if self._is_read_meanwhile(feed, end.unwrap()):
                return True
            if feed.failures:
                return False
            read_from, sent_at = feed.cursor.position, self._now()
            result = feed.read(read_from, 0.0)
            if isinstance(result, Failure):
                # The open read starts over if the position has expired.
                return False
            batch = result.unwrap()
        feed.on_answer(batch, read_from, sent_at, self._now())
        self._report_confirmed(feed)
        return True

    def read_log_end(self) -> LogEnd | None:
        """Ask the store where the desired state ends; None if it is away."""
        end = self._read_end()
        if isinstance(end, Failure):
            return None
        return LogEnd(self._store_era(), end.unwrap().offset)

    def _is_read_meanwhile(self, feed: Feed, end: Position) -> bool:
        """Whether the open read returns what is new.

        Another read of a long configuration would slow the open one. So it is
        waited for while its answer arrives.
        """
        until = self._now() + OPEN_READ_GRACE_S
        while self._now() < until or self._is_receiving():
            gevent.sleep(OPEN_READ_POLL_S)
            position = feed.cursor.position
            if position is not None and position >= end:
                return True
        return False

    def receive_peer_reports(self, reported: Sequence[PeerReport]) -> None:
        """Apply other processes' reports of when versions were named."""
        self._replace(
            *state_updates.apply_peer_reports(
                self.known_state, reported, self._now()
            )
        )

    def receive_requirements(self, reported: AgentRequirements) -> None:
        """Apply the requirements that an entry reports to an agent."""
        self._replace(
            *state_updates.apply_reported_requirements(
                self.known_state, reported
            )
        )

    def receive_configuration_version(self, version: int) -> None:
        """Record the version of the configuration that a neighbour knows."""
        self._neighbour_reports = startup.report_received(
            self._neighbour_reports, version
        )

    def _follow(
        self, feed: Feed, current_cadence: Callable[[], Cadence | None]
    ) -> None:
        settled_at = float('-inf')
        while True:
            cadence = current_cadence()
            sent_at = self._now()
            if cadence is None:
                feed.contact.skip(sent_at)
                gevent.sleep(REPORTED_FEED_POLL_S)
                continue
            if sent_at >= feed.full_read_at:
                # Writers have had time to write again, so an upstream that is
                # listed now is in force, even if it was seen to leave.
                feed.full_read_at = float('inf')
                feed.cursor.expire()
            is_urgent = feed.failures > 0 or sent_at < settled_at
            wait_s = 0.0 if is_urgent else cadence.wait_s
            read_from = feed.cursor.position
            result = (
                feed.read_urgently()
                if feed.failures
                else feed.read(read_from, wait_s)
            )
            now = self._now()
            if isinstance(result, Failure):
                error = result.failure()
                if error.expired:
                    feed.cursor.expire()
                    continue
                feed.contact.on_failed(error, now)
                feed.failures += 1
                gevent.sleep(self._retry_delay_s(feed.failures, now - sent_at))
                continue
            batch = result.unwrap()
            confirmed_at = sent_at
            if batch.position == read_from and now - sent_at >= wait_s:
                # The store answers without records only after the wait.
                confirmed_at += max(0.0, wait_s - CHANGE_DELAY_S)
            store_return = feed.on_answer(batch, read_from, confirmed_at, now)
            if store_return.regained or store_return.restored:
                settled_at = now + cadence.settling_s
            self._report_confirmed(feed)
            if batch.changes or not wait_s:
                gevent.sleep(cadence.period_s)

    def _report_confirmed(self, feed: Feed) -> None:
        position = feed.cursor.position
        if feed is self._desired_state and position is not None:
            self.known_end = LogEnd(self._store_era(), position.offset)
            self._on_confirmed(feed.confirmed_at)

    def _apply_desired_state(
        self, batch: Batch, _store_return: StoreReturn, now: float
    ) -> None:
        first = not self._has_read_desired_state
        if first:
            now = self._wait_for_neighbours(batch.position)
        self._has_read_desired_state = True
        min_configuration = self._neighbour_reports.configuration
        after, state_changes = state_updates.apply_desired_state(
            self.known_state, batch, first, now, min_configuration
        )
        if after.held_back_configuration is not None:
            if self.known_state.held_back_configuration is None:
                self._held_back_at = now
            elif startup.may_serve_outdated(self._held_back_at, now):
                after, held_back_changes = state_updates.apply_held_back(after)
                state_changes = [*state_changes, *held_back_changes]
        self._replace(after, state_changes)

    def _wait_for_neighbours(self, position: Position) -> float:
        now = self._now()
        while startup.waits_for_neighbours(
            self._neighbour_reports, position, self._started_at, now
        ):
            gevent.sleep(NEIGHBOURS_POLL_S)
            now = self._now()
        return now

    def _apply_upstreams(
        self, batch: Batch, store_return: StoreReturn, now: float
    ) -> None:
        before = self.known_state
        if store_return.regained or store_return.restored:
            upstreams = listing.on_store_return(before.upstreams, now)
            before = before._replace(upstreams=upstreams)
            gevent.spawn_later(listing.SETTLE_S, self._drop_unlisted)
        apply = state_updates.apply_upstreams
        if store_return.restored:
            apply = state_updates.apply_restored_upstreams
        after, state_changes = apply(before, batch, now)
        self._replace(after, state_changes)

    def _drop_unlisted(self) -> None:
        """Drop the upstreams not listed again since the store's return.

        The next read of the list may be 0.7 s away, and an engine that left
        meanwhile would be sent requests for that much too long.
        """
        empty_batch = Batch(Position(0, 0), False, ())
        self._replace(
            *state_updates.apply_upstreams(
                self.known_state, empty_batch, self._now()
            )
        )

    def _replace(
        self, after: KnownState, state_changes: list[StateChange]
    ) -> None:
        for item in state_changes:
            logs.event(item.event, logging.INFO, **item.fields)
        changed = (
            bool(state_changes) or after.complete != self.known_state.complete
        )
        self.known_state = after
        if changed:
            self._changed(after)

    def _retry_delay_s(self, failures: int, took_s: float) -> float:
        max_interval_s = min(
            INITIAL_RETRY_INTERVAL_S * 2 ** (failures - 1),
            MAX_RETRY_INTERVAL_S,
        )
        interval_s = max_interval_s * (0.5 + 0.5 * self._rng.random())
        return max(interval_s - took_s, MIN_RETRY_DELAY_S)
