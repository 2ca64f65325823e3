"""Records of the table's stream in the platform's log, as JSON text.

An edit changes one or more rows atomically; for each row it names the
revision that its writer had read. A snapshot holds the full table as of an
offset, for readers that start there. Anything else in the stream (other
bytes, a newer format) is reported as findings; readers skip it and go on.
"""

from __future__ import annotations

from collections.abc import Mapping
import json
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import checks
from burdockchute.model import findings
from burdockchute.model.findings import Finding
from burdockchute.model.rows import Row
from burdockchute.model.rows import RowKey
from burdockchute.model.table import NO_OFFSET
from burdockchute.model.table import Revisioned
from burdockchute.model.table import SeenRecord
from burdockchute.model.table import Table

FORMAT = 1
TYPES = ('edit', 'snapshot')

# Keeps a record near 100 KB.
MAX_EDITS = 256
MAX_ID_CHARS = 128
MAX_OFFSET = 2**63 - 1


class RowEdit(NamedTuple):
    """The new value of one row, None to remove it.

    `base` is the revision that the writer had read, -1 if there was no row.
    """

    key: RowKey
    base: int
    row: Row | None


class EditRecord(NamedTuple):
    """Edits that are applied together or not at all.

    `as_of` is the offset of the table that the writer had read. `by` and
    `at` (UTC, ISO 8601) are shown in the history and affect nothing else.
    """

    record_id: str
    as_of: int
    edits: tuple[RowEdit, ...]
    by: str = ''
    at: str = ''


class SnapshotRecord(NamedTuple):
    """The full table as of `table.offset`."""

    table: Table


Record = EditRecord | SnapshotRecord


def parse(data: str, place: str) -> Result[Record, list[Finding]]:
    """Return the parsed record, or every finding.

    >>> parse('{"format": 2}', 'table@7').failure()
    [Finding(place='table@7:format', text='2 is not one of 1')]
    """
    head = parse_header(data, place)
    if isinstance(head, Failure):
        return head
    document = head.unwrap()
    if document['type'] == 'snapshot':
        return _parse_snapshot(document, place)
    return _parse_edit(document, place)


def parse_header(
    data: str, place: str
) -> Result[dict[str, Any], list[Finding]]:
    """Return the JSON object of a record of a known format and type."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as exc:
        return Failure([Finding(place, f'not JSON: {exc}')])
    if not isinstance(document, dict):
        return Failure([Finding(place, 'not a JSON object')])
    if document.get('format') != FORMAT:
        text = findings.not_one_of(document.get('format'), [str(FORMAT)])
        return Failure([Finding(f'{place}:format', text)])
    if document.get('type') not in TYPES:
        text = findings.not_one_of(document.get('type'), TYPES)
        return Failure([Finding(f'{place}:type', text)])
    return Success(document)


def parse_edit(
    data: str, place: str
) -> Result[EditRecord | None, list[Finding]]:
    """Return an edit, None for a snapshot, without parsing its rows."""
    head = parse_header(data, place)
    if isinstance(head, Failure):
        return head
    document = head.unwrap()
    if document['type'] == 'snapshot':
        return Success(None)
    return _parse_edit(document, place)


def serialize(record: Record) -> str:
    """Return the text to append; `parse` restores the same record."""
    if isinstance(record, SnapshotRecord):
        return _to_json(_snapshot_document(record.table))
    return _to_json(_edit_document(record))


def snapshot_id(table: Table) -> str:
    """Return a snapshot's id; those of the same offset have the same."""
    return f'snapshot-{table.offset}'


def _to_json(document: Mapping[str, Any]) -> str:
    return json.dumps(
        document, ensure_ascii=False, sort_keys=True, separators=(',', ':')
    )


def _edit_document(record: EditRecord) -> dict[str, Any]:
    return {
        'format': FORMAT,
        'type': 'edit',
        'id': record.record_id,
        'as_of': record.as_of,
        'by': record.by,
        'at': record.at,
        'edits': [
            {
                'kind': edit.key.kind,
                'name': edit.key.name,
                'base': edit.base,
                'row': edit.row and checks.values_of(edit.row),
            }
            for edit in record.edits
        ],
    }


def _snapshot_document(table: Table) -> dict[str, Any]:
    return {
        'format': FORMAT,
        'type': 'snapshot',
        'id': snapshot_id(table),
        'as_of': table.offset,
        'forgotten': table.forgotten,
        'seen': [list(seen) for seen in table.seen],
        'rows': [
            [held.revision, key.kind, checks.values_of(held.row)]
            for key, held in sorted(table.rows.items())
        ],
    }


