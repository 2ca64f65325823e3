"""What a stand-in upstream ran, kept for the checker of histories.

The history can also be written to a file as it happens, since a process
that is killed takes its memory with it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import json
import time
from typing import Any
from typing import TextIO

KEPT = 20_000

RUNNING = 'running'
FINISHED = 'finished'
CANCELLED = 'cancelled'
BROKEN = 'broken'


class Recording:
    """Runs with start and end, in seconds of the machine's clock.

    Wall time, so that the records of several processes can be compared.
    """

    def __init__(
        self, path: str = '', clock: Callable[[], float] = time.time
    ) -> None:
        self._clock = clock
        self._runs: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=KEPT
        )
        self._file: TextIO | None = open(path, 'a') if path else None
        self._count = 0

    def start(self, request_id: str, **fields: Any) -> dict[str, Any]:
        """Record that a run starts, and give its record."""
        self._count += 1
        run = {
            'run': self._count,
            'request_id': request_id,
            'start': self._clock(),
            'end': None,
            'how': RUNNING,
            **fields,
        }
        self._runs.append(run)
        self._write(run)
        return run

    def end(self, run: dict[str, Any], how: str) -> None:
        """Record how a run ended; the first end stands."""
        if run['how'] != RUNNING:
            return
        run['how'] = how
        run['end'] = self._clock()
        self._write(run)

    def runs(self) -> list[dict[str, Any]]:
        """Give all runs that are kept, oldest first."""
        return list(self._runs)

    def _write(self, run: dict[str, Any]) -> None:
        if self._file is not None:
            self._file.write(json.dumps(run) + '\n')
            self._file.flush()


def read(path: str) -> list[dict[str, Any]]:
    """Give the runs of a file, each as it was last written."""
    runs: dict[int, dict[str, Any]] = {}
    with open(path) as lines:
        for line in lines:
            run = json.loads(line)
            runs[run['run']] = run
    return list(runs.values())
