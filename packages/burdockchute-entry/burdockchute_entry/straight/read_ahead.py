"""Reads a stream on while its caller reads slowly.

As long as the caller keeps up, its greenlet reads and writes in turn. Once a
write to the caller blocks, a greenlet of its own reads the rest of the stream
into a buffer, as far as the memory account allows, and the caller's greenlet
writes from there. So the upstream is not kept waiting by the caller, and
streams whose callers keep up cost nothing more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator

import gevent
from gevent import event as events

from burdockchute import logs
from burdockchute.callers.environment import WriteWatch
from burdockchute_entry.straight.memory_account import Holding
from burdockchute_entry.straight.memory_account import Use

# Buffered events are joined up to this size, so that a caller that reads on
# gets them with few writes.
MAX_WRITE_BYTES = 64 * 1024

# Interval at which a reader that was stopped asks again, for example because
# other streams have read less since.
STOPPED_POLL_S = 0.25


class ReadAhead(WriteWatch):
    """One stream to a caller whose writes are watched.

    `read_at` is when the caller last read something.
    """

    def __init__(
        self,
        parts: Generator[bytes, None, None],
        holding: Holding,
        request_id: str,
        now: Callable[[], float],
    ) -> None:
        self.read_at = now()
        self._parts = parts
        self._holding = holding
        self._request_id = request_id
        self._now = now
        self._greenlet: gevent.Greenlet | None = None
        self._buffer: deque[bytes] = deque()
        self._buffered = 0
        # Whether the caller waits for events as it has read all others.
        self._caught_up = False
        self._started = False
        self._finished = False
        self._error: BaseException | None = None
        # Set when the buffer has changed; there is one waiter for each.
        self._arrived = events.Event()
        self._woken = events.Event()

    def parts(self) -> Iterator[bytes]:
        """Yield the parts of the stream; raises what reading them raises."""
        for part in self._parts:
            yield part
            if self._greenlet is not None:
                yield from self._buffered_parts()
                return
        self._finished = True

    def close(self) -> None:
        """Stop reading, which also closes the parts."""
        self._finished = True
        self._holding.account.readers.discard(self)
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if not self._started:
            self._parts.close()

    # The caller's connection.

    def on_blocked(self, left: int) -> None:
        """Read ahead from now on."""
        self._holding.take(Use.EVENTS, left)
        if self._greenlet is None and not self._finished:
            # Until now the caller has read everything.
            self.read_at = self._now()
            self._holding.account.readers.add(self)
            self._greenlet = gevent.spawn(self._read)
            logs.event(
                'stream_read_ahead', request_id=self._request_id, unsent=left
            )

    def on_sent(self, count: int) -> None:
        """Record that the caller has read on after a write had blocked."""
        self.read_at = self._now()
        self._holding.give_back(Use.EVENTS, count)

    def wake(self) -> None:
        """Ask again whether the stream may be read ahead."""
        self._woken.set()

    # The caller's greenlet.

    def _buffered_parts(self) -> Iterator[bytes]:
        while True:
            while self._buffer:
                part = self._take_part()
                self._woken.set()
                yield part
            if self._finished:
                if self._error is not None:
                    raise self._error
                return
            self.read_at = self._now()
            self._arrived.clear()
            self._caught_up = True
            self._woken.set()
            self._arrived.wait()

    def _take_part(self) -> bytes:
        size = 0
        parts: list[bytes] = []
        while self._buffer and (
            not parts or size + len(self._buffer[0]) <= MAX_WRITE_BYTES
        ):
            parts.append(self._buffer.popleft())
            size += len(parts[-1])
        self._buffered -= size
        self._holding.give_back(Use.EVENTS, size)
        return parts[0] if len(parts) == 1 else b''.join(parts)

    # The greenlet that reads ahead.

    def _read(self) -> None:
        self._started = True
        try:
            while self._wait_until_allowed():
                part = next(self._parts, None)
                if part is None or self._finished:
                    break
                self._buffer.append(part)
                self._buffered += len(part)
                self._caught_up = False
                self._holding.take(Use.EVENTS, len(part))
                self._arrived.set()
        except Exception as exc:
            # The caller gets it after the events that came before it.
            self._error = exc
        finally:
            self._parts.close()
            self._finished = True
            self._holding.account.readers.discard(self)
            self._arrived.set()

    def _wait_until_allowed(self) -> bool:
        """Wait until the stream may be read on; false once it is closed."""
        account = self._holding.account
        while not self._finished:
            if self._caught_up or account.may_read_ahead(self, self._buffered):
                return True
            self._woken.clear()
            self._woken.wait(STOPPED_POLL_S)
        return False
