"""Limits: how the entries share one customer's limit.

Load it answers: a customer whose requests reach the entries in uneven parts,
as they do behind a balancer that keeps connections.

Without it, each entry either allows the whole limit, and a customer gets it
as often as there are entries, or allows an even part, and a customer whose
one connection leads to one entry gets a fraction of what it pays for.

How it decides: each second the entries tell their demand to the one that a
rendezvous hash names for the customer. Demands below an even part are met
whole, the rest is shared out evenly (max-min fair), and what is left over is
divided between all, as room for the next second. Without news an entry's
share goes back to the even part of the limit.

Thresholds: a share is good for FRESH_S, three reports, so that one lost
message changes nothing, and then fades within FADE_S, so that it does not
jump. Bound: the shares that are given out add up to the limit. Entries that
have not been heard of have at most an even part each, so that all together
stay under twice the limit for the second until the next report, and for
FRESH_S plus FADE_S after two regions have lost each other; from then on
every entry has its even part and the sum is the limit again, as long as the
instance list still names the entries on both sides. If the list loses the
other side as well, each side allows the whole limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.decisions.admission import RateLimit

SHARE_VALID_S = 3.0
SHARE_FADE_S = 3.0


class Demand(NamedTuple):
    """What a customer asked for at one entry, per second."""

    requests_per_s: float
    tokens_per_s: float


class Share(NamedTuple):
    """An entry's part of a limit, as of the time `at`."""

    requests_per_s: float
    tokens_per_s: float
    at: float


def divide(
    limit: float, demands: Mapping[str, float], entries: int
) -> dict[str, float]:
    """Give each entry's part of a limit for these demands.

    >>> divide(10.0, {'a': 1.0, 'b': 100.0}, entries=2)
    {'a': 1.0, 'b': 9.0}
    """
    parts: dict[str, float] = {}
    left = limit
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for number, (entry, demand) in enumerate(ordered):
        parts[entry] = min(demand, left / (len(ordered) - number))
        left -= parts[entry]
    spare = left / max(entries, len(parts), 1)
    return {entry: part + spare for entry, part in parts.items()}


def rate_at(
    limit: RateLimit, share: Share | None, entries: int, now: float
) -> RateLimit:
    """Give what an entry may let in now.

    >>> rate_at(RateLimit(10.0, 1000.0, 2.0), None, 2, 0.0)
    RateLimit(requests_per_s=5.0, tokens_per_s=500.0, burst_s=2.0)
    """
    even = 1.0 / max(1, entries)
    if share is None:
        return limit._replace(
            requests_per_s=limit.requests_per_s * even,
            tokens_per_s=limit.tokens_per_s * even,
        )
    age = now - share.at
    keep = min(1.0, max(0.0, 1.0 - (age - SHARE_VALID_S) / SHARE_FADE_S))
    return limit._replace(
        requests_per_s=_between(
            limit.requests_per_s * even, share.requests_per_s, keep
        ),
        tokens_per_s=_between(
            limit.tokens_per_s * even, share.tokens_per_s, keep
        ),
    )


def _between(start: float, end: float, part: float) -> float:
    return start + (end - start) * part
