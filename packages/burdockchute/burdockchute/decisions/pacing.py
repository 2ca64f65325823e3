"""Pacing of a rollout: which instances may load a new version now.

The copy of a version completes on all replicas of a row at about the same
moment. If all of them loaded at once, the model would be unavailable, or
slow, everywhere for the duration of a load. The row sets which share of the
replicas may load at a time.

There is no coordinator. The replicas have an order (a rendezvous hash of row
and digest) that every agent computes alike. With S replicas allowed at a
time, the first S load at once, and the one at position p waits until its
predecessor at p - S serves the version. This gives S independent sequences,
and each agent watches one other.

A predecessor that never serves would block its sequence: it was killed, its
copy is late or its engine fails. So an agent proceeds once it has waited
PREDECESSOR_TIMEOUT_S with a complete copy, or as soon as the predecessor is
known to be gone. A predecessor that recovers after that may load together
with its successor; the share is exceeded by at most the number of
predecessors that timed out.
"""

from __future__ import annotations

from collections.abc import Sequence
import math
from typing import NamedTuple

from burdockchute.decisions.hosting import ranked

# Longer than an engine takes to load from its agent, shorter than the minutes
# in which a rollout has to complete.
PREDECESSOR_TIMEOUT_S = 10.0


class Predecessor(NamedTuple):
    """What is known of the agent that loads before this one.

    `is_open` is whether it serves the version, `gone` whether no link to it
    can be established.
    """

    is_open: bool
    gone: bool


def max_concurrent_loads(share: float, replicas: int) -> int:
    """Return how many replicas may load at once, at least one.

    >>> max_concurrent_loads(0.25, 100), max_concurrent_loads(0.25, 3)
    (25, 1)
    >>> max_concurrent_loads(1.0, 8)
    8
    """
    return max(1, math.floor(share * replicas))


def predecessor(
    key: str, name: str, hosts: Sequence[str], share: float
) -> str | None:
    """Return the name of the predecessor, None if the agent has none."""
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
    """Whether this agent may load; its copy completed at `complete_since`.

    `watched` is the name of its predecessor, None if there is none.
    """
    if watched is None or known.is_open or known.gone:
        return True
    return now - complete_since > PREDECESSOR_TIMEOUT_S
