"""The bodies of callers' requests, read up to their ends but not beyond."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import math
from typing import Any

import gevent
from gevent import pywsgi

# Up to this much of an unread body is discarded, so that its connection can
# be reused.
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 1.0


def check_framing(headers: Any) -> None:
    """Check how the length of a body is given; raises ValueError."""
    # If two ends disagree on the length of a body, a second request can be
    # hidden inside it (request smuggling), so such a request is refused.
    encodings = headers.get_all('transfer-encoding') or []
    lengths = headers.get_all('content-length') or []
    if encodings and (len(encodings) > 1 or encodings[0].lower() != 'chunked'):
        raise ValueError(f'transfer-encoding {encodings!r} is not chunked')
    if len(lengths) > 1 or (encodings and lengths):
        raise ValueError('the length of the body is given twice')
    if lengths and not lengths[0].strip().isdigit():
        raise ValueError(f'content-length {lengths[0]!r} is no size')


class BoundedInput(pywsgi.Input):
    """A request body; what a refused request leaves of it is not read.

    `receiving` is the context of a read. `is_abandoned` is set once the
    connection is about to be closed.
    """

    __slots__ = ('receiving', 'is_abandoned')

    def __init__(
        self,
        receiving: Callable[[], contextlib.AbstractContextManager[None]],
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.receiving = receiving
        self.is_abandoned = False

    def read(self, length: int | None = None) -> bytes:
        """Read up to `length` bytes of the body."""
        if not self.unread():
            return b''
        with self.receiving():
            return super().read(length)

    def unread(self) -> bool:
        """Whether part of the body has not been read from the connection."""
        return self.unread_bytes() > 0

    def unread_bytes(self) -> float:
        """Return what has not been read; infinity if it is not known."""
        if self.chunked_input:
            return math.inf if self.chunk_length != 0 else 0
        return max(0, (self.content_length or 0) - self.position)

    def _discard(self) -> None:
        # The server would read what the application left unread, to find the
        # start of the next request. For a body that was refused as too long
        # or too slow, that is the work which the refusal was meant to save,
        # so the connection is closed instead.
        if self.is_abandoned or self.chunked_input:
            return
        self.receiving = contextlib.nullcontext
        if self.unread_bytes() > MAX_DISCARD_BYTES:
            return
        with gevent.Timeout(
            DISCARD_TIMEOUT_S, OSError('body was not received in time')
        ):
            super()._discard()


def bounded_input(
    other: pywsgi.Input,
    receiving: Callable[[], contextlib.AbstractContextManager[None]],
) -> BoundedInput:
    """Return the body of a request that gevent's server has opened."""
    return BoundedInput(
        receiving,
        other.rfile,
        other.content_length,
        socket=other.socket,
        chunked_input=other.chunked_input,
    )
