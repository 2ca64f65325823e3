"""The account of what a process owes to its callers.

Each connection of a caller is in one stage at a time, since requests that
are pipelined on it are read one after another. A process that leaves waits
for this account alone.
"""

from __future__ import annotations

from collections.abc import Hashable
import enum
from typing import Any
from typing import NamedTuple


class Stage(enum.Enum):
    """What happens on a connection.

    UNUSED has had no request yet, IDLE waits for another one. HEAD and BODY
    are being received, RUNNING waits for its answer, and ANSWER is being
    written. CLOSING has its whole answer; what still arrives is discarded.
    """

    UNUSED = 'unused'
    IDLE = 'idle'
    HEAD = 'heads'
    BODY = 'bodies'
    RUNNING = 'running'
    ANSWER = 'answers'
    CLOSING = 'closing'


# A request was begun, and its answer is not complete.
OWED = (Stage.HEAD, Stage.BODY, Stage.RUNNING, Stage.ANSWER)


class Progress(NamedTuple):
    """The stage of a connection, and when its request was begun.

    Without a request, that is when the connection was accepted or became
    idle.
    """

    stage: Stage
    begun: float


class OpenWork:
    """The connections of callers with their stages."""

    def __init__(self) -> None:
        self._connections: dict[Any, Progress] = {}
        self._counts = dict.fromkeys(Stage, 0)

    def open(self, conn: Hashable, now: float) -> None:
        """Add a connection that was accepted."""
        self._connections[conn] = Progress(Stage.UNUSED, now)
        self._counts[Stage.UNUSED] += 1

    def move(self, conn: Hashable, stage: Stage, now: float) -> None:
        """Set the stage of a connection; one that was closed is ignored."""
        progress = self._connections.get(conn)
        if progress is None:
            return
        begun = progress.begun
        if stage in (Stage.IDLE, Stage.HEAD) and stage is not progress.stage:
            begun = now
        self._counts[progress.stage] -= 1
        self._counts[stage] += 1
        self._connections[conn] = Progress(stage, begun)

    def close(self, conn: Hashable) -> None:
        """Remove a connection; may be repeated."""
        progress = self._connections.pop(conn, None)
        if progress is not None:
            self._counts[progress.stage] -= 1

    def connections(self, *stages: Stage) -> list[Any]:
        """Return the connections in one of the stages."""
        return [
            conn
            for conn, progress in self._connections.items()
            if progress.stage in stages
        ]

    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._connections

    def count(self, stage: Stage) -> int:
        """Return the number of connections in a stage."""
        return self._counts[stage]

    def counts(self) -> dict[str, int]:
        """Return the number of connections in each stage, by name."""
        return {stage.value: self._counts[stage] for stage in Stage}

    @property
    def owed(self) -> int:
        """The number of requests whose answers are not complete."""
        return sum(self._counts[stage] for stage in OWED)

    def owes_from_before(self, moment: float) -> bool:
        """Whether a request that was begun before `moment` is open."""
        return any(
            progress.begun < moment and progress.stage in OWED
            for progress in self._connections.values()
        )
