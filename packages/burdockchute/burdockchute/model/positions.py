"""Positions of records in a feed."""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """An offset within one era of the platform's store.

    A store that is restored from a copy assigns the offsets of lost records
    again, so an offset alone does not identify a record. `era` counts the
    restores that this process has seen; it stays 0 for a store that does not
    report any.

    >>> Position(1, 40) < Position(1, 52) < Position(2, 41)
    True
    """

    era: int
    offset: int
