"""What an agent needs of the configuration that is in force."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.routes import Service


class AgentRequirements(NamedTuple):
    """The small part of a configuration that an agent works by.

    `configuration` is the version it is from, `models` are those of the
    agent's own service, `slots` is how many requests its engine runs at once,
    and `origin` the address that gives out weights, empty for none.
    """

    configuration: int
    models: tuple[str, ...]
    slots: int
    origin: str


def requirements_of(
    configuration: int, services: Mapping[str, Service], own: str
) -> AgentRequirements:
    """Give what an agent of the service `own` needs.

    >>> from burdockchute.model.routes import Model
    >>> drafts = Service('drafts', 8, models=(Model('story', 0.3),), slots=4)
    >>> weights = Service('weights', 8, origin='10.0.0.1:80')
    >>> services = {'drafts': drafts, 'weights': weights}
    >>> requirements_of(7, services, 'drafts')
    AgentRequirements(configuration=7, models=('story',), slots=4, \
origin='10.0.0.1:80')
    """
    service = services.get(own)
    origins = (s.origin for s in services.values() if s.origin)
    return AgentRequirements(
        configuration,
        tuple(model.name for model in service.models) if service else (),
        service.slots if service else 0,
        next(origins, ''),
    )
