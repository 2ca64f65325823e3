"""Where a record stands in a feed."""

from __future__ import annotations

from typing import NamedTuple


class Position(NamedTuple):
    """An offset within one era of the platform's store.

    A store that comes back from a copy gives out again the offsets that it
    has lost, so an offset alone names no record. `era` counts the returns
    that this process has seen; a store that names none stays in era 0.

    >>> Position(1, 40) < Position(1, 52) < Position(2, 41)
    True
    """

    era: int
    offset: int
