"""The bodies of callers' requests, read up to their ends but not beyond."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import math
from typing import Any

import gevent

from burdockchute.callers.request_reader import RequestReader

# Up to this much of an unread body is discarded, so that its connection can
# be reused.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 1.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestBody:
    """A request body; what a refused request leaves of it is not read.

    `size` is its length, None if it is sent in chunks. `receiving` is the
    context of a read. `waiting_caller` is the socket of a caller that sends
    the body once it is told to.
    """

    def __init__(
        self,
        reader: RequestReader,
        size: int | None,
        receiving: Callable[[], contextlib.AbstractContextManager[None]],
        waiting_caller: Any = None,
    ) -> None:
        # Set once the connection is about to be closed.
        self.is_abandoned = False
        self._reader = reader
        self._in_chunks = size is None
        self._left = math.inf if size is None else size
        self._received = 0
        self._receiving = receiving
        self._waiting_caller = waiting_caller

    def read(self, count: int | None = None) -> bytes:
        """Read up to `count` bytes of the body, all of it with None."""
        if not self.unread():
            return b''
        with self._receiving():
            self._tell_caller()
            return self._read(math.inf if count is None else count)

    def unread(self) -> bool:
        """Whether part of the body has not been read from the connection."""
        return self._left > 0

    def unread_bytes(self) -> float:
        """Return what has not been read; infinity if it is not known."""
        return self._left

    def counted_bytes(self) -> int:
        """Return what an account of bodies has of it at least.

        That is its length, and for chunks what has been read.
        """
        return self._received if self._in_chunks else int(self._left)

    # The base class of the handler calls it at the end of a request.
    def _discard(self) -> None:
        """Read what the application left unread, if that is little.

        For a body that was refused as too long or too slow, that is the work
        which the refusal was meant to save, so the connection is closed.
        """
        if self.is_abandoned or self.unread_bytes() > MAX_DISCARD_BYTES:
            return
        if self._waiting_caller is not None:
            return
        with gevent.Timeout(
            DISCARD_TIMEOUT_S, OSError('body was not received in time')
        ):
            self._read(math.inf)

    def _tell_caller(self) -> None:
        if self._waiting_caller is not None:
            self._waiting_caller.sendall(_CONTINUE)
            self._waiting_caller = None

    def _read(self, count: float) -> bytes:
        body = bytearray()
        while self._left > 0 and len(body) < count:
            wanted = int(min(count - len(body), self._left, 1 << 30))
            if self._in_chunks:
                part = self._reader.read_chunks(wanted)
                if not part:
                    self._left = 0
            else:
                part = self._reader.read_body(wanted)
                self._left -= len(part)
            body += part
            self._received += len(part)
        return bytes(body)
