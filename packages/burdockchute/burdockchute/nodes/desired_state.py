"""Encodes the desired state that entries and agents report to each other.

Operators may name a version while configurations of a thousand routes are
saved in quick succession. If each agent read the desired state itself, every
save would cross the links between regions once per agent, and a configuration
of 400 KB takes 0.7 s of a link of 4.7 Mbit/s: copies, answers and the
cancellations of requests on replaced weights would queue behind it. Entries
need the routes, and follow the store closely. An agent only needs the
versions, the models of its service and the origin of their weights, and
receives those from every entry that it is linked to.

Messages hold ages instead of times, since clocks differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from burdockchute.decisions.versions import History
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.known_state import PeerReport
from burdockchute.wire import messages

UNKNOWN_AGE_MS = -1

# Ages grow while they are known, and are sent in 64 bits.
MAX_AGE_MS = 2**53


def encode_versions(
    histories: Mapping[str, History], now: float
) -> list[messages.NamedVersion]:
    """Return the versions that operators have named, as sent to peers.

    >>> from burdockchute.decisions import versions
    >>> history = versions.add_version(versions.History(), 3, 97.5)
    >>> encode_versions({'story': history}, 100.0)
    [NamedVersion(model='story', version=3, age_ms=2500)]
    """
    return [
        messages.NamedVersion(
            model,
            named.version,
            UNKNOWN_AGE_MS
            if named.at is None
            else int((now - named.at) * 1000),
        )
        for model, history in histories.items()
        for named in history.named
    ]


def decode_versions(
    versions: Sequence[messages.NamedVersion], now: float
) -> list[PeerReport]:
    """Return the reported versions, with times of this process's clock."""
    return [
        PeerReport(
            item.model,
            item.version,
            None
            if item.age_ms < 0
            else now - min(item.age_ms, MAX_AGE_MS) / 1000,
        )
        for item in versions
    ]


def encode_requirements(
    requirements: AgentRequirements | None,
) -> messages.AgentNeeds | None:
    """Return the requirements of an agent, as sent to it.

    >>> requirements = AgentRequirements(7, ('story',), 4, '10.0.0.1:80')
    >>> encode_requirements(requirements).models
    ['story']
    """
    if requirements is None:
        return None
    return messages.AgentNeeds(
        requirements.configuration,
        list(requirements.models),
        requirements.slots,
        requirements.origin,
    )


def decode_requirements(
    message: messages.AgentNeeds | None,
) -> AgentRequirements | None:
    """Return the reported requirements, None where the peer knows none."""
    if message is None:
        return None
    return AgentRequirements(
        message.configuration,
        tuple(message.models),
        message.slots,
        message.origin,
    )
