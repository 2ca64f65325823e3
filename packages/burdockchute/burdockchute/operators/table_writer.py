"""Save edits: append them and read back what became of them.

An append's reply says only that the record is in the log. Whether it is
accepted is decided by the records before it, so the writer follows the
stream to its own record and judges it as every process does.
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

# A record whose append got no reply is looked for this long before it is
# appended again. Should the first copy still come after that, the reducer
# ignores the second by its id.
SEARCH_S = 2.0


class Saved(NamedTuple):
    """The record at `offset` is in force; `table` is the one after it."""

    offset: int
    table: Table


class EditRefused(NamedTuple):
    """The record is in the log but every process refuses it."""

    offset: int
    verdict: reducer.Verdict
    table: Table


class NotAppended(NamedTuple):
    """The log did not take the record; nothing was changed."""

    error: LogError


class NotReadBack(NamedTuple):
    """The record may be in the log; what became of it can't be told yet."""

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

    `table` is the one that the edits were made from. `clock` gives seconds.
    """
    until = clock() + timeout_s
    text = serialize(record)
    maybe_appended = False
    error: object = ''
    while clock() < until:
        appended = log.append(table_log.STREAM, text)
        if isinstance(appended, Failure):
            error = appended.failure()
            if isinstance(error, RateLimited):
                sleep(max(RETRY_S, error.retry_after_s))
                continue
            if not isinstance(error, Unsure) and not maybe_appended:
                break
        maybe_appended = True
        is_sure = isinstance(appended, Success)
        look_until = until if is_sure else min(until, clock() + SEARCH_S)
        found = _follow(log, table, record, look_until, clock, sleep)
        if found is not None:
            return found
    if maybe_appended:
        reason = str(error) or 'it was not read back in time'
        return Failure(NotReadBack(record.record_id, reason))
    return Failure(NotAppended(error))  # type: ignore[arg-type]


def _follow(
    log: Log,
    table: Table,
    record: EditRecord,
    until: float,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> Result[Saved, NotSaved] | None:
    """Read on to the record; None if it does not come in time."""
    start = table.offset + 1
    while clock() < until:
        wait_s = max(0.0, min(POLL_S, until - clock()))
        read = log.read(table_log.STREAM, start, table_log.MAX_RECORDS, wait_s)
        if isinstance(read, Failure):
            sleep(RETRY_S)
            continue
        batch = read.unwrap()
        for offset, data in batch.records:
            if _is_same(record, offset, data):
                return _judged(table, offset, record)
            table, _findings = reducer.apply_record(table, offset, data)
        start = batch.next_offset
    return None


def _is_same(record: EditRecord, offset: int, data: str) -> bool:
    if record.record_id not in data:
        return False
    parsed = parse_edit(data, reducer.place_of(offset)).value_or(None)
    return parsed is not None and parsed.record_id == record.record_id


def _judged(
    table: Table, offset: int, record: EditRecord
) -> Result[Saved, NotSaved]:
    verdict = reducer.evaluate_edit(table, offset, record)
    after, _findings = reducer.apply_record(table, offset, serialize(record))
    if isinstance(verdict, reducer.Accepted):
        return Success(Saved(offset, after))
    return Failure(EditRefused(offset, verdict, after))
