"""The long-running tasks of a process.

A task that ends, by an unexpected error or by returning, would leave a process
that keeps its links open and sends heartbeats, but no longer follows the
table, for example. Only callers would notice. The whole process ends instead,
with the event `task_failed`: its links close, other instances take over its
work, and the platform restarts it.
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


class PartEnded(Exception):
    """A loop that a task needs has ended."""


def start(
    loops: Iterable[Callable[[], None]], on_failure: Callable[[], None]
) -> list[gevent.Greenlet]:
    """Start each loop in a greenlet; call `on_failure` if one ends.

    Loops run until the process ends, so one that returns has failed as well.
    """
    return [gevent.spawn(_run, loop, on_failure) for loop in loops]


def start_part(loop: Callable[[], None]) -> gevent.Greenlet:
    """Start a loop that the calling task needs.

    The calling task fails if it ends, unless it was killed.
    """
    task = gevent.getcurrent()

    def on_end(part: gevent.Greenlet) -> None:
        if not isinstance(part.value, gevent.GreenletExit):
            error = part.exception or 'it has returned'
            gevent.kill(task, PartEnded(f'{_name(loop)}: {error!r}'))

    part = gevent.spawn(loop)
    part.link(on_end)
    return part


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
        error = 'it has returned'
    except BaseException:
        # Some are no Exception: a timeout of gevent that no block has caught,
        # or the end of a greenlet by `kill`.
        error = traceback.format_exc()
    try:
        logs.warn('task_failed', task=_name(loop), error=error)
    finally:
        on_failure()


def _name(loop: Callable[[], Any]) -> str:
    return getattr(loop, '__qualname__', repr(loop))
