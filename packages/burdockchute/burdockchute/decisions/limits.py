"""How the entries divide one customer's rate limit among themselves.

The requests of a customer reach the entries unevenly, as they do behind a load
balancer that keeps connections. If each entry allowed the whole limit, a
customer would get it once for each entry; if each allowed an even part, a
customer whose one connection leads to one entry would get a fraction of what
it pays for.

Each second the entries report their demand to the entry that a rendezvous hash
selects for the customer. Demands below an even part are met fully, the rest is
divided evenly (max-min fairness), and what remains is divided between all
entries, as headroom for the next second. Without a new share, an entry returns
to the even part of the limit.

The shares that are assigned add up to the limit. Entries that have not
reported have at most an even part each, so all entries together stay below
twice the limit for the second until the next report, and for SHARE_VALID_S
plus SHARE_FADE_S after two regions lose contact. From then on every entry has
its even part and the sum is the limit again, as long as the instance list
still names the entries of both sides. If the list loses the other side as
well, each side allows the whole limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from burdockchute.decisions.admission import RateLimit

# Three reports, so that one lost message changes nothing.
SHARE_VALID_S = 3.0

# After that a share changes to the even part within this time, so that the
# rate does not jump.
SHARE_FADE_S = 3.0


class Demand(NamedTuple):
    """What a customer requested at one entry, per second."""

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
    """Return each entry's part of a limit for these demands.

    >>> divide(10.0, {'a': 1.0, 'b': 100.0}, entries=2)
    {'a': 1.0, 'b': 9.0}
    """
    parts: dict[str, float] = {}
    remaining = limit
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for number, (entry, demand) in enumerate(ordered):
        parts[entry] = min(demand, remaining / (len(ordered) - number))
        remaining -= parts[entry]
    spare = remaining / max(entries, len(parts), 1)
    return {entry: part + spare for entry, part in parts.items()}


def rate_at(
    limit: RateLimit, share: Share | None, entries: int, now: float
) -> RateLimit:
    """Return the rate limit that an entry applies now.

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
        requests_per_s=_interpolate(
            limit.requests_per_s * even, share.requests_per_s, keep
        ),
        tokens_per_s=_interpolate(
            limit.tokens_per_s * even, share.tokens_per_s, keep
        ),
    )


def _interpolate(start: float, end: float, part: float) -> float:
    return start + (end - start) * part
