"""Asks the store for entries that it does not answer."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

import gevent

from burdockchute.model.store_probes import LogEnd
from burdockchute.nodes import links
from burdockchute.wire import messages

# Each call of the store costs the operators. All entries ask at about the same
# time when the store is away.
REUSE_S = 0.3

NO_ANSWER = -1


class _Query(NamedTuple):
    link: links.Link
    sent_us: int
    received_at: float


class StoreQueries:
    """Answers each query with one read of the store for all that wait.

    `read_end` returns the end of the log, None if the store does not answer.
    """

    def __init__(
        self,
        read_end: Callable[[], LogEnd | None],
        send: Callable[[links.Link, messages.StoreReport], None],
        now: Callable[[], float],
    ) -> None:
        self._read_end = read_end
        self._send = send
        self._now = now
        self._waiting: list[_Query] = []
        self._is_reading = False
        self._end: LogEnd | None = None
        self._read_at = float('-inf')

    def on_query(self, link: links.Link, message: messages.StoreQuery) -> None:
        """Answer an entry's query, at once or after the next read."""
        now = self._now()
        query = _Query(link, message.sent_us, now)
        if now - self._read_at < REUSE_S and not self._is_reading:
            self._report(query)
            return
        self._waiting.append(query)
        if not self._is_reading:
            self._is_reading = True
            gevent.spawn(self._read)

    def _read(self) -> None:
        read_at = self._now()
        self._end = None
        try:
            self._end = self._read_end()
        finally:
            self._is_reading = False
            self._read_at = read_at
            waiting, self._waiting = self._waiting, []
        for query in waiting:
            self._report(query)

    def _report(self, query: _Query) -> None:
        age_s = max(0.0, query.received_at - self._read_at)
        end = self._end
        self._send(
            query.link,
            messages.StoreReport(
                sent_us=query.sent_us,
                era=end.era if end else 0,
                end=end.offset if end else NO_ANSWER,
                age_ms=math.ceil(age_s * 1000),
            ),
        )
