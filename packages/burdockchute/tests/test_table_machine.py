"""Tests of the reducer against a simple reference, and fuzzing."""

from __future__ import annotations

import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from returns.result import Failure

from burdockchute.model import deltas
from burdockchute.model import records
from burdockchute.model import reducer
from burdockchute.model import rows
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Revisioned
from burdockchute.model.table import Table
from burdockchute.platform import table_log
from burdockchute.wire import codec
from burdockchute_testing.builders import tables
from burdockchute_testing.fakes.log import FakeLog

# Few names, so that edits conflict; few kept ids, so that records older than
# those are tested as well.
NAMES = ('a', 'b', 'c')
SEEN = 5
SETTINGS = hypothesis.settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Reference:
    """The simplest implementation of the log's meaning.

    It keeps all ids and has no snapshots or windows.
    """

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, int]] = {}
        self.ids: list[tuple[int, str]] = []

    def apply(self, offset: int, record: records.EditRecord) -> None:
        """Apply one edit record."""
        if any(record.record_id == known for _at, known in self.ids):
            return
        newest_dropped = self.ids[-SEEN - 1][0] if len(self.ids) > SEEN else -1
        self.ids.append((offset, record.record_id))
        if record.as_of < newest_dropped:
            return
        for edit in record.edits:
            if self.rows.get(edit.key.name, (-1, 0))[0] != edit.base:
                return
        for edit in record.edits:
            if edit.row is None:
                self.rows.pop(edit.key.name, None)
            else:
                self.rows[edit.key.name] = (offset, edit.row.slots)


