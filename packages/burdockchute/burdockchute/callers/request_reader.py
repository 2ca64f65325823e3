"""Reads requests from a connection, within limits of bytes and of time.

A head is held until it is complete and then parsed at once, so what a head
costs is bounded by its bytes. The parser is llhttp, which is strict about
what separates one request from the next.
"""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import Any
from typing import NamedTuple

import gevent
import httptools

# What one read of a connection may return; it is held if requests are sent in
# a row.
RECEIVE_BYTES = 8 * 1024

# Bytes of a connection after which other tasks run, also if more have been
# received, and requests, also if their answers needed no waiting.
TURN_BYTES = 64 * 1024
TURN_REQUESTS = 4

MAX_HEADERS = 100
VERSIONS = ('1.0', '1.1')

# What may separate the data of two chunks: the length, extensions, trailers.
MAX_CHUNK_FRAMING_BYTES = 16 * 1024

_END_OF_HEAD = b'\r\n\r\n'
# A message in chunks ends with an empty line.
_EMPTY_LINE = b'\n\r\n'
_BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')


class RequestError(ValueError):
    """A request that is refused by the server, and its status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class BrokenBody(OSError):  # noqa: N818
    """The rest of a body is missing or is not in the protocol."""


class Head(NamedTuple):
    """The head of a request.

    `headers` are as received. `body_bytes` is the length of the body, None
    for chunks.
    """

    method: str
    target: str
    version: str
    headers: list[tuple[str, str]]
    keeps_connection: bool
    body_bytes: int | None


class RequestReader:
    """Reads the requests of one connection, one after another.

    `on_held` is called with each change of the number of bytes that were
    received and are not used yet.
    """

    def __init__(
        self, sock: Any, on_held: Callable[[int], None] = lambda _count: None
    ) -> None:
        self._sock = sock
        self._on_held = on_held
        self._held = bytearray()
        # What was read since other tasks could run.
        self._turn_bytes = 0
        self._turn_requests = 0
        self._chunks: _Message | None = None
        self._decoded = bytearray()
        self._framing_bytes = 0
        self._fed_end = b''

    @property
    def held_bytes(self) -> int:
        """The number of bytes that were received and are not used yet."""
        return len(self._held)

    def close(self) -> None:
        """Give up what is held."""
        self._drop(len(self._held))

    def begin_request(self) -> None:
        """Let other tasks run after some requests of this connection."""
        self._turn_requests += 1
        if self._turn_requests >= TURN_REQUESTS:
            self._give_way()

    def wait(self) -> bool:
        """Wait for a request; False if the connection was closed."""
        return bool(self._held) or self._receive(RECEIVE_BYTES)

    def receive_at_once(self) -> int:
        """Return `held_bytes` after a read that doesn't wait.

        Raises OSError for a connection that has been reset.
        """
        if not self._held:
            before = self._sock.gettimeout()
            self._sock.settimeout(0.0)
            try:
                self._receive(RECEIVE_BYTES)
            except BlockingIOError:
                pass
            finally:
                self._sock.settimeout(before)
        return len(self._held)

    def read_head(self, max_bytes: int) -> Head:
        """Read a head of up to `max_bytes`, with empty lines before it.

        Raises RequestError for a head that is refused, and ConnectionError
        if the connection was closed before its end.
        """
        skipped = scanned = 0
        while True:
            if not scanned:
                empty = len(self._held) - len(self._held.lstrip(b'\r\n'))
                skipped += empty
                self._drop(empty)
            left = max_bytes - skipped
            end = self._held.find(_END_OF_HEAD, max(0, scanned - 3))
            size = end + len(_END_OF_HEAD)
            if _BARE_LINE_FEED.search(
                self._held, scanned, size if end >= 0 else len(self._held)
            ):
                raise RequestError(400, 'a line of the head ends without CR')
            if end >= 0 and size <= left:
                head = bytes(self._held[:size])
                self._drop(size)
                return self._parse_head(head)
            if end >= 0 or len(self._held) >= left:
                raise self._too_long(max_bytes, left)
            scanned = len(self._held)
            if not self._receive(min(RECEIVE_BYTES, left - scanned)):
                raise ConnectionResetError('closed within a head')

    def read_body(self, count: int) -> bytes:
        """Read 1 to `count` bytes of a body that has a length.

        Raises BrokenBody if the connection was closed.
        """
        if self._held:
            data = bytes(self._held[:count])
            self._drop(len(data))
            return data
        data = self._sock.recv(min(count, TURN_BYTES))
        if not data:
            raise BrokenBody('closed within a body')
        self._count_turn(len(data))
        return data

    def read_chunks(self, count: int) -> bytes:
        """Read up to `count` bytes of a body in chunks, empty at its end.

        Raises BrokenBody if the rest of the body is missing or invalid.
        """
        assert self._chunks is not None
        while not self._decoded and not self._chunks.is_complete:
            if not self._held and not self._receive(RECEIVE_BYTES):
                raise BrokenBody('closed within a body')
            self._decode_chunks(self._chunks)
        data = bytes(self._decoded[:count])
        del self._decoded[:count]
        return data

    def _too_long(self, max_bytes: int, left: int) -> RequestError:
        if not self._held:
            return RequestError(400, 'only empty lines')
        is_line = self._held.find(b'\r\n', 0, left) < 0
        return RequestError(
            414 if is_line else 431,
            f'the head is longer than {max_bytes!r} bytes',
        )

    def _parse_head(self, head: bytes) -> Head:
        message = _Message(self._decoded.extend)
        parser = message.parser
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            # Such a request is served like any other.
            pass
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, RequestError):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise RequestError(400, str(exc)) from exc
        headers = [
            (name.decode('latin-1'), value.decode('latin-1').rstrip(' \t'))
            for name, value in message.headers
        ]
        version = parser.get_http_version()
        if version not in VERSIONS:
            raise RequestError(400, f'HTTP/{version} is not served')
        body_bytes = _body_bytes(headers)
        method = parser.get_method().decode('latin-1')
        if method == 'HEAD' and body_bytes != 0:
            raise RequestError(400, 'HEAD has a body')
        if body_bytes is None:
            self._chunks = message
            self._framing_bytes = 0
            self._fed_end = b''
            message.is_in_body = True
        return Head(
            method,
            message.target.decode('latin-1'),
            f'HTTP/{version}',
            headers,
            message.keeps_connection,
            body_bytes,
        )

    def _decode_chunks(self, message: _Message) -> None:
        """Decode what is held, up to the end of the body."""
        known = len(self._fed_end)
        text = self._fed_end + self._held
        before = len(self._decoded)
        at = known
        try:
            while at < len(text) and not message.is_complete:
                # What follows the body must not be fed, as the parser can't
                # tell how much of it is left.
                end = text.find(_EMPTY_LINE, max(0, at - 2))
                end = len(text) if end < 0 else end + len(_EMPTY_LINE)
                start, at = at, end
                message.parser.feed_data(text[start:end])
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError as exc:
            raise BrokenBody(f'invalid chunks: {exc}') from exc
        finally:
            self._fed_end = text[max(0, at - 2) : at]
            self._drop(at - known)
        if len(self._decoded) > before:
            self._framing_bytes = 0
        self._framing_bytes += at - known
        if self._framing_bytes > MAX_CHUNK_FRAMING_BYTES:
            raise BrokenBody('too many bytes between chunks')

    def _receive(self, count: int) -> bool:
        data = self._sock.recv(count)
        if not data:
            return False
        self._held += data
        self._on_held(len(data))
        self._count_turn(len(data))
        return True

    def _drop(self, count: int) -> None:
        if count:
            del self._held[:count]
            self._on_held(-count)

    def _count_turn(self, count: int) -> None:
        self._turn_bytes += count
        if self._turn_bytes >= TURN_BYTES:
            self._give_way()

    def _give_way(self) -> None:
        self._turn_bytes = self._turn_requests = 0
        gevent.sleep(0)


class _Message:
    """Receives the parts of one request from the parser."""

    def __init__(self, on_body: Callable[[bytes], None]) -> None:
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.keeps_connection = False
        # Headers are trailers then, which nobody needs.
        self.is_in_body = False
        self.on_body = on_body
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self.is_in_body:
            return
        if len(self.headers) >= MAX_HEADERS:
            raise RequestError(431, f'more than {MAX_HEADERS!r} headers')
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note what the parser forgets at the end of the request."""
        self.keeps_connection = self.parser.should_keep_alive()

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.is_complete = True


def _body_bytes(headers: list[tuple[str, str]]) -> int | None:
    """Return the length of the body; raises RequestError if it is unclear."""
    # If two ends disagree on the length of a body, a second request can be
    # hidden inside it (request smuggling), so such a request is refused.
    encodings = [v for k, v in headers if k.lower() == 'transfer-encoding']
    lengths = [v for k, v in headers if k.lower() == 'content-length']
    if encodings and (len(encodings) > 1 or encodings[0].lower() != 'chunked'):
        raise RequestError(
            400, f'transfer-encoding {encodings!r:.60} is not chunked'
        )
    if len(lengths) > 1 or (encodings and lengths):
        raise RequestError(400, 'the length of the body is given twice')
    if encodings:
        return None
    if not lengths:
        return 0
    if not (lengths[0].isascii() and lengths[0].isdigit()):
        raise RequestError(
            400, f'content-length {lengths[0]!r:.60} is no size'
        )
    return int(lengths[0])
