"""The links of an entry while the subset of its agents changes."""

from __future__ import annotations

import random
from typing import Any
import unittest
from unittest import mock

import gevent
from gevent import queue
from gevent import server
from returns.result import Success

from burdockchute.decisions import membership
from burdockchute.decisions import subset
from burdockchute.model import deltas
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_entry import links_task
from burdockchute_entry import subset_task
from burdockchute_testing.builders import fleets
from burdockchute_testing.builders import tables

WITHIN_S = 10.0
AGENTS = 12
PLACE = Place('z', 'r', 'main')
TABLE = tables.table_of(tables.model())


class FakeList:
    """An instance list that the test sets."""

    def __init__(self) -> None:
        self.members: list[Member] = []

    def fetch(self) -> Any:
        """Return the members."""
        return Success(self.members)


class LinksSubsetTest(unittest.TestCase):
    def setUp(self) -> None:
        for target, name, value in (
            (subset, 'FULL_MESH_AGENTS', 0),
            (subset, 'MIN_HOSTS', 0),
            (links_task, 'SURPLUS_KEPT_S', 0.0),
        ):
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.list = FakeList()
        self.in_use: set[str] = set()
        self.agents = [self.serve(f'a{number}') for number in range(AGENTS)]
        self.task = links_task.LinksTask(
            'e0',
            lambda: hello('e0', 'entry'),
            self.list,
            links_task.TableSource(
                lambda: TABLE.offset,
                lambda offset: deltas.full_table(TABLE),
                lambda offset: None,
            ),
            links_task.LinkHandlers(
                lambda event: None, {}, lambda name: name in self.in_use
            ),
            random.Random(1),
        )
        running = gevent.spawn(self.task.run)
        self.addCleanup(running.kill)

    def serve(self, name: str) -> Member:
        listening = links.listen(
            '127.0.0.1',
            0,
            lambda: hello(name, 'agent'),
            queue.Queue(),
            lambda: -1,
        )
        self.addCleanup(listening.stop, 0)
        port = listening.server_port
        return Member(name, 'agent', '127.0.0.1', port, PLACE)

    def linked(self) -> set[str]:
        return {link.peer.name for link in self.task.agent_links()}

    def wait_for(self, condition) -> None:
        with gevent.Timeout(WITHIN_S):
            while not condition():
                gevent.sleep(0.01)

    def test_links_follow_the_subset_without_interrupting_requests(self):
        # The fleet grows, and an agent that still runs a request of this
        # entry is no longer in its subset. If the link were closed, the
        # caller would get a partial answer.
        own = Member('e0', 'entry', '127.0.0.1', 1, PLACE)
        self.list.members = [own, *self.agents]
        names = {agent.name for agent in self.agents}
        self.wait_for(lambda: self.linked() == names)
        others = [own._replace(name=f'e{number}') for number in range(1, 10)]
        wanted = self.chosen([own, *others, *self.agents])
        surplus = sorted(names - wanted)
        self.in_use = {surplus[0]}
        self.list.members = [own, *others, *self.agents]
        self.wait_for(lambda: self.linked() == wanted | {surplus[0]})
        self.in_use = set()
        self.wait_for(lambda: self.linked() == wanted)
        self.list.members = [own, *self.agents]
        self.wait_for(lambda: self.linked() == names)

    def test_links_stay_while_the_chosen_agents_are_unreachable(self):
        """The subset changes to agents of a zone that has just failed.

        The instance list still names them. The links to working agents were
        closed, and the entry had no instance left to run a request.
        """
        own = Member('e0', 'entry', '127.0.0.1', 1, PLACE)
        others = [own._replace(name=f'e{number}') for number in range(1, 10)]
        wanted = self.chosen([own, *others, *self.agents])
        alive = [a for a in self.agents if a.name not in wanted]
        self.list.members = [own, *alive]
        self.wait_for(lambda: len(self.linked()) == len(alive))
        dead = [a._replace(port=1) for a in self.agents if a.name in wanted]
        self.list.members = [own, *others, *alive, *dead]
        self.wait_for(lambda: len(self.task.members) == 1 + 9 + AGENTS)
        gevent.sleep(3 * membership.MIN_POLL_INTERVAL_S)
        self.assertEqual(len(wanted), len(self.linked()))
        self.list.members = [own, *others, *self.agents]
        self.wait_for(lambda: self.linked() == wanted)

    def chosen(self, members: list[Member]) -> set[str]:
        choice = subset.Subset('e0')
        choice.set_members(members)
        self.assertTrue(choice.step(AGENTS))
        return choice.wanted(TABLE)


class OverlappingDialsTest(unittest.TestCase):
    def test_a_second_link_to_an_agent_does_not_end_the_first(self):
        """The handshake of an agent takes longer than the timeout of a dial.

        The entry dialled again. When the second link opened, it closed the
        first one, which already carried requests.
        """
        opened: list[links.Link] = []
        slow = SlowHandshake()
        self.addCleanup(slow.stop)
        agents = FakeList()
        agents.members = [Member('a0', 'agent', '127.0.0.1', slow.port, PLACE)]
        task = links_task.LinksTask(
            'e0',
            lambda: hello('e0', 'entry'),
            agents,
            links_task.TableSource(
                lambda: TABLE.offset,
                lambda offset: deltas.full_table(TABLE),
                lambda offset: None,
            ),
            links_task.LinkHandlers(
                lambda event: (
                    opened.append(event.link)
                    if isinstance(event, links.Opened)
                    else None
                ),
                {},
                lambda name: True,
            ),
            random.Random(1),
        )
        running = gevent.spawn(task.run)
        self.addCleanup(running.kill)
        with gevent.Timeout(WITHIN_S):
            while slow.handshakes < 2:
                gevent.sleep(0.01)
        gevent.sleep(0.2)
        self.assertEqual('', opened[0].closed_reason)
        self.assertEqual([opened[0]], task.agent_links())


class SlowHandshake:
    """An agent that sends its Hello in two parts, each within the timeout."""

    def __init__(self) -> None:
        self.handshakes = 0
        self._server = server.StreamServer(('127.0.0.1', 0), self._shake_hands)
        self._server.start()

    @property
    def port(self) -> int:
        return self._server.server_port

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _shake_hands(self, sock: Any, _address: Any) -> None:
        frame = links.encode_frame(hello('a0', 'agent'))
        for part in (frame[:2], frame[2:]):
            gevent.sleep(0.8 * links.DIAL_TIMEOUT_S)
            sock.sendall(part)
        self.handshakes += 1
        while sock.recv(4096):
            pass


class SubsetTaskTest(unittest.TestCase):
    def test_subset_is_published_when_it_changes(self):
        published: list[frozenset[str]] = []
        task = subset_task.SubsetTask('entry-0', published.append)
        running = gevent.spawn(task.run)
        self.addCleanup(running.kill)
        members = tuple(fleets.fleet(10, 150))
        task.inbox.put(subset_task.MembersChanged(members))
        with gevent.Timeout(WITHIN_S):
            while not published:
                gevent.sleep(0.01)
        self.assertTrue(published[0])
        task.inbox.put(subset_task.MembersChanged(members))
        task.inbox.put(subset_task.MembersChanged(members[:5]))
        with gevent.Timeout(WITHIN_S):
            while published[-1]:
                gevent.sleep(0.01)
        self.assertEqual(2, len(published))


def hello(name: str, role: str) -> messages.Hello:
    return messages.Hello(name, role, 'z', 'r', 'i', -1, links.PROTOCOL)
