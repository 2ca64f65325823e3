"""What operators want, as entries and agents tell each other of it.

Load: an operator names a version while configurations of a thousand routes
are saved in a storm. Were each agent to read the wishes, every save would
cross the links between regions once for each of them, and a configuration of
400 KB takes 0.7 s of a link of 4.7 Mbit/s: copies, answers and the stops of
requests on replaced weights would stand behind it. Entries need the routes
and follow closely; an agent only needs to know the versions, the models of
its service and where their weights come from, and hears of those from every
entry it is linked to.

Ages are told and not times, as clocks differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from burdockchute.decisions.versions import History
from burdockchute.model.agent_requirements import AgentRequirements
from burdockchute.model.known_state import PeerReport
from burdockchute.wire import messages

UNKNOWN = -1


def encode_versions(
    histories: Mapping[str, History], now: float
) -> list[messages.NamedVersion]:
    """Give what to tell of the versions that were named.

    >>> from burdockchute.decisions import versions
    >>> history = versions.add_version(versions.History(), 3, 97.5)
    >>> encode_versions({'story': history}, 100.0)
    [NamedVersion(model='story', version=3, age_ms=2500)]
    """
    return [
        messages.NamedVersion(
            model,
            named.version,
            UNKNOWN if named.at is None else int((now - named.at) * 1000),
        )
        for model, history in histories.items()
        for named in history.named
    ]


def decode_versions(
    news: Sequence[messages.NamedVersion], now: float
) -> list[PeerReport]:
    """Give what was told, in this process's own time."""
    return [
        PeerReport(
            item.model,
            item.version,
            None if item.age_ms == UNKNOWN else now - item.age_ms / 1000,
        )
        for item in news
    ]


def encode_requirements(
    needs: AgentRequirements | None,
) -> messages.AgentNeeds | None:
    """Give what to tell of an agent's needs.

    >>> requirements = AgentRequirements(7, ('story',), 4, '10.0.0.1:80')
    >>> encode_requirements(requirements).models
    ['story']
    """
    if needs is None:
        return None
    return messages.AgentNeeds(
        needs.configuration, list(needs.models), needs.slots, needs.origin
    )


def decode_requirements(
    news: messages.AgentNeeds | None,
) -> AgentRequirements | None:
    """Give the needs that were told, None where the other knows none."""
    if news is None:
        return None
    return AgentRequirements(
        news.configuration, tuple(news.models), news.slots, news.origin
    )
