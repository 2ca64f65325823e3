"""How many connections of clients a process holds, and what they may hold.

A part of the memory and of the descriptors of a process is for connections
that anyone can open. The rest is kept for bodies and answers
(`memory_budget`) and for the process's own work: its store, upstreams, agents
and files.
"""

from __future__ import annotations

from typing import NamedTuple

# Greenlet, socket, parser and the bytes of one read of a connection.
CONNECTION_BYTES = 24 * 1024

# Limit of what the system receives for a connection before it is read, which
# Linux doubles. It is raised while a body is read that there is memory for.
RECEIVE_BUFFER_BYTES = 16 * 1024
BODY_BUFFER_BYTES = 128 * 1024

_BYTES_EACH = CONNECTION_BYTES + 2 * RECEIVE_BUFFER_BYTES

# Limit of what the system receives for a link, which Linux doubles: 10 MB/s
# where an answer takes 6 ms.
LINK_BUFFER_BYTES = 32 * 1024

# The two greenlets of a link, its socket and what the system holds for it.
LINK_BYTES = 64 * 1024 + 2 * LINK_BUFFER_BYTES

# Shares of the memory left at the start of serving, beside `memory_budget`.
CONNECTIONS_SHARE = 0.3
HEADS_SHARE = 0.06
LINKS_MEMORY_SHARE = 0.2

# Descriptors for files and for connections that the process opens itself.
OWN_DESCRIPTORS = 200
CALLERS_SHARE = 0.5
LINKS_SHARE = 0.25

# Connections above the limit whose callers can still read their refusals.
MAX_CLOSING = 8

MIN_CONNECTIONS = 16
MIN_LINKS = 64
MIN_HEADS_BYTES = 256 * 1024

# Connections to ports for metrics and health; balancers and scrapers need one
# or two each.
ADMIN_CONNECTIONS = 32
ADMIN_HEADS_BYTES = 256 * 1024
ADMIN_HEAD_BYTES = 8 * 1024

# A head or an idle connection is given this much longer than operators
# state, as their clients measure from their own end.
TIMEOUT_MARGIN_S = 2.0

DEFAULT_HEAD_BYTES = 64 * 1024
DEFAULT_HEAD_TIMEOUT_S = 10.0
DEFAULT_IDLE_TIMEOUT_S = 75.0


class ConnectionLimits(NamedTuple):
    """Limits of all connections to a listener together.

    `heads_bytes` is the sum of the bytes that were received and are not
    parsed yet.
    """

    connections: int
    heads_bytes: int


class RequestLimits(NamedTuple):
    """Limits of the head of one request, and of the time without one."""

    head_bytes: int = DEFAULT_HEAD_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class LinkLimits(NamedTuple):
    """Limits of connections to the port for links.

    `unopened` is the number of those that have sent no Hello yet.
    """

    links: int = 1000
    unopened: int = 32


ADMIN_LIMITS = ConnectionLimits(ADMIN_CONNECTIONS, ADMIN_HEADS_BYTES)
ADMIN_REQUEST_LIMITS = RequestLimits(head_bytes=ADMIN_HEAD_BYTES)


def for_callers(memory_left_bytes: int, descriptors: int) -> ConnectionLimits:
    """Return the limits of the port for callers.

    `memory_left_bytes` is what the limit of the process leaves beside its
    resident size at the start of serving, `descriptors` its limit of open
    files.

    >>> for_callers(250_000_000, 4100)
    ConnectionLimits(connections=1307, heads_bytes=15000000)
    >>> for_callers(250_000_000, 400).connections
    100
    """
    by_memory = int(memory_left_bytes * CONNECTIONS_SHARE) // _BYTES_EACH
    by_descriptors = int((descriptors - OWN_DESCRIPTORS) * CALLERS_SHARE)
    return ConnectionLimits(
        max(MIN_CONNECTIONS, min(by_memory, by_descriptors)),
        max(MIN_HEADS_BYTES, int(memory_left_bytes * HEADS_SHARE)),
    )


def for_links(memory_left_bytes: int, descriptors: int) -> LinkLimits:
    """Return the limits of the port for links.

    >>> for_links(400_000_000, 4100).links, for_links(100_000_000, 4100).links
    (610, 152)
    >>> for_links(400_000_000, 400).links
    64
    """
    by_memory = int(memory_left_bytes * LINKS_MEMORY_SHARE) // LINK_BYTES
    by_descriptors = int((descriptors - OWN_DESCRIPTORS) * LINKS_SHARE)
    return LinkLimits(max(MIN_LINKS, min(by_memory, by_descriptors)))


def max_connections_bytes(limits: ConnectionLimits) -> int:
    """Return what all connections to a listener can make a process hold.

    Bodies that there is memory for count in `memory_budget`, with what the
    system has received of them.

    >>> max_connections_bytes(ADMIN_LIMITS)
    2555904
    """
    count = limits.connections + MAX_CLOSING
    return count * _BYTES_EACH + limits.heads_bytes


def max_links_bytes(
    limits: LinkLimits, unfinished_bytes: int, longest_bytes: int
) -> int:
    """Return what all links can make a process hold.

    Beside what has been received of it, a message exists twice while it is
    decoded, one at a time.
    """
    return limits.links * LINK_BYTES + unfinished_bytes + 2 * longest_bytes


def from_operators(
    max_header_bytes: int, header_timeout_s: float, idle_timeout_s: float
) -> RequestLimits:
    """Return the limits of a request as operators state them.

    >>> from_operators(16384, 3.0, 15.0)
    RequestLimits(head_bytes=16384, head_timeout_s=5.0, idle_timeout_s=17.0)
    """
    return RequestLimits(
        max_header_bytes,
        header_timeout_s + TIMEOUT_MARGIN_S,
        idle_timeout_s + TIMEOUT_MARGIN_S,
    )
