"""Prepares the interpreter before a program imports anything else.

from burdockchute import bootstrap

bootstrap.prepare()
"""

from __future__ import annotations

from importlib import metadata

from gevent import config
from gevent import monkey


def prepare() -> None:
    """Patch the library for gevent."""
    # Every address in use is an IP address, which needs no lookup. gevent's
    # default resolver still passes each one to a thread and waits for it,
    # once for each request to an upstream.
    config.resolver = 'block'
    # gevent searches all installed distributions for plugins, once for each
    # module that it patches. That takes 0.08 s of the 0.34 s of processor
    # time before a program does anything, and callers wait for it after a
    # loss of power. Here they are searched only once.
    all_entry_points = metadata.entry_points()
    entry_points = metadata.entry_points

    def select(*, group: str) -> metadata.EntryPoints:
        return all_entry_points.select(group=group)

    metadata.entry_points = select  # type: ignore[assignment]
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = entry_points
