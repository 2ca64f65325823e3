"""Policies that choose the next chunk to request and the peer to ask.

Hundreds of agents fetch all chunks of the same weights, and each holds some
of them. If all requested the same chunk first, its few holders would be
overloaded while other links are idle, and the last chunk would be copied
from agent to agent in sequence.

A policy chooses among the current offers. Each offer is a peer with the
chunks that it holds and that are neither held nor requested here. Sets of
chunks are integers used as bitmaps. Peers in the own zone go first, then
those in the own region: an offer from farther away is considered only if no
nearer peer has a useful chunk.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import random
from typing import NamedTuple


class Offer(NamedTuple):
    """The chunks that one peer could send now.

    `useful` is a bitmap of chunks, `load` the number of uploads that the
    peer has in progress and queued, `distance` as in `neighbours.distance`.
    """

    peer: str
    useful: int
    load: int
    distance: int


class Choice(NamedTuple):
    """A chunk to request and the peer to request it from."""

    peer: str
    chunk: int


# Number of known holders of each chunk.
Holders = Sequence[int]

ChunkPolicy = Callable[[Sequence[Offer], Holders, random.Random], Choice]


def nearest(offers: Sequence[Offer]) -> list[Offer]:
    """Return the offers with useful chunks at the shortest distance."""
    useful = [offer for offer in offers if offer.useful]
    shortest = min((offer.distance for offer in useful), default=0)
    return [offer for offer in useful if offer.distance == shortest]


def uniform(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return a random chunk of a random peer."""
    offer = rng.choice(offers)
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def least_loaded(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return a random chunk of the peer with the fewest uploads."""
    offer = _any_least_loaded(offers, rng)
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def rarest_first(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return the chunk with the fewest holders, from a random holder."""
    chunk = _any_rarest(offers, holders, rng)
    offering = [offer for offer in offers if offer.useful >> chunk & 1]
    return Choice(rng.choice(offering).peer, chunk)


def rarest_from_least_loaded(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return the chunk with the fewest holders, from the least loaded."""
    chunk = _any_rarest(offers, holders, rng)
    offering = [offer for offer in offers if offer.useful >> chunk & 1]
    return Choice(_any_least_loaded(offering, rng).peer, chunk)


def lottery(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return a random chunk of a peer drawn by its number of useful chunks.

    After Roussev and Wu, "Task Scheduling on NOWs using Lottery-Based Work
    Stealing", where the chance to be stolen from grows with the amount of
    work that a node is likely to give away.
    """
    draw_weights = [offer.useful.bit_count() for offer in offers]
    offer = rng.choices(offers, draw_weights)[0]
    return Choice(offer.peer, _any_chunk(offer.useful, rng))


def free_lottery(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> Choice:
    """Return a random chunk of a peer drawn by its inverse load."""
    draw_weights = [1.0 / (1 + offer.load) for offer in offers]
    offer = rng.choices(offers, draw_weights)[0]
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
    """Yield the positions of the bits that are set.

    >>> list(set_bits(0b1011))
    [0, 1, 3]
    """
    while bitmap:
        lowest_bit = bitmap & -bitmap
        yield lowest_bit.bit_length() - 1
        bitmap ^= lowest_bit


def _any_chunk(useful: int, rng: random.Random) -> int:
    # Drops a random number of set bits, then takes the lowest.
    for _ in range(rng.randrange(useful.bit_count())):
        useful &= useful - 1
    return (useful & -useful).bit_length() - 1


def _any_rarest(
    offers: Sequence[Offer], holders: Holders, rng: random.Random
) -> int:
    union = 0
    for offer in offers:
        union |= offer.useful
    fewest_holders = None
    rarest: list[int] = []
    for chunk in set_bits(union):
        count = holders[chunk]
        if fewest_holders is None or count < fewest_holders:
            fewest_holders = count
            rarest = []
        if count == fewest_holders:
            rarest.append(chunk)
    return rng.choice(rarest)


def _any_least_loaded(offers: Sequence[Offer], rng: random.Random) -> Offer:
    load = min(offer.load for offer in offers)
    return rng.choice([offer for offer in offers if offer.load == load])
