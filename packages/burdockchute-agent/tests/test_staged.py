"""Staging a copy and having the engine load it."""

from __future__ import annotations

import unittest
from unittest import mock

from returns.result import Failure
from returns.result import Success

from burdockchute.model.engines import CallFailed
from burdockchute.model.engines import EngineReport
from burdockchute.model.engines import OrderOutcome
from burdockchute.weights import manifest as manifests
from burdockchute.weights.copies import Copy
from burdockchute_agent.region_imports import RegionImports
from burdockchute_agent.staged import loading
from burdockchute_agent.staged.rollout import EngineLoadState
from burdockchute_agent.staged.rollout import Rollout
from burdockchute_agent.staged.staged_task import EnginePolled
from burdockchute_agent.staged.staged_task import StagedTask

CONTENT = b'abcdefgh'


class FakeEngine:
    """Holds chunks; `corruptions` has calls at which a chunk is corrupted."""

    def __init__(self) -> None:
        self.chunks: dict[int, bytes] = {}
        self.corruptions: list[tuple[int, int]] = []
        self.calls = 0
        self.orders = []
        self.loaded = b''
        self.is_unreachable = False
        self.report_value = EngineReport({}, False, 4, 0, 0, 0, 0, 1.0)

    def staged(self, model, index):
        self._count()
        if self.is_unreachable:
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
        return OrderOutcome.STARTED

    def _count(self):
        self.calls += 1
        if self.corruptions and self.calls >= self.corruptions[0][0]:
            _at, index = self.corruptions.pop(0)
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

    def test_complete_copy_is_staged_and_loaded(self):
        ended = self.load()
        self.assertEqual(OrderOutcome.STARTED, ended.end)
        self.assertEqual(CONTENT, self.engine.loaded)
        self.assertEqual([4], [o.sequence for o in self.engine.orders])

    def test_chunk_corrupted_while_others_are_staged_is_replaced(self):
        """A chunk becomes corrupt in the staging area after it was staged.

        The engine loads it unchecked, and its answers would look valid.
        """
        self.engine.corruptions = [(8, 0)]
        self.load()
        self.assertEqual(CONTENT, self.engine.loaded)

    def test_chunks_that_keep_becoming_corrupt_are_never_loaded(self):
        self.engine.corruptions = [(n, 1) for n in range(4, 60, 3)]
        ended = self.load()
        self.assertIsNone(ended.end)
        self.assertEqual([], self.engine.orders)

    def test_check_that_took_too_long_is_repeated(self):
        """The machine was paused between the check and the order.

        Chunks that were valid then may have become corrupt meanwhile.
        """
        stalls = iter([0.0, 0.0, 5.0])

        def now():
            return next(stalls, 8.0)

        loading.load(self.engine, self.copy, 'story', 2, now)
        self.assertGreater(self.engine.calls, 12)
        self.assertEqual(1, len(self.engine.orders))

    def test_loading_engine_gets_no_order(self):
        self.engine.report_value = self.engine.report_value._replace(
            loading=True
        )
        self.assertIsNone(self.load().end)

    def test_unreachable_engine_gets_no_order(self):
        self.engine.is_unreachable = True
        self.assertIsNone(self.load().end)


class FakeCopies:
    """The copy of version 2, with three chunks of four."""

    def __init__(self) -> None:
        self.copy = Copy(manifests.build('story', CONTENT, 2))
        for index in range(3):
            self.copy.add(index, CONTENT[2 * index : 2 * index + 2])

    def copy_of(self, digest):
        return self.copy if digest.endswith('@2') else None


