"""Which instances may load a new version now.

Load: a copy ends on all replicas of a row at about the same moment. If all
of them loaded at once, the model would be away, or slow, everywhere for as
long as a load takes. The row says which share may load at a time.

Nobody coordinates. The replicas have an order (a rendezvous hash of row and
digest) that everyone computes alike. With S replicas allowed at a time, the
first S load at once, and the one at position p waits until the one at p - S
has the version open. So there are S lanes, and each agent watches one other.

One that never opens would hold up its lane: it was killed, its copy is late
or its engine fails. So an agent goes on once it has waited OVERDUE_S with its
copy whole, or as soon as the one before is known to be gone. An overdue one
that comes back may then load along with its successor; the share is passed
by at most the number of those overdue.
"""

from __future__ import annotations

from collections.abc import Sequence
import math
from typing import NamedTuple

from burdockchute.decisions.hosting import ranked

# Longer than an engine takes to load from the process beside it, shorter
# than the minutes in which a rollout is to end.
PREDECESSOR_TIMEOUT_S = 10.0


class Predecessor(NamedTuple):
    """What is known of the agent whose turn comes before ours.

    `is_open` tells that it serves the version, `gone` that no link to it can
    be had.
    """

    is_open: bool
    gone: bool


def max_concurrent_loads(share: float, replicas: int) -> int:
    """Give how many replicas may load at once, at least one.

    >>> max_concurrent_loads(0.25, 100), max_concurrent_loads(0.25, 3)
    (25, 1)
    >>> max_concurrent_loads(1.0, 8)
    8
    """
    return max(1, math.floor(share * replicas))


def predecessor(
    key: str, name: str, hosts: Sequence[str], share: float
) -> str | None:
    """Give whose turn comes before, None for the first of each lane."""
    order = ranked(key, hosts)
    if name not in order:
        return None
    position = order.index(name) - max_concurrent_loads(share, len(order))
    return order[position] if position >= 0 else None


def may_load(
    watched: str | None,
    known: Predecessor,
    complete_since: float,
    now: float,
) -> bool:
    """Tell whether it is our turn; `complete_since` is when our copy ended."""
    if watched is None or known.is_open or known.gone:
        return True
    return now - complete_since > PREDECESSOR_TIMEOUT_S
