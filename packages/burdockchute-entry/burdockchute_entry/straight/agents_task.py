"""Links to the agents of the engines, which report their load.

The agent beside an engine knows its load immediately and at no cost. An
entry that polled each engine itself would pay for every request.
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
from burdockchute.decisions import store_probes
from burdockchute.decisions.versions import History
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.crash_reports import AnsweredRequest
from burdockchute.model.crash_reports import LostRequest
from burdockchute.model.crash_reports import PromptPart
from burdockchute.model.known_state import KnownState
from burdockchute.model.link_events import LinkEvent
from burdockchute.model.link_events import LinkLost
from burdockchute.model.link_events import LinkStateReport
from burdockchute.model.link_events import ProbeRequested
from burdockchute.model.link_events import ProbeReturned
from burdockchute.model.members import Member
from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeEvent
from burdockchute.model.store_probes import StoreProbeRequested
from burdockchute.model.store_probes import StoreProbeSent
from burdockchute.nodes import links
from burdockchute.nodes.agents import colocated_agent
from burdockchute.nodes.desired_state import encode_requirements
from burdockchute.nodes.desired_state import encode_versions
from burdockchute.nodes.peers import DialResult
from burdockchute.nodes.peers import PeerLink
from burdockchute.nodes.peers import Peers
from burdockchute.wire import messages

# Interval between checks for lost links; redials wait longer than this.
TICK_S = 0.25

# Number of agents that get a crash or slow-link message to relay. Each agent
# relays it to its other entries; one of the agents may be paused or gone.
RELAY_AGENTS = 3

# Minimum interval between messages about a saved configuration that changes
# nothing for the agents. They get it nevertheless, so that an entry that
# starts learns its version from them.
SAVES_PERIOD_S = 1.0

OnLoadReport = Callable[[str, messages.LoadReport], None]


def agents_by_address(
    known_state: KnownState, link_port: int
) -> dict[str, Member]:
    """Return the agents of all engines, by the engine's address."""
    if known_state.routes is None:
        return {}
    services = known_state.routes.services
    found = {}
    for upstream in known_state.present_upstreams():
        service = services.get(upstream.service)
        if service is None or not service.models:
            continue
        agent = colocated_agent(upstream, link_port, {})
        found[agent.name] = agent
    return found


class _SentState(NamedTuple):
    """The desired state that was last sent to an agent."""

    histories: Mapping[str, History]
    agent_requirements: AgentRequirements | None
    in_contact: bool


