"""Links to the agents beside the engines, which report their load.

An engine's load is known to the agent beside it at once and for nothing; an
entry that asked each engine itself would pay for every look.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import random
import time
from typing import NamedTuple

from gevent import queue

from burdockchute import logs
from burdockchute import tasks
from burdockchute.decisions.versions import History
from burdockchute.model.beliefs import Beliefs
from burdockchute.model.crashes import CrashLearned
from burdockchute.model.crashes import CrashSeen
from burdockchute.model.link_news import LinkEvent
from burdockchute.model.link_news import LinkLost
from burdockchute.model.link_news import LinkTold
from burdockchute.model.link_news import ProbeReturned
from burdockchute.model.link_news import ProbeWanted
from burdockchute.model.members import Member
from burdockchute.model.needs import Needs
from burdockchute.nodes import links
from burdockchute.nodes.agents import agent_beside
from burdockchute.nodes.peers import Dialled
from burdockchute.nodes.peers import PeerLink
from burdockchute.nodes.peers import Peers
from burdockchute.nodes.wishes_news import needs_news
from burdockchute.nodes.wishes_news import news_of
from burdockchute.wire import messages

# How often lost links are looked at; a redial waits longer than this.
TICK_S = 0.25

# News is told to so many agents, each of which tells its other entries: one
# of them may be paused or gone.
RELAYS = 3

# Agents hear of a save that changes nothing for them this often at most, so
# that an entry that starts learns of it from them.
SAVES_S = 1.0

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


class _Told(NamedTuple):
    """What an agent was told last."""

    histories: Mapping[str, History]
    needs: Needs | None
    in_contact: bool


class AgentsTask:
    """Keeps a link to each agent; `reported` gets what they report.

    Entries have no links to each other, so agents hand on which requests were
    in flight in a crash; `learned` gets those of other entries.

    Agents are told what operators want, and whether the store answers this
    entry (`in_contact`): one that it does not answer knows nothing new.
    """

    def __init__(
        self,
        own: Member,
        hello: Callable[[], messages.Hello],
        link_port: int,
        reported: Reported,
        learned: Callable[[CrashLearned], None],
        in_contact: Callable[[], bool],
        rng: random.Random,
        heard: Callable[[LinkEvent], None] = lambda event: None,
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._link_port = link_port
        self._reported = reported
        self._peers = Peers(own, hello, self.inbox, rng)
        self._learned = learned
        self._in_contact = in_contact
        self._heard = heard
        self._rng = rng
        self._beliefs = Beliefs()
        self._services: dict[str, str] = {}
        self._told: dict[str, _Told] = {}
        self._was_in_contact = in_contact()
        self._told_saves: dict[str, int] = {}
        self._saves_told_at = 0.0

    def run(self) -> None:
        """Take messages for ever."""
        tasks.take_messages(
            self.inbox, self._take, self._look, TICK_S, time.monotonic
        )

    def close(self) -> None:
        """Close every link."""
        self._peers.close_all()

    def _take(self, message: object) -> None:
        match message:
            case Beliefs():
                self._beliefs = message
                self._services = {
                    str(upstream.endpoint): upstream.service
                    for upstream in message.present()
                }
                self._peers.want(agents_of(message, self._link_port))
                self._tell_all()
                self._tick()
            case Dialled():
                self._peers.dialled(message, time.monotonic())
            case links.Opened(link=link):
                peer = self._peers.opened(link)
                if peer is not None:
                    self._told.pop(peer.name, None)
                    self._tell(peer)
                logs.event('agent_linked', agent=link.peer.name)
            case links.Closed(link=link, reason=reason):
                if self._peers.closed(link) is not None:
                    self._told.pop(link.peer.name, None)
                    self._heard(LinkLost(link.peer.name))
                    logs.warn(
                        'agent_lost', agent=link.peer.name, reason=reason
                    )
            case CrashSeen():
                self._spread(messages.CrashNews(*message))
            case ProbeWanted():
                self._probe(message)
            case LinkTold():
                self._spread(messages.LinkNews(*message), message.agent)
            case links.Received(link=link, message=messages.LinkProbe()):
                sent_at = message.message.sent_us / 1e6
                self._heard(ProbeReturned(link.peer.name, sent_at))
            case links.Received(message=messages.LinkNews()):
                news = message.message
                self._heard(LinkTold(news.agent, news.is_slow))
            case links.Received(message=messages.CrashNews()):
                self._learned(
                    CrashLearned(_crash_of(message.message), age_s=0.0)
                )
            case links.Received(link=link, message=messages.LoadReport()):
                if self._peers.of(link) is not None:
                    self._reported(link.peer.name, message.message)

    def _probe(self, wanted: ProbeWanted) -> None:
        peer = self._peers.links.get(wanted.agent)
        if peer is not None:
            peer.send(messages.LinkProbe(round(wanted.sent_at * 1e6)))

    def _spread(
        self, news: messages.CrashNews | messages.LinkNews, about: str = ''
    ) -> None:
        linked = [
            peer for name, peer in self._peers.links.items() if name != about
        ]
        for peer in self._rng.sample(linked, min(RELAYS, len(linked))):
            peer.send(news)

    def _tell(self, peer: PeerLink, of_saves: bool = False) -> None:
        # An agent of whose engine the list says nothing keeps what it knows;
        # told of no service, it would take its models for withdrawn.
        service = self._services.get(peer.name)
        needs = self._beliefs.needs(service) if service else None
        # Most saves change nothing for agents; those aren't told of.
        told = _Told(
            self._beliefs.histories,
            needs._replace(configuration=0) if needs else None,
            self._in_contact(),
        )
        if not of_saves and told == self._told.get(peer.name):
            return
        self._told_saves[peer.name] = needs.configuration if needs else 0
        self._told[peer.name] = told
        named = news_of(told.histories, time.monotonic())
        peer.send(
            messages.WishesNews(named, needs_news(needs), told.in_contact)
        )

    def _tell_all(self) -> None:
        for peer in list(self._peers.links.values()):
            self._tell(peer)

    def _look(self) -> None:
        now = time.monotonic()
        if now - self._saves_told_at >= SAVES_S:
            self._saves_told_at = now
            self._tell_of_saves()
        self._tick()

    def _tell_of_saves(self) -> None:
        newest = self._beliefs.newest_configuration()
        for name, peer in list(self._peers.links.items()):
            is_listed = name in self._services
            if is_listed and self._told_saves.get(name, 0) < newest:
                self._tell(peer, of_saves=True)

    def _tick(self) -> None:
        if self._in_contact() != self._was_in_contact:
            self._was_in_contact = not self._was_in_contact
            self._tell_all()
        self._peers.tick(time.monotonic())


def _crash_of(news: messages.CrashNews) -> CrashSeen:
    return CrashSeen(
        news.fingerprint, news.upstream, news.alone, news.convicted
    )
