"""Blocking calls of the standard library made cooperative.

Imported and called before anything else by each program:

    from burdockchute import patching

    patching.patch()
"""

from __future__ import annotations

from importlib import metadata

from gevent import config
from gevent import monkey


def patch() -> None:
    """Patch the standard library for gevent.

    Every address in use is an IP number, which is resolved without asking
    anybody. gevent's default resolver hands each to a thread all the same and
    waits for it, once for each call to an upstream.

    gevent asks for plugins for each module that it patches, and looks through
    all installed distributions each time: 0.2 s of the 0.5 s of processor
    time of a start, which callers wait for after a power cut. They are looked
    through once here (a start of an agent takes 0.36 s so).
    """
    config.resolver = 'block'
    found = metadata.entry_points()
    entry_points = metadata.entry_points

    def select(*, group: str) -> metadata.EntryPoints:
        return found.select(group=group)

    metadata.entry_points = select  # type: ignore[assignment]
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = entry_points
