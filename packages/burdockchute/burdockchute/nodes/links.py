"""Links: connections that carry messages between our own processes.

A link has one task that reads its socket and one that writes to it. It
reports events to its owner as messages in the owner's inbox: Opened,
Received and Closed. Closed is the last event of a link.

A connection can go silent permanently while new ones work, because something
between the two ends has lost its state; the kernel then reports no error for
many minutes. Both sides therefore send a heartbeat when they have nothing
else to send, and a link on which nothing arrives for SILENCE_TIMEOUT_S is
closed. Operators see it as `link_closed reason=silent`.

Large messages of a paced link are sent in fragments (`fragments.py`), with
all other messages between the fragments.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import errno
import socket as sockets
import struct
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import queue
from gevent import socket

from burdockchute import wire
from burdockchute.decisions.connection_limits import LinkLimits
from burdockchute.nodes import fragments
from burdockchute.nodes.link_server import LinkServer
from burdockchute.nodes.link_server import shut_down
from burdockchute.nodes.link_server import UnfinishedMessages
from burdockchute.sockets import SilenceTimer
from burdockchute.wire import messages

# Two heartbeats fit into SILENCE_TIMEOUT_S, with a second to spare for a pause
# of the interpreter. Each wakes up both sides, and an entry has 134 links.
HEARTBEAT_S = 2.0
SILENCE_TIMEOUT_S = 5.0
DIAL_TIMEOUT_S = 2.0
PROTOCOL = 1

# A link that can't drain this much is as good as silent: its peer reads
# slower than we write, and a longer queue would let one slow peer exhaust the
# memory of this process.
MAX_QUEUED_BYTES = 32 * 1024 * 1024

# A peer waits for the answer to a fragment, so few are ever queued.
MAX_QUEUED_ANSWERS = 10_000

# Bytes and messages of a link after which other tasks run.
TURN_BYTES = 256 * 1024
TURN_MESSAGES = 256

NOT_READ = 'timed out'

# A Hello has a few hundred bytes.
MAX_HELLO_BYTES = 64 * 1024

_LENGTH = struct.Struct('>I')
_READ_BYTES = 256 * 1024

# Queued in an outbox when a fragment may have become due.
_WAKE = b''


class LinkError(Exception):
    """A link could not be opened, or is closed."""


class Opened(NamedTuple):
    """The link is open: both sides have sent their Hello."""

    link: Link


class Received(NamedTuple):
    """One message of the peer, never a heartbeat or a fragment."""

    link: Link
    message: Any


class Closed(NamedTuple):
    """The link is closed; sent once, and only after Opened."""

    link: Link
    reason: str


Event = Opened | Received | Closed


class _PendingWrite(NamedTuple):
    """A frame to write, and how many of its bytes count as queued."""

    frame: bytes
    queued: int


class Link:
    """One open connection and its two tasks.

    `peer` is the other side's Hello. `send` queues a message and never
    blocks. Messages keep their order, except that smaller ones overtake large
    ones on a paced link. `unfinished` counts what it holds of messages that
    have not arrived whole, for a link that was accepted.
    """

    def __init__(
        self,
        sock: Any,
        peer: messages.Hello,
        inbox: queue.Queue,
        unfinished: UnfinishedMessages | None = None,
    ) -> None:
        self.peer = peer
        self.closed_reason = ''
        self.last_received_at = time.monotonic()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._sock = sock
        self._inbox = inbox
        self._unfinished = unfinished
        # What was read since other tasks could run.
        self._turn_bytes = self._turn_messages = 0
        self._outbox: queue.Queue = queue.Queue()
        self._fragment_queue: fragments.FragmentQueue | None = None
        self._assembler = fragments.FragmentAssembler()
        self._queued_bytes = 0
        self._table_offset: Callable[[], int] = lambda: -1
        self._sequence = 0
        self._written_at = time.monotonic()
        self._is_writing = False
        self._silence = SilenceTimer(
            SILENCE_TIMEOUT_S, lambda: self.close('silent')
        )
        self._tasks: list[gevent.Greenlet] = []

    def start(self, table_offset: Callable[[], int]) -> None:
        """Report the link as open to its owner and start both tasks."""
        self._table_offset = table_offset
        self._inbox.put(Opened(self))
        self._tasks = [gevent.spawn(self._read), gevent.spawn(self._write)]

    @property
    def queued_bytes(self) -> int:
        """The number of bytes that are queued and not yet written."""
        return self._queued_bytes

    def pace(self, pace: fragments.Pace) -> None:
        """Send large messages in fragments, if the peer supports them."""
        if self.peer.fragments:
            self._fragment_queue = fragments.FragmentQueue(pace)

    def is_slow(self, now: float) -> bool:
        """Whether a paced link is sent more than it transfers."""
        return (
            self._fragment_queue is not None
            and self._fragment_queue.is_slow(now)
        )

    def send(self, message: Any) -> None:
        """Queue a message; raises LinkError if the link is closed."""
        self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue a result of `encode_frame`, to encode once for many links.

        Raises LinkError if the link is closed or its queue is full.
        """
        if self.closed_reason:
            raise LinkError(f'link is closed: {self.closed_reason}')
        is_large = self._fragment_queue is not None and (
            len(frame) > fragments.FRAGMENT_BYTES
        )
        self._queued_bytes += len(frame) - (_LENGTH.size if is_large else 0)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close('peer reads too slowly')
            raise LinkError('peer reads too slowly')
        if self._fragment_queue is not None and is_large:
            self._fragment_queue.add(frame[_LENGTH.size :])
            self._outbox.put(_WAKE)
        elif (
            self._fragment_queue is None
            and not self._is_writing
            and self._outbox.empty()
        ):
            self._write_at_once(frame)
        else:
            self._outbox.put(frame)

    def close(self, reason: str) -> None:
        """Close the link; messages still queued may be lost."""
        if self.closed_reason:
            return
        self.closed_reason = reason
        self._silence.stop()
        if self._unfinished is not None:
            self._unfinished.set(self, 0)
        self._outbox.put(None)
        shut_down(self._sock)
        self._inbox.put(Closed(self, reason))

    def wait_closed(self) -> None:
        """Wait until both tasks of the link have ended."""
        gevent.joinall(self._tasks)

    def flush(self, timeout: float) -> bool:
        """Wait until all queued messages are written.

        False after `timeout` seconds, or if the link is closed.
        """
        deadline = time.monotonic() + timeout
        while self._queued_bytes and not self.closed_reason:
            if time.monotonic() > deadline:
                return False
            gevent.sleep(0.005)
        return not self.closed_reason

    def _read(self) -> None:
        try:
            # A timeout of the socket would create a timer for each read.
            self._sock.settimeout(None)
            self._silence.start()
            for message in _read_messages(self._sock, self._count_received):
                if self.closed_reason:
                    # It was closed while other tasks ran.
                    return
                self.last_received_at = time.monotonic()
                self._dispatch(message)
                self._turn_messages += 1
                self._give_way()
            self.close('closed by peer')
        except TimeoutError:
            self.close('silent')
        except (OSError, wire.WireError, LinkError, MemoryError) as exc:
            self.close(str(exc) or type(exc).__name__)
        finally:
            # The owner waits for Closed, whatever has ended this task.
            self.close('reading failed')

    def _dispatch(self, message: Any) -> None:
        match message:
            case messages.Heartbeat():
                pass
            case messages.Fragment():
                if self.closed_reason:
                    return
                if self._outbox.qsize() > MAX_QUEUED_ANSWERS:
                    raise LinkError('peer does not read what it asks for')
                self.send(messages.FragmentTaken())
                data = self._assembler.add(message)
                if data is not None:
                    self._inbox.put(Received(self, wire.decode(data)))
            case messages.FragmentTaken():
                if self._fragment_queue is not None:
                    self._fragment_queue.on_acknowledged(time.monotonic())
                    self._outbox.put(_WAKE)
            case _:
                self._inbox.put(Received(self, message))

    def _count_received(self, received: int, buffered: int) -> None:
        self.bytes_received += received
        self._turn_bytes += received
        self._silence.note_activity()
        if self._unfinished is not None and not self.closed_reason:
            self._unfinished.set(self, buffered + self._assembler.size)
        self._give_way()

    def _give_way(self) -> None:
        """Let other tasks run now and then, also if more was received."""
        if (
            self._turn_messages >= TURN_MESSAGES
            or self._turn_bytes >= TURN_BYTES
        ):
            self._turn_bytes = self._turn_messages = 0
            gevent.sleep(0)

    def _write_at_once(self, frame: bytes) -> None:
        # Most frames fit into the buffer of the socket, and waking up the
        # task that writes costs more than writing.
        try:
            sent = self._sock.send(frame, timeout=0.0)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            self.close(str(exc))
            return
        if sent:
            self._written_at = time.monotonic()
            self._queued_bytes -= sent
            self.bytes_sent += sent
        if sent < len(frame):
            self._outbox.put(frame[sent:])

    def _write(self) -> None:
        try:
            self._write_until_closed()
        finally:
            self.close('writing failed')

    def _write_until_closed(self) -> None:
        while not self.closed_reason:
            pending = self._next_write()
            if pending is None:
                return
            if not pending.frame:
                continue
            self._is_writing = True
            try:
                with gevent.Timeout(SILENCE_TIMEOUT_S, TimeoutError(NOT_READ)):
                    self._sock.sendall(pending.frame)
            except OSError as exc:
                self.close(str(exc))
                return
            self._is_writing = False
            self._written_at = time.monotonic()
            self._queued_bytes -= pending.queued
            self.bytes_sent += len(pending.frame)

    def _next_write(self) -> _PendingWrite | None:
        """Wait for the next frame to write; None once the link is closed.

        Fragments are sent only while no other message is queued.
        """
        now = time.monotonic()
        deadline = self._written_at + HEARTBEAT_S
        if self._fragment_queue is not None and self._outbox.empty():
            wait_s = self._fragment_queue.wait_s(now)
            if wait_s == 0.0:
                fragment = self._fragment_queue.pop(now)
                return _PendingWrite(
                    encode_frame(fragment), len(fragment.data)
                )
            if wait_s is not None:
                deadline = min(deadline, now + wait_s)
        try:
            frame = self._outbox.get(timeout=max(0.0, deadline - now))
        except queue.Empty:
            if time.monotonic() - self._written_at < HEARTBEAT_S:
                return _PendingWrite(_WAKE, 0)
            self._sequence += 1
            heartbeat = messages.Heartbeat(
                self._sequence, self._table_offset()
            )
            return _PendingWrite(encode_frame(heartbeat), 0)
        return None if frame is None else _PendingWrite(frame, len(frame))