class TableMachine(stateful.RuleBasedStateMachine):
    """Writers, snapshots, retention and readers on one log."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = mock.patch.object(reducer, 'SEEN_RECORDS', SEEN)
        self.patch.start()
        self.log = FakeLog()
        self.reference = Reference()
        self.follower = EMPTY_TABLE
        self.agent = EMPTY_TABLE
        self.changes = deltas.RecentChanges(max_kept=6)
        self.held: list[Table] = [EMPTY_TABLE]
        self.sent: list[str] = []

    def teardown(self) -> None:
        """Restore the number of kept ids."""
        self.patch.stop()

    def append(self, text: str) -> None:
        offset = self.log.append('table', text).unwrap()
        parsed = records.parse_edit(text, '').value_or(None)
        if parsed is not None:
            self.reference.apply(offset, parsed)

    @stateful.rule(
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        slots=st.integers(1, 9),
        remove=st.booleans(),
        back=st.integers(0, 3),
    )
    def edit(self, names: set[str], slots: int, remove: bool, back: int):
        """Edit rows, based on the current table or an older one."""
        seen = self.held[max(0, len(self.held) - 1 - back)]
        edits = []
        for name in sorted(names):
            key = rows.RowKey('service', name)
            held = seen.rows.get(key)
            base = held.revision if held else -1
            row = None if remove else tables.service(name, slots=slots)
            edits.append(records.RowEdit(key, base, row))
        text = tables.record(f'r{len(self.sent)}', *edits, as_of=seen.offset)
        self.sent.append(text)
        self.append(text)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def append_again(self, data: st.DataObject):
        """Append a duplicate of any earlier record."""
        self.append(data.draw(st.sampled_from(self.sent)))

    @stateful.rule(text=st.sampled_from(['garbage', '{"format": 2}', '[]']))
    def append_garbage(self, text: str):
        """Append text that is no record."""
        self.append(text)

    @stateful.rule(back=st.integers(0, 4))
    def write_snapshot(self, back: int):
        """Write a snapshot of the current table or an older one."""
        self.append(
            tables.snapshot(self.held[max(0, len(self.held) - back) - 1])
        )

    @stateful.rule(count=st.integers(1, 5))
    def follow(self, count: int):
        """Read the next records, in batches of varying size."""
        start = self.follower.offset + 1
        read = self.log.read('table', start, count, 0)
        if isinstance(read, Failure):
            self.restart()
            return
        old = self.follower
        reduced = reducer.apply_all(old, read.unwrap().records)
        self.changes.add(old.offset, reduced.changed_rows)
        self.follower = reduced.table
        self.held.append(self.follower)

    @stateful.rule()
    def restart(self):
        """Load the table from the log alone."""
        loading = table_log.load(self.log)
        if isinstance(loading, Failure):
            assert isinstance(loading.failure(), table_log.Lost)
            return
        loaded = loading.unwrap()
        self.check(loaded.table)
        if loaded.table.offset > self.follower.offset:
            self.follower = loaded.table
            self.held.append(self.follower)
            self.changes.reset()

    @stateful.rule(share=st.floats(0, 1))
    def retention(self, share: float):
        """Trim the oldest records; a snapshot may or may not remain."""
        extent = self.log.extent('table').unwrap()
        kept = extent.next_offset - extent.earliest
        self.log.trim('table', extent.earliest + int(kept * share))

    @stateful.rule()
    def update_agent(self):
        """Send an agent the changes that it is missing."""
        delta = self.changes.since(self.agent.offset, self.follower)
        delta = codec.decode(codec.encode(delta))
        applied = deltas.apply_delta(self.agent, delta).unwrap()
        assert applied.findings == ()
        assert applied.table.offset == self.follower.offset
        assert applied.table.rows == self.follower.rows
        self.agent = applied.table

    @stateful.rule(back=st.integers(1, 5))
    def send_agent_old_table(self, back: int):
        """Send an agent the old table of a process that was paused."""
        old = self.held[max(0, len(self.held) - 1 - back)]
        before = self.agent
        applied = deltas.apply_delta(before, deltas.full_table(old)).unwrap()
        assert applied.table.offset >= before.offset
        if old.offset <= before.offset:
            assert applied.table == before
        self.agent = applied.table

    @stateful.invariant()
    def log_and_reference_agree(self):
        """Compare the reduction of the full stream with the reference."""
        texts = enumerate(self.log.all_records('table'))
        self.check(reducer.apply_all(EMPTY_TABLE, texts).table)

    def check(self, table: Table) -> None:
        found = {
            key.name: (held.revision, held.row.slots)
            for key, held in table.rows.items()
        }
        assert found == self.reference.rows


TableMachine.TestCase.settings = SETTINGS
TableMachineTest = TableMachine.TestCase


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            ['format', 'type', 'id', 'as_of', 'edits', 'rows', 'seen',
             'forgotten', 'kind', 'name', 'base', 'row', 'x']
        ),
        inner,
        max_size=6,
    ),
    max_leaves=25,
)  # fmt: skip


def nearly_valid_records() -> st.SearchStrategy:
    """Return records of a known type with one member replaced."""
    table = tables.table_of(tables.model(), tables.service())
    documents = [
        json.loads(tables.snapshot(table)),
        json.loads(tables.record('r', tables.edit(tables.model()))),
    ]
    return st.builds(
        lambda document, name, value: json.dumps({**document, name: value}),
        st.sampled_from(documents),
        st.sampled_from(['id', 'as_of', 'edits', 'rows', 'seen', 'forgotten']),
        JSON,
    )


class FuzzTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        st.text() | JSON.map(json.dumps) | nearly_valid_records(),
        st.integers(0, 9),
    )
    def test_no_record_makes_the_reducer_fail(self, text: str, offset: int):
        table = tables.table_of(tables.model(), tables.service())
        after, _found = reducer.apply_record(table, offset, text)
        self.assertEqual(max(offset, table.offset), after.offset)
        # A table must be the same after it was written as a snapshot.
        for made in (after, _snapshot_table(text)):
            if made is not None:
                read = records.parse(tables.snapshot(made), '').unwrap()
                self.assertEqual(made, read.table)
                tables.snapshot(made).encode()
                codec.encode(deltas.full_table(made, with_seen=True))

    @SETTINGS
    @hypothesis.given(st.binary(max_size=200))
    def test_bytes_are_a_message_or_a_wire_error(self, data: bytes):
        try:
            codec.decode(data)
        except codec.WireError:
            pass

    @SETTINGS
    @hypothesis.given(st.data())
    def test_corrupt_delta_is_refused_or_moves_forward(
        self, data: st.DataObject
    ):
        table = tables.table_of(tables.model(), tables.service())
        frame = bytearray(
            codec.encode(deltas.full_table(table, with_seen=True))
        )
        for _number in range(data.draw(st.integers(1, 3))):
            at = data.draw(st.integers(0, len(frame) - 1))
            frame[at] = data.draw(st.integers(0, 255))
        try:
            delta = codec.decode(bytes(frame))
        except codec.WireError:
            return
        if not isinstance(delta, codec.ttypes.TableDelta):
            return
        held = Table(0, {key_of('x'): Revisioned(tables.service('x'), 0)})
        applied = deltas.apply_delta(held, delta)
        if not isinstance(applied, Failure):
            after = applied.unwrap().table
            self.assertGreaterEqual(after.offset, held.offset)


def _snapshot_table(text: str) -> Table | None:
    parsed = records.parse(text, '').value_or(None)
    is_snapshot = isinstance(parsed, records.SnapshotRecord)
    return parsed.table if is_snapshot else None


def key_of(name: str) -> rows.RowKey:
    """Return the key of a service row."""
    return rows.RowKey('service', name)
