"""Looks at sockets that never wait, not even for the event loop.

The look may be made in a callback of the loop, where waiting is an error;
the library's own select gives way to other greenlets also with no timeout.
"""

from __future__ import annotations

import select
import socket as sockets
from typing import Any

from gevent import monkey

_poll = monkey.get_original('select', 'poll')


def is_readable(sock: Any) -> bool:
    """Tell whether a read would give bytes, an end or an error at once."""
    poll = _poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def closed_by_peer(sock: Any) -> bool:
    """Tell whether the other side has closed a connection."""
    if not is_readable(sock):
        return False
    try:
        return not sock.recv(1, sockets.MSG_PEEK)
    except (OSError, ValueError):
        return True
