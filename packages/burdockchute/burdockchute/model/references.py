"""Checks of references between rows: a row that is named must exist.

They are made before an edit is appended. The reducer does not repeat them:
it applies records in the log's order, and two concurrent edits that are each
valid can together leave a reference without its row. So every process
tolerates a reference to a row that does not exist.
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
    """Return the problems between rows that an edit would introduce.

    The place of a finding is 'kind/name:column'.
    """
    known = set(problems(before))
    found = [finding for finding in problems(after) if finding not in known]
    return found + _reused_versions(before, after)


def problems(rows: Rows) -> list[Finding]:
    """Return a finding for each missing row and each ambiguous name."""
    found: list[Finding] = []
    for key, row in sorted(rows.items()):
        if isinstance(row, AdapterRow):
            _require_row(rows, ('model',), row.base, f'{key}:base', found)
        elif isinstance(row, CustomerRow):
            for name in _split_names(row.models):
                _require_row(rows, TARGET_KINDS, name, f'{key}:models', found)
        elif isinstance(row, ObjectiveRow):
            kinds = ('customer',)
            _require_row(rows, kinds, row.customer, f'{key}:customer', found)
            _require_row(rows, TARGET_KINDS, row.model, f'{key}:model', found)
    return found + _ambiguous_names(rows)


def _ambiguous_names(rows: Rows) -> list[Finding]:
    # A caller names a target without its kind, so names must be unique.
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
    # Two different sets of weights under one version could not be told
    # apart by an operator who looks for the one that misbehaves.
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


def _require_row(
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


def _split_names(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]
