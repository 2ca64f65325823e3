"""Counts what a listener refuses before a request reaches the application.

A crowd of clients would otherwise write a line each: there is one for each
cause and interval.
"""

from __future__ import annotations

import collections
import time

from burdockchute import logs

LOG_INTERVAL_S = 10.0

# Clients choose what the reason of a refusal quotes.
MAX_REASON_CHARS = 120


class Refusals:
    """The refusals of one listener by cause, since the start."""

    def __init__(self, listener: str) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.listener = listener
        self._logged: dict[str, tuple[float, int]] = {}

    def add(self, cause: str, client: str, reason: str = '') -> None:
        """Count a refusal; log it unless one like it was logged lately."""
        self.counts[cause] += 1
        now = time.monotonic()
        logged_at, logged_count = self._logged.get(cause, (float('-inf'), 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[cause] = now, self.counts[cause]
        logs.event(
            'clients_refused',
            listener=self.listener,
            cause=cause,
            count=self.counts[cause] - logged_count,
            client=client,
            reason=reason[:MAX_REASON_CHARS],
        )