def dial(
    address: str,
    port: int,
    hello: messages.Hello,
    inbox: queue.Queue,
    table_offset: Callable[[], int],
) -> Link:
    """Open a link to another process of this system; raises LinkError."""
    try:
        sock = socket.create_connection((address, port), DIAL_TIMEOUT_S)
        return _handshake(sock, hello, inbox, table_offset)
    except (
        OSError,
        ValueError,
        OverflowError,
        RuntimeError,
        wire.WireError,
    ) as exc:
        # Some names and ports raise no OSError, such as `a..b` and 65536, and
        # neither does a look-up where no thread can be started.
        raise LinkError(f'{address}:{port}: {exc}') from exc


def make_server(
    address: str,
    port: int,
    hello: Callable[[], messages.Hello],
    inbox: queue.Queue,
    table_offset: Callable[[], int],
    limits: LinkLimits = LinkLimits(),  # noqa: B008
) -> LinkServer:
    """Return a server that is not started and accepts links at an address.

    The address is bound exclusively, so that a second agent of the same
    instance fails at its start instead of sharing the upstream.
    """

    def accept(sock: Any, _peer_address: Any) -> None:
        try:
            link = _handshake(
                sock, hello(), inbox, table_offset, listener.unfinished
            )
            listener.opened(sock)
            # The server closes the socket once this function returns.
            link.wait_closed()
        except (OSError, wire.WireError):
            shut_down(sock)

    listener = LinkServer((address, port), accept, limits)
    return listener