def _parse_edit(
    document: dict[str, Any], place: str
) -> Result[EditRecord, list[Finding]]:
    found: list[Finding] = []
    record_id = document.get('id')
    if (
        not isinstance(record_id, str)
        or not 0 < len(record_id) <= MAX_ID_CHARS
        or not record_id.isprintable()
    ):
        text = f'{record_id!r} is not text of 1 to {MAX_ID_CHARS} characters'
        found.append(Finding(f'{place}:id', text))
    _require_offset(document, 'as_of', place, found)
    for column in ('by', 'at'):
        if not isinstance(document.get(column, ''), str):
            text = f'{document[column]!r} is not text'
            found.append(Finding(f'{place}:{column}', text))
    edits = _parse_edits(document.get('edits'), place, found)
    if found:
        return Failure(found)
    return Success(
        EditRecord(
            document['id'],
            document['as_of'],
            tuple(edits),
            document.get('by', ''),
            document.get('at', ''),
        )
    )


def _parse_edits(
    documents: Any, place: str, found: list[Finding]
) -> list[RowEdit]:
    if not isinstance(documents, list) or not (
        0 < len(documents) <= MAX_EDITS
    ):
        text = f'must be a list of 1 to {MAX_EDITS} edits'
        found.append(Finding(f'{place}:edits', text))
        return []
    edits: list[RowEdit] = []
    keys: set[RowKey] = set()
    for number, document in enumerate(documents):
        here = f'{place}:edits[{number}]'
        edit = _parse_row_edit(document, here, found)
        if edit is None:
            continue
        if edit.key in keys:
            found.append(Finding(here, f'{edit.key} is edited twice'))
        keys.add(edit.key)
        edits.append(edit)
    return edits


def _parse_row_edit(
    document: Any, place: str, found: list[Finding]
) -> RowEdit | None:
    if not isinstance(document, dict):
        found.append(Finding(place, f'{document!r} is not a JSON object'))
        return None
    try:
        key = checks.parse_key(
            f'{document.get("kind")}/{document.get("name")}'
        )
    except ValueError as exc:
        found.append(Finding(place, str(exc)))
        return None
    _require_offset(document, 'base', place, found)
    base: Any = document.get('base')
    values = document.get('row')
    if values is None:
        return RowEdit(key, base, None)
    row = _parse_row(key, values, place, found)
    return RowEdit(key, base, row) if row is not None else None


def _parse_row(
    key: RowKey, values: Any, place: str, found: list[Finding]
) -> Row | None:
    if not isinstance(values, dict) or values.get('name') != key.name:
        text = f'is not a JSON object of a row named {key.name!r}'
        found.append(Finding(f'{place}:row', text))
        return None
    checked = checks.check_row(key.kind, values, f'{place}:row')
    if isinstance(checked, Failure):
        found.extend(checked.failure())
        return None
    return checked.unwrap()


def _parse_snapshot(
    document: dict[str, Any], place: str
) -> Result[Record, list[Finding]]:
    found: list[Finding] = []
    _require_offset(document, 'as_of', place, found)
    _require_offset(document, 'forgotten', place, found)
    rows = _parse_snapshot_rows(document.get('rows'), place, found)
    seen = _parse_seen(document.get('seen'), place, found)
    if found:
        return Failure(found)
    table = Table(
        document['as_of'],
        MappingProxyType(rows),
        tuple(seen),
        document['forgotten'],
    )
    return Success(SnapshotRecord(table))


def _parse_snapshot_rows(
    items: Any, place: str, found: list[Finding]
) -> dict[RowKey, Revisioned]:
    rows: dict[RowKey, Revisioned] = {}
    if not isinstance(items, list):
        found.append(Finding(f'{place}:rows', 'must be a list'))
        return rows
    for number, item in enumerate(items):
        here = f'{place}:rows[{number}]'
        if not _is_row_item(item):
            text = 'is not [revision, kind, row]'
            found.append(Finding(here, text))
            continue
        revision, kind, values = item
        checked = checks.check_row(kind, values, here)
        if isinstance(checked, Failure):
            found.extend(checked.failure())
            continue
        row = checked.unwrap()
        rows[RowKey(kind, row.name)] = Revisioned(row, revision)
    return rows


def _is_row_item(item: Any) -> bool:
    return (
        isinstance(item, list)
        and len(item) == 3
        and _is_offset(item[0])
        and isinstance(item[1], str)
        and isinstance(item[2], dict)
    )


def _parse_seen(
    items: Any, place: str, found: list[Finding]
) -> list[SeenRecord]:
    if isinstance(items, list) and all(
        isinstance(item, list)
        and len(item) == 2
        and _is_offset(item[0])
        and isinstance(item[1], str)
        for item in items
    ):
        return [SeenRecord(*item) for item in items]
    found.append(Finding(f'{place}:seen', 'must be a list of [offset, id]'))
    return []


def _require_offset(
    document: dict[str, Any], name: str, place: str, found: list[Finding]
) -> None:
    if not _is_offset(document.get(name)):
        text = f'{document.get(name)!r} is not an offset'
        found.append(Finding(f'{place}:{name}', text))


def _is_offset(value: Any) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and NO_OFFSET <= value <= MAX_OFFSET
    )