class ChunksToStageTest(unittest.TestCase):
    def setUp(self):
        self.copies = FakeCopies()
        self.rollout = Rollout('story')
        self.rollout.wanted = (2,)

    def to_stage(self, loaded=1, loading=False):
        return self.rollout.chunks_to_stage(
            EngineLoadState(loaded, loading), self.copies
        )

    def test_killed_agent_resumes_its_copy(self):
        """An agent is killed, or all lose power, with a nearly complete copy.

        The chunks in its memory are lost. Unless they are staged it copies
        them all again, and while no other engine has the weights every caller
        is refused.
        """
        engine = FakeEngine()
        to_stage = self.to_stage()
        loading.stage_chunks(
            engine, to_stage.copy, 'story', 2, to_stage.chunks
        )
        resumed = Copy(self.copies.copy.manifest)
        for index in range(4):
            staged = engine.staged('story', index)
            if isinstance(staged, Success):
                resumed.add(index, staged.unwrap())
        self.assertEqual(3, resumed.held_count)

    def test_each_chunk_is_staged_once(self):
        self.assertEqual([0, 1, 2], self.to_stage().chunks)
        self.rollout.record_staged(2, [0, 1])
        self.assertEqual([2], self.to_stage().chunks)
        self.rollout.record_staged(2, [2])
        self.assertIsNone(self.to_stage())
        self.rollout.clear_staged()
        self.assertEqual([0, 1, 2], self.to_stage().chunks)

    def test_nothing_is_staged_over_a_copy_that_waits_to_be_loaded(self):
        """Version 1 is complete and waits to be loaded; version 2 arrives.

        The engine loads what is staged when it acts on the order. A mix of
        both versions would give answers that look valid but are worthless.
        """
        self.rollout.ready = 1
        self.assertIsNone(self.to_stage(loaded=None))
        self.assertIsNone(self.to_stage(loaded=1, loading=True))
        self.rollout.load_in_progress = True
        self.assertIsNone(self.to_stage(loaded=1))
        self.rollout.load_in_progress = False
        self.assertEqual(2, self.to_stage(loaded=1).version)

    def test_failed_staging_returns_its_reason(self):
        engine = FakeEngine()
        engine.stage = lambda model, index, data: Failure(
            CallFailed(0, 'no answer')
        )
        to_stage = self.to_stage()
        staged = loading.stage_chunks(
            engine, to_stage.copy, 'story', 2, to_stage.chunks
        )
        self.assertEqual(([], 'no answer'), (staged.chunks, staged.reason))


class RestartedEngineTest(unittest.TestCase):
    def test_another_start_with_the_same_sequence(self):
        """Its chunks counted as staged, and its order as under way."""
        task = StagedTask(*[mock.MagicMock() for _argument in range(6)])
        rollout = task._rollouts['story'] = Rollout('story')
        for started_ms, ordered_at in ((5, None), (5, 3.0), (6, None)):
            report = EngineReport({}, False, 0, 0, 0, 0, 0, 1.0, started_ms)
            task._handle(EnginePolled(0.0, Success(report)))
            self.assertEqual(ordered_at, rollout.ordered_at)
            self.assertEqual(ordered_at is not None, bool(rollout._staged))
            rollout.ordered_at = 3.0
            rollout.record_staged(2, [0])


class ImportsTest(unittest.TestCase):
    def test_each_chunk_is_imported_by_one_agent_of_a_region(self):
        """Three agents of a region find a copy in another region.

        If each of them copied all of it, the narrow link between the regions
        would carry it three times.
        """
        names = ('a', 'b', 'c')
        all_chunks = (1 << 48) - 1
        shares = []
        for name in names:
            imports = RegionImports()
            imports.set_importers(name, names)
            imports.note_remote_chunks(all_chunks, 10.0)
            shares.append(imports.importable(all_chunks, 10.5))
            self.assertEqual(shares[-1], imports.own_share(all_chunks, 10.5))
        self.assertEqual(all_chunks, shares[0] | shares[1] | shares[2])
        self.assertEqual(48, sum(share.bit_count() for share in shares))

    def test_chunks_of_a_lost_importer_are_imported_by_others(self):
        imports = RegionImports()
        imports.set_importers('a', ('a', 'b', 'c'))
        all_chunks = (1 << 48) - 1
        imports.note_remote_chunks(all_chunks, 10.0)
        self.assertEqual(all_chunks, imports.importable(all_chunks, 14.5))

    def test_without_a_region_chunks_may_come_from_anywhere(self):
        self.assertEqual(7, RegionImports().importable(7, 0.0))