def listen(
    address: str,
    port: int,
    hello: Callable[[], messages.Hello],
    inbox: queue.Queue,
    table_offset: Callable[[], int],
) -> LinkServer:
    """Accept links at an address; raises LinkError if it is in use."""
    listener = make_server(address, port, hello, inbox, table_offset)
    try:
        listener.start()
    except OSError as exc:
        if exc.errno == errno.EADDRINUSE:
            raise LinkError(f'{address}:{port} is in use') from exc
        raise LinkError(f'{address}:{port}: {exc}') from exc
    return listener


def _handshake(
    sock: Any,
    hello: messages.Hello,
    inbox: queue.Queue,
    table_offset: Callable[[], int],
    unfinished: UnfinishedMessages | None = None,
) -> Link:
    sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
    sock.settimeout(DIAL_TIMEOUT_S)
    # The timeout of the socket starts anew with each byte.
    with gevent.Timeout(SILENCE_TIMEOUT_S, TimeoutError('no hello in time')):
        sock.sendall(encode_frame(hello))
        peer = _read_message(sock, MAX_HELLO_BYTES)
    if not isinstance(peer, messages.Hello):
        raise wire.WireError(f'got {type(peer).__name__} in place of Hello')
    if peer.protocol != PROTOCOL:
        raise wire.WireError(f'protocol {peer.protocol!r} is not {PROTOCOL!r}')
    link = Link(sock, peer, inbox, unfinished)
    link.start(table_offset)
    return link


