"""What grows with the rows of the table: a part of the bench of the table."""

from __future__ import annotations

import time

import psutil

from burdockchute.model import deltas
from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.platform import table_log
from burdockchute.platform.log import LogClient
from burdockchute.wire import codec
from burdockchute_testing import processes
from burdockchute_testing.benches import results
from burdockchute_testing.harness import System

BENCH = 'table'
START_S = 3.0
RESIDENT_MB = 128


def run(count: int) -> None:
    """Measure a fresh entry and the costs that grow with the rows."""
    case = f'{count} rows'
    table = _table_of(count)
    text = records.serialize(records.SnapshotRecord(table))
    results.emit(BENCH, case, 'snapshot', len(text.encode()), 'B')
    delta = codec.encode(deltas.full_table(table))
    results.emit(BENCH, case, 'whole table for an agent', len(delta), 'B')
    started = time.process_time()
    deltas.apply_delta(EMPTY_TABLE, codec.decode(delta)).unwrap()
    taken = time.process_time() - started
    results.emit(BENCH, case, 'agent takes the whole table', taken, 's')
    started = time.process_time()
    reducer.apply_all(table, [(table.offset + 1, _edit_of(table))])
    taken = 1000 * (time.process_time() - started)
    results.emit(BENCH, case, 'reduce one edit', taken, 'ms')
    _start_from(case, table, text)


def _table_of(count: int) -> Table:
    texts = []
    for start in range(0, count, records.MAX_EDITS):
        edits = tuple(
            _set(number)
            for number in range(start, min(count, start + records.MAX_EDITS))
        )
        record = records.EditRecord(f'row-{start}', start - 1, edits)
        texts.append((start, records.serialize(record)))
    return reducer.apply_all(EMPTY_TABLE, texts).table


def _set(number: int) -> records.RowEdit:
    row = rows.ModelRow(f'model-{number}', '1', f'{number:064x}')
    return records.RowEdit(rows.key_of(row), -1, row)


def _edit_of(table: Table) -> str:
    key, held = next(iter(table.rows.items()))
    edit = records.RowEdit(key, held.revision, None)
    return records.serialize(records.EditRecord('one', table.offset, (edit,)))


def _start_from(case: str, table: Table, snapshot: str) -> None:
    with System() as system:
        system.add_platform(log={'gap_share': 0})
        log = LogClient(system.url('log'))
        while True:
            offset = log.append(table_log.STREAM, 'filler').unwrap()
            if offset >= table.offset:
                break
        log.append(table_log.STREAM, snapshot).unwrap()
        trim = {'stream': table_log.STREAM, 'before': table.offset + 1}
        system.set_faults('log', trim=trim)
        started = time.monotonic()
        system.add_entry('fresh')
        system.wait_ready('fresh')
        taken = time.monotonic() - started
        results.emit(
            BENCH, case, 'a fresh entry is ready after', taken, 's', START_S
        )
        rss = psutil.Process(system['fresh'].pid).memory_info().rss
        results.emit(
            BENCH, case, 'resident entry', rss / 1e6, 'MB', RESIDENT_MB
        )
        if system.status('fresh')['table']['rows'] != len(table.rows):
            raise processes.ProcessFailed('the fresh entry lacks rows')
