"""Applies what operators allow for cold upstreams to an entry's targets.

The limits are in `burdockchute.decisions.cold_limits`.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import random

from burdockchute.decisions.cold_limits import ColdPolicy
from burdockchute.decisions.routing import RouteTable
from burdockchute.model.known_state import KnownState
from burdockchute.model.machines import Bounds
from burdockchute_entry.straight.targets import Target


def service_policy(
    routes: RouteTable | None, service: str, bounds: Bounds
) -> ColdPolicy | None:
    """Return what cold upstreams of a service may get, None for any load."""
    known = routes.services.get(service) if routes else None
    if known is None or known.cold_rate <= 0:
        return None
    return ColdPolicy(
        known.cold_s, known.cold_rate, bounds.cold_overage, bounds.cold_slack
    )


def record_start(
    target: Target,
    others: Iterable[Target],
    policy: ColdPolicy | None,
    entries: int,
    rng: random.Random,
    now: float,
) -> None:
    """Record that an upstream is new, if this entry has sent requests.

    `others` are those that it knows or knew. Without requests, all upstreams
    are new to an entry that has started itself. Those that are cold say so.
    """
    service = target.upstream.service
    if policy is None or not any(
        other.has_sent and other.upstream.service == service
        for other in others
    ):
        return
    chance = rng.random()
    target.set_cold_policy(policy, entries, chance, now)
    target.record_cold(now + policy.start_s, 'start', chance, now)


def apply_state(
    targets: Mapping[str, Target],
    known_state: KnownState,
    bounds: Bounds,
    entries: int,
    rng: random.Random,
    now: float,
) -> None:
    """Apply the policies of the configuration, and which are listed as cold.

    `targets` are those of the listed upstreams, by id.
    """
    policies: dict[str, ColdPolicy | None] = {}
    for name, known in known_state.upstreams.known.items():
        target, service = targets[name], known.upstream.service
        if service not in policies:
            policies[service] = service_policy(
                known_state.routes, service, bounds
            )
        policy = policies[service]
        chance = rng.random() if policy else 0.0
        target.set_cold_policy(policy, entries, chance, now)
        if known.cold_until > now:
            target.record_cold(known.cold_until, 'list', chance, now)
