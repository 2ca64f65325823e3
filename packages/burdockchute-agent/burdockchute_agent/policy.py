"""The policy by which copies of weights are distributed among agents.

The agent uses DEFAULT_POLICY. The benchmarks define others to compare it with.
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
    """The three functions that decide how a copy is distributed.

    `neighbours` returns the peers to dial for a row, `readers` the order of
    origin reads for a digest, `choose` the next chunk and the peer to request
    it from.
    """

    neighbours: Callable[[str, Member, Sequence[Member]], tuple[str, ...]]
    readers: Callable[[str, str, Sequence[str]], ReaderGroup]
    choose: ChunkPolicy


DEFAULT_POLICY = Policy(
    neighbours=neighbours.neighbours,
    readers=sources.reader_group,
    choose=chunks.rarest_from_least_loaded,
)
