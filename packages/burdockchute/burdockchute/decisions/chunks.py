"""Which chunk to get next, and from which peer.

Load: hundreds of agents want all chunks of the same weights, and each has
some of them. If all asked for the same chunk first, its few holders would be
overrun while other links stood idle, and the last chunk would be copied from
one agent to the next, one after the other.

A choice is a function of the offers that are useful now: each offer is a
peer with the chunks that it holds and that are still missing here and asked
of nobody. Sets of chunks are whole numbers used as bitmaps. Peers in the own
zone go first, then those in the region: an offer from farther away counts
only if no nearer one is useful.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import random
from typing import NamedTuple


class Offer(NamedTuple):
    """What one peer could send now.

    `useful` is a bitmap of chunks, `load` how many uploads it has in
    progress and queued, `distance` as in `neighbours.distance`.
    """

    peer: str
    useful: int
    load: int
    distance: int


class Choice(NamedTuple):
    """Ask this peer for this chunk."""

    peer: str
    chunk: int


# Counts of known holders for each chunk.
Holders = Sequence[int]

ChunkPolicy = Callable[[Sequence[Offer], Holders, random.Random], Choice]


def nearest(offers: Sequence[Offer]) -> list[Offer]:
    """Give the useful offers from the shortest distance that has any."""
    useful = [offer for offer in offers if offer.useful]
    shortest = min((offer.distance for offer in useful), default=0)
    return [offer for offer in useful if offer.distance == shortest]


def uniform(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Any peer, any of its chunks."""
    offer = rng.choice(offers)
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def least_loaded(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """The peer with the fewest uploads, any of its chunks."""
    offer = _least(offers, rng)
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def rarest_first(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """The chunk with the fewest known holders, from any of these."""
    chunk = _rarest(offers, holders, rng)
    having = [offer for offer in offers if offer.useful >> chunk & 1]
    return Choice(rng.choice(having).peer, chunk)


def rarest_from_least_loaded(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """The chunk with the fewest holders, from the one with least to do."""
    chunk = _rarest(offers, holders, rng)
    having = [offer for offer in offers if offer.useful >> chunk & 1]
    return Choice(_least(having, rng).peer, chunk)


def lottery(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """A peer drawn by lot, with one ticket for each useful chunk.

    After Roussev and Wu, "Task Scheduling on NOWs using Lottery-Based Work
    Stealing", where a thief draws its victim with tickets by how much work
    the victim is likely to give.
    """
    tickets = [offer.useful.bit_count() for offer in offers]
    offer = rng.choices(offers, tickets)[0]
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def free_lottery(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """A peer drawn by lot, with more tickets the less it has to do."""
    tickets = [1.0 / (1 + offer.load) for offer in offers]
    offer = rng.choices(offers, tickets)[0]
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


CHUNK_POLICIES: dict[str, ChunkPolicy] = {
    'uniform': uniform,
    'least-loaded': least_loaded,
    'rarest': rarest_first,
    'rarest-least-loaded': rarest_from_least_loaded,
    'lottery': lottery,
    'free-lottery': free_lottery,
}


def set_bits(bitmap: int) -> Iterator[int]:
    """Give the places of the bits that are set.

    >>> list(set_bits(0b1011))
    [0, 1, 3]
    """
    while bitmap:
        low = bitmap & -bitmap
        yield low.bit_length() - 1
        bitmap ^= low


def _any_chunk(useful: int, rng: random.Random) -> int:
    # Drops a random number of set bits, then takes the lowest.
    for _ in range(rng.randrange(useful.bit_count())):
        useful &= useful - 1
    return (useful & -useful).bit_length() - 1


def _rarest(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> int:
    union = 0
    for offer in offers:
        union |= offer.useful
    fewest = None
    found: list[int] = []
    for chunk in set_bits(union):
        count = holders[chunk]
        if fewest is None or count < fewest:
            fewest = count
            found = []
        if count == fewest:
            found.append(chunk)
    return rng.choice(found)


def _least(offers: Sequence[Offer], rng: random.Random) -> Offer:
    load = min(offer.load for offer in offers)
    return rng.choice([offer for offer in offers if offer.load == load])
