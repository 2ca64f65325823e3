"""Parsing and validation of rows, from CSV cells or JSON values.

Every column of a row is checked before anything is reported, so that an
operator can correct the row in one pass.

>>> check_row('service', {'name': 'proofs', 'slots': '2'}, 'rows.csv:2')
<Success: ServiceRow(name='proofs', placement='*', idempotent=True, \
max_waiting=256, slots=2)>
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import math
import re
from typing import Any
from typing import get_type_hints

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import findings
from burdockchute.model.findings import Finding
from burdockchute.model.rows import Row
from burdockchute.model.rows import ROW_TYPES
from burdockchute.model.rows import RowKey

MAX_NAME_CHARS = 128
MAX_TEXT_CHARS = 4096
PLACEMENT_TERMS = ('instance', 'pool', 'region', 'zone')

# Marks empty text, since an empty cell means the default.
EMPTY_CELL = '-'

Check = Callable[[Any], str]

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*\Z')
_DIGEST = re.compile(r'[0-9a-f]{64}\Z')
_TRUE = ('true', 'yes', '1')
_FALSE = ('false', 'no', '0')


def check_row(
    kind: str, values: Mapping[str, object], place: str
) -> Result[Row, list[Finding]]:
    """Return the row, or every finding with its place and column.

    Values are the text of cells or JSON values. A column that is missing or
    None gets its default; an unknown column is a finding.
    """
    if kind not in ROW_TYPES:
        text = findings.not_one_of(kind, ROW_TYPES)
        return Failure([Finding(f'{place}:kind', text)])
    row_type = ROW_TYPES[kind]
    columns = columns_of(kind)
    found = [
        Finding(f'{place}:{name}', findings.not_one_of(name, columns))
        for name in values
        if name not in columns
    ]
    parsed: dict[str, Any] = {}
    for name in columns:
        value = values.get(name)
        if value is None:
            if name not in row_type._field_defaults:  # type: ignore[attr-defined]
                found.append(Finding(f'{place}:{name}', 'must be given'))
            continue
        try:
            parsed[name] = _parse(kind, name, value)
        except ValueError as exc:
            found.append(Finding(f'{place}:{name}', str(exc)))
    if found:
        return Failure(found)
    return Success(row_type(**parsed))


def columns_of(kind: str) -> tuple[str, ...]:
    """Return the columns of a kind of row, in order."""
    return ROW_TYPES[kind]._fields  # type: ignore[attr-defined]


def values_of(row: Row) -> dict[str, Any]:
    """Return the row as JSON values by column."""
    return row._asdict()


def cells_of(row: Row) -> dict[str, str]:
    """Return the row as CSV cells; `check_row` restores the same row."""
    return {name: _cell(value) for name, value in row._asdict().items()}


def read_cell(text: str) -> str | None:
    """Return a cell's text, None for an empty cell (the default)."""
    text = text.strip()
    if not text:
        return None
    return '' if text == EMPTY_CELL else text


def parse_key(text: str) -> RowKey:
    """Return the key that 'kind/name' stands for; raises ValueError."""
    kind, slash, name = text.partition('/')
    if not slash or kind not in ROW_TYPES:
        raise ValueError(
            f'{text!r} is not KIND/NAME with KIND one of '
            + ', '.join(sorted(ROW_TYPES))
        )
    _raise_problem(_check_name(name))
    return RowKey(kind, name)


def _parse(kind: str, column: str, value: object) -> Any:
    parsed = _PARSERS[_HINTS[kind][column]](value)
    check = _CHECKS.get((kind, column)) or _CHECKS.get(('', column))
    if check is not None:
        _raise_problem(check(parsed))
    return parsed


def _raise_problem(problem: str) -> None:
    if problem:
        raise ValueError(problem)


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if value == '':
        return EMPTY_CELL
    return repr(value) if isinstance(value, float) else str(value)


def _parse_text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is not text')
    if len(value) > MAX_TEXT_CHARS:
        raise ValueError(
            f'text of {len(value)} characters is longer than {MAX_TEXT_CHARS}'
        )
    if not value.isprintable():
        raise ValueError(f'{value!r} has unprintable characters')
    return value


