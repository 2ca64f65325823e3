"""The timeline of one request, from the logs of several processes."""

from __future__ import annotations

import unittest

from burdockchute.operators import explain

LINES = """\
at="2026-01-02 03:04:01,000" event=dependency_lost dependency=wishes proc=e-1
at="2026-01-02 03:04:02,000" event=upstream_gone upstream=i-9 proc=e-1
at="2026-01-02 03:04:02,500" event=upstream_gone upstream=i-1 proc=e-1
   3.0 front at="2026-01-02 03:04:03,000" event=request_placed request_id=q-1 \
upstream=i-1 proc=e-1
at="2026-01-02 03:04:03,100" event=request_placed request_id=q-2 upstream=i-1 \
proc=e-1
at="2026-01-02 03:04:03,400" event=request_finished request_id=q-1 \
outcome="not-run: no \\"room\\"" proc=e-1
at="2026-01-02 03:04:03,200" event=upstream_gone upstream=i-1 proc=e-2
not a line of ours
"""


class ExplainTest(unittest.TestCase):
    def test_returns_the_relevant_lines(self):
        found = explain.explain('q-1', LINES.splitlines())
        self.assertEqual(
            [
                'dependency_lost',
                'upstream_gone',
                'request_placed',
                'request_finished',
            ],
            [line.fields['event'] for line in found],
        )
        self.assertEqual(
            '  +2.400 e-1                request_finished           '
            'outcome=not-run: no \\"room\\"',
            explain.render(found[-1], found[0].at),
        )

    def test_restart_of_a_killed_process_is_shown(self):
        """An entry loses power with a request in flight, and logs nothing.

        Without its next start, the timeline would end with the placement and
        not show why.
        """
        lines = [
            'at="2026-01-02 03:04:03,000" event=request_placed '
            'request_id=q-1 upstream=i-1 proc=e-1',
            'at="2026-01-02 03:04:09,000" event=serving proc=e-1',
            'at="2026-01-02 03:04:19,000" event=serving proc=e-1',
            'at="2026-01-02 03:04:09,000" event=serving proc=e-2',
        ]
        found = explain.explain('q-1', lines)
        self.assertEqual(
            ['request_placed', 'serving'],
            [line.fields['event'] for line in found],
        )
        finished = (
            'at="2026-01-02 03:04:03,500" event=request_finished '
            'request_id=q-1 outcome=answered proc=e-1'
        )
        self.assertEqual(2, len(explain.explain('q-1', [*lines, finished])))

    def test_an_id_that_no_line_names(self):
        self.assertEqual([], explain.explain('q-9', LINES.splitlines()))
