"""When and why requests were not answered, from the logs of entries."""

from __future__ import annotations

import argparse
import unittest

from burdockchute.operators import losses

NO_PLACE = 'not-run: no place came free in {} s'


def line(second, event, **fields):
    pairs = ' '.join(f'{name}="{value}"' for name, value in fields.items())
    return (
        f'at="2026-01-02 03:04:{second:06.3f}" event={event} {pairs}'.replace(
            '.', ',', 1
        )
    )


def finished(second, outcome, status):
    return line(second, 'request_finished', outcome=outcome, status=status)


LINES = [
    line(1.0, 'request_placed', waited_ms=10),
    line(1.2, 'request_placed', waited_ms=40),
    line(1.3, 'request_placed', waited_ms=900),
    finished(1.5, 'answered', 200),
    finished(2.0, NO_PLACE.format(0.25), 503),
    finished(2.1, NO_PLACE.format(0.31), 503),
    finished(2.2, 'answered', 504),
    line(7.5, 'request_turned_away', reason="no route for 'a' 'b'"),
    line(7.6, 'configuration_learnt', version=3),
    'not a line of ours',
]


class LossesTest(unittest.TestCase):
    def test_reasons_are_counted_by_window(self):
        """Many requests fail for the same reason within two seconds.

        The text of each refusal has its own wait; if the texts were compared
        as they are, each would be counted as a reason of its own.
        """
        first, last = losses.losses(LINES, 2.0)
        self.assertEqual((0.0, 4, 1, 40.0), first[:4])
        self.assertEqual(
            [
                ('not-run: no place came free in N s', 2),
                ('status 504 of an upstream', 1),
            ],
            first.reasons,
        )
        self.assertEqual((6.0, 1, 0, None), last[:4])
        self.assertEqual([('no route for NAME NAME', 1)], last.reasons)

    def test_shares_by_size_show_large_requests_that_are_not_served(self):
        """The windows told how many requests were refused, not which ones."""
        lines = [
            line(
                1.0,
                'request_finished',
                route='r-1',
                outcome='answered' if prompt < 90 else NO_PLACE.format(0.3),
                status=200 if prompt < 90 else 503,
                tokens=f'{prompt},80,{100 - prompt}',
            )
            for prompt in range(100)
        ]
        refused = lines[20].replace('answered', 'x').replace('"200"', '"503"')
        shares = losses.served_shares([refused, *lines])
        self.assertEqual(
            {
                ('r-1', 'prompt'): (100, 0.9, 1.0, 0.0),
                ('r-1', 'answer'): (100, 0.9, 1.0, 1.0),
                ('r-1', 'tokens'): (100, 0.9, 1.0, 1.0),
            },
            shares,
        )
        self.assertIn('0.00', losses.render_shares(shares).splitlines()[1])

    def test_the_table_has_a_row_for_each_window(self):
        table = losses.render(losses.losses(LINES, 2.0)).splitlines()
        self.assertEqual(3, len(table))
        self.assertIn('2 not-run: no place came free in N s; 1 s', table[1])

    def test_logs_without_requests_give_nothing(self):
        self.assertEqual([], losses.losses(['x', 'event=request_x'], 2.0))

    def test_window_must_be_positive(self):
        for text in ('0', '-1', 'x', 'inf', 'nan'):
            with (
                self.subTest(text=text),
                self.assertRaisesRegex(argparse.ArgumentTypeError, text),
            ):
                losses._seconds(text)


if __name__ == '__main__':
    unittest.main()
