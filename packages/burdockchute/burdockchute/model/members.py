"""Instances of the system, as the platform's list and our links name them."""

from __future__ import annotations

from typing import NamedTuple


class Place(NamedTuple):
    """Where an instance stands; learnt from its settings."""

    zone: str
    region: str
    pool: str


class Member(NamedTuple):
    """One instance that runs a process of the system.

    `role` is 'entry' or 'agent'. `leaving` comes from the platform's lagging
    list or from the instance itself, whichever says so first.
    """

    name: str
    role: str
    address: str
    port: int
    place: Place
    leaving: bool = False
