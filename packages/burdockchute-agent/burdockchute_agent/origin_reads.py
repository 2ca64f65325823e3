"""Reads from the weight store, each in a greenlet of its own.

A read can be stopped at any time, so that a copy that is dropped stops using
the store's link at once.

An origin accepts a limited number of connections, often fewer than there are
agents, and resets each further one. If connections were kept open for the
next version, agents that have finished would block those that read later, and
the chunks that these are to read would reach no agent. So a connection is
reused for a read that follows at once, and closed if none does.
"""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol

import gevent
from returns.result import Result

from burdockchute.weights.manifest import Manifest
from burdockchute_agent.events import ManifestRead
from burdockchute_agent.events import OriginRead
from burdockchute_agent.origin_schedule import MANIFEST_INDEX

MAX_IDLE_CLIENTS = 4

# A next read starts within one tick of the copy manager, some 50 ms.
IDLE_CLIENT_S = 0.25


class OriginClient(Protocol):
    """Connections to one origin, used by one greenlet at a time."""

    bytes_read: int

    def manifest(self, digest: str) -> Result:
        """Read a manifest; a returned one matches the digest."""

    def chunk(self, manifest: Manifest, index: int) -> Result:
        """Read one chunk without verifying it."""

    def close(self) -> None:
        """Close all connections."""


class _Read(NamedTuple):
    digest: str
    chunk: int


class OriginReads:
    """All reads in progress; their results go to `report`.

    `last_used` is when a read last ended, in monotonic seconds.
    """

    def __init__(
        self,
        open_origin: Callable[[], OriginClient],
        report: Callable[[object], None],
    ) -> None:
        self.bytes_read = 0
        self._open_origin = open_origin
        self._report = report
        self.last_used = 0.0
        self._idle: list[OriginClient] = []
        self._running: dict[_Read, gevent.Greenlet] = {}

    def read_manifest(self, digest: str) -> None:
        """Start to read a manifest unless that is in progress."""
        self._start(
            _Read(digest, MANIFEST_INDEX), self._run_manifest_read, digest
        )

    def read_chunk(self, manifest: Manifest, index: int) -> None:
        """Start to read a chunk unless that is in progress."""
        read = _Read(manifest.digest, index)
        self._start(read, self._run_chunk_read, manifest, index)

    def stop(self, digest: str) -> None:
        """Stop every read for a digest; none of them reports a result."""
        for read in [read for read in self._running if read.digest == digest]:
            self._running.pop(read).kill(block=False)

    def stop_all(self) -> None:
        """Stop every read and close all connections."""
        for digest in {read.digest for read in self._running}:
            self.stop(digest)
        self._close_idle()

    def close_idle(self, now: float) -> None:
        """Close idle connections that no read has used for IDLE_CLIENT_S."""
        if self._idle and now - self.last_used > IDLE_CLIENT_S:
            self._close_idle()

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _start(self, read: _Read, run: Callable, *args: object) -> None:
        if read not in self._running:
            self._running[read] = gevent.spawn(run, read, *args)

    def _run_manifest_read(self, read: _Read, digest: str) -> None:
        result = self._with_client(lambda client: client.manifest(digest))
        if self._running.pop(read, None):
            self._report(ManifestRead(digest, _value_or_error(result)))

    def _run_chunk_read(
        self, read: _Read, manifest: Manifest, index: int
    ) -> None:
        started_at = time.monotonic()
        result = self._with_client(
            lambda client: client.chunk(manifest, index)
        )
        if self._running.pop(read, None):
            outcome = _value_or_error(result)
            self._report(
                OriginRead(manifest.digest, index, started_at, outcome)
            )

    def _with_client(self, call: Callable[[OriginClient], Result]) -> Result:
        client = self._idle.pop() if self._idle else self._open_origin()
        before = client.bytes_read
        finished = False
        try:
            result = call(client)
            finished = True
        finally:
            # A client that was stopped during a reply can't be reused.
            self.bytes_read += client.bytes_read - before
            self.last_used = time.monotonic()
            if finished and len(self._idle) < MAX_IDLE_CLIENTS:
                self._idle.append(client)
            else:
                client.close()
        return result


def _value_or_error(result: Result) -> Any:
    return result.value_or(None) or result.failure()
