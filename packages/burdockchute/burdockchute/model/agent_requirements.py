"""The part of the current configuration that an agent needs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.model.routes import Service


class AgentRequirements(NamedTuple):
    """The part of a configuration that an agent needs.

    `configuration` is the version of the configuration. `models` are those
    of the agent's own service, `slots` is how many requests its engine runs
    at once, and `origin` is the address that serves weights, empty for none.
    """

    configuration: int
    models: tuple[str, ...]
    slots: int
    origin: str


def requirements_of(
    configuration: int, services: Mapping[str, Service], own: str
) -> AgentRequirements:
    """Return the requirements of an agent of the service `own`.

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
