"""Plot live replicas over time from the output of the rollout benchmark.

python -m burdockchute_testing.benches.rollout_plot IN.jsonl OUT.svg
"""

from __future__ import annotations

import argparse
import json
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402


def main() -> None:
    """Draw one curve per case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('results', type=pathlib.Path)
    parser.add_argument('picture', type=pathlib.Path, help='SVG or PNG')
    args = parser.parse_args()
    draw(read_cases(args.results.read_text()), args.picture)


def read_cases(text: str) -> dict[str, list[float]]:
    """Return by case when each replica was live, in units of size/link.

    >>> read_cases('{"case": "x", "metric": "live_at", "value": [1.2]}')
    {'x': [1.2]}
    """
    cases = {}
    for line in text.splitlines():
        result = json.loads(line)
        if result['metric'] == 'live_at':
            cases[result['case']] = result['value']
    return cases


def draw(cases: dict[str, list[float]], picture: pathlib.Path) -> None:
    """Write the picture in the format given by its suffix."""
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name, times in cases.items():
        shares = [(rank + 1) / len(times) for rank in range(len(times))]
        axes.step([0.0, *times], [0.0, *shares], where='post', label=name)
    axes.axvline(1.0, color='black', linestyle=':', label='size / link')
    axes.set_xlabel('time since the row was saved, in size / link')
    axes.set_ylabel('share of replicas live')
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(picture)
    pyplot.close(figure)


if __name__ == '__main__':
    main()