def _parse_int(value: object) -> int:
    error = ValueError(f'{value!r} is not a whole number')
    if isinstance(value, bool) or not isinstance(value, int | str):
        raise error
    try:
        return int(value)
    except ValueError:
        raise error from None


def _parse_float(value: object) -> float:
    error = ValueError(f'{value!r} is not a number')
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise error
    try:
        number = float(value)
    except (ValueError, OverflowError):
        raise error from None
    if not math.isfinite(number):
        raise error
    return number


def _parse_bool(value: object) -> bool:
    if isinstance(value, bool):
        return value
    text = value.lower() if isinstance(value, str) else ''
    if text in _TRUE:
        return True
    if text in _FALSE:
        return False
    raise ValueError(f'{value!r} is not yes or no')


def _check_name(value: str) -> str:
    if _NAME.match(value) and len(value) <= MAX_NAME_CHARS:
        return ''
    return (
        f'{value!r} is not a name: up to {MAX_NAME_CHARS} letters, digits, '
        '- . _ are valid'
    )


def _check_name_or_all(value: str) -> str:
    return '' if value == '*' else _check_name(value)


def _check_names(value: str) -> str:
    invalid = [part for part in _parts(value) if _check_name_or_all(part)]
    return _check_name(invalid[0]) if invalid else ''


def _check_digest(value: str) -> str:
    if _DIGEST.match(value):
        return ''
    return f'{value!r} is not a blake3 digest of 64 hex digits'


def _check_digests(value: str) -> str:
    for part in _parts(value):
        if problem := _check_digest(part):
            return problem
    return ''


def _check_placement(value: str) -> str:
    for part in _parts(value):
        if part == '*':
            continue
        term, colon, name = part.partition(':')
        if not colon or term not in PLACEMENT_TERMS or _check_name(name):
            terms = ', '.join(f'{term}:NAME' for term in PLACEMENT_TERMS)
            return f'{part!r} is not one of *, {terms}'
    return ''


def _parts(value: str) -> list[str]:
    return [part.strip() for part in value.split(',') if part.strip()]


def _in_closed_range(low: float, high: float) -> Check:
    def check(value: float) -> str:
        if low <= value <= high:
            return ''
        return f'{value!r} is not from {low} to {high}'

    return check


def _above_up_to(low: float, high: float) -> Check:
    def check(value: float) -> str:
        if low < value <= high:
            return ''
        return f'{value!r} is not over {low} and at most {high}'

    return check


_PARSERS: dict[type, Callable[[object], Any]] = {
    str: _parse_text,
    int: _parse_int,
    float: _parse_float,
    bool: _parse_bool,
}
_HINTS = {kind: get_type_hints(row) for kind, row in ROW_TYPES.items()}

_MILLION = 1_000_000
_CHECKS: dict[tuple[str, str], Check] = {
    ('', 'name'): _check_name,
    ('', 'version'): _check_name,
    ('', 'digest'): _check_digest,
    ('', 'placement'): _check_placement,
    ('', 'origin_copies'): _above_up_to(0, 100),
    ('', 'max_waiting'): _in_closed_range(0, _MILLION),
    ('model', 'replicas'): _in_closed_range(0, _MILLION),
    ('model', 'loading_share'): _above_up_to(0, 1),
    ('model', 'long_tokens'): _in_closed_range(1, _MILLION * 10),
    ('model', 'long_share'): _above_up_to(0, 1),
    ('adapter', 'base'): _check_name,
    ('customer', 'key_digests'): _check_digests,
    ('customer', 'models'): _check_names,
    ('customer', 'requests_per_s'): _in_closed_range(0, _MILLION),
    ('customer', 'tokens_per_s'): _in_closed_range(0, _MILLION * 1000),
    ('customer', 'burst_s'): _above_up_to(0, 3600),
    ('customer', 'priority'): _in_closed_range(-100, 100),
    ('service', 'slots'): _in_closed_range(1, 100_000),
    ('objective', 'customer'): _check_name_or_all,
    ('objective', 'model'): _check_name_or_all,
    ('objective', 'first_token_s'): _above_up_to(0, 3600),
    ('objective', 'token_interval_s'): _above_up_to(0, 3600),
    ('objective', 'latency_share'): _above_up_to(0, 1),
    ('objective', 'availability'): _above_up_to(0, 1),
}
