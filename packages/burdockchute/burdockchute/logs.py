"""Structured logs: one key=value line for each event, on stderr."""

from __future__ import annotations

from collections.abc import Callable
import logging
import sys

import logfmter

_LOG = logging.getLogger('burdockchute')


def set_up(level: str, process: str) -> None:
    """Send every event of this process to stderr as logfmt lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level'],
            mapping={'at': 'asctime', 'level': 'levelname'},
        )
    )
    handler.addFilter(_names_process(process))
    _LOG.addHandler(handler)
    _LOG.setLevel(level.upper())
    _LOG.propagate = False


def _names_process(
    process: str,
) -> Callable[[logging.LogRecord], bool]:
    def add_name(record: logging.LogRecord) -> bool:
        record.proc = process
        return True

    return add_name


def event(name: str, level: int = logging.INFO, **fields: object) -> None:
    """Write one event.

    >>> event('table_applied', offset=12)
    """
    if _LOG.isEnabledFor(level):
        _LOG.log(level, {'event': name, **fields})


def warn(name: str, **fields: object) -> None:
    """Write one event that an operator may need to act on."""
    event(name, logging.WARNING, **fields)
