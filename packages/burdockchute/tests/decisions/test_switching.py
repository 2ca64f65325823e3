"""Tests of the steps of a switch and of their invariants."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from burdockchute.decisions import switching
from burdockchute.decisions.switching import CloseGate
from burdockchute.decisions.switching import Load
from burdockchute.decisions.switching import next_step
from burdockchute.decisions.switching import OpenGate
from burdockchute.decisions.switching import RowState
from burdockchute.decisions.switching import Unload
from burdockchute.decisions.switching import Wait

NONE: frozenset[str] = frozenset()
DIGESTS = ('d1', 'd2', 'd3')


def row_state(**changes) -> RowState:
    base = RowState('new', True, NONE, NONE, NONE, {})
    return base._replace(**changes)


class NextStepTest(unittest.TestCase):
    def test_first_version(self):
        cases = [
            (row_state(complete=False), Wait('copying')),
            (row_state(), Load('new')),
            (row_state(loading=frozenset({'new'})), Wait('loading')),
            (row_state(loaded=frozenset({'new'})), OpenGate('new')),
        ]
        for state, wanted in cases:
            with self.subTest(state=state):
                self.assertEqual(wanted, next_step(state))

    def test_new_version_beside_the_old(self):
        old = frozenset({'old'})
        both = frozenset({'old', 'new'})
        self.assertEqual(
            Load('new'), next_step(row_state(loaded=old, is_open=old))
        )
        self.assertEqual(
            OpenGate('new'), next_step(row_state(loaded=both, is_open=old))
        )
        self.assertEqual(
            CloseGate('old'), next_step(row_state(loaded=both, is_open=both))
        )

    def test_old_version_is_unloaded_first_without_room(self):
        old = frozenset({'old'})
        state = row_state(loaded=old, is_open=old, fits_two_versions=False)
        self.assertEqual(CloseGate('old'), next_step(state))
        state = state._replace(is_open=NONE, in_flight={'old': 1})
        self.assertEqual(Wait('requests in flight'), next_step(state))
        state = state._replace(in_flight={})
        self.assertEqual(Unload('old'), next_step(state))

    def test_old_version_serves_until_its_turn_to_load(self):
        old = frozenset({'old'})
        state = row_state(
            loaded=old, is_open=old, fits_two_versions=False, may_load=False
        )
        self.assertEqual(Wait('others load first'), next_step(state))

    def test_gate_closes_when_the_weights_are_gone(self):
        # The engine restarts or follows the orders of another process, and
        # reports other weights than those whose gate is open.
        state = row_state(
            loaded=frozenset({'other'}), is_open=frozenset({'new'})
        )
        self.assertEqual(CloseGate('new'), next_step(state))

    def test_unsettled_report_opens_no_gate(self):
        state = row_state(loaded=frozenset({'new'}), settled=False)
        self.assertEqual(
            Wait('reported state is not settled'), next_step(state)
        )

    def test_adapter_waits_for_its_base(self):
        state = row_state(base_loaded=False)
        self.assertEqual(Wait('base model is not loaded'), next_step(state))

    def test_weights_of_a_deleted_row_are_unloaded(self):
        new = frozenset({'new'})
        state = row_state(wanted='', complete=False, loaded=new, is_open=new)
        self.assertEqual(CloseGate('new'), next_step(state))
        state = state._replace(is_open=NONE)
        self.assertEqual(Unload('new'), next_step(state))
        self.assertEqual(
            Wait('nothing to do'), next_step(state._replace(loaded=NONE))
        )


class SwitchMachine(stateful.RuleBasedStateMachine):
    """Versions change at any time while loads complete late or fail."""

    def __init__(self) -> None:
        super().__init__()
        self.wanted = 'd1'
        self.complete = set(DIGESTS)
        self.loaded: set[str] = set()
        self.loading: set[str] = set()
        self.open: set[str] = set()
        self.inside: dict[str, int] = {}
        self.room = 1

    @stateful.rule(digest=st.sampled_from(('', *DIGESTS)))
    def edit_row(self, digest: str) -> None:
        self.wanted = digest

    @stateful.rule(room=st.sampled_from((1, 2)))
    def change_room(self, room: int) -> None:
        self.room = room

    @stateful.rule()
    def request_enters(self) -> None:
        for digest in sorted(self.open)[:1]:
            self.inside[digest] = self.inside.get(digest, 0) + 1

    @stateful.rule()
    def request_ends(self) -> None:
        for digest in sorted(self.inside)[:1]:
            self.inside[digest] -= 1
            if not self.inside[digest]:
                del self.inside[digest]

    @stateful.rule(ok=st.booleans())
    def load_ends(self, ok: bool) -> None:
        for digest in sorted(self.loading):
            self.loading.discard(digest)
            if ok and len(self.loaded) < 2:
                self.loaded.add(digest)

    @stateful.rule()
    def engine_restarts(self) -> None:
        self.loaded.clear()
        self.loading.clear()
        self.inside.clear()
        self.step()

    @stateful.rule()
    def step(self) -> None:
        step = self._next()
        while isinstance(step, OpenGate | CloseGate):
            if isinstance(step, OpenGate):
                self.open.add(step.digest)
            else:
                self.open.discard(step.digest)
            step = self._next()
        if isinstance(step, Load):
            assert step.digest == self.wanted
            self.loading.add(step.digest)
        if isinstance(step, Unload):
            assert not self.inside.get(step.digest)
            assert step.digest not in self.open
            self.loaded.discard(step.digest)

    @stateful.invariant()
    def open_gates_are_loaded(self) -> None:
        assert self.open <= self.loaded

    @stateful.invariant()
    def requests_inside_keep_their_weights(self) -> None:
        assert set(self.inside) <= self.loaded

    def teardown(self) -> None:
        self.inside.clear()
        for _ in range(12):
            self.step()
            self.load_ends(True)
        assert self.loaded == self.open == ({self.wanted} - {''})

    def _next(self) -> switching.Step:
        return next_step(
            RowState(
                wanted=self.wanted,
                complete=self.wanted in self.complete,
                loaded=frozenset(self.loaded),
                loading=frozenset(self.loading),
                is_open=frozenset(self.open),
                in_flight=dict(self.inside),
                fits_two_versions=self.room > 1,
            )
        )


SwitchMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60
)
SwitchMachineTest = SwitchMachine.TestCase
