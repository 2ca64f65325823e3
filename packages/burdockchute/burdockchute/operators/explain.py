"""`burdockchute-entry explain`: what happened to one request, from logs.

Reads the log lines of any number of processes and prints, in the order of
time, every line about a request and what the processes that had it in hand
learnt of the upstreams it was placed on, shortly before and meanwhile.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import sys

from burdockchute.operators.log_lines import Line
from burdockchute.operators.log_lines import parse_line
from burdockchute.operators.log_lines import read_lines

EXIT_NOT_FOUND = 1

# What a process learnt so long before a request may have decided about it.
BEFORE_S = 5.0
AFTER_S = 1.0

# Events about the process as a whole that bear on any request.
_ABOUT_ALL = frozenset(
    {
        'configuration_learnt',
        'dependency_lost',
        'dependency_regained',
        'leaving',
        'lines_left_out',
        'reloaded',
        'serving',
        'stopped',
        'version_heard',
        'version_named',
    }
)

# The last line about a request at a process.
_ENDS = frozenset({'request_finished', 'request_turned_away'})


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        'explain', help='print what logs tell of one request'
    )
    parser.add_argument('request_id', help='id of the request')
    parser.add_argument(
        'files', nargs='*', help='log files; standard input without any'
    )


def run(args: argparse.Namespace) -> int:
    """Print the timeline; 1 if no line names the request."""
    found = explain(args.request_id, read_lines(args.files))
    if not found:
        print(f'no line names {args.request_id!r}', file=sys.stderr)
        return EXIT_NOT_FOUND
    began = found[0].at
    for line in found:
        print(render(line, began))
    return 0


def explain(request_id: str, texts: Iterable[str]) -> list[Line]:
    """Give the lines that bear on a request, in the order of time."""
    lines = [parse_line(text) for text in texts if 'event=' in text]
    own = [n for n in lines if n.fields.get('request_id') == request_id]
    if not own:
        return []
    upstreams = {n.fields['upstream'] for n in own if n.fields.get('upstream')}
    procs = {n.fields.get('proc') for n in own}
    first = min(n.at for n in own) - BEFORE_S
    last = max(n.at for n in own) + AFTER_S

    def bears(line: Line) -> bool:
        fields = line.fields
        if 'request_id' in fields:
            return fields['request_id'] == request_id
        if fields.get('proc') not in procs or not first <= line.at <= last:
            return False
        if fields.get('event') in _ABOUT_ALL:
            return True
        return fields.get('upstream') in upstreams

    found = [*filter(bears, lines), *_starts_after(own, lines, last)]
    return sorted(found, key=lambda line: line.at)


def _starts_after(
    own: list[Line], lines: list[Line], last: float
) -> list[Line]:
    """Give when processes that had an unfinished request started again.

    One that is killed or loses power writes nothing of its end.
    """
    if any(n.fields.get('event') in _ENDS for n in own):
        return []
    starts: dict[str, Line] = {}
    procs = {n.fields.get('proc') for n in own}
    for line in sorted(lines, key=lambda line: line.at):
        name = line.fields.get('proc', '')
        begins = line.fields.get('event') == 'serving' and line.at > last
        if begins and name in procs:
            starts.setdefault(name, line)
    return list(starts.values())


def render(line: Line, began: float) -> str:
    """Give one line of the timeline; times are seconds from its first."""
    fields = line.fields
    rest = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if name not in ('at', 'level', 'event', 'proc', 'request_id') and value
    )
    head = f'{line.at - began:+8.3f} {fields.get("proc", "?"):<18}'
    return f'{head} {fields.get("event", "?"):<26} {rest}'
