"""The account of what a process owes to its callers.

Each connection of a caller is in one stage at a time, since requests that
are pipelined on it are read one after another. A process that leaves waits
for this account alone.
"""

from __future__ import annotations

from collections.abc import Hashable
import enum
import itertools
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
        # Those that have been in their stage for the longest come first.
        self._by_stage: dict[Stage, dict[Any, None]] = {
            stage: {} for stage in Stage
        }

    def open(self, conn: Hashable, now: float) -> None:
        """Add a connection that was accepted."""
        self._connections[conn] = Progress(Stage.UNUSED, now)
        self._by_stage[Stage.UNUSED][conn] = None

    def move(self, conn: Hashable, stage: Stage, now: float) -> None:
        """Set the stage of a connection; one that was closed is ignored."""
        progress = self._connections.get(conn)
        if progress is None or progress.stage is stage:
            return
        begun = progress.begun
        if stage in (Stage.IDLE, Stage.HEAD):
            begun = now
        del self._by_stage[progress.stage][conn]
        self._by_stage[stage][conn] = None
        self._connections[conn] = Progress(stage, begun)

    def close(self, conn: Hashable) -> None:
        """Remove a connection; may be repeated."""
        progress = self._connections.pop(conn, None)
        if progress is not None:
            del self._by_stage[progress.stage][conn]

    def connections(self, *stages: Stage) -> list[Any]:
        """Return the connections in one of the stages, oldest first."""
        return [conn for stage in stages for conn in self._by_stage[stage]]

    def oldest(self, stage: Stage, count: int) -> list[Any]:
        """Return up to `count` connections, the longest in the stage first."""
        return list(itertools.islice(self._by_stage[stage], count))

    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._connections

    def __len__(self) -> int:
        return len(self._connections)

    def count(self, stage: Stage) -> int:
        """Return the number of connections in a stage."""
        return len(self._by_stage[stage])

    def counts(self) -> dict[str, int]:
        """Return the number of connections in each stage, by name."""
        return {stage.value: self.count(stage) for stage in Stage}

    @property
    def owed(self) -> int:
        """The number of requests whose answers are not complete."""
        return sum(self.count(stage) for stage in OWED)

    def owes_from_before(self, moment: float) -> bool:
        """Whether a request that was begun before `moment` is open."""
        return any(
            self._connections[conn].begun < moment
            for conn in self.connections(*OWED)
        )
