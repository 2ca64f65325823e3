"""Findings: what is wrong with an input, and where.

Checks collect every finding before they report, so that an operator mends a
file in one go.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One thing that is wrong, with its place.

    >>> print(render(Finding('rows.csv:3:limit', "'x' is no number")))
    rows.csv:3:limit: 'x' is no number
    """

    place: str
    text: str


def render(finding: Finding) -> str:
    """Give one line for an operator."""
    return f'{finding.place}: {finding.text}'


def render_all(findings: Iterable[Finding]) -> str:
    """Give one line for each finding, in the order of their places."""
    return '\n'.join(render(finding) for finding in sorted(findings))


def not_one_of(value: object, choices: Iterable[str]) -> str:
    """Say that a value is none of the valid choices."""
    return f'{value!r} is not one of {", ".join(sorted(choices))}'
