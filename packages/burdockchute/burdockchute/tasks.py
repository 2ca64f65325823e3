"""The long-running tasks of a process.

A task that ends with an unexpected error would leave a process that keeps its
links open and sends heartbeats, but no longer follows the table, for example.
Only callers would notice. The whole process ends instead, with the event
`task_failed`: its links close, other instances take over its work, and the
platform restarts it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import traceback
from typing import Any

import gevent
from gevent import queue

from burdockchute import logs

EXIT_TASK_FAILED = 3


def start(
    loops: Iterable[Callable[[], None]], on_failure: Callable[[], None]
) -> list[gevent.Greenlet]:
    """Start each loop in a greenlet; call `on_failure` if one fails."""
    return [gevent.spawn(_run, loop, on_failure) for loop in loops]


def process_inbox(
    inbox: queue.Queue,
    handle: Callable[[Any], None],
    tick: Callable[[], None],
    period_s: float,
    now: Callable[[], float],
) -> None:
    """Handle messages for ever, and call `tick` once per `period_s`.

    It ticks even if the inbox never empties; otherwise timed work would wait
    until the load is over.
    """
    next_tick = now() + period_s
    while True:
        wait_s = next_tick - now()
        if wait_s <= 0:
            tick()
            next_tick = now() + period_s
            continue
        try:
            message = inbox.get(timeout=wait_s)
        except queue.Empty:
            continue
        handle(message)


def drain_inbox(
    inbox: queue.Queue, handle: Callable[[Any], None], wait_s: float
) -> None:
    """Handle all messages in the inbox; wait up to `wait_s` for a first."""
    try:
        message = inbox.get(timeout=wait_s)
    except queue.Empty:
        return
    while message is not None:
        handle(message)
        try:
            message = inbox.get_nowait()
        except queue.Empty:
            message = None


def _run(loop: Callable[[], Any], on_failure: Callable[[], None]) -> None:
    try:
        loop()
    except Exception:
        logs.warn(
            'task_failed',
            task=getattr(loop, '__qualname__', repr(loop)),
            error=traceback.format_exc(),
        )
        on_failure()
