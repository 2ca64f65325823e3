"""Staging a copy and having the engine load it."""

from __future__ import annotations

import unittest

from returns.result import Failure
from returns.result import Success

from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import OrderEnd
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute_agent.region_imports import RegionImports
from burdockchute_agent.staged import loading
from burdockchute_agent.staged.rollout import EngineLoadState
from burdockchute_agent.staged.rollout import Rollout

CONTENT = b'abcdefgh'


class FakeEngine:
    """Keeps chunks; `spoil` changes one after so many calls."""

    def __init__(self) -> None:
        self.chunks: dict[int, bytes] = {}
        self.spoil: list[tuple[int, int]] = []
        self.calls = 0
        self.orders = []
        self.loaded = b''
        self.away = False
        self.report_value = EngineReport({}, False, 4, 0, 0, 0, 0, 1.0)

    def staged(self, model, index):
        self._count()
        if self.away:
            return Failure(CallFailed(0, 'no answer'))
        if index not in self.chunks:
            return Failure(CallFailed(404, 'status 404'))
        return Success(self.chunks[index])

    def stage(self, model, index, data):
        self._count()
        self.chunks[index] = data
        return Success(b'')

    def report(self):
        return Success(self.report_value)

    def load(self, order):
        self.orders.append(order)
        self.loaded = b''.join(self.chunks[i] for i in sorted(self.chunks))
        return OrderEnd.BEGUN

    def _count(self):
        self.calls += 1
        if self.spoil and self.calls >= self.spoil[0][0]:
            _at, index = self.spoil.pop(0)
            self.chunks[index] = b'??'


class LoadingTest(unittest.TestCase):
    def setUp(self):
        manifest = manifests.build('story', CONTENT, 2)
        self.copy = Copy(manifest)
        for index in range(4):
            self.copy.add(index, CONTENT[2 * index : 2 * index + 2])
        self.engine = FakeEngine()
        self.now = 0.0

    def load(self):
        return loading.load(
            self.engine, self.copy, 'story', 2, lambda: self.now
        )

    def test_whole_copy_is_staged_and_loaded(self):
        ended = self.load()
        self.assertEqual(OrderEnd.BEGUN, ended.end)
        self.assertEqual(CONTENT, self.engine.loaded)
        self.assertEqual([4], [o.sequence for o in self.engine.orders])

    def test_a_chunk_that_spoils_while_others_are_staged_is_replaced(self):
        """A chunk turns bad in the staging area after it was put there.

        The engine loads what lies there and its answers would look sound.
        """
        self.engine.spoil = [(8, 0)]
        self.load()
        self.assertEqual(CONTENT, self.engine.loaded)

    def test_chunks_that_go_on_spoiling_are_never_loaded(self):
        self.engine.spoil = [(n, 1) for n in range(4, 60, 3)]
        ended = self.load()
        self.assertIsNone(ended.end)
        self.assertEqual([], self.engine.orders)

    def test_a_check_that_took_too_long_is_made_again(self):
        """The machine stood still between the check and the order.

        What was sound then may have spoilt meanwhile.
        """
        stalls = iter([0.0, 0.0, 5.0])

        def now():
            return next(stalls, 8.0)

        loading.load(self.engine, self.copy, 'story', 2, now)
        self.assertGreater(self.engine.calls, 12)
        self.assertEqual(1, len(self.engine.orders))

    def test_an_engine_that_loads_already_gets_no_order(self):
        self.engine.report_value = self.engine.report_value._replace(
            loading=True
        )
        self.assertIsNone(self.load().end)

    def test_an_engine_that_does_not_answer_gets_no_order(self):
        self.engine.away = True
        self.assertIsNone(self.load().end)


class FakeCopies:
    """The copy of version 2, of which three chunks of four have come."""

    def __init__(self) -> None:
        self.copy = Copy(manifests.build('story', CONTENT, 2))
        for index in range(3):
            self.copy.add(index, CONTENT[2 * index : 2 * index + 2])

    def copy_of(self, digest):
        return self.copy if digest.endswith('@2') else None


class AheadTest(unittest.TestCase):
    def setUp(self):
        self.copies = FakeCopies()
        self.rollout = Rollout('story')
        self.rollout.wanted = (2,)

    def to_stage(self, loaded=1, loading=False):
        return self.rollout.chunks_to_stage(
            EngineLoadState(loaded, loading), self.copies
        )

    def test_a_killed_agent_goes_on_with_its_copy(self):
        """An agent is killed, or all lose power, with a copy nearly whole.

        What was only in its memory is gone. It would copy all of it again,
        and while no other engine has the weights every caller is refused.
        """
        engine = FakeEngine()
        ahead = self.to_stage()
        loading.stage_chunks(engine, ahead.copy, 'story', 2, ahead.chunks)
        again = Copy(self.copies.copy.manifest)
        for index in range(4):
            lying = engine.staged('story', index)
            if isinstance(lying, Success):
                again.add(index, lying.unwrap())
        self.assertEqual(3, again.held_count)

    def test_each_chunk_is_staged_once(self):
        self.assertEqual([0, 1, 2], self.to_stage().chunks)
        self.rollout.record_staged(2, [0, 1])
        self.assertEqual([2], self.to_stage().chunks)
        self.rollout.record_staged(2, [2])
        self.assertIsNone(self.to_stage())
        self.rollout.clear_staged()
        self.assertEqual([0, 1, 2], self.to_stage().chunks)

    def test_nothing_is_staged_over_what_waits_to_be_loaded(self):
        """Version 1 is whole and waits for its turn; version 2 comes in.

        The engine loads what lies there when it takes the order. Chunks of
        both versions would make answers that look sound and are worthless.
        """
        self.rollout.ready = 1
        self.assertIsNone(self.to_stage(loaded=None))
        self.assertIsNone(self.to_stage(loaded=1, loading=True))
        self.rollout.busy = True
        self.assertIsNone(self.to_stage(loaded=1))
        self.rollout.busy = False
        self.assertEqual(2, self.to_stage(loaded=1).version)

    def test_an_engine_that_does_not_answer_is_asked_again(self):
        engine = FakeEngine()
        engine.stage = lambda model, index, data: Failure(
            CallFailed(0, 'no answer')
        )
        ahead = self.to_stage()
        staged = loading.stage_chunks(
            engine, ahead.copy, 'story', 2, ahead.chunks
        )
        self.assertEqual(([], 'no answer'), (staged.chunks, staged.reason))


class ImportsTest(unittest.TestCase):
    def test_each_chunk_is_brought_over_by_one_agent_of_a_region(self):
        """Three agents of a region see a copy in another one.

        If each brought all of it over, the narrow link between the regions
        would carry it three times.
        """
        names = ('a', 'b', 'c')
        everything = (1 << 48) - 1
        shares = []
        for name in names:
            imports = RegionImports()
            imports.set_importers(name, names)
            imports.note_remote_chunks(everything, 10.0)
            shares.append(imports.importable(everything, 10.5))
            self.assertEqual(shares[-1], imports.own_share(everything, 10.5))
        self.assertEqual(everything, shares[0] | shares[1] | shares[2])
        self.assertEqual(48, sum(share.bit_count() for share in shares))

    def test_others_step_in_for_one_that_is_gone(self):
        imports = RegionImports()
        imports.set_importers('a', ('a', 'b', 'c'))
        everything = (1 << 48) - 1
        imports.note_remote_chunks(everything, 10.0)
        self.assertEqual(everything, imports.importable(everything, 14.5))

    def test_without_a_region_everything_may_come_from_anywhere(self):
        self.assertEqual(7, RegionImports().importable(7, 0.0))
