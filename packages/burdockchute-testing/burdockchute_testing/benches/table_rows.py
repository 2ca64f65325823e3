"""Costs that grow with the rows of the table, for the table benchmark."""

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
MAX_START_S = 3.0
MAX_RESIDENT_MB = 128


def measure(count: int) -> None:
    """Measure the start of a new entry and the costs per table size."""
    case = f'{count} rows'
    table = _build_table(count)
    text = records.serialize(records.SnapshotRecord(table))
    results.emit(BENCH, case, 'snapshot', len(text.encode()), 'B')
    delta = codec.encode(deltas.full_table(table))
    results.emit(BENCH, case, 'whole table for an agent', len(delta), 'B')
    started = time.process_time()
    deltas.apply_delta(EMPTY_TABLE, codec.decode(delta)).unwrap()
    elapsed = time.process_time() - started
    results.emit(BENCH, case, 'agent takes the whole table', elapsed, 's')
    started = time.process_time()
    reducer.apply_all(table, [(table.offset + 1, _row_deletion(table))])
    elapsed = 1000 * (time.process_time() - started)
    results.emit(BENCH, case, 'reduce one edit', elapsed, 'ms')
    _measure_start(case, table, text)


def _build_table(count: int) -> Table:
    texts = []
    for start in range(0, count, records.MAX_EDITS):
        edits = tuple(
            _row_insert(number)
            for number in range(start, min(count, start + records.MAX_EDITS))
        )
        record = records.EditRecord(f'row-{start}', start - 1, edits)
        texts.append((start, records.serialize(record)))
    return reducer.apply_all(EMPTY_TABLE, texts).table


def _row_insert(number: int) -> records.RowEdit:
    row = rows.ModelRow(f'model-{number}', '1', f'{number:064x}')
    return records.RowEdit(rows.key_of(row), -1, row)


def _row_deletion(table: Table) -> str:
    key, current = next(iter(table.rows.items()))
    edit = records.RowEdit(key, current.revision, None)
    return records.serialize(records.EditRecord('one', table.offset, (edit,)))


def _measure_start(case: str, table: Table, snapshot: str) -> None:
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
        elapsed = time.monotonic() - started
        results.emit(
            BENCH,
            case,
            'a fresh entry is ready after',
            elapsed,
            's',
            MAX_START_S,
        )
        rss = psutil.Process(system['fresh'].pid).memory_info().rss
        results.emit(
            BENCH, case, 'resident entry', rss / 1e6, 'MB', MAX_RESIDENT_MB
        )
        if system.status('fresh')['table']['rows'] != len(table.rows):
            raise processes.ProcessFailed(
                'the new entry does not have all rows of the table'
            )
