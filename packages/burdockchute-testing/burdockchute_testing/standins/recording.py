"""The runs of a stand-in upstream, recorded for the history checker.

The history can also be written to a file as it happens, since a killed
process loses its memory.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import json
import time
from typing import Any
from typing import TextIO

MAX_KEPT_RUNS = 20_000

RUNNING = 'running'
FINISHED = 'finished'
CANCELLED = 'cancelled'
BROKEN = 'broken'


class Recording:
    """Runs with their start and end in seconds.

    The times are wall-clock times, so that the records of several processes
    can be compared.
    """

    def __init__(
        self, path: str = '', clock: Callable[[], float] = time.time
    ) -> None:
        self._clock = clock
        self._runs: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_KEPT_RUNS
        )
        self._file: TextIO | None = open(path, 'a') if path else None
        self._count = 0

    def start(self, request_id: str, **fields: Any) -> dict[str, Any]:
        """Record the start of a run and return its record."""
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

    def end(self, run: dict[str, Any], state: str) -> None:
        """Record the end of a run; has no effect on a run that has ended."""
        if run['how'] != RUNNING:
            return
        run['how'] = state
        run['end'] = self._clock()
        self._write(run)

    def runs(self) -> list[dict[str, Any]]:
        """Return the last `MAX_KEPT_RUNS` runs, oldest first."""
        return list(self._runs)

    def _write(self, run: dict[str, Any]) -> None:
        if self._file is not None:
            self._file.write(json.dumps(run) + '\n')
            self._file.flush()


def read(path: str) -> list[dict[str, Any]]:
    """Return the runs of a file, each in its last written state."""
    runs: dict[int, dict[str, Any]] = {}
    with open(path) as lines:
        for line in lines:
            run = json.loads(line)
            runs[run['run']] = run
    return list(runs.values())
