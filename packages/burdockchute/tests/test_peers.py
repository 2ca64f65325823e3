"""Links to the agents that a process wants to be linked to."""

from __future__ import annotations

import random
from typing import Any
import unittest

import gevent
from gevent import queue

from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute.nodes.peers import DialResult
from burdockchute.nodes.peers import Peers
from burdockchute.wire import messages

PLACE = Place('z', 'r', '')
WITHIN_S = 5.0


def hello(name: str) -> messages.Hello:
    return messages.Hello(name, 'agent', 'z', 'r', name, -1, links.PROTOCOL)


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.opened = 0
        self.inbox: queue.Queue = queue.Queue()
        own = Member('own', 'agent', '127.0.0.1', 0, PLACE)
        self.peers = Peers(
            own, lambda: hello('own'), self.inbox, random.Random(1)
        )
        self.addCleanup(self.peers.close_all)

    def serve(self, name: str) -> Member:
        listener = links.listen(
            '127.0.0.1', 0, lambda: hello(name), queue.Queue(), lambda: -1
        )
        self.addCleanup(listener.stop, 0)
        return Member(name, 'agent', '127.0.0.1', listener.server_port, PLACE)

    def set_wanted(self, *members: Member) -> None:
        self.peers.set_wanted({member.name: member for member in members})

    def dial_for(self, seconds: float) -> None:
        """Dial the peers that are due and handle the events of it."""
        with gevent.Timeout(seconds, False):
            while True:
                self.peers.tick(self.now)
                self.handle(self.inbox.get())

    def handle(self, event: Any) -> None:
        match event:
            case DialResult():
                self.peers.on_dialled(event, self.now)
            case links.Opened(link=link):
                self.opened += 1
                self.peers.on_opened(link)
            case links.Closed(link=link):
                self.peers.on_closed(link)

    def test_link_stays_until_the_one_in_its_place_has_opened(self):
        """The list names other engines, which do not accept links yet.

        Closing all links at once lost the chunks in flight, and a copy
        stalled until the new peers could be reached.
        """
        first = self.serve('a')
        self.set_wanted(first)
        self.dial_for(0.2)
        second = self.serve('b')
        self.set_wanted(second._replace(port=1))
        self.dial_for(0.2)
        self.assertEqual({'a'}, set(self.peers.links))
        self.set_wanted(second)
        self.peers.reset_backoff()
        self.dial_for(0.2)
        self.assertEqual({'b'}, set(self.peers.links))

    def test_a_peer_that_is_wanted_again_while_it_is_dialled(self):
        """The list lacks a peer for a moment while a process dials it.

        The peer was dialled a second time, and the first of the two links
        was closed with the chunks in flight on it.
        """
        peer = self.serve('a')
        self.set_wanted(peer)
        self.peers.tick(self.now)
        self.set_wanted()
        self.set_wanted(peer)
        self.dial_for(0.3)
        self.assertEqual({'a'}, set(self.peers.links))
        self.assertEqual(1, self.opened)

    def test_links_that_are_no_longer_wanted_close(self):
        """A row was removed, and its peers are not replaced by others."""
        self.set_wanted(self.serve('a'), self.serve('b'))
        self.dial_for(0.2)
        self.assertEqual({'a', 'b'}, set(self.peers.links))
        self.set_wanted()
        self.dial_for(0.2)
        self.assertEqual(set(), set(self.peers.links))
