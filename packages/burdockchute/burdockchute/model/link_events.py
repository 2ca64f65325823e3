"""Messages about slow links to agents."""

from __future__ import annotations

from typing import NamedTuple


class ProbeRequested(NamedTuple):
    """A request to probe the link to an agent, which returns `sent_at`."""

    agent: str
    sent_at: float


class ProbeReturned(NamedTuple):
    """An agent has returned the probe that was sent at `sent_at`."""

    agent: str
    sent_at: float


class LinkStateReport(NamedTuple):
    """An entry reports to the others whether the link to an agent is slow."""

    agent: str
    is_slow: bool


class LinkLost(NamedTuple):
    """The link to an agent was closed."""

    agent: str


LinkEvent = ProbeReturned | LinkStateReport | LinkLost
