"""The version gate."""

from __future__ import annotations

import unittest

from burdockchute.upstreams.gate import Gate
from burdockchute.upstreams.gate import GateState
from burdockchute.upstreams.gate import Refusal
from burdockchute.upstreams.gate import Weights

OLD = Weights('model', 'story', 'old')
NEW = Weights('model', 'story', 'new')
RHYMES = Weights('adapter', 'rhymes', 'ad')


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = Gate()
        self.gate.open(OLD)

    def test_only_the_open_digest_is_admitted(self):
        self.assertIsNone(self.gate.enter('story', 'old', ''))
        refused = self.gate.enter('story', 'new', '')
        self.assertEqual(
            Refusal("model 'story' is not open at 'new'"), refused
        )

    def test_closed_gate_counts_requests_in_flight(self):
        # The row names a new version while a request runs. If the old weights
        # were unloaded now, the answer would end with other weights or not at
        # all.
        self.gate.enter('story', 'old', '')
        self.gate.close(OLD)
        self.assertIsNotNone(self.gate.enter('story', 'old', ''))
        self.assertEqual([GateState(OLD, False, 1)], self.gate.states())
        self.gate.leave('story', 'old', '')
        self.assertEqual([], self.gate.states())

    def test_adapter_request_enters_both_gates(self):
        # The base model of an adapter is switched while a request runs on it.
        # The answer names both digests, and neither may change meanwhile.
        self.gate.open(RHYMES, 'story')
        self.assertIsNone(self.gate.enter('rhymes', 'old', 'ad'))
        self.gate.close(OLD)
        self.assertEqual(
            (1, 1), (self.gate.in_flight(OLD), self.gate.in_flight(RHYMES))
        )
        self.assertIsNotNone(self.gate.enter('rhymes', 'old', 'ad'))
        self.gate.open(NEW)
        self.assertIsNone(self.gate.enter('rhymes', 'new', 'ad'))
        self.gate.leave('rhymes', 'old', 'ad')
        self.assertEqual(0, self.gate.in_flight(OLD))
        self.assertEqual(1, self.gate.in_flight(RHYMES))

    def test_base_of_an_adapter_changes_during_a_request(self):
        # An operator changes the base model of an adapter while a request to
        # it runs. If the request left the gate of the new base, it would stay
        # counted in that of the old one, whose version could then never be
        # unloaded, nor the next one loaded.
        other = Weights('model', 'letters', 'old')
        self.gate.open(other)
        self.gate.open(RHYMES, 'story')
        self.assertIsNone(self.gate.enter('rhymes', 'old', 'ad'))
        self.gate.open(RHYMES, 'letters')
        self.gate.leave('rhymes', 'old', 'ad')
        self.assertEqual(
            [0, 0, 0],
            [self.gate.in_flight(w) for w in (RHYMES, OLD, other)],
        )

    def test_leaving_without_having_entered_counts_nothing(self):
        self.gate.leave('story', 'old', '')
        self.assertEqual([GateState(OLD, True, 0)], self.gate.states())

    def test_unknown_adapter_is_refused(self):
        self.assertEqual(
            "adapter 'rhymes' is not loaded",
            self.gate.enter('rhymes', 'old', 'ad').reason,
        )

    def test_base_model_name_is_no_adapter(self):
        # A request pinned to an adapter's digests must not be admitted as one
        # to the base model.
        self.gate.open(RHYMES, 'story')
        self.assertIsNotNone(self.gate.enter('rhymes', 'old', ''))
        self.assertIsNotNone(self.gate.enter('story', 'old', 'ad'))

    def test_mismatch_closes_both_gates_once(self):
        self.gate.open(RHYMES, 'story')
        self.gate.mark_mismatched('rhymes', 'old', 'ad')
        self.assertFalse(self.gate.is_open(OLD))
        self.assertFalse(self.gate.is_open(RHYMES))
        self.assertEqual({OLD, RHYMES}, self.gate.take_mismatched())
        self.assertEqual(frozenset(), self.gate.take_mismatched())

    def test_services_have_no_version(self):
        self.assertIsNotNone(self.gate.enter('proofs', '', ''))
        self.gate.set_services(frozenset({'proofs'}))
        self.assertIsNone(self.gate.enter('proofs', '', ''))
        self.gate.leave('proofs', '', '')
