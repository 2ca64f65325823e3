"""`burdockchute-entry losses`: when and why requests were not answered.

Reads the log lines of any number of entries and prints, for each window of
time, how many requests ended, how many of them with a complete answer, the
median wait for a slot, and the reasons of the others, the most frequent
first. With --sizes it prints for each route how often its largest requests
were answered. It needs only logs, so it works for production and for trials.

>>> reason_of({'event': 'request_turned_away', 'reason': 'leaving in 0.5 s'})
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

from burdockchute.decisions import size_classes
from burdockchute.decisions.size_classes import ServedShares
from burdockchute.decisions.size_classes import Sizes
from burdockchute.operators.log_lines import Line
from burdockchute.operators.log_lines import parse_line
from burdockchute.operators.log_lines import read_lines

EXIT_NOT_FOUND = 1

DEFAULT_WINDOW_S = 2.0

# Reasons shown for each window; the others are counted together.
MAX_REASONS_SHOWN = 3

# Parts of a reason that differ between requests with the same reason.
_NUMBERS = re.compile(r'\d+(\.\d+)?')
_NAMES = re.compile(r"'[^']*'")

ANSWERED = 'answered'
CALLER_GONE = 'caller_gone'


class Window(NamedTuple):
    """Requests that ended in one window; `start_s` is since the first line.

    `waited_ms` is the median wait for a slot, None if nothing was placed.
    """

    start_s: float
    ended: int
    complete: int
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
    parser.add_argument(
        '--sizes',
        action='store_true',
        help='tell for each route how often its largest requests were served',
    )


def run(args: argparse.Namespace) -> int:
    """Print the table; returns 1 if no line is about the end of a request."""
    if args.sizes:
        shares = served_shares(read_lines(args.files))
        print(render_shares(shares))
        return 0 if shares else EXIT_NOT_FOUND
    found = losses(read_lines(args.files), args.window)
    if not found:
        print('no line tells how a request ended', file=sys.stderr)
        return EXIT_NOT_FOUND
    print(render(found))
    return 0


def losses(texts: Iterable[str], window_s: float) -> list[Window]:
    """Return the windows in which requests ended, ordered by time."""
    lines = [parse_line(text) for text in texts if 'event=request_' in text]
    lines = [line for line in lines if line.at]
    if not lines:
        return []
    first = min(line.at for line in lines)
    lines_by_window: dict[int, list[Line]] = {}
    for line in lines:
        lines_by_window.setdefault(
            int((line.at - first) / window_s), []
        ).append(line)
    windows = [
        _window(number * window_s, lines_by_window[number])
        for number in sorted(lines_by_window)
    ]
    return [window for window in windows if window.ended]


def reason_of(fields: Mapping[str, str]) -> str | None:
    """Return why a request ended so, None if the line is not about its end.

    Numbers and names are replaced, so that equal reasons are counted together.
    """
    event = fields.get('event')
    if event == 'request_turned_away':
        text = fields.get('reason', '')
    elif event == 'request_finished':
        text = fields.get('outcome', '')
        status = fields.get('status', '')
        if text == ANSWERED and not status.startswith('2'):
            return f'status {status} of an upstream'
    else:
        return None
    return _NUMBERS.sub('N', _NAMES.sub('NAME', text))


def render(windows: Iterable[Window]) -> str:
    """Return the table as text."""
    rows = [f'{"from s":>8} {"ended":>6} {"whole":>6} {"wait ms":>8}  why not']
    for window in windows:
        shown = window.reasons[:MAX_REASONS_SHOWN]
        other_count = sum(
            count for _reason, count in window.reasons[MAX_REASONS_SHOWN:]
        )
        reason_texts = [f'{count} {reason}' for reason, count in shown]
        if other_count:
            reason_texts.append(f'{other_count} other')
        wait_ms = '' if window.waited_ms is None else f'{window.waited_ms:.0f}'
        rows.append(
            f'{window.start_s:8.1f} {window.ended:6} {window.complete:6}'
            f' {wait_ms:>8}  {"; ".join(reason_texts)}'.rstrip()
        )
    return '\n'.join(rows)


def served_shares(
    texts: Iterable[str],
) -> dict[tuple[str, str], ServedShares]:
    """Return the served shares by size for each route and measure.

    Attempts of one customer with the same token counts are one request, as
    callers send a refused request again under another id.
    """
    requests: dict[tuple[str, ...], bool] = {}
    for text in texts:
        if 'event=request_finished' not in text:
            continue
        fields = parse_line(text).fields
        if fields.get('outcome') == CALLER_GONE:
            continue
        key = tuple(fields.get(n, '') for n in ('route', 'customer', 'tokens'))
        is_served = reason_of(fields) == ANSWERED
        requests[key] = requests.get(key, False) or is_served
    by_route: dict[str, list[tuple[Sizes, bool]]] = {}
    for (route, _customer, tokens), served in requests.items():
        sizes = _parse_sizes(tokens)
        if sizes is not None:
            by_route.setdefault(route, []).append((sizes, served))
    return {
        (route, measure): shares
        for route in sorted(by_route)
        for measure, shares in size_classes.served_shares(
            by_route[route]
        ).items()
    }


def render_shares(shares: Mapping[tuple[str, str], ServedShares]) -> str:
    """Return the table of served shares as text."""
    rows = [
        f'{"route":20} {"measure":7} {"ended":>6} {"all":>5} '
        f'{"fifth":>6} {"tenth":>6}'
    ]
    rows += [
        f'{route:20} {measure:7} {row.requests:6} {row.all:5.2f} '
        f'{row.fifth:6.2f} {row.tenth:6.2f}'
        for (route, measure), row in shares.items()
    ]
    return '\n'.join(rows)


def _parse_sizes(tokens: str) -> Sizes | None:
    counts = tokens.split(',')
    if len(counts) != 3 or not all(count.isdigit() for count in counts):
        return None
    prompt, limit, likely = map(int, counts)
    if not prompt + limit + likely:
        return None
    return size_classes.sizes_of(prompt, likely or limit)


def _window(start_s: float, lines: list[Line]) -> Window:
    reasons = Counter(
        reason
        for line in lines
        if (reason := reason_of(line.fields)) is not None
    )
    waits = sorted(
        float(line.fields['waited_ms'])
        for line in lines
        if line.fields.get('waited_ms', '').isdigit()
    )
    complete = reasons.pop(ANSWERED, 0)
    return Window(
        start_s,
        complete + reasons.total(),
        complete,
        waits[len(waits) // 2] if waits else None,
        sorted(reasons.items(), key=lambda item: (-item[1], item[0])),
    )


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float('inf'):
        raise argparse.ArgumentTypeError(f'{text!r} is no time over 0')
    return seconds
