"""How long a starting process waits for the configuration of its neighbours.

Where the store was restored from a copy some seconds old, a starting
process may read a configuration with a key that was revoked since. Running
processes know the newer one; nothing in the copy shows that it is outdated.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.positions import Position

# Agents are dialled as soon as the list is read, and report immediately.
NEIGHBOUR_WAIT_S = 0.5
# Agents know what all their entries have reported, so a few are enough.
SUFFICIENT_NEIGHBOURS = 3

# Operators rewrite what the store has lost. A configuration that only
# neighbours have known for longer than this will not be rewritten.
REWRITE_WAIT_S = 15.0


class NeighbourReports(NamedTuple):
    """What neighbours have reported since the process started.

    `neighbours` counts the reports; `configuration` is the newest version
    that any of them knows.
    """

    neighbours: int = 0
    configuration: int = 0


def report_received(
    reports: NeighbourReports, configuration: int
) -> NeighbourReports:
    """Return the reports after one more neighbour has reported.

    A neighbour that knows no configuration has just started itself, and is
    not counted.

    >>> report_received(report_received(NeighbourReports(), 7), 0)
    NeighbourReports(neighbours=1, configuration=7)
    """
    if not configuration:
        return reports
    return NeighbourReports(
        reports.neighbours + 1, max(reports.configuration, configuration)
    )


def waits_for_neighbours(
    reports: NeighbourReports,
    position: Position,
    started_at: float,
    now: float,
) -> bool:
    """Whether the first read of the store has to wait for neighbours.

    A store that reports no era is never restored from a copy.

    >>> waits_for_neighbours(NeighbourReports(), Position(1, 9), 5.0, 5.4)
    True
    >>> waits_for_neighbours(NeighbourReports(), Position(0, 9), 5.0, 5.4)
    False
    """
    if not position.era or reports.neighbours >= SUFFICIENT_NEIGHBOURS:
        return False
    return now - started_at < NEIGHBOUR_WAIT_S


def may_serve_outdated(held_back_at: float, now: float) -> bool:
    """Whether to serve an outdated configuration, as no newer one arrived.

    `held_back_at` is when it was first held back.

    >>> may_serve_outdated(5.0, 19.0), may_serve_outdated(5.0, 20.0)
    (False, True)
    """
    return now - held_back_at >= REWRITE_WAIT_S
