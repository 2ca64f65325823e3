"""Links to the agents beside the engines, which report their load.

An engine's load is known to the agent beside it at once and for nothing; an
entry that asked each engine itself would pay for every look.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import random
import time

from gevent import queue

from burdockchute import logs
from burdockchute import tasks
from burdockchute.decisions.versions import History
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.members import Member
from burdockchute.nodes import links
from burdockchute.nodes.agents import agent_beside
from burdockchute.nodes.peers import Dialled
from burdockchute.nodes.peers import Peers
from burdockchute.nodes.version_news import news_of
from burdockchute.wire import messages

# How often lost links are looked at; a redial waits longer than this.
TICK_S = 0.25

Reported = Callable[[str, messages.LoadReport], None]


def agents_of(beliefs: Beliefs, link_port: int) -> dict[str, Member]:
    """Give the agents of all engines, by the engine's address."""
    if beliefs.routes is None:
        return {}
    services = beliefs.routes.services
    found = {}
    for upstream in beliefs.present():
        service = services.get(upstream.service)
        if service is None or not service.models:
            continue
        agent = agent_beside(upstream, link_port, {})
        found[agent.name] = agent
    return found


class AgentsTask:
    """Keeps a link to each agent; `reported` gets what they report."""

    def __init__(
        self,
        own: Member,
        hello: Callable[[], messages.Hello],
        link_port: int,
        reported: Reported,
        rng: random.Random,
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._link_port = link_port
        self._reported = reported
        self._peers = Peers(own, hello, self.inbox, rng)
        self._histories: Mapping[str, History] = {}

    def run(self) -> None:
        """Take messages for ever."""
        tasks.take_messages(
            self.inbox, self._take, self._tick, TICK_S, time.monotonic
        )

    def close(self) -> None:
        """Close every link."""
        self._peers.close_all()

    def _take(self, message: object) -> None:
        match message:
            case Beliefs():
                self._peers.want(agents_of(message, self._link_port))
                self._tell(message.histories)
                self._tick()
            case Dialled():
                self._peers.dialled(message, time.monotonic())
            case links.Opened(link=link):
                peer = self._peers.opened(link)
                if peer is not None:
                    peer.send(self._news())
                logs.event('agent_linked', agent=link.peer.name)
            case links.Closed(link=link, reason=reason):
                if self._peers.closed(link) is not None:
                    logs.warn(
                        'agent_lost', agent=link.peer.name, reason=reason
                    )
            case links.Received(link=link, message=messages.LoadReport()):
                if self._peers.of(link) is not None:
                    self._reported(link.peer.name, message.message)

    def _tell(self, histories: Mapping[str, History]) -> None:
        if histories == self._histories:
            return
        self._histories = histories
        for peer in list(self._peers.links.values()):
            peer.send(self._news())

    def _news(self) -> messages.VersionNews:
        return messages.VersionNews(news_of(self._histories, time.monotonic()))

    def _tick(self) -> None:
        self._peers.tick(time.monotonic())
