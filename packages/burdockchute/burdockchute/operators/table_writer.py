"""Saves edits: appends them to the log and reads back their verdict.

The reply to an append says only that the record is in the log. Whether it is
accepted depends on the records before it, so the writer reads the stream up
to its own record and evaluates it as every process does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from burdockchute.model import reducer
from burdockchute.model.records import EditRecord
from burdockchute.model.records import parse_edit
from burdockchute.model.records import serialize
from burdockchute.model.table import Table
from burdockchute.platform import table_log
from burdockchute.platform.log import Log
from burdockchute.platform.log import LogError
from burdockchute.platform.log import RateLimited
from burdockchute.platform.log import Unsure

POLL_S = 1.0
RETRY_S = 0.5

# If an append gets no reply, the log is searched for the record for this long
# before it is appended again. If the first copy arrives after that, the
# reducer ignores the second one by its id.
SEARCH_S = 2.0


class Saved(NamedTuple):
    """The record at `offset` was accepted; `table` includes it."""

    offset: int
    table: Table


class EditRefused(NamedTuple):
    """The record is in the log, but every process refuses it."""

    offset: int
    verdict: reducer.Verdict
    table: Table


class NotAppended(NamedTuple):
    """The log did not accept the record; nothing was changed."""

    error: LogError


class NotReadBack(NamedTuple):
    """The record may be in the log; its verdict is not known."""

    record_id: str
    error: str


NotSaved = EditRefused | NotAppended | NotReadBack


def save(
    log: Log,
    table: Table,
    record: EditRecord,
    timeout_s: float,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> Result[Saved, NotSaved]:
    """Append one record and wait until it is read back.

    `table` is the table that was edited. `clock` returns seconds.
    """
    deadline = clock() + timeout_s
    text = serialize(record)
    maybe_appended = False
    error: object = ''
    while clock() < deadline:
        appended = log.append(table_log.STREAM, text)
        if isinstance(appended, Failure):
            error = appended.failure()
            if isinstance(error, RateLimited):
                sleep(max(RETRY_S, error.retry_after_s))
                continue
            if not isinstance(error, Unsure) and not maybe_appended:
                break
        maybe_appended = True
        is_appended = isinstance(appended, Success)
        search_deadline = (
            deadline if is_appended else min(deadline, clock() + SEARCH_S)
        )
        found = _find_record(log, table, record, search_deadline, clock, sleep)
        if found is not None:
            return found
    if maybe_appended:
        reason = str(error) or 'it was not read back in time'
        return Failure(NotReadBack(record.record_id, reason))
    return Failure(NotAppended(error))  # type: ignore[arg-type]


def _find_record(
    log: Log,
    table: Table,
    record: EditRecord,
    deadline: float,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> Result[Saved, NotSaved] | None:
    """Read up to the record; None if it is not found before the deadline."""
    start = table.offset + 1
    while clock() < deadline:
        wait_s = max(0.0, min(POLL_S, deadline - clock()))
        read = log.read(table_log.STREAM, start, table_log.MAX_RECORDS, wait_s)
        if isinstance(read, Failure):
            sleep(RETRY_S)
            continue
        batch = read.unwrap()
        for offset, data in batch.records:
            if _is_record(record, offset, data):
                return _evaluate(table, offset, record)
            table, _findings = reducer.apply_record(table, offset, data)
        start = batch.next_offset
    return None


def _is_record(record: EditRecord, offset: int, data: str) -> bool:
    if record.record_id not in data:
        return False
    parsed = parse_edit(data, reducer.place_of(offset)).value_or(None)
    return parsed is not None and parsed.record_id == record.record_id


def _evaluate(
    table: Table, offset: int, record: EditRecord
) -> Result[Saved, NotSaved]:
    verdict = reducer.evaluate_edit(table, offset, record)
    after, _findings = reducer.apply_record(table, offset, serialize(record))
    if isinstance(verdict, reducer.Accepted):
        return Success(Saved(offset, after))
    return Failure(EditRefused(offset, verdict, after))
