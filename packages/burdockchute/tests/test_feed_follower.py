"""The feed follower, with stores that do not answer or reject reads."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from returns.result import Failure
from returns.result import Success

from burdockchute import feed_follower
from burdockchute.decisions import listing
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import ConfigurationRead
from burdockchute.model.feeds import FeedError
from burdockchute.model.feeds import Feeds
from burdockchute.model.feeds import VersionRead
from burdockchute.model.positions import Position
from burdockchute.model.routes import CallerLimits
from burdockchute.model.routes import Configuration
from burdockchute.model.upstreams import UpstreamListed
from burdockchute_testing.builders import upstreams

# Time that a client of a silent store waits beyond the requested wait.
ANSWER_S = 0.7
WAIT_S = feed_follower.max_open_read_s(3.0)


class Stop(Exception):
    """Ends a task that would run for ever."""


class Store:
    """A feed of the desired state on a simulated clock, with an outage.

    A version is named during the outage. `reads` holds the time of each read
    and for how long it was to stay open.
    """

    def __init__(self, silent_from, silent_to, until, rejects=False) -> None:
        self.time = 0.0
        self.reads: list[tuple[float, float]] = []
        self._silent = (silent_from, silent_to)
        self._until = until
        self._rejects = rejects

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds

    def _fails(self, wait_s):
        if self.time > self._until:
            raise Stop
        self.reads.append((self.time, wait_s))
        start, end = self._silent
        fails = start <= self.time + wait_s and self.time < end
        if fails:
            self.time += 0.0 if self._rejects else wait_s + ANSWER_S
        return fails

    def read_end(self):
        if self._fails(0.0):
            return Failure(FeedError('no answer in time'))
        return Success(Position(0, int(self.time >= self._silent[1])))

    def read(self, position, wait_s):
        if self._fails(wait_s):
            return Failure(FeedError('no answer in time'))
        if position is None:
            return Success(Batch(Position(0, 0), True, ()))
        if position.offset == 0 and self.time >= self._silent[1]:
            named = VersionRead('story', 2)
            return Success(Batch(Position(0, 1), False, (named,)))
        self.time += wait_s
        return Success(Batch(position, False, ()))


class ListStore(Store):
    """A list that holds one upstream until the outage."""

    def read(self, position, wait_s):
        result = super().read(position, wait_s)
        if isinstance(result, Failure):
            return result
        if position is None:
            listed = UpstreamListed(
                Position(0, 0), upstreams.upstream(id='i-1')
            )
            return Success(Batch(Position(0, 0), True, (listed,)))
        if position.offset == 0 and self.time >= self._silent[1]:
            return Success(Batch(Position(0, 1), True, ()))
        return Success(Batch(position, False, ()))


class FollowerTest(unittest.TestCase):
    def follower(self, store, updates):
        """Return a follower; `updates` gets each known state and its time."""
        return feed_follower.FeedFollower(
            Feeds(store.read, store.read, store.read_end),
            lambda known_state: updates.append((store.time, known_state)),
            store.now,
            random.Random(1),
            lambda: feed_follower.Cadence(WAIT_S, 0.0),
            feed_follower.Cadence(2.0, 0.7, feed_follower.SETTLING_S),
        )

    def follow(self, store):
        """Follow a store; return when the version was known."""
        updates = []
        follower = self.follower(store, updates)
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_desired_state()
        for at, known_state in updates:
            if known_state.history('story').newest == 2:
                return at
        return None

    def test_a_version_is_known_soon_after_the_store_is_back(self):
        """The store accepts requests and answers none for eight seconds.

        Meanwhile a version is named. A reader that kept long polling would
        wait in vain each time, and might start to do so in the moment before
        the store is back: all instances would know the version seconds late,
        and callers would be refused for as long.
        """
        for end in (7.3, 8.0, 8.6, 9.1, 9.7, 10.4):
            with self.subTest(end=end):
                at = self.follow(Store(1.0, end, until=30.0))
                self.assertLess(at - end, 2 * ANSWER_S)

    def test_a_list_without_changes_costs_few_reads(self):
        """Upstreams seldom change; nearly all reads would return nothing."""
        store = Store(1.0, 1.0, until=30.0)
        follower = self.follower(store, [])
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_upstreams()
        self.assertLess(len(store.reads), 30.0 / 2.0 + 4)

    def test_a_list_that_is_back_is_read_often_until_it_has_settled(self):
        """Upstreams that expired in the outage are listed again one by one."""
        store = Store(1.0, 8.0, until=30.0)
        follower = self.follower(store, [])
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_upstreams()
        reads = [at for at, _wait in store.reads if 9.0 < at < 11.3]
        self.assertGreaterEqual(len(reads), 3)

    def test_an_upstream_not_listed_again_is_dropped_on_time(self):
        """An upstream leaves while the store rejects this entry's reads.

        After the store's return it is kept for a while, as it may be listed
        again. If it were dropped only by the next read of the list, up to
        0.7 s later, an engine that leaves would be sent requests for longer
        than it stays.
        """
        store = ListStore(4.0, 8.0, until=10.0)
        follower = self.follower(store, [])
        timers = []
        with (
            mock.patch.object(feed_follower.gevent, 'sleep', store.sleep),
            mock.patch.object(
                feed_follower.gevent,
                'spawn_later',
                lambda delay_s, task: timers.append(
                    (store.time + delay_s, task)
                ),
            ),
            self.assertRaises(Stop),
        ):
            follower.follow_upstreams()
        self.assertEqual(1, len(follower.known_state.present_upstreams()))
        store.time, settle = timers[-1]
        settle()
        self.assertEqual([], follower.known_state.present_upstreams())
        back_at = min(at for at, _wait in store.reads if at >= 8.0)
        self.assertLess(store.time - back_at, listing.SETTLE_S + 0.1)

    def test_reads_stay_open_again_after_an_outage(self):
        store = Store(1.0, 8.0, until=30.0)
        self.follow(store)
        waits = [wait_s for at, wait_s in store.reads if at > 12.0]
        self.assertEqual({WAIT_S}, set(waits))

    def test_a_store_that_rejects_reads_is_read_with_pauses(self):
        store = Store(1.0, 21.0, until=30.0, rejects=True)
        self.follow(store)
        reads = [at for at, _wait in store.reads if 2.0 < at < 20.0]
        self.assertLess(
            len(reads), 18.0 / (feed_follower.MAX_RETRY_INTERVAL_S / 2) + 1
        )

    def test_a_feed_that_others_report_is_not_read(self):
        """Entries report the desired state to an agent, until they are killed.

        An agent that also read it would transfer each save of a long
        configuration over its engine's link; one that did not start to read
        it once the entries are gone would miss a version.
        """
        store = Store(0.0, 0.0, until=30.0)
        updates = []
        follower = self.follower(store, updates)
        alone = feed_follower.Cadence(WAIT_S, 0.0)
        follower._desired_state_cadence = lambda: (
            None if store.time < 8.0 else alone
        )
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_desired_state()
        first_at, _wait_s = store.reads[0]
        self.assertGreaterEqual(first_at, 8.0)
        self.assertLess(
            updates[-1][0], 8.0 + 2 * feed_follower.REPORTED_FEED_POLL_S + 2.0
        )
        self.assertFalse(follower.desired_state_contact.lost)


class RestoredStore:
    """A feed that shows the configuration of a copy for a while."""

    def __init__(self, era, until):
        self.time = 0.0
        self.reported = []
        self.follower = None
        self._era = era
        self._until = until

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds
        while self.reported and self.reported[0][0] <= self.time:
            self.follower.receive_configuration_version(
                self.reported.pop(0)[1]
            )

    def read(self, position, wait_s):
        if self.time > 20.0:
            raise Stop
        version = 6 if self.time < self._until else 7
        self.sleep(0.01 if position is None else wait_s)
        read = ConfigurationRead(
            Configuration(version, (), (), None, CallerLimits(1, 1, 1.0, 1.0))
        )
        return Success(Batch(Position(self._era, 1), True, (read,)))


class ReturningStore:
    """A feed that allows long polls; its era increases at five seconds."""

    def __init__(self):
        self.time = 0.0
        self.complete_reads_at = []

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds

    def read(self, position, wait_s):
        if self.time > 20.0:
            raise Stop
        if position is None:
            self.complete_reads_at.append(round(self.time, 1))
        self.time += 0.01 if position is None else min(wait_s, 0.5)
        era = 1 if self.time < 5.0 else 2
        return Success(Batch(Position(era, 1), position is None, ()))


class ReturnTest(unittest.TestCase):
    def test_the_list_is_read_again_once_writers_have_had_time(self):
        """An upstream that was seen to leave may be in force in the copy."""
        store = ReturningStore()
        follower = feed_follower.FeedFollower(
            Feeds(store.read, store.read, mock.Mock()),
            lambda known_state: None,
            store.now,
            random.Random(1),
            lambda: feed_follower.Cadence(WAIT_S, 0.0),
            feed_follower.Cadence(2.0, 0.7),
        )
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_upstreams()
        first, again = store.complete_reads_at
        self.assertEqual(0.0, first)
        self.assertGreaterEqual(again, 5.0 + listing.SETTLE_S)
        self.assertLess(again, 5.0 + listing.SETTLE_S + 1.0)


class ConfirmationTest(unittest.TestCase):
    """Until when all that the store has is known, by the reads it answers."""

    def confirmed(self, *answers):
        """Return the times confirmed by answers: seconds taken, and end."""
        store, pending = ReturningStore(), list(answers)
        confirmed = []

        def read(position, wait_s):
            if not pending:
                raise Stop
            took_s, end = pending.pop(0)
            store.time += took_s
            return Success(Batch(Position(0, end), position is None, ()))

        follower = feed_follower.FeedFollower(
            Feeds(read, read, mock.Mock()),
            lambda known_state: None,
            store.now,
            random.Random(1),
            lambda: feed_follower.Cadence(2.0, 0.0),
            feed_follower.Cadence(2.0, 0.0),
            confirmed.append,
        )
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                follower.follow_desired_state()
        return confirmed

    def test_an_answer_without_records_confirms_until_late_in_its_wait(self):
        """Open reads may be notified of a change a second late."""
        self.assertEqual([0.0, 1.5], self.confirmed((0.5, 1), (2.1, 1)))

    def test_an_answer_that_was_long_under_way(self):
        """Its records show when the store made it at the earliest only."""
        self.assertEqual([0.0, 0.5], self.confirmed((0.5, 1), (2.9, 2)))


class FreshStartTest(unittest.TestCase):
    """The store was restored from a copy that misses a key's revocation."""

    def configurations(self, store):
        """Return when a starting process applies which configuration."""
        updates = []

        def changed(known_state):
            if known_state.routes is not None:
                version = known_state.routes.configuration.version
                updates.append((round(store.time, 1), version))

        store.follower = feed_follower.FeedFollower(
            Feeds(store.read, store.read, mock.Mock()),
            changed,
            store.now,
            random.Random(1),
            lambda: feed_follower.Cadence(WAIT_S, 0.0),
            feed_follower.Cadence(2.0, 0.7),
        )
        with mock.patch.object(feed_follower.gevent, 'sleep', store.sleep):
            with self.assertRaises(Stop):
                store.follower.follow_desired_state()
        return updates

    def test_it_serves_nothing_older_than_its_neighbours_know(self):
        store = RestoredStore(era=1, until=4.0)
        store.reported = [(0.1, 6), (0.1, 0), (0.2, 7), (0.2, 7)]
        ((at, version),) = self.configurations(store)
        self.assertEqual(7, version)
        self.assertGreaterEqual(at, 4.0)

    def test_without_neighbours_it_serves_the_configuration_of_the_store(self):
        """No other process is left that could know a newer one."""
        store = RestoredStore(era=1, until=4.0)
        self.assertEqual((0.5, 6), self.configurations(store)[0])

    def test_it_does_not_wait_for_ever_for_a_lost_save(self):
        store = RestoredStore(era=1, until=99.0)
        store.reported = [(0.1, 7)]
        ((at, version),) = self.configurations(store)
        self.assertEqual(6, version)
        self.assertGreaterEqual(at, 15.0)

    def test_a_store_that_is_never_restored_from_copies_costs_no_wait(self):
        store = RestoredStore(era=0, until=4.0)
        self.assertEqual((0.0, 6), self.configurations(store)[0])


if __name__ == '__main__':
    unittest.main()
