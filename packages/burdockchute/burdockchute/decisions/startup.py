"""How long a process that starts waits for what its neighbours know.

Load: the store has come back from a copy some seconds old, and a process
that starts reads a configuration with a key that was revoked since. Those
that run know better; nothing in the copy tells.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockchute.model.positions import Position

# Agents are dialled as soon as the list is read, and report at once.
NEIGHBOUR_WAIT_S = 0.5
# Agents know what their entries have told, so few of them tell as much as all.
SUFFICIENT_NEIGHBOURS = 3

# Operators write again what the store has lost. A configuration that only
# neighbours know of for longer than this will not come back.
REWRITE_WAIT_S = 15.0


class NeighbourReports(NamedTuple):
    """What neighbours have told since the process started.

    `configuration` is the newest version that any of them knows.
    """

    neighbours: int = 0
    configuration: int = 0


def report_received(
    heard: NeighbourReports, configuration: int
) -> NeighbourReports:
    """Give what was heard after one more neighbour has told.

    One that knows no configuration has just started itself.

    >>> report_received(report_received(NeighbourReports(), 7), 0)
    NeighbourReports(neighbours=1, configuration=7)
    """
    if not configuration:
        return heard
    return NeighbourReports(
        heard.neighbours + 1, max(heard.configuration, configuration)
    )


def waits_for_neighbours(
    heard: NeighbourReports, position: Position, started_at: float, now: float
) -> bool:
    """Tell whether a first reading is to wait for what neighbours know.

    A store that names no era never comes back from a copy.

    >>> waits_for_neighbours(NeighbourReports(), Position(1, 9), 5.0, 5.4)
    True
    >>> waits_for_neighbours(NeighbourReports(), Position(0, 9), 5.0, 5.4)
    False
    """
    if not position.era or heard.neighbours >= SUFFICIENT_NEIGHBOURS:
        return False
    return now - started_at < NEIGHBOUR_WAIT_S


def may_serve_outdated(held_back_at: float, now: float) -> bool:
    """Tell whether an outdated configuration is served for want of another.

    >>> may_serve_outdated(5.0, 19.0), may_serve_outdated(5.0, 20.0)
    (False, True)
    """
    return now - held_back_at >= REWRITE_WAIT_S
