"""Messages about links to agents that have become slow."""

from __future__ import annotations

from typing import NamedTuple


class ProbeRequested(NamedTuple):
    """The link to an agent is to be probed; `sent_at` comes back with it."""

    agent: str
    sent_at: float


class ProbeReturned(NamedTuple):
    """The agent has returned the probe that was sent at `sent_at`."""

    agent: str
    sent_at: float


class LinkStateReport(NamedTuple):
    """An entry tells the others whether the link to an agent is slow."""

    agent: str
    is_slow: bool


class LinkLost(NamedTuple):
    """There is no link to an agent any more."""

    agent: str


LinkEvent = ProbeReturned | LinkStateReport | LinkLost
