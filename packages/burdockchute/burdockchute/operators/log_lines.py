"""Parses log lines for the reports that are computed from logs.

>>> line = 'at="2026-01-02 03:04:05,006" event=x request_id=q proc=e'
>>> parse_line(line).fields['event']
'x'
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
import re
import sys
from typing import NamedTuple

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Line(NamedTuple):
    """One log line; `at` is in Unix seconds, 0 if the line has no time."""

    at: float
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> Line:
    """Parse a line; anything before its first pair is ignored."""
    fields = {name: _unquote(value) for name, value in _PAIR.findall(text)}
    return Line(_parse_time(fields.get('at', '')), fields, text)


def read_lines(files: Iterable[str]) -> list[str]:
    """Return the lines of files, or of standard input if there are none."""
    texts: list[str] = []
    for name in files:
        with open(name, encoding='utf-8', errors='replace') as file:
            texts.extend(file.read().splitlines())
    return texts or sys.stdin.read().splitlines()


def _unquote(value: str) -> str:
    return value[1:-1] if value.startswith('"') else value


def _parse_time(text: str) -> float:
    try:
        at = datetime.strptime(text, '%Y-%m-%d %H:%M:%S,%f')
    except ValueError:
        return 0.0
    return at.timestamp()
