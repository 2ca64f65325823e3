"""The table as CSV, as opened and saved by spreadsheets.

Each row has one line: its kind, name and revision, then the columns of all
kinds. An empty cell means the default and '-' the empty text. A cell of a
column that the row's kind does not have must be empty. Cells may be separated
by ',' or ';'.
"""

from __future__ import annotations

from collections.abc import Mapping
import csv
import io
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import checks
from burdockchute.model import findings
from burdockchute.model.findings import Finding
from burdockchute.model.rows import key_of
from burdockchute.model.rows import KINDS
from burdockchute.model.rows import Row
from burdockchute.model.rows import RowKey
from burdockchute.model.table import Revisioned

LEADING_COLUMNS = ('kind', 'name', 'revision')


class ReadRow(NamedTuple):
    """One line of a file.

    `revision` is the row's revision at the time of the export, None if the
    cell is empty.
    """

    place: str
    row: Row
    revision: int | None


def columns() -> tuple[str, ...]:
    """Return the columns of a file, in order."""
    found = list(LEADING_COLUMNS)
    for kind in KINDS:
        for name in checks.columns_of(kind):
            if name not in found:
                found.append(name)
    return tuple(found)


def write(rows: Mapping[RowKey, Revisioned]) -> str:
    """Return the text of a file, with rows ordered by kind and name."""
    out = io.StringIO()
    writer = csv.DictWriter(out, columns(), restval='', lineterminator='\n')
    writer.writeheader()
    for key, revisioned in sorted(rows.items()):
        cells = checks.cells_of(revisioned.row)
        cells |= {'kind': key.kind, 'revision': str(revisioned.revision)}
        writer.writerow(cells)
    return out.getvalue()


def read(data: bytes, file_name: str) -> Result[list[ReadRow], list[Finding]]:
    """Return the rows, or all findings with places as file:line:column."""
    try:
        text = data.decode('utf-8-sig')
    except UnicodeDecodeError as exc:
        return Failure([Finding(file_name, f'not UTF-8: {exc}')])
    reader = csv.reader(
        io.StringIO(text, newline=''), delimiter=_delimiter(text), strict=True
    )
    found: list[Finding] = []
    rows: list[ReadRow] = []
    try:
        names = [name.strip() for name in next(reader, [])]
        _check_header(names, f'{file_name}:1', found)
        for cells in [] if found else reader:
            place = f'{file_name}:{reader.line_num}'
            if any(cell.strip() for cell in cells):
                _read_line(names, cells, place, rows, found)
    except csv.Error as exc:
        found.append(Finding(f'{file_name}:{reader.line_num}', str(exc)))
    _find_duplicates(rows, found)
    return Failure(found) if found else Success(rows)


def _delimiter(text: str) -> str:
    # Spreadsheets write ';' in locales with a decimal comma.
    header = text.partition('\n')[0]
    return ';' if ';' in header and ',' not in header else ','


def _check_header(names: list[str], place: str, found: list[Finding]) -> None:
    for name in ('kind', 'name'):
        if name not in names:
            found.append(Finding(place, f'the column {name!r} is missing'))
    for number, name in enumerate(names):
        if name not in columns():
            text = findings.not_one_of(name, columns())
            found.append(Finding(f'{place}:{number + 1}', text))
        if name in names[:number]:
            text = f'the column {name!r} is there twice'
            found.append(Finding(f'{place}:{number + 1}', text))


def _read_line(
    names: list[str],
    cells: list[str],
    place: str,
    rows: list[ReadRow],
    found: list[Finding],
) -> None:
    if len(cells) > len(names):
        text = f'{len(cells)} cells under {len(names)} columns'
        found.append(Finding(place, text))
        return
    values = {
        name: value
        for name, cell in zip(names, cells, strict=False)
        if (value := checks.read_cell(cell)) is not None
    }
    kind = values.pop('kind', '')
    revision = _read_revision(values.pop('revision', None), place, found)
    checked = checks.check_row(kind, values, place)
    if isinstance(checked, Failure):
        found.extend(checked.failure())
        return
    rows.append(ReadRow(place, checked.unwrap(), revision))


def _read_revision(
    text: str | None, place: str, found: list[Finding]
) -> int | None:
    if text is None:
        return None
    if not text.isdecimal():
        found.append(
            Finding(f'{place}:revision', f'{text!r} is not a revision')
        )
        return None
    return int(text)


def _find_duplicates(rows: list[ReadRow], found: list[Finding]) -> None:
    first: dict[RowKey, str] = {}
    for read_row in rows:
        key = key_of(read_row.row)
        if key in first:
            text = f'{key} is already at {first[key]}'
            found.append(Finding(read_row.place, text))
        first.setdefault(key, read_row.place)
