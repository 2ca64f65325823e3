"""Detection of slow links to agents, as seen from one entry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from burdockchute import logs
from burdockchute.decisions import slow_links
from burdockchute.decisions.slow_links import LinkState
from burdockchute.model.link_events import LinkEvent
from burdockchute.model.link_events import LinkLost
from burdockchute.model.link_events import LinkStateReport
from burdockchute.model.link_events import ProbeRequested
from burdockchute.model.link_events import ProbeReturned
from burdockchute_entry.straight.targets import Target

SendLinkMessage = Callable[[ProbeRequested | LinkStateReport], None]


class SlowLinks:
    """The state of each link that was ever suspected, by its agent.

    `send` sends a probe to an agent, or a report to the other entries.
    """

    def __init__(self, send: SendLinkMessage) -> None:
        self._send = send
        self._states: dict[str, LinkState] = {}
        self._usual_start_s: dict[str, float] = {}
        self._link_count = 0

    def record_first_event(self, service: str, first_event_s: float) -> None:
        """Update a service's usual time to first event with one request."""
        self._usual_start_s[service] = slow_links.usual_start_s(
            self._usual_start_s.get(service, 0.0), first_event_s
        )

    def is_held(self, agent: str, now: float) -> bool:
        """Whether new requests for the engine of an agent are held back."""
        state = self._states.get(agent)
        return state is not None and slow_links.is_held(state, now)

    def check(self, targets: Iterable[Target], now: float) -> None:
        """Probe suspected links and report slow ones to the other entries."""
        agents = {_agent_of(target): target for target in targets}
        for agent in self._states.keys() - agents.keys():
            del self._states[agent]
        self._link_count = len(agents)
        for agent, target in agents.items():
            self._check_link(agent, target, now)
        if not slow_links.may_hold(self._own_slow_count(), self._link_count):
            self._clear_own()
        for agent, target in agents.items():
            self._announce(agent, now)
            target.is_held = self.is_held(agent, now)

    def handle_event(self, event: LinkEvent, now: float) -> None:
        """Process a returned probe or a report of another entry."""
        before = self._states.get(event.agent, LinkState())
        match event:
            case ProbeReturned(sent_at=sent_at):
                state = slow_links.probe_returned(before, sent_at, now)
            case LinkStateReport(is_slow=slow):
                if slow and not self._may_hold_one_more(event.agent, now):
                    return
                state = slow_links.peer_reported(before, slow, now)
            case LinkLost():
                state = LinkState()
        self._store(event.agent, before, state)

    def _may_hold_one_more(self, agent: str, now: float) -> bool:
        held = sum(
            slow_links.is_held(state, now)
            for name, state in self._states.items()
            if name != agent
        )
        return slow_links.may_hold(held + 1, self._link_count)

    def _own_slow_count(self) -> int:
        return sum(s.slow_at is not None for s in self._states.values())

    def _clear_own(self) -> None:
        for agent, state in list(self._states.items()):
            if state.slow_at is not None:
                self._store(agent, state, state._replace(slow_at=None))

    def _check_link(self, agent: str, target: Target, now: float) -> None:
        before = self._states.get(agent)
        usual_s = self._usual_start_s.get(target.upstream.service, 0.0)
        suspect = slow_links.is_suspect(target.longest_wait_s(now), usual_s)
        if before is None:
            if not suspect:
                return
            before = LinkState()
        state = slow_links.checked(before, target.load.reported_at, now)
        if slow_links.should_probe(state, suspect):
            # The probe returns this time in microseconds, and it must match.
            sent_at = round(now, 6)
            state = state._replace(probe_at=sent_at)
            self._send(ProbeRequested(agent, sent_at))
        self._store(agent, before, state)

    def _announce(self, agent: str, now: float) -> None:
        state = self._states.get(agent)
        if state is not None and slow_links.must_report(state, now):
            self._states[agent] = state._replace(reported_slow_at=now)
            self._send(LinkStateReport(agent, True))

    def _store(self, agent: str, before: LinkState, state: LinkState) -> None:
        was_slow, is_slow = before.slow_at, state.slow_at
        if (was_slow is None) != (is_slow is None):
            logs.event(
                'link_fast' if is_slow is None else 'link_slow', agent=agent
            )
        if (
            was_slow is not None
            and is_slow is None
            and before.reported_slow_at
        ):
            self._send(LinkStateReport(agent, False))
            state = state._replace(reported_slow_at=None)
        self._states[agent] = state


def _agent_of(target: Target) -> str:
    return str(target.upstream.endpoint)
