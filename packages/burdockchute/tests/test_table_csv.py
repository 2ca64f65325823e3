"""The table as CSV."""

from __future__ import annotations

import unittest

from burdockchute.model import findings
from burdockchute.model import rows
from burdockchute.operators import table_csv
from burdockchute_testing.builders import tables

TABLE = tables.table_of(
    tables.model(placement='pool:gpu,zone:graz-1', origin_copies=0.5),
    rows.AdapterRow('rhymes', '3', tables.digest(), 'story'),
    tables.customer(models=''),
    tables.service(idempotent=False),
    rows.ObjectiveRow('quick', model='story'),
)


class TableCsvTest(unittest.TestCase):
    def test_file_is_read_back_the_same(self):
        text = table_csv.write(TABLE.rows)
        for data in (
            text.encode(),
            text.encode('utf-8-sig'),
            text.replace('\n', '\r\n').encode(),
        ):
            read = table_csv.read(data, 'f.csv').unwrap()
            self.assertEqual(
                {held.row: held.revision for held in TABLE.rows.values()},
                {line.row: line.revision for line in read},
            )

    def test_semicolons_and_missing_columns(self):
        data = b'kind;name;slots\nservice;proofs;3\n;;\n'
        self.assertEqual(
            [
                table_csv.ReadRow(
                    'f.csv:2', rows.ServiceRow('proofs', slots=3), None
                )
            ],
            table_csv.read(data, 'f.csv').unwrap(),
        )

    def test_every_finding_has_file_line_and_column(self):
        data = (
            b'kind,name,slots,priority,revision\n'
            b'service,a b,0,,\n'
            b'service,c,2,7,x\n'
            b'rack,d,,,\n'
            b'service,e,,,\n'
            b'service,e,,,\n'
            b'service,f,,,,more\n'
        )
        found = table_csv.read(data, 'f.csv').failure()
        self.assertEqual(
            [
                'f.csv:2:name',
                'f.csv:2:slots',
                'f.csv:3:priority',
                'f.csv:3:revision',
                'f.csv:4:kind',
                'f.csv:6',
                'f.csv:7',
            ],
            sorted(finding.place for finding in found),
        )

    def test_files_that_are_no_table(self):
        for data, text in (
            (b'', "the column 'kind' is missing"),
            (b'kind,name,kind\n', "the column 'kind' is there twice"),
            (b'kind,name\n"', 'unexpected end of data'),
            (b'\xff\xfe', 'not UTF-8'),
        ):
            found = table_csv.read(data, 'f.csv').failure()
            with self.subTest(data):
                self.assertIn(text, findings.render_all(found))
