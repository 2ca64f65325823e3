"""An in-memory log service with the faults of the real one."""

from __future__ import annotations

from gevent import event
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.platform.log import Batch
from burdockchute.platform.log import Extent
from burdockchute.platform.log import LogError
from burdockchute.platform.log import LogRecord
from burdockchute.platform.log import Trimmed
from burdockchute.platform.log import Unavailable
from burdockchute.platform.log import Unsure


class FakeLog:
    """A log whose streams start at offset 0.

    `down` makes every request fail. Of the next appends, `lose_replies` take
    effect but get no reply, and `lose_appends` get no reply and take no
    effect.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_replies = 0
        self.lose_appends = 0
        self.appends = 0
        self.reads = 0
        self._streams: dict[str, list[str]] = {}
        self._earliest: dict[str, int] = {}
        self._appended = event.Event()

    def append(self, stream: str, data: str) -> Result[int, LogError]:
        """Append one record and return its offset."""
        self.appends += 1
        if self.down:
            return Failure(Unavailable('outage'))
        if self.lose_appends:
            self.lose_appends -= 1
            return Failure(Unsure('no reply'))
        records = self._streams.setdefault(stream, [])
        records.append(data)
        self._appended.set()
        self._appended = event.Event()
        if self.lose_replies:
            self.lose_replies -= 1
            return Failure(Unsure('no reply'))
        return Success(len(records) - 1)

    def read(
        self, stream: str, from_offset: int, max_records: int, wait_s: float
    ) -> Result[Batch, LogError]:
        """Read records; waits up to `wait_s` seconds while there are none."""
        self.reads += 1
        if self.down:
            return Failure(Unavailable('outage'))
        if from_offset >= len(self._streams.get(stream, [])) and wait_s > 0:
            self._appended.wait(wait_s)
        if self.down:
            return Failure(Unavailable('outage'))
        earliest = self._earliest.get(stream, 0)
        if from_offset < earliest:
            return Failure(Trimmed(earliest))
        end = from_offset + max_records
        texts = self._streams.get(stream, [])[from_offset:end]
        found = tuple(
            LogRecord(from_offset + number, text)
            for number, text in enumerate(texts)
        )
        return Success(Batch(found, from_offset + len(found)))

    def extent(self, stream: str) -> Result[Extent, LogError]:
        """Return the earliest offset of the stream and the next one."""
        self.reads += 1
        if self.down:
            return Failure(Unavailable('outage'))
        return Success(
            Extent(
                self._earliest.get(stream, 0),
                len(self._streams.get(stream, [])),
            )
        )

    def trim(self, stream: str, earliest: int) -> None:
        """Expire all records before an offset."""
        self._earliest[stream] = earliest

    def all_records(self, stream: str) -> list[str]:
        """Return all records ever appended, including expired ones."""
        return list(self._streams.get(stream, []))
