"""Tests of the validation of rows from cells and JSON values."""

from __future__ import annotations

import unittest

from burdockchute.model import checks
from burdockchute.model import findings
from burdockchute.model import rows
from burdockchute_testing.builders import tables


class CheckRowTest(unittest.TestCase):
    def test_cells_are_read_back_the_same(self):
        for row in (
            tables.model(origin_copies=0.1, checks_fencing=False),
            tables.customer(models='story,proofs', burst_s=1e-3),
            rows.AdapterRow('rhymes', '2', tables.digest(), 'story'),
            tables.service(placement=''),
            rows.ObjectiveRow('quick'),
        ):
            cells = {
                name: checks.read_cell(cell)
                for name, cell in checks.cells_of(row).items()
            }
            kind = rows.key_of(row).kind
            with self.subTest(kind):
                read = checks.check_row(kind, cells, 'f').unwrap()
                self.assertEqual(row, read)

    def test_every_finding_is_reported_with_its_column(self):
        values = {
            'name': 'a b',
            'digest': 'abc',
            'placement': 'zone:a,rack:7',
            'loading_share': '0',
            'replicas': 'many',
            'colour': 'red',
        }
        found = checks.check_row('model', values, 'rows.csv:3').failure()
        self.assertEqual(
            [
                'rows.csv:3:colour',
                'rows.csv:3:digest',
                'rows.csv:3:loading_share',
                'rows.csv:3:name',
                'rows.csv:3:placement',
                'rows.csv:3:replicas',
                'rows.csv:3:version',
            ],
            sorted(finding.place for finding in found),
        )

    def test_values_of_the_wrong_type(self):
        for column, value, text in (
            ('replicas', True, 'True is not a whole number'),
            ('replicas', 1.5, '1.5 is not a whole number'),
            ('loading_share', 'nan', "'nan' is not a number"),
            ('loading_share', 10**400, f'{10**400} is not a number'),
            ('checks_fencing', 'maybe', "'maybe' is not yes or no"),
            ('placement', '\ud800', "'\\ud800' has unprintable characters"),
        ):
            values = tables.model()._asdict() | {column: value}
            with self.subTest(column=column, value=value):
                found = checks.check_row('model', values, 'f:1').failure()
                self.assertEqual(
                    [findings.Finding(f'f:1:{column}', text)], found
                )

    def test_unknown_kind(self):
        found = checks.check_row('rack', {}, 'f:1').failure()
        self.assertEqual(
            [
                findings.Finding(
                    'f:1:kind',
                    "'rack' is not one of adapter, customer, model, "
                    'objective, service',
                )
            ],
            found,
        )

    def test_key(self):
        self.assertEqual(
            rows.RowKey('model', 'story'), checks.parse_key('model/story')
        )
        for text in ('story', 'rack/a', 'model/', 'model/a/b'):
            with self.subTest(text), self.assertRaises(ValueError):
                checks.parse_key(text)