def encode_frame(message: Any) -> bytes:
    """Return a message as it is sent: its length and its encoding."""
    data = wire.encode(message)
    return _LENGTH.pack(len(data)) + data


def _read_message(sock: Any, max_bytes: int) -> Any:
    # Bytes after the first frame are left for the task that reads the link.
    header = _read_exactly(sock, _LENGTH.size)
    return wire.decode(_read_exactly(sock, _parse_length(header, max_bytes)))


def _read_exactly(sock: Any, size: int) -> bytes:
    data = b''
    while len(data) < size:
        received = sock.recv(size - len(data))
        if not received:
            raise OSError('connection closed before hello')
        data += received
    return data


def _read_messages(
    sock: Any, count: Callable[[int, int], None]
) -> Iterator[Any]:
    buffer = bytearray()
    while True:
        while len(buffer) >= _LENGTH.size:
            end = _LENGTH.size + _parse_length(buffer[: _LENGTH.size])
            if len(buffer) < end:
                break
            yield wire.decode(bytes(memoryview(buffer)[_LENGTH.size : end]))
            del buffer[:end]
        data = sock.recv(_READ_BYTES)
        if not data:
            return
        buffer += data
        count(len(data), len(buffer))


def _parse_length(
    header: bytes | bytearray, max_bytes: int = wire.MAX_FRAME_BYTES
) -> int:
    (length,) = _LENGTH.unpack(header)
    if length > max_bytes:
        raise wire.WireError(f'frame of {length!r} bytes is too long')
    return length


def traffic(open_links: Iterable[Link]) -> dict[str, int]:
    """Return the number of open links and their bytes, for status pages."""
    counted = list(open_links)
    return {
        'open': len(counted),
        'bytes_sent': sum(link.bytes_sent for link in counted),
        'bytes_received': sum(link.bytes_received for link in counted),
    }
