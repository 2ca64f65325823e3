"""The table's commands with an in-memory log."""

from __future__ import annotations

import argparse
import io
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from returns.result import Success

from burdockchute.model import reducer
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table
from burdockchute.operators import table_commands
from burdockchute.operators import table_writer
from burdockchute_testing.builders import tables
from burdockchute_testing.fakes.log import FakeLog

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLES = ROOT / 'docs' / 'operators' / 'examples'
ENVIRON = {
    'BURDOCKCHUTE_LOG_URL': 'http://127.0.0.1:1',
    'BURDOCKCHUTE_BY': 'ana',
    'BURDOCKCHUTE_TIMEOUT_S': '3',
}
STORY = f'digest={tables.digest("1")}'


class Terminal(io.StringIO):
    """Standard input that is a terminal."""

    def isatty(self) -> bool:
        """Return that it is a terminal."""
        return True


class TableCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog()

    def run_table(self, *words: str, stdin: io.StringIO | None = None):
        """Return exit status, standard output and standard error."""
        parser = argparse.ArgumentParser()
        table_commands.add_parser(parser.add_subparsers())
        console = table_commands.Console(
            stdin or io.StringIO(), io.StringIO(), io.StringIO()
        )
        status = table_commands.run(
            parser.parse_args(['table', *words]),
            ENVIRON,
            lambda url: self.log,
            console,
        )
        return status, console.stdout.getvalue(), console.stderr.getvalue()

    def table(self) -> Table:
        texts = enumerate(self.log.all_records('table'))
        return reducer.apply_all(EMPTY_TABLE, texts).table

    def add_story(self) -> None:
        status, _out, _err = self.run_table(
            'set', 'model/story', 'version=1', STORY
        )
        self.assertEqual(0, status)

    def test_set_adds_a_row_and_changes_columns(self):
        self.add_story()
        status, out, err = self.run_table(
            'set', 'model/story', 'replicas=3', 'placement='
        )
        self.assertEqual(
            (
                0,
                'change model/story (revision 0)\n'
                '    placement: * -> -\n'
                '    replicas: 0 -> 3\n'
                'accepted at offset 1: 1 rows\n',
                '',
            ),
            (status, out, err),
        )
        _status, out, _err = self.run_table('list')
        self.assertEqual(
            f'model/story revision=1 version=1 {STORY} placement=- '
            'replicas=3\n',
            out,
        )

    def test_bad_input_lists_all_findings_and_appends_nothing(self):
        status, _out, err = self.run_table(
            'set', 'model/story', 'digest=x', 'replicas=-1', 'colour=red'
        )
        self.assertEqual(2, status)
        for place in ('colour', 'digest', 'replicas', 'version'):
            self.assertIn(f'model/story:{place}: ', err)
        for words in (
            ('set', 'story', 'version=1'),
            ('set', 'model/story', 'version'),
            ('remove', 'model/story'),
            ('import', '/no/such/file.csv'),
            ('history', 'story'),
        ):
            with self.subTest(words):
                self.assertEqual(2, self.run_table(*words)[0])
        self.assertEqual(0, self.log.appends)

    def test_version_that_is_used_again_for_other_weights(self):
        self.add_story()
        status, _out, err = self.run_table(
            'set', 'model/story', f'digest={tables.digest("2")}'
        )
        self.assertEqual(2, status)
        self.assertIn("model/story:version: '1' already names digest", err)

    def test_referenced_row_can_not_be_removed(self):
        self.add_story()
        self.run_table(
            'set', 'adapter/rhymes', 'version=1', STORY, 'base=story'
        )
        status, _out, err = self.run_table('remove', 'model/story')
        self.assertEqual(2, status)
        self.assertEqual("adapter/rhymes:base: 'story' is no model row\n", err)
        status, out, _err = self.run_table(
            'remove', 'model/story', 'adapter/rhymes'
        )
        self.assertEqual(0, status)
        self.assertEqual({}, dict(self.table().rows))

    def test_second_of_two_operators_sees_the_current_row(self):
        # A colleague saves the same row between our read and our append. Our
        # edit would silently undo the colleague's change.
        self.add_story()
        append = self.log.append
        row = tables.model(version='7', digest=tables.digest('7'))
        text = tables.record('other', tables.edit(row, 0), as_of=0)

        def after_another(stream, data):
            self.log.append = append
            append(stream, text)
            return append(stream, data)

        self.log.append = after_another
        status, _out, err = self.run_table(
            'set', 'model/story', 'version=2', f'digest={tables.digest("2")}'
        )
        self.assertEqual(1, status)
        self.assertEqual(
            'nothing saved: model/story was edited from revision 0, but the '
            'present is 1\n'
            'the present row: model/story revision=1 version=7 '
            f'digest={tables.digest("7")}\n',
            err,
        )
        self.assertEqual([row], [h.row for h in self.table().rows.values()])

    def test_reply_of_the_append_is_lost(self):
        # The log accepted the record but the reply was lost. If told "not
        # saved", operators would save again and conflict with their own edit.
        self.log.lose_replies = 1
        self.add_story()
        self.assertEqual(1, len(self.log.all_records('table')))

    def test_append_is_lost_without_effect(self):
        self.log.lose_appends = 1
        with mock.patch.object(table_writer, 'SEARCH_S', 0.1):
            self.add_story()
        self.assertEqual(1, len(self.log.all_records('table')))

    def test_first_copy_comes_after_the_second(self):
        # The first append was only slow. Its copy arrives after the record
        # was appended again. The edit must neither be applied twice nor be
        # refused as conflicting with itself.
        append = self.log.append
        held = []

        def slow(stream, data):
            if not held:
                held.append(data)
                self.log.lose_appends = 1
                return append(stream, data)
            append(stream, held[0])
            return append(stream, data)

        self.log.append = slow
        with mock.patch.object(table_writer, 'SEARCH_S', 0.1):
            self.add_story()
        self.assertEqual(2, len(self.log.all_records('table')))
        self.assertEqual(1, len(self.table().rows))

    def test_outage_saves_nothing_and_says_so(self):
        self.add_story()
        load = table_commands.table_log.load

        def load_then_outage(log):
            loaded = load(log)
            self.log.down = True
            return loaded

        with mock.patch.object(
            table_commands.table_log, 'load', load_then_outage
        ):
            status, _out, err = self.run_table(
                'set', 'model/story', 'replicas=2'
            )
        self.assertEqual(1, status)
        self.assertIn('nothing saved: the log said Unavailable', err)
        status, _out, err = self.run_table('list')
        self.assertEqual(1, status)
        self.assertIn('no table: the log said Unavailable', err)

    def test_outage_after_the_append_leaves_the_outcome_unknown(self):
        self.add_story()
        append = self.log.append

        def append_then_outage(stream, data):
            done = append(stream, data)
            self.log.down = True
            return done

        self.log.append = append_then_outage
        status, _out, err = self.run_table(
            'set', 'model/story', 'replicas=2', '--timeout-s', '0.3'
        )
        self.assertEqual(1, status)
        self.assertIn('it is not known whether this was saved', err)

    def test_asks_only_at_a_terminal(self):
        words = ('set', 'service/proofs', 'slots=2')
        for answer, saved in (('', 0), ('n\n', 0), ('y\n', 1)):
            status, out, _err = self.run_table(*words, stdin=Terminal(answer))
            with self.subTest(answer):
                self.assertIn('Save? [y/N]', out)
                self.assertEqual(saved, len(self.table().rows))
                self.assertEqual(1 - saved, status)
        _status, out, _err = self.run_table(
            'set', 'service/other', 'slots=2', '--yes', stdin=Terminal()
        )
        self.assertNotIn('Save?', out)

    def test_nothing_to_change(self):
        self.add_story()
        self.assertEqual(
            (0, 'nothing to change\n', ''),
            self.run_table('set', 'model/story', 'version=1'),
        )
        self.assertEqual(1, self.log.appends)

    def test_dry_run(self):
        status, out, _err = self.run_table(
            'set', 'service/proofs', 'slots=2', '--dry-run'
        )
        self.assertEqual(0, status)
        self.assertTrue(out.startswith('add service/proofs\n'))
        self.assertEqual(0, self.log.appends)

    def write_file(self, text: str) -> str:
        handle, path = tempfile.mkstemp(suffix='.csv')
        os.write(handle, text.encode())
        os.close(handle)
        self.addCleanup(os.unlink, path)
        return path

    def test_export_and_import(self):
        self.add_story()
        self.run_table('set', 'service/proofs', 'slots=2')
        _status, text, _err = self.run_table('export')
        path = self.write_file(text.replace('*', 'pool:gpu'))
        status, out, err = self.run_table('import', path)
        self.assertEqual((0, ''), (status, err))
        self.assertEqual(
            {'pool:gpu'},
            {held.row.placement for held in self.table().rows.values()},
        )
        self.assertIn('accepted at offset 2: 2 rows', out)

    def test_import_of_a_file_older_than_a_colleagues_change(self):
        # After the export a colleague changes a row, and the file is imported
        # with changes to other rows. It must not overwrite that row.
        self.add_story()
        _status, text, _err = self.run_table('export')
        self.run_table('set', 'model/story', 'replicas=5')
        status, _out, err = self.run_table('import', self.write_file(text))
        self.assertEqual(2, status)
        self.assertIn('changed since revision 0; the present row: ', err)
        self.assertIn('replicas=5', err)

    def test_import_is_validated_as_a_whole(self):
        path = self.write_file(
            'kind,name,base,version,digest,slots\n'
            'service,proofs,,,,4\n'
            f'adapter,rhymes,story,1,{tables.digest()},\n'
        )
        status, _out, err = self.run_table('import', path)
        self.assertEqual(2, status)
        self.assertEqual(
            f"{path}:3:base: adapter/rhymes: 'story' is no model row\n", err
        )
        self.assertEqual(0, self.log.appends)

    def test_import_that_removes(self):
        self.add_story()
        path = self.write_file('kind,name,slots\nservice,proofs,4\n')
        status, out, _err = self.run_table('import', '--remove-missing', path)
        self.assertEqual(0, status)
        self.assertIn('remove model/story (revision 0)', out)
        self.assertEqual(1, len(self.table().rows))

    def test_large_import_is_several_records(self):
        lines = [f'service,s{number},1' for number in range(600)]
        path = self.write_file('\n'.join(['kind,name,slots', *lines]))
        status, _out, _err = self.run_table('import', path)
        self.assertEqual(0, status)
        self.assertEqual(3, self.log.appends)
        self.assertEqual(600, len(self.table().rows))

    def test_example_tables_are_accepted(self):
        for name, rows in (('lindwurm', 18), ('sahyog', 17)):
            self.log = FakeLog()
            path = str(EXAMPLES / f'{name}.csv')
            status, _out, err = self.run_table('import', path)
            with self.subTest(name):
                self.assertEqual((0, ''), (status, err))
                self.assertEqual(rows, len(self.table().rows))

    def test_history(self):
        self.add_story()
        self.log.append('table', 'garbage')
        self.run_table('set', 'service/proofs', 'slots=2')
        late = tables.record('late', tables.edit(tables.model()))
        self.assertEqual(Success(3), self.log.append('table', late))
        status, out, _err = self.run_table('history')
        self.assertEqual(0, status)
        self.assertIn(' ana: accepted\nadd model/story\n', out)
        self.assertIn('1  ?: not a record\ntable@1: not JSON', out)
        self.assertIn(
            '3  ?: refused: model/story was edited from revision -1', out
        )
        _status, out, _err = self.run_table('history', 'service/proofs')
        self.assertEqual(1, out.count('accepted'))
        self.assertNotIn('story', out)

    def test_history_after_retention(self):
        self.add_story()
        self.run_table('set', 'service/proofs', 'slots=2')
        self.log.append('table', tables.snapshot(self.table()))
        self.run_table('set', 'service/proofs', 'slots=3')
        self.log.trim('table', 1)
        _status, out, _err = self.run_table('history')
        self.assertEqual(1, out.count('no longer known'))
        self.assertIn('slots: 2 -> 3', out)
