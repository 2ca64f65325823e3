"""Member lists of any size for tests and benches."""

from __future__ import annotations

from burdockchute.model.members import Member
from burdockchute.model.members import Place

REGIONS = 4
ZONES = 14
POOLS = ('gpu-a', 'gpu-b', 'gpu-c')


def fleet(entries: int, agents: int) -> list[Member]:
    """Return members spread evenly over 4 regions, 14 zones and 3 pools."""
    return [
        *(_member('entry', number) for number in range(entries)),
        *(_member('agent', number) for number in range(agents)),
    ]


def _member(role: str, number: int) -> Member:
    zone = number % ZONES
    pool = POOLS[(number // ZONES) % len(POOLS)] if role == 'agent' else role
    place = Place(f'zone-{zone}', f'region-{zone % REGIONS}', pool)
    return Member(f'{role}-{number}', role, '127.0.0.1', 1 + number, place)
