"""`burdockchute-entry losses`: when callers got no whole answer, and why.

Reads the log lines of any number of entries and prints, for each span of
time, how many requests ended, how many of them whole, how long requests
waited for a place, and the reasons for the rest, the most frequent first. It
needs nothing but logs, so it serves for a day in production as for a trial.

>>> kind_of({'event': 'request_turned_away', 'reason': 'leaving in 0.5 s'})
'leaving in N s'
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
import re
import sys
from typing import NamedTuple

from burdockchute.operators.log_lines import Line
from burdockchute.operators.log_lines import parse_line
from burdockchute.operators.log_lines import read_lines

EXIT_NOTHING = 1

DEFAULT_WINDOW_S = 2.0

# Reasons that are shown for each span; the rest are counted together.
SHOWN = 3

# What differs from one request to the next and says nothing of the reason.
_NUMBERS = re.compile(r'\d+(\.\d+)?')
_NAMES = re.compile(r"'[^']*'")

WHOLE = 'answered'


class Window(NamedTuple):
    """What ended within one span; `began_s` counts from the first line.

    `waited_ms` is the median wait for a place, None where nothing was placed.
    """

    began_s: float
    ended: int
    whole: int
    waited_ms: float | None
    reasons: list[tuple[str, int]]


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        'losses', help='tell from logs when and why callers got nothing'
    )
    parser.add_argument(
        'files', nargs='*', help='log files; standard input without any'
    )
    parser.add_argument(
        '--window',
        type=_seconds,
        default=DEFAULT_WINDOW_S,
        help='seconds for each row (default: %(default)s)',
    )


def run(args: argparse.Namespace) -> int:
    """Print the table; 1 if no line tells of a request."""
    found = losses(read_lines(args.files), args.window)
    if not found:
        print('no line tells how a request ended', file=sys.stderr)
        return EXIT_NOTHING
    print(render(found))
    return 0


def losses(texts: Iterable[str], window_s: float) -> list[Window]:
    """Give what ended in each span that has anything, in order of time."""
    lines = [parse_line(text) for text in texts if 'event=request_' in text]
    lines = [line for line in lines if line.at]
    if not lines:
        return []
    first = min(line.at for line in lines)
    spans: dict[int, list[Line]] = {}
    for line in lines:
        spans.setdefault(int((line.at - first) / window_s), []).append(line)
    windows = [
        _window(number * window_s, spans[number]) for number in sorted(spans)
    ]
    return [window for window in windows if window.ended]


def kind_of(fields: Mapping[str, str]) -> str | None:
    """Give why a request ended as it did, None where it did not end.

    Numbers and names are taken out, so that one reason is counted as one.
    """
    event = fields.get('event')
    if event == 'request_turned_away':
        text = fields.get('reason', '')
    elif event == 'request_finished':
        text = fields.get('outcome', '')
        status = fields.get('status', '')
        if text == WHOLE and not status.startswith('2'):
            return f'status {status} of an upstream'
    else:
        return None
    return _NUMBERS.sub('N', _NAMES.sub('NAME', text))


def render(windows: Iterable[Window]) -> str:
    """Give the table as text."""
    rows = [f'{"from s":>8} {"ended":>6} {"whole":>6} {"wait ms":>8}  why not']
    for window in windows:
        shown = window.reasons[:SHOWN]
        more = sum(count for _reason, count in window.reasons[SHOWN:])
        why = [f'{count} {reason}' for reason, count in shown]
        if more:
            why.append(f'{more} other')
        waited = '' if window.waited_ms is None else f'{window.waited_ms:.0f}'
        rows.append(
            f'{window.began_s:8.1f} {window.ended:6} {window.whole:6}'
            f' {waited:>8}  {"; ".join(why)}'.rstrip()
        )
    return '\n'.join(rows)


def _window(began_s: float, lines: list[Line]) -> Window:
    kinds = Counter(
        kind for line in lines if (kind := kind_of(line.fields)) is not None
    )
    waits = sorted(
        float(line.fields['waited_ms'])
        for line in lines
        if line.fields.get('waited_ms', '').isdigit()
    )
    whole = kinds.pop(WHOLE, 0)
    return Window(
        began_s,
        whole + kinds.total(),
        whole,
        waits[len(waits) // 2] if waits else None,
        sorted(kinds.items(), key=lambda item: (-item[1], item[0])),
    )


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float('inf'):
        raise argparse.ArgumentTypeError(f'{text!r} is no time over 0')
    return seconds
