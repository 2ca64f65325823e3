"""Checks between rows: what one row names must be there.

Made before an edit is appended. The reducer does not repeat them, since it
takes records in the log's order and two edits that are each sound can cross;
every process copes with a row that names another which is not there.
"""

from __future__ import annotations

from collections.abc import Mapping

from burdockchute.model.findings import Finding
from burdockchute.model.rows import AdapterRow
from burdockchute.model.rows import CustomerRow
from burdockchute.model.rows import ModelRow
from burdockchute.model.rows import ObjectiveRow
from burdockchute.model.rows import Row
from burdockchute.model.rows import RowKey

ALL = '*'
TARGET_KINDS = ('model', 'adapter', 'service')

Rows = Mapping[RowKey, Row]


def new_problems(before: Rows, after: Rows) -> list[Finding]:
    """Give what is wrong between the rows after an edit but was not before.

    The place of a finding is 'kind/name:column'.
    """
    known = set(problems(before))
    found = [finding for finding in problems(after) if finding not in known]
    return found + _reused_versions(before, after)


def problems(rows: Rows) -> list[Finding]:
    """Give every row that names what is not there or is ambiguous."""
    found: list[Finding] = []
    for key, row in sorted(rows.items()):
        if isinstance(row, AdapterRow):
            _need(rows, ('model',), row.base, f'{key}:base', found)
        elif isinstance(row, CustomerRow):
            for name in _names(row.models):
                _need(rows, TARGET_KINDS, name, f'{key}:models', found)
        elif isinstance(row, ObjectiveRow):
            kinds = ('customer',)
            _need(rows, kinds, row.customer, f'{key}:customer', found)
            _need(rows, TARGET_KINDS, row.model, f'{key}:model', found)
    return found + _ambiguous(rows)


def _ambiguous(rows: Rows) -> list[Finding]:
    # A caller names a target without its kind.
    found = []
    for key in sorted(rows):
        if key.kind not in TARGET_KINDS:
            continue
        for kind in TARGET_KINDS:
            if kind > key.kind and RowKey(kind, key.name) in rows:
                text = f'{kind}/{key.name} has the same name'
                found.append(Finding(f'{key}:name', text))
    return found


def _reused_versions(before: Rows, after: Rows) -> list[Finding]:
    # Two sets of bytes under one version can't be told apart by the people
    # who look for the one that misbehaves.
    found = []
    for key, row in sorted(after.items()):
        old = before.get(key)
        if not isinstance(row, ModelRow | AdapterRow):
            continue
        if not isinstance(old, ModelRow | AdapterRow):
            continue
        if row.version == old.version and row.digest != old.digest:
            text = (
                f'{row.version!r} already names digest {old.digest}; '
                'other weights need another version'
            )
            found.append(Finding(f'{key}:version', text))
    return found


def _need(
    rows: Rows,
    kinds: tuple[str, ...],
    name: str,
    place: str,
    found: list[Finding],
) -> None:
    if name == ALL or any(RowKey(kind, name) in rows for kind in kinds):
        return
    text = f'{name!r} is no {" or ".join(kinds)} row'
    found.append(Finding(place, text))


def _names(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]
