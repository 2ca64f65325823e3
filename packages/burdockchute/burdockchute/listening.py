"""Starts servers whose addresses may not be available yet.

A process that ends holds its ports until its grace period is over, and a
machine may get its address only after the process has started. Such a server
is started again and again for a limited time.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import errno
import os
import time

from gevent import baseserver

from burdockchute import logs

RETRY_S = 0.1

# Added to the time that the process before has for its open requests.
PREDECESSOR_MARGIN_S = 5.0

# Errors of a start that may be gone at the next one.
TEMPORARY_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class ListenError(Exception):
    """A server could not be started in the time given."""

    def __init__(self, address: str, error: str) -> None:
        super().__init__(f'{address}: {error}')
        self.address = address
        self.error = error


def start_all(
    servers: Sequence[baseserver.BaseServer],
    wait_stop: Callable[[float], bool],
    timeout_s: float,
    now: Callable[[], float] = time.monotonic,
) -> bool:
    """Start servers in the given order; return False if a stop is requested.

    `wait_stop` waits for some seconds and returns whether a stop was
    requested. Raises ListenError if a server can't be started within
    `timeout_s`. Unless all are started, all are closed.

    The server that receives the most comes last, so that nobody connects to
    it while another one is still waiting for its port.
    """
    deadline = now() + timeout_s
    is_started = False
    try:
        is_started = all(
            _start(server, wait_stop, deadline, now) for server in servers
        )
    finally:
        if not is_started:
            for server in servers:
                server.close()
    return is_started


def stop_before_serving() -> int:
    """Log the end of a process that has served nothing; return its status."""
    logs.event('stopped', left=0)
    return 0


def may_retry(exc: OSError, deadline: float, now: float) -> bool:
    """Whether a server that failed to start is started again."""
    return exc.errno in TEMPORARY_ERRORS and now < deadline


def describe_error(exc: OSError) -> str:
    """Return the system's text of an error, without gevent's additions."""
    return (
        os.strerror(exc.errno) if exc.errno in TEMPORARY_ERRORS else str(exc)
    )


def address_of(server: baseserver.BaseServer) -> str:
    """Return the address of a server as IP:PORT."""
    return f'{server.server_host}:{server.server_port}'


def _start(
    server: baseserver.BaseServer,
    wait_stop: Callable[[float], bool],
    deadline: float,
    now: Callable[[], float],
) -> bool:
    began = now()
    first_error = ''
    while True:
        try:
            server.start()
        except OSError as exc:
            address, error = address_of(server), describe_error(exc)
            if not may_retry(exc, deadline, now()):
                raise ListenError(address, error) from exc
            if not first_error:
                first_error = error
                logs.warn(
                    'address_unavailable',
                    address=address,
                    error=error,
                    retry_s=round(deadline - now(), 1),
                )
        else:
            if first_error:
                logs.event(
                    'address_available',
                    address=address_of(server),
                    error=first_error,
                    after_s=round(now() - began, 2),
                )
            return True
        if wait_stop(RETRY_S):
            return False
