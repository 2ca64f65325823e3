"""Findings: what is invalid in an input, and where.

Checks collect every finding before they report, so that an operator can
correct a file in one pass.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Finding(NamedTuple):
    """One problem in an input, with its location.

    A transient one may be gone when the input is read again.

    >>> print(render(Finding('rows.csv:3:limit', "'x' is no number")))
    rows.csv:3:limit: 'x' is no number
    """

    place: str
    text: str
    is_transient: bool = False


def render(finding: Finding) -> str:
    """Return the finding as one line for an operator."""
    return f'{finding.place}: {finding.text}'


def render_all(findings: Iterable[Finding]) -> str:
    """Return one line for each finding, sorted by location."""
    return '\n'.join(render(finding) for finding in sorted(findings))


def not_one_of(value: object, choices: Iterable[str]) -> str:
    """Return the message for a value that is not a valid choice."""
    return f'{value!r} is not one of {", ".join(sorted(choices))}'
