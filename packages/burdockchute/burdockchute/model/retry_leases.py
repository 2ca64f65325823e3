"""Records of entries and the retries that they may use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class LeasesHeld(NamedTuple):
    """A start of an entry, and how many leases of each service it holds."""

    entry: str
    incarnation: str
    leases: Mapping[str, int]
    is_leaving: bool = False

    @property
    def key(self) -> str:
        """The key of its record."""
        return f'{self.entry}/{self.incarnation}'
