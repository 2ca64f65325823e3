"""Load reports made of what an engine answers."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockchute import documents
from burdockchute import wire
from burdockchute.wire import messages
from burdockchute_agent import reports

NAMES = reports.UpstreamLoad._fields
VALUES = st.sampled_from(
    [None, '', 'x', [], {}, -1, 7, 2**31, 10**400, float('inf'), float('nan')]
)


class ReportsTest(unittest.TestCase):
    @given(st.dictionaries(st.sampled_from(NAMES), VALUES) | VALUES)
    def test_any_answer_makes_a_report_or_a_failed_poll(self, document):
        """A number that no message can hold ended the agent's reports."""
        try:
            load = reports._load_of(document)
        except documents.INVALID:
            return
        report = messages.LoadReport(
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            tokens_per_s=load.tokens_per_s,
            prefill_tokens_per_s=round(load.prefill_tokens_per_s),
        )
        wire.decode(wire.encode(report))
