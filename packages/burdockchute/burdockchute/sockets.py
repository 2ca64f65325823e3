"""Checks of sockets that never block and never yield to the event loop.

A check may run in a callback of the loop, where yielding is an error;
gevent's own select yields to other greenlets even without a timeout.
"""

from __future__ import annotations

import select
import socket as sockets
from typing import Any

from gevent import monkey

_poll = monkey.get_original('select', 'poll')


def is_readable(sock: Any) -> bool:
    """Whether a read would return bytes, an end or an error at once."""
    poll = _poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def closed_by_peer(sock: Any) -> bool:
    """Whether the other side has closed the connection."""
    if not is_readable(sock):
        return False
    try:
        return not sock.recv(1, sockets.MSG_PEEK)
    except (OSError, ValueError):
        return True
