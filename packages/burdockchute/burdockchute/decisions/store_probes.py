"""What the answers of agents tell an entry that the store does not answer.

The entry may be cut off from the store alone. If the store answers an agent,
the end of its log shows whether what the entry has read is still the newest.

If it answers no agent in any availability zone, it is away for all, and
operators can't save anything either: what was read last stays in force. Each
agent has to say so. One that does not respond may have heard from the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import NamedTuple

from burdockchute.model.store_probes import LogEnd
from burdockchute.model.store_probes import StoreProbeAnswered
from burdockchute.model.store_probes import StoreProbeSent

# All entries ask the same agents, so that these read the store once for all.
AGENTS_PER_ZONE = 2

# The store may turn away a part of the processes; these all are unlikely to
# be among them while it answers the operators.
MIN_SILENT_AGENTS = 5


class Outcome(enum.Enum):
    """What a probe has shown so far."""

    UNKNOWN = 'unknown'
    CONFIRMED = 'confirmed'
    OUTDATED = 'outdated'
    STORE_AWAY = 'store_away'


class Probe(NamedTuple):
    """A probe and the answers to it, by agent."""

    sent: StoreProbeSent
    answers: Mapping[str, StoreProbeAnswered] = {}


def choose_agents(linked: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return the agents to ask, of names and availability zones.

    >>> choose_agents([('c', 'z'), ('a', 'z'), ('b', 'z'), ('d', 'y')])
    {'a': 'z', 'b': 'z', 'd': 'y'}
    """
    chosen: dict[str, str] = {}
    counts: dict[str, int] = {}
    for name, zone in sorted(linked):
        counts[zone] = counts.get(zone, 0) + 1
        if counts[zone] <= AGENTS_PER_ZONE:
            chosen[name] = zone
    return chosen


def on_answer(probe: Probe, answer: StoreProbeAnswered) -> Probe:
    """Return the probe with an answer; those to others are ignored."""
    sent = probe.sent
    if answer.sent_at != sent.sent_at or answer.agent not in sent.asked:
        return probe
    return probe._replace(answers={**probe.answers, answer.agent: answer})


def confirmed_at(probe: Probe, known: LogEnd) -> float | None:
    """Return when the store last showed an agent that `known` is its end."""
    return max(
        (
            probe.sent.sent_at - answer.age_s
            for answer in probe.answers.values()
            if answer.end == known
        ),
        default=None,
    )


def silent_since(probe: Probe) -> float:
    """Return when the first of the reads that failed may have begun."""
    return probe.sent.sent_at - max(
        (answer.age_s for answer in probe.answers.values()), default=0.0
    )


def outcome(probe: Probe, known: LogEnd) -> Outcome:
    """Return what the answers show of a log that is known to end somewhere."""
    ends = {answer.end for answer in probe.answers.values()}
    if any(end is not None and end > known for end in ends):
        return Outcome.OUTDATED
    if known in ends:
        return Outcome.CONFIRMED
    sent = probe.sent
    all_are_silent = ends == {None} and len(probe.answers) == len(sent.asked)
    if (
        all_are_silent
        and len(sent.asked) >= MIN_SILENT_AGENTS
        and sent.zones <= set(sent.asked.values())
    ):
        return Outcome.STORE_AWAY
    return Outcome.UNKNOWN
