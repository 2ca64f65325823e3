"""Reads of the desired state beside the one that stays open."""

from __future__ import annotations

import random
import time
import unittest

import gevent
from returns.result import Failure
from returns.result import Success

from burdockchute import feed_follower
from burdockchute.model.feeds import Batch
from burdockchute.model.feeds import FeedError
from burdockchute.model.feeds import Feeds
from burdockchute.model.positions import Position

TRANSFER_S = 1.5


class LongRecordTest(unittest.TestCase):
    def setUp(self):
        self.end = 0
        self.transfers = 0
        self.is_receiving = False
        self.follower = feed_follower.FeedFollower(
            Feeds(
                self.read,
                lambda position, wait_s: Success(Batch(position, False, ())),
                lambda: Success(Position(0, self.end)),
                is_receiving=lambda: self.is_receiving,
            ),
            lambda known_state: None,
            time.monotonic,
            random.Random(1),
            lambda: feed_follower.Cadence(wait_s=3.0, period_s=0.0),
            feed_follower.Cadence(wait_s=3.0, period_s=0.0),
        )
        greenlet = gevent.spawn(self.follower.follow_desired_state)
        self.addCleanup(greenlet.kill)

    def read(self, position, wait_s):
        if position is None:
            return Success(Batch(Position(0, self.end), True, ()))
        until = time.monotonic() + wait_s
        while position.offset == self.end and time.monotonic() < until:
            gevent.sleep(0.01)
        if position.offset != self.end:
            self.transfers += 1
            self.is_receiving = True
            gevent.sleep(TRANSFER_S)
            self.is_receiving = False
        return Success(Batch(Position(0, self.end), False, ()))

    def test_a_record_that_is_being_received_is_not_read_twice(self):
        """Each entry put a second megabyte into the link that was full."""
        gevent.sleep(0.1)
        self.end = 1
        gevent.sleep(0.1)
        self.follower.confirm_desired_state()
        self.assertEqual(1, self.transfers)


class RejectedReadTest(unittest.TestCase):
    """The open read waits for a change; another one is rejected meanwhile."""

    def setUp(self):
        self.now = 0.0
        self.follower = feed_follower.FeedFollower(
            Feeds(
                self.read,
                lambda position, wait_s: Success(Batch(position, False, ())),
                lambda: Failure(FeedError('status 503')),
            ),
            lambda known_state: None,
            lambda: self.now,
            random.Random(1),
            lambda: feed_follower.Cadence(wait_s=3.0, period_s=0.0),
            feed_follower.Cadence(wait_s=3.0, period_s=0.0),
        )
        greenlet = gevent.spawn(self.follower.follow_desired_state)
        self.addCleanup(greenlet.kill)

    def read(self, position, wait_s):
        if position is None:
            return Success(Batch(Position(0, 0), True, ()))
        gevent.sleep(60)
        raise AssertionError('the read stays open')

    def test_one_rejected_read_does_not_lose_contact(self):
        """Agents of entries without contact read all from the store."""
        gevent.sleep(0.05)
        self.now = feed_follower.CONTACT_TIMEOUT_S + 0.1
        self.follower.confirm_desired_state()
        self.assertFalse(self.follower.desired_state_contact.lost)
