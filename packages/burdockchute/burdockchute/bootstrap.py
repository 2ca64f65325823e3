"""What each program does before anything else.

from burdockchute import bootstrap

bootstrap.prepare()
"""

from __future__ import annotations

from importlib import metadata
import signal

from gevent import config
from gevent import monkey

_held: list[int] = []


def prepare() -> None:
    """Hold back reloads, and patch the standard library for gevent."""
    # A platform that writes the settings anew right after it has started a
    # process sends SIGHUP, which ends one that has no handler for it yet.
    signal.signal(signal.SIGHUP, _hold)
    _patch()


def consume_reload_request() -> bool:
    """Tell whether SIGHUP came since `prepare`, or since the last call."""
    asked = bool(_held)
    _held.clear()
    return asked


def _hold(number: int, _frame: object) -> None:
    _held.append(number)


def _patch() -> None:
    # Every address in use is an IP number, which is resolved without asking
    # anybody. gevent's default resolver hands each to a thread all the same
    # and waits for it, once for each call to an upstream.
    config.resolver = 'block'
    # gevent asks for plugins for each module that it patches, and looks
    # through all installed distributions each time: of the 0.34 s of
    # processor time before a program does anything, 0.08 s, which callers
    # wait for after a power cut. They are looked through once here.
    found = metadata.entry_points()
    entry_points = metadata.entry_points

    def select(*, group: str) -> metadata.EntryPoints:
        return found.select(group=group)

    metadata.entry_points = select  # type: ignore[assignment]
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = entry_points
