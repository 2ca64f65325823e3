"""Decides which chunks this agent fetches from another region.

The agents of a region divide the chunks of a copy among them, so that each
chunk crosses the narrow links between regions once. Another agent takes over
a chunk that its first importer doesn't fetch in time.
"""

from __future__ import annotations

from collections.abc import Iterable

from burdockchute.decisions import sources
from burdockchute.decisions.chunks import set_bits
from burdockchute.decisions.sources import ReaderGroup


class RegionImports:
    """The division of one copy's chunks among the agents of a region."""

    def __init__(self) -> None:
        self._readers: ReaderGroup | None = None
        self._ranks: dict[int, int] = {}
        self._available_since: dict[int, float] = {}

    def set_importers(self, own: str, names: Iterable[str]) -> None:
        """Set the names of the agents in this agent's region."""
        readers = ReaderGroup(own, tuple(names), 0)
        if readers != self._readers:
            self._readers = readers
            self._ranks.clear()

    def note_remote_chunks(self, chunks: int, now: float) -> None:
        """Record when chunks are first held in another region."""
        for chunk in set_bits(chunks):
            self._available_since.setdefault(chunk, now)

    def importable(self, wanted: int, now: float) -> int:
        """Return the wanted chunks that may be fetched from another region.

        Without importers these are all of them.
        """
        if self._readers is None:
            return wanted
        found = 0
        for chunk in set_bits(wanted):
            since = self._available_since.get(chunk)
            if since is None:
                continue
            if sources.may_import(self._rank(chunk), since, now):
                found |= 1 << chunk
        return found

    def own_share(self, wanted: int, now: float) -> int:
        """Return the wanted chunks of which this agent is first importer."""
        if self._readers is None:
            return 0
        return sum(
            1 << chunk
            for chunk in set_bits(self.importable(wanted, now))
            if self._rank(chunk) == 0
        )

    def _rank(self, chunk: int) -> int:
        assert self._readers is not None
        if chunk not in self._ranks:
            self._ranks[chunk] = sources.reader_rank(self._readers, chunk)
        return self._ranks[chunk]
