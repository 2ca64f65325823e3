"""Named versions, as entries and agents tell each other of them.

Load: an operator names a version while configurations of hundreds of routes
are saved in a storm. Were each agent to follow the wishes closely, every save
would cross the links between regions once for each of them, and copies and
answers would stand behind it. Entries need the routes and follow closely; an
agent only needs to know the versions, and hears of those from every entry it
is linked to.

Ages are told and not times, as clocks differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from burdockchute.decisions.versions import History
from burdockchute.model.beliefs import Hearsay
from burdockchute.wire import messages

UNKNOWN = -1


def news_of(
    histories: Mapping[str, History], now: float
) -> list[messages.NamedVersion]:
    """Give what to tell of the versions that were named.

    >>> from burdockchute.decisions import versions
    >>> history = versions.name(versions.History(), 3, 97.5)
    >>> news_of({'story': history}, 100.0)
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


def heard_of(
    news: Sequence[messages.NamedVersion], now: float
) -> list[Hearsay]:
    """Give what was told, in this process's own time."""
    return [
        Hearsay(
            item.model,
            item.version,
            None if item.age_ms == UNKNOWN else now - item.age_ms / 1000,
        )
        for item in news
    ]
