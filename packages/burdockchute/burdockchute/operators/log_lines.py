"""Log lines, as the reports that are made of logs read them.

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
    """One log line; `at` is in Unix seconds, 0 where it isn't said."""

    at: float
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> Line:
    """Read a line, with anything before its first pair ignored."""
    fields = {name: _unquoted(value) for name, value in _PAIR.findall(text)}
    return Line(_time(fields.get('at', '')), fields, text)


def read_lines(files: Iterable[str]) -> list[str]:
    """Give the lines of files, those of standard input without any."""
    texts: list[str] = []
    for name in files:
        with open(name, encoding='utf-8', errors='replace') as file:
            texts.extend(file.read().splitlines())
    return texts or sys.stdin.read().splitlines()


def _unquoted(value: str) -> str:
    return value[1:-1] if value.startswith('"') else value


def _time(text: str) -> float:
    try:
        at = datetime.strptime(text, '%Y-%m-%d %H:%M:%S,%f')
    except ValueError:
        return 0.0
    return at.timestamp()
