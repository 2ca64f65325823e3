"""`burdockchute-entry explain`: the timeline of one request, from logs.

Reads the log lines of any number of processes and prints, ordered by time,
every line about the request, and the events of the processes that handled it
about themselves and the upstreams on which it was placed, from shortly before
the request until shortly after its end.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import sys

from burdockchute.operators.log_lines import Line
from burdockchute.operators.log_lines import parse_line
from burdockchute.operators.log_lines import read_lines

EXIT_NOT_FOUND = 1

# Events from this long before a request may have affected it.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0

# Events about the process as a whole, which are relevant to any request.
_PROCESS_EVENTS = frozenset(
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

# Events that are the last one about a request at a process.
_FINAL_EVENTS = frozenset({'request_finished', 'request_turned_away'})


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
    """Print the timeline; returns 1 if no line names the request."""
    found = explain(args.request_id, read_lines(args.files))
    if not found:
        print(f'no line names {args.request_id!r}', file=sys.stderr)
        return EXIT_NOT_FOUND
    started_at = found[0].at
    for line in found:
        print(render(line, started_at))
    return 0


def explain(request_id: str, raw_lines: Iterable[str]) -> list[Line]:
    """Return the lines that are relevant to a request, ordered by time."""
    lines = [parse_line(text) for text in raw_lines if 'event=' in text]
    request_lines = [
        n for n in lines if n.fields.get('request_id') == request_id
    ]
    if not request_lines:
        return []
    upstreams = {
        n.fields['upstream'] for n in request_lines if n.fields.get('upstream')
    }
    processes = {n.fields.get('proc') for n in request_lines}
    first = min(n.at for n in request_lines) - CONTEXT_BEFORE_S
    last = max(n.at for n in request_lines) + CONTEXT_AFTER_S

    def is_relevant(line: Line) -> bool:
        fields = line.fields
        if 'request_id' in fields:
            return fields['request_id'] == request_id
        if fields.get('proc') not in processes or not first <= line.at <= last:
            return False
        if fields.get('event') in _PROCESS_EVENTS:
            return True
        return fields.get('upstream') in upstreams

    found = [
        *filter(is_relevant, lines),
        *_find_restarts(request_lines, lines, last),
    ]
    return sorted(found, key=lambda line: line.at)


def _find_restarts(
    request_lines: list[Line], lines: list[Line], last: float
) -> list[Line]:
    """Return the next start of each process that had the unfinished request.

    A process that is killed or loses power logs nothing about its end.
    """
    if any(n.fields.get('event') in _FINAL_EVENTS for n in request_lines):
        return []
    starts: dict[str, Line] = {}
    processes = {n.fields.get('proc') for n in request_lines}
    for line in sorted(lines, key=lambda line: line.at):
        name = line.fields.get('proc', '')
        is_start = line.fields.get('event') == 'serving' and line.at > last
        if is_start and name in processes:
            starts.setdefault(name, line)
    return list(starts.values())


def render(line: Line, started_at: float) -> str:
    """Return one line of the timeline; times are seconds from its first."""
    fields = line.fields
    pairs = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if name not in ('at', 'level', 'event', 'proc', 'request_id') and value
    )
    prefix = f'{line.at - started_at:+8.3f} {fields.get("proc", "?"):<18}'
    return f'{prefix} {fields.get("event", "?"):<26} {pairs}'