class AgentsTask:
    """Keeps a link to each agent and passes on what they send.

    `on_load_report` gets their load reports.

    Entries have no links to each other, so agents relay which requests an
    upstream had just begun when it crashed. `on_lost_request` gets those of
    other entries, `on_answered_request` the suspected ones that they see
    answered. `on_relinked` is called once a lost agent is linked again, as
    reports may have been missed. `on_store_probe` gets what agents say of the
    store, on request.

    Agents are sent the desired state, and whether the store answers this
    entry (`in_contact`); without contact, the entry can't learn of changes.
    """

    def __init__(
        self,
        own: Member,
        hello: Callable[[], messages.Hello],
        link_port: int,
        on_load_report: OnLoadReport,
        on_lost_request: Callable[[LostRequest], None],
        in_contact: Callable[[], bool],
        rng: random.Random,
        on_link_event: Callable[[LinkEvent], None] = lambda event: None,
        on_answered_request: Callable[
            [AnsweredRequest], None
        ] = lambda report: None,
        on_relinked: Callable[[], None] = lambda: None,
        on_store_probe: Callable[[StoreProbeEvent], None] = lambda event: None,
    ) -> None:
        self._on_store_probe = on_store_probe
        self._agent_zones: frozenset[str] = frozenset()
        self.inbox: queue.Queue = queue.Queue()
        self._link_port = link_port
        self._on_load_report = on_load_report
        self._peers = Peers(own, hello, self.inbox, rng)
        self._on_lost_request = on_lost_request
        self._in_contact = in_contact
        self._on_link_event = on_link_event
        self._on_answered_request = on_answered_request
        self._on_relinked = on_relinked
        self._lost_agents: set[str] = set()
        self._rng = rng
        self._known_state = KnownState()
        self._services: dict[str, str] = {}
        self._last_sent: dict[str, _SentState] = {}
        self._was_in_contact = in_contact()
        self._sent_configurations: dict[str, int] = {}
        self._saves_sent_at = 0.0

    def run(self) -> None:
        """Process messages forever."""
        tasks.process_inbox(
            self.inbox, self._handle, self._on_timer, TICK_S, time.monotonic
        )

    def close(self) -> None:
        """Close every link."""
        self._peers.close_all()

    def _handle(self, message: object) -> None:
        match message:
            case KnownState():
                self._known_state = message
                self._services = {
                    str(upstream.endpoint): upstream.service
                    for upstream in message.present_upstreams()
                }
                agents = agents_by_address(message, self._link_port)
                self._agent_zones = frozenset(
                    agent.place.zone for agent in agents.values()
                )
                self._lost_agents &= agents.keys()
                self._peers.set_wanted(agents)
                self._send_to_all()
                self._tick()
            case DialResult():
                self._peers.on_dialled(message, time.monotonic())
            case links.Opened(link=link):
                peer = self._peers.on_opened(link)
                if peer is not None:
                    self._last_sent.pop(peer.name, None)
                    self._send_desired_state(peer)
                logs.event('agent_linked', agent=link.peer.name)
                if link.peer.name in self._lost_agents:
                    self._lost_agents.discard(link.peer.name)
                    self._on_relinked()
            case links.Closed(link=link, reason=reason):
                if self._peers.on_closed(link) is not None:
                    self._last_sent.pop(link.peer.name, None)
                    self._lost_agents.add(link.peer.name)
                    self._on_link_event(LinkLost(link.peer.name))
                    logs.warn(
                        'agent_lost', agent=link.peer.name, reason=reason
                    )
            case LostRequest() | AnsweredRequest():
                self._relay(_crash_news(message))
            case ProbeRequested():
                self._probe(message)
            case StoreProbeRequested():
                self._probe_store(message)
            case LinkStateReport():
                self._relay(messages.LinkNews(*message), message.agent)
            case links.Received(link=link, message=messages.LinkProbe()):
                sent_at = message.message.sent_us / 1e6
                self._on_link_event(ProbeReturned(link.peer.name, sent_at))
            case links.Received(link=link, message=messages.StoreReport()):
                self._on_store_report(link.peer.name, message.message)
            case links.Received(message=messages.LinkNews()):
                news = message.message
                self._on_link_event(LinkStateReport(news.agent, news.is_slow))
            case links.Received(message=messages.CrashNews()):
                self._on_crash_news(message.message)
            case links.Received(link=link, message=messages.LoadReport()):
                if self._peers.find_by_link(link) is not None:
                    self._on_load_report(link.peer.name, message.message)

    def _on_crash_news(self, news: messages.CrashNews) -> None:
        is_late = news.late_parts is not None
        known_parts = news.late_parts if is_late else news.parts
        if known_parts is None:
            # An entry of an earlier release, which did not check for a crash.
            return
        parts = tuple(
            PromptPart(part.name, part.position, bool(part.answered))
            for part in known_parts
        )
        if news.upstream:
            self._on_lost_request(
                LostRequest(
                    news.fingerprint,
                    news.upstream,
                    parts,
                    (news.ran_ms or 0) / 1000,
                    is_late,
                    started_ms=news.started_ms,
                )
            )
        else:
            self._on_answered_request(
                AnsweredRequest(news.fingerprint, parts, bool(news.whole))
            )

    def _probe(self, request: ProbeRequested) -> None:
        peer = self._peers.links.get(request.agent)
        if peer is not None:
            peer.send(messages.LinkProbe(round(request.sent_at * 1e6)))

    def _probe_store(self, request: StoreProbeRequested) -> None:
        asked = store_probes.choose_agents(
            (name, peer.link.peer.zone)
            for name, peer in self._peers.links.items()
            if peer.link.peer.store_queries
        )
        self._on_store_probe(
            StoreProbeSent(request.sent_at, asked, self._agent_zones)
        )
        query = messages.StoreQuery(round(request.sent_at * 1e6))
        for name in asked:
            self._peers.links[name].send(query)

    def _on_store_report(
        self, agent: str, report: messages.StoreReport
    ) -> None:
        end = LogEnd(report.era, report.end) if report.end >= 0 else None
        self._on_store_probe(
            StoreProbeAnswered(
                report.sent_us / 1e6, agent, end, report.age_ms / 1000
            )
        )

    def _relay(
        self, news: messages.CrashNews | messages.LinkNews, about: str = ''
    ) -> None:
        linked = [
            peer for name, peer in self._peers.links.items() if name != about
        ]
        for peer in self._rng.sample(linked, min(RELAY_AGENTS, len(linked))):
            peer.send(news)

    def _send_desired_state(
        self, peer: PeerLink, for_save: bool = False
    ) -> None:
        # An agent whose engine is not in the upstream list keeps its known
        # requirements. If it were sent none, it would treat its models as
        # withdrawn.
        service = self._services.get(peer.name)
        agent_requirements = (
            self._known_state.agent_requirements(service) if service else None
        )
        # Most saved configurations change nothing for agents and aren't sent.
        state = _SentState(
            self._known_state.histories,
            agent_requirements._replace(configuration=0)
            if agent_requirements
            else None,
            self._in_contact(),
        )
        if not for_save and state == self._last_sent.get(peer.name):
            return
        self._sent_configurations[peer.name] = (
            agent_requirements.configuration if agent_requirements else 0
        )
        self._last_sent[peer.name] = state
        named = encode_versions(state.histories, time.monotonic())
        peer.send(
            messages.WishesNews(
                named,
                encode_requirements(agent_requirements),
                state.in_contact,
            )
        )

    def _send_to_all(self) -> None:
        for peer in list(self._peers.links.values()):
            self._send_desired_state(peer)

    def _on_timer(self) -> None:
        now = time.monotonic()
        if now - self._saves_sent_at >= SAVES_PERIOD_S:
            self._saves_sent_at = now
            self._send_saves()
        self._tick()

    def _send_saves(self) -> None:
        newest = self._known_state.newest_configuration_version()
        for name, peer in list(self._peers.links.items()):
            is_listed = name in self._services
            if is_listed and self._sent_configurations.get(name, 0) < newest:
                self._send_desired_state(peer, for_save=True)

    def _tick(self) -> None:
        if self._in_contact() != self._was_in_contact:
            self._was_in_contact = not self._was_in_contact
            self._send_to_all()
        self._peers.tick(time.monotonic())


def _crash_news(report: LostRequest | AnsweredRequest) -> messages.CrashNews:
    parts = [messages.PromptPart(*part) for part in report.parts]
    if isinstance(report, AnsweredRequest):
        return messages.CrashNews(
            report.fingerprint,
            '',
            False,
            False,
            parts,
            whole=report.is_whole or None,
        )
    return messages.CrashNews(
        report.fingerprint,
        report.upstream,
        False,
        False,
        None if report.is_late else parts,
        int(report.ran_s * 1000),
        report.started_ms,
        parts if report.is_late else None,
    )
