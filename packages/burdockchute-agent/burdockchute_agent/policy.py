"""How copies spread: with whom, from whom, and who reads the origin.

The agent uses DEFAULT. Benches compare it with others, which live there.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from burdockchute.decisions import chunks
from burdockchute.decisions import neighbours
from burdockchute.decisions import sources
from burdockchute.decisions.chunks import ChunkPolicy
from burdockchute.decisions.sources import ReaderGroup
from burdockchute.model.members import Member


class Policy(NamedTuple):
    """The three choices that make up a spread.

    `neighbours` gives whom to dial for a row, `readers` the order of origin
    reads for a digest, `choose` the next chunk and peer.
    """

    neighbours: Callable[[str, Member, Sequence[Member]], tuple[str, ...]]
    readers: Callable[[str, str, Sequence[str]], ReaderGroup]
    choose: ChunkPolicy


DEFAULT_POLICY = Policy(
    neighbours=neighbours.neighbours,
    readers=sources.reader_group,
    choose=chunks.rarest_from_least_loaded,
)
