"""Weights tasks of several agents in one process, on loopback sockets.

Each agent has its own stand-in engine; all share one stand-in weight store.
The table and the members are put into the tasks' inboxes, as the agent's
rows task does.
"""

from __future__ import annotations

from collections.abc import Callable
import json
from types import MappingProxyType
from typing import Any
import unittest

import gevent
from gevent import queue
from returns.result import Success

from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.rows import key_of
from burdockchute.model.rows import Row
from burdockchute.model.table import Revisioned
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages
from burdockchute_agent.weights_task import manifest_header
from burdockchute_agent.weights_task import WeightsTask
from burdockchute_testing.standins import engine
from burdockchute_testing.standins import local
from burdockchute_testing.standins import serving
from burdockchute_testing.standins import weight_store

LINK_BYTES_PER_S = 64e6
WAIT_TIMEOUT_S = 30.0
CHUNK = 4096
LOCAL_PLACE = Place('z1', 'r1', 'main')


class Agent:
    """One weights task with its engine; `fence` is its fencing number.

    `link` is the bandwidth of the uplink and of the downlink in bytes per
    second.
    """

    def __init__(
        self,
        case: unittest.TestCase,
        name: str,
        store_url: str,
        place: Place = LOCAL_PLACE,
        fence: int = 1,
        link: float = LINK_BYTES_PER_S,
        engine_options: dict[str, Any] | None = None,
        engine_url: str = '',
    ) -> None:
        self.name = name
        self.place = place
        self.engine = engine.Engine(**(engine_options or {}))
        url = engine_url or local.start(case, self.engine.handle)
        self.engine_url = url
        source = local.start(case, self._serve_weights)
        self.task = WeightsTask(
            name,
            place,
            store_url,
            url,
            'engine',
            link,
            link,
            lambda: Success(fence),
            self._hello,
            lambda: source,
            seed=7,
        )
        self._listening = links.listen(
            '127.0.0.1', 0, self._hello, self.task.inbox, lambda: -1
        )
        self.greenlet = gevent.spawn(self.task.run)
        case.addCleanup(self.stop)

    def stop(self) -> None:
        """Stop abruptly; the peers only see their links close."""
        self._listening.stop(timeout=0)
        self.greenlet.kill()

    @property
    def member(self) -> Member:
        """Its entry in the list of members."""
        port = self._listening.server_port
        return Member(self.name, 'agent', '127.0.0.1', port, self.place)

    def open_digests(self) -> set[str]:
        """Return the digests for which the gate is open."""
        return {
            state.weights.digest
            for state in self.task.gate.states()
            if state.is_open
        }

    def loaded(self) -> set[str]:
        """Return the digests that the engine has loaded."""
        state = _get_json(self.engine.handle, '/state')
        return {item['digest'] for item in state['loaded']}

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults of the engine; without arguments, clear them."""
        body = json.dumps(faults).encode()
        self.engine.handle(serving.Request('POST', '/faults', {}, {}, body))

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            self.name,
            'agent',
            self.place.zone,
            self.place.region,
            f'{self.name}-{id(self)}',
            -1,
            links.PROTOCOL,
        )

    def _serve_weights(self, request: serving.Request) -> serving.Reply:
        served = self.task.weights_response(request.path.rpartition('/')[2])
        if served is None:
            return serving.json_reply(404, {})
        manifest, chunks = served
        header = ('Burdockchute-Manifest', manifest_header(manifest))
        return serving.Reply(200, chunks, 'text/plain', (header,))


class FakePeer:
    """A peer that claims to hold all chunks and sends what the test gives.

    `answer` takes the index of a chunk and returns the bytes to send, or
    None to send nothing.
    """

    def __init__(
        self,
        case: unittest.TestCase,
        name: str,
        digest: str,
        count: int,
        answer: Callable[[int], bytes | None],
        manifest: bytes | None = None,
    ) -> None:
        self.name = name
        self.requested_chunks: list[int] = []
        self._digest = digest
        self._count = count
        self._answer = answer
        self._manifest = manifest
        self._inbox: queue.Queue = queue.Queue()
        hello = messages.Hello(
            name, 'agent', 'z1', 'r1', name, -1, links.PROTOCOL
        )
        self._listening = links.listen(
            '127.0.0.1', 0, lambda: hello, self._inbox, lambda: -1
        )
        case.addCleanup(self._listening.stop, timeout=0)
        task = gevent.spawn(self._run)
        case.addCleanup(task.kill)

    @property
    def member(self) -> Member:
        """Its entry in the list of members."""
        port = self._listening.server_port
        return Member(self.name, 'agent', '127.0.0.1', port, LOCAL_PLACE)

    def _run(self) -> None:
        while True:
            event = self._inbox.get()
            if isinstance(event, links.Opened):
                bitmap = ((1 << self._count) - 1).to_bytes(
                    -(-self._count // 8), 'little'
                )
                event.link.send(
                    messages.Have(self._digest, bitmap, 0, False, 0, True)
                )
            elif isinstance(event, links.Received):
                self._received(event)

    def _received(self, event: links.Received) -> None:
        request = event.message
        if not isinstance(request, messages.ChunkRequest):
            return
        if request.index < 0:
            data = self._manifest
        else:
            self.requested_chunks.append(request.index)
            data = self._answer(request.index)
        if data is not None:
            event.link.send(
                messages.Chunk(request.digest, request.index, data, '', 0)
            )


class Fleet:
    """A weight store and agents that exchange chunks."""

    def __init__(self, case: unittest.TestCase, **store: Any) -> None:
        self.store = weight_store.WeightStore(**store)
        self.store_url = local.start(case, self.store.handle)
        self.agents: dict[str, Agent] = {}
        self.extra_members: list[Member] = []
        self._case = case
        self._offset = 0
        self._table = Table(0, MappingProxyType({}))

    def add(self, name: str, **options: Any) -> Agent:
        """Start one more agent; `send_members` announces it to the others."""
        options.setdefault('store_url', self.store_url)
        agent = Agent(self._case, name, **options)
        self.agents[name] = agent
        return agent

    def publish(
        self, seed: int = 1, chunks: int = 16, name: str = 'story'
    ) -> str:
        """Publish weights to the store and return their digest."""
        return self.store.publish(
            {
                'name': name,
                'size': chunks * CHUNK - 5,
                'chunk_size': CHUNK,
                'seed': seed,
            }
        )

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults of the store; without arguments, clear them."""
        body = json.dumps(faults).encode()
        reply = self.store.handle(
            serving.Request('POST', '/faults', {}, {}, body)
        )
        self._case.assertEqual(200, reply.status)

    def send_members(self, relays: dict[str, int] | None = None) -> None:
        """Send the list of all agents and fake peers to each agent.

        `relays` maps the name of an agent to the port at which agents of
        other regions reach it.
        """
        known = [agent.member for agent in self.agents.values()]
        known.extend(self.extra_members)
        for agent in self.agents.values():
            members = tuple(
                _seen_from(member, agent.place, relays or {})
                for member in known
            )
            agent.task.inbox.put(MembersChanged(members))

    def set_rows(self, *rows: Row) -> None:
        """Send a new table with these rows to every agent."""
        self._offset += 1
        entries = {key_of(row): Revisioned(row, self._offset) for row in rows}
        self._table = Table(self._offset, MappingProxyType(entries))
        for agent in self.agents.values():
            agent.task.inbox.put(TableChanged(self._table))

    def send_table(self, agent: Agent) -> None:
        """Send the current table to an agent that was added later."""
        agent.task.inbox.put(TableChanged(self._table))

    def wait_open(self, digest: str, *names: str) -> None:
        """Wait until only this digest is open at these agents, or at all."""
        for name in names or tuple(self.agents):
            self.wait_open_digests(self.agents[name], {digest})

    def wait_open_digests(self, agent: Agent, digests: set[str]) -> None:
        """Wait until exactly these digests are open at an agent."""
        self.wait(lambda: agent.open_digests() == digests)

    def wait_loaded(self, agent: Agent, digests: set[str]) -> None:
        """Wait until an agent's engine has exactly these digests loaded."""
        self.wait(lambda: agent.loaded() == digests)

    def wait_held_bytes(self, agent: Agent, size: int) -> None:
        """Wait until an agent's copies take `size` bytes of memory."""
        self.wait(lambda: agent.task.held_bytes() == size)

    def wait(self, probe: Callable[[], bool]) -> None:
        """Wait until the probe is true; fails the test if that takes long."""
        with gevent.Timeout(WAIT_TIMEOUT_S, AssertionError('did not happen')):
            while not probe():
                gevent.sleep(0.02)

    def origin_copies(self, digest: str) -> float:
        """Return how many copies' worth of bytes were read from the store."""
        stats = _get_json(self.store.handle, '/stats')
        read = stats['by_digest'].get(digest, 0)
        return read / self.store._weights[digest].size


def _seen_from(member: Member, place: Place, relays: dict[str, int]) -> Member:
    if member.place.region == place.region or member.name not in relays:
        return member
    return member._replace(port=relays[member.name])


def _get_json(handle: serving.Handler, path: str) -> Any:
    reply = handle(serving.Request('GET', path, {}, {}, b''))
    assert isinstance(reply.body, bytes)
    return json.loads(reply.body)
