"""Instances of the system, as the platform's list and links name them."""

from __future__ import annotations

from typing import NamedTuple


class Place(NamedTuple):
    """The location of an instance, from its settings."""

    zone: str
    region: str
    pool: str


class Member(NamedTuple):
    """One instance that runs a process of the system.

    `role` is 'entry' or 'agent'. `leaving` is set when either the platform's
    list, which lags, or the instance itself first reports that it leaves.
    """

    name: str
    role: str
    address: str
    port: int
    place: Place
    leaving: bool = False
