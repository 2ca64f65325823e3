"""The report on burn rates of objectives, as text and as a plot.

Each entry counts from its start, and the report adds up the given entries.
Instances store nothing, so a window reaches back no further than the start of
the entries, which the report states.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping
import json
import sys
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import geventhttpclient

from burdockchute import commands
from burdockchute import settings as base
from burdockchute.decisions import burn
from burdockchute.settings import Setting

TIMEOUT_S = 5.0


class PageEntry(TypedDict):
    """Event counts of one key on the /burn page of an entry."""

    objective: str
    customer: str
    model: str
    indicator: str
    target: float
    windows: dict[str, tuple[int, int]]


class ReportLine(NamedTuple):
    """One line of the report, with the sum of events for each window."""

    key: burn.Key
    target: float
    sums: dict[float, burn.Sum]


def _parse_urls(text: str) -> tuple[str, ...]:
    return tuple(base.parse_url(part) for part in text.split(','))


ENTRIES = Setting(
    'admin-urls', 'admin ports of all entries, a comma list', _parse_urls
)


def add_parser(subparsers: Any) -> None:
    """Add `burn`."""
    parser = subparsers.add_parser(
        'burn',
        help='report how fast each objective is used up',
        description='Burn rates by objective, customer and model over '
        'several windows, added up over the entries named. 1.0 uses up '
        'exactly what the objective allows.',
    )
    base.add_flags(parser, [ENTRIES])
    parser.add_argument(
        '--plot', metavar='FILE', help='write a plot too (.svg or .png)'
    )


def run(args: argparse.Namespace, environ: Mapping[str, str]) -> int:
    """Print the report; returns 1 if an entry did not answer."""
    urls = commands.read_or_exit([ENTRIES], args, environ)['admin_urls']
    pages = []
    for url in urls:
        try:
            pages.append(_fetch(url))
        except (OSError, ValueError) as exc:
            print(f'{url}: no answer: {exc}', file=sys.stderr)
    lines = merge(pages)
    print(render(lines, len(pages), len(urls)))
    if args.plot:
        plot(lines, args.plot)
        print(f'plot written to {args.plot}')
    return 0 if len(pages) == len(urls) else commands.EXIT_FAILED


def burn_page(
    counts: burn.Counts, now: float, targets: Mapping[burn.Key, float]
) -> list[PageEntry]:
    """Return the counts of one entry, for its /burn page."""
    return [
        PageEntry(
            objective=key.objective,
            customer=key.customer,
            model=key.model,
            indicator=key.indicator,
            target=targets[key],
            windows={
                str(window): _as_pair(counts.sum(now, key, window))
                for window in burn.windows()
            },
        )
        for key in counts.keys()
        if key in targets
    ]


def merge(pages: list[list[PageEntry]]) -> list[ReportLine]:
    """Add up the pages of several entries."""
    lines: dict[burn.Key, ReportLine] = {}
    for item in (item for page in pages for item in page):
        key = burn.Key(
            item['objective'],
            item['customer'],
            item['model'],
            item['indicator'],
        )
        empty = {window: burn.Sum(0, 0) for window in burn.windows()}
        previous = lines.get(key, ReportLine(key, item['target'], empty))
        sums = {
            window: _add_counts(
                previous.sums[window], item['windows'][str(window)]
            )
            for window in burn.windows()
        }
        lines[key] = ReportLine(key, item['target'], sums)
    return [lines[key] for key in sorted(lines)]


def render(lines: list[ReportLine], answered: int, total: int) -> str:
    """Return the report as text."""
    header = ['objective', 'customer', 'model', 'indicator', 'target']
    header += [_window_label(window) for window in burn.windows()] + ['alert']
    rows = [header, *(_cells(line) for line in lines)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(header))]
    text = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    text.append(
        f'burn rates over {answered} of {total} entries, each since its '
        'start; 1.0 uses up exactly what is allowed'
    )
    return '\n'.join(text)


def plot(lines: list[ReportLine], path: str) -> None:
    """Plot the burn rate of each line over the windows."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    windows = burn.windows()
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for line in lines:
        rates = [burn.burn_rate(line.sums[w], line.target) for w in windows]
        label = '/'.join(line.key)
        axes.plot(range(len(windows)), rates, marker='o', label=label)
    axes.axhline(1.0, color='grey', linestyle='--', linewidth=1)
    axes.set_xticks(range(len(windows)), [_window_label(w) for w in windows])
    axes.set_xlabel('window')
    axes.set_ylabel('burn rate (1.0 uses up what is allowed)')
    axes.set_yscale('symlog', linthresh=1.0)
    if lines:
        axes.legend(fontsize='x-small')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _cells(line: ReportLine) -> list[str]:
    rates = [
        f'{burn.burn_rate(line.sums[window], line.target):.2f}'
        if line.sums[window].total
        else '-'
        for window in burn.windows()
    ]
    alert = burn.alert_for(line.sums, line.target)
    return [*line.key, f'{line.target:g}', *rates, alert]


def _window_label(window_s: float) -> str:
    if window_s < burn.HOUR_S:
        return f'{window_s / burn.MINUTE_S:.0f}m'
    return f'{window_s / burn.HOUR_S:.0f}h'


def _add_counts(previous: burn.Sum, more: Any) -> burn.Sum:
    return burn.Sum(previous.total + more[0], previous.bad + more[1])


def _as_pair(events: burn.Sum) -> tuple[int, int]:
    return events.total, events.bad


def _fetch(url: str) -> list[PageEntry]:
    client = geventhttpclient.HTTPClient.from_url(
        url, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        return json.loads(client.get('/burn').read())
    finally:
        client.close()
