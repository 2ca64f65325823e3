"""What the server for callers and its applications share.

An application finds more than WSGI names in the environment of a request,
under the keys of this module.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from http import client
from typing import Any

from burdockchute.decisions import statuses
from burdockchute.sockets import closed_by_peer

# Retry-After of a request refused during shutdown; another process accepts it.
SHUTDOWN_RETRY_S = 0.05

SOCKET_KEY = 'burdockchute.socket'
# The request target and the headers as received; the server's own form of
# them has lost escapes and the case of names.
TARGET_KEY = 'burdockchute.target'
HEADERS_KEY = 'burdockchute.headers'
# Tells whether the caller has sent another request already (pipelining).
NEXT_REQUEST_KEY = 'burdockchute.next_request'
# A WriteWatch that the application may set.
WRITE_WATCH_KEY = 'burdockchute.write_watch'


class ReadingEnded(Exception):  # noqa: N818
    """No more of a request is read; its caller may return after a time."""

    def __init__(
        self, reason: str, retry_after_s: float = SHUTDOWN_RETRY_S
    ) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


def status_line(status: int) -> str:
    """Return an HTTP status code with its reason phrase.

    Raises ValueError for a status that no answer has.

    >>> status_line(429)
    '429 Too Many Requests'
    """
    if not statuses.is_final(status):
        raise ValueError(f'{status!r} is no status of an answer')
    return f'{status} {client.responses.get(status, "Unknown")}'


def has_next_request(environ: dict[str, Any]) -> bool:
    """Whether a part of the caller's next request has been received.

    The connection is kept then, so that this request has an answer, too.
    """
    has_next = environ.get(NEXT_REQUEST_KEY)
    return has_next is not None and bool(has_next())


def caller_disconnected(environ: dict[str, Any]) -> bool:
    """Whether the caller has closed its connection.

    A task that waits for an answer writes nothing and would not notice, and
    the upstream would go on producing an answer that nobody reads.
    """
    sock = environ.get(SOCKET_KEY)
    return sock is not None and closed_by_peer(sock)


class ResponseBody:
    """A response body; the server closes it once it has been written."""

    def __init__(
        self, parts: Iterable[bytes], on_written: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._on_written = on_written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and report that nothing more is written."""
        try:
            close = getattr(self._parts, 'close', None)
            if close is not None:
                close()
        finally:
            self._on_written()


class WriteWatch:
    """Is told of writes to a caller that block; subclasses act on it.

    With one of these in the environment of a request, the time limit of a
    write counts from when the caller last read something, so that an answer
    that is still being read is not broken off.
    """

    def on_blocked(self, left: int) -> None:
        """Take note that `left` bytes can't be written at present."""

    def on_sent(self, count: int) -> None:
        """Take note that `count` of these bytes have been written."""
