"""Probes of the store by way of other processes, which it may answer."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class LogEnd(NamedTuple):
    """The end of the log of the desired state, as the store names it.

    `era` is the store's own count, 0 if it names none, and `offset` that after
    the last record.
    """

    era: int
    offset: int


class StoreProbeRequested(NamedTuple):
    """A request to ask agents where the log ends."""

    sent_at: float


class StoreProbeSent(NamedTuple):
    """The agents that were asked, with their availability zones.

    `zones` are the availability zones of all agents, linked or not.
    """

    sent_at: float
    asked: Mapping[str, str]
    zones: frozenset[str]


class StoreProbeAnswered(NamedTuple):
    """An agent's answer; `end` is None if the store did not answer it.

    `sent_at` is that of the probe. The end was read `age_s` before the agent
    was asked, or after that if 0.
    """

    sent_at: float
    agent: str
    end: LogEnd | None
    age_s: float


StoreProbeEvent = StoreProbeSent | StoreProbeAnswered
