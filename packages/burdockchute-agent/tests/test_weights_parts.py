"""Parts of the weights task that need no network."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from burdockchute.decisions import chunks
from burdockchute.decisions import sources
from burdockchute.decisions.neighbours import OTHER_REGION
from burdockchute.decisions.switching import settle_s
from burdockchute.upstreams.gate import Weights
from burdockchute.upstreams.orders import EngineError
from burdockchute.upstreams.orders import EngineState
from burdockchute.upstreams.orders import LoadedWeights
from burdockchute.upstreams.orders import Order
from burdockchute.weights import manifest as manifests
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copier import Copier
from burdockchute_agent.copier import ReadOrigin
from burdockchute_agent.copier import RequestChunk
from burdockchute_agent.engine_state_tracker import EngineStateTracker
from burdockchute_agent.origin_schedule import MANIFEST_INDEX
from burdockchute_agent.row_switch import RowSwitch
from burdockchute_agent.upload_queue import Upload
from burdockchute_agent.upload_queue import UploadQueue

CONTENT = bytes(range(40))
MANIFEST = manifests.build('story', CONTENT, 10)
STORY = Weights('model', 'story', 'd')


def have(held: int, **fields) -> messages.Have:
    values = {'uploads': 0, 'wants': True, 'loading': 0, 'open': False}
    return messages.Have(
        MANIFEST.digest, bytes([held]), **{**values, **fields}
    )


def chunk(index: int) -> bytes:
    return CONTENT[10 * index : 10 * index + 10]


def is_read(action) -> bool:
    return isinstance(action, ReadOrigin)


def unlimited(size: int) -> bool:
    return True


class CopierTest(unittest.TestCase):
    def setUp(self) -> None:
        self.copier = Copier(
            MANIFEST.digest,
            1.0,
            chunks.rarest_from_least_loaded,
            random.Random(1),
            0.0,
        )
        self.copier.schedule.set_readers(
            sources.reader_group('d', 'own', ['own', 'other'])
        )

    def start(self) -> None:
        self.copier.manifest_received(MANIFEST, 0.0)

    def plan(self, now: float) -> set:
        reads = self.copier.plan_reads(now, unlimited)
        return {*reads, *self.copier.plan_requests(now, unlimited)}

    def test_manifest_comes_from_a_peer_that_has_it(self):
        self.copier.have_received('p', 0, have(0), 0.0)
        self.assertEqual({RequestChunk('p', MANIFEST_INDEX)}, self.plan(0.0))
        self.assertEqual(set(), self.plan(0.1))

    def test_two_requests_for_each_peer(self):
        self.start()
        for name in ('p', 'q'):
            self.copier.have_received(name, 0, have(0b1111), 0.0)
        actions = self.plan(0.0)
        self.assertEqual({0, 1, 2, 3}, {action.chunk for action in actions})
        self.assertEqual(
            ['p', 'p', 'q', 'q'], sorted(action.peer for action in actions)
        )

    def test_peer_that_misses_a_deadline_is_avoided(self):
        self.start()
        self.copier.have_received('p', 0, have(0b0001), 0.0)
        self.assertEqual({RequestChunk('p', 0)}, self.plan(0.0) - reads())
        late = sources.deadline_s(0.0) + 0.1
        self.copier.have_received('q', 2, have(0b0001), late)
        self.assertIn(RequestChunk('q', 0), self.plan(late))

    def test_last_chunk_is_requested_twice(self):
        # All chunks but one are held, and the peer with the last one has
        # become slow. To wait for its deadline would delay the whole version
        # for one chunk.
        self.start()
        for index in (0, 1, 2):
            self.copier.origin_chunk_received(index, chunk(index), 0.0)
        self.copier.have_received('p', 0, have(0b1000), 0.0)
        self.assertEqual({RequestChunk('p', 3)}, self.plan(0.0))
        self.copier.have_received('q', 0, have(0b1000), 0.0)
        self.assertEqual(set(), self.plan(0.1))
        later = sources.second_source_s(0.0) + 0.1
        self.assertEqual({RequestChunk('q', 3)}, self.plan(later))
        self.assertTrue(self.copier.chunk_received('q', 3, chunk(3), later))
        self.assertTrue(self.copier.complete)

    def test_what_a_neighbour_has_is_not_imported_from_another_region(self):
        """An instance joins a region whose agents hold some of the chunks.

        Its share of the imports must leave these out: fetched from another
        region they would use the narrow link for nothing.
        """
        self.start()
        self.copier.max_reads = 0
        self.copier.imports.set_importers('own', ['own'])
        self.copier.have_received('far', 2, have(0b1111), 0.0)
        self.copier.have_received('near', 0, have(0b0011), 0.0)
        actions = self.plan(0.0)
        self.assertEqual(
            {('far', 2), ('far', 3), ('near', 0), ('near', 1)},
            {(action.peer, action.chunk) for action in actions - reads()},
        )

    def test_chunks_of_a_disconnected_peer_are_requested_elsewhere(self):
        self.start()
        self.copier.have_received('p', 0, have(0b0011), 0.0)
        self.plan(0.0)
        self.copier.have_received('q', 0, have(0b0011), 0.0)
        self.copier.peer_disconnected('p')
        actions = self.plan(0.0) - reads()
        self.assertEqual({RequestChunk('q', 0), RequestChunk('q', 1)}, actions)

    def test_origin_is_read_once_for_chunks_that_no_peer_has(self):
        self.start()
        self.copier.have_received('p', 0, have(0b0011), 0.0)
        found: set[int] = set()
        now = 0.0
        while now < 3.0:
            for action in self.plan(now):
                if isinstance(action, ReadOrigin):
                    found.add(action.chunk)
                    self.copier.origin_chunk_received(
                        action.chunk, chunk(action.chunk), now
                    )
            now += 0.1
        self.assertEqual({2, 3}, found)

    def test_store_that_comes_back_is_left_to_its_first_readers(self):
        # The store was away for so long that every agent may read. If all of
        # them read at once when it is back, it would have to send a copy to
        # each.
        hosts = [f'a{number}' for number in range(30)]
        readers = sources.reader_group('d', 'a7', hosts)
        ranks = {sources.reader_rank(readers, index) for index in range(4)}
        self.assertNotIn(0, ranks)
        self.copier.schedule.set_readers(readers)
        self.start()
        now = 100.0
        for action in self.plan(now):
            self.copier.origin_read_failed(action.chunk, now)
        back = now + 2 * sources.MIN_BACKOFF_S
        self.assertEqual(set(), self.plan(back))
        self.assertNotEqual(set(), self.plan(back + 100.0))

    def test_few_unknown_chunks_are_read_at_a_time(self):
        """If all read a slow origin at once, all chunks would be late."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.start()
        with mock.patch.object(sources, 'CHUNKS_AT_ONCE', 2):
            now = sources.GRACE_S
            self.copier.schedule.chunks_found(1, now)
            readers = sources.reader_group('d', 'own', ['own'])
            self.copier.schedule.set_readers(readers)
            self.assertEqual({ReadOrigin(0), ReadOrigin(1)}, self.plan(now))
            # A peer has reported that it holds one of them.
            self.copier.have_received('p', 0, have(0b0010), now)
            self.assertIn(ReadOrigin(2), self.plan(now))

    def test_more_chunks_are_read_if_none_turns_up(self):
        """A reader may be dead, or the origin slow."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.start()
        with mock.patch.object(sources, 'CHUNKS_AT_ONCE', 1):
            readers = sources.reader_group('d', 'own', ['own'])
            self.copier.schedule.set_readers(readers)
            now = sources.GRACE_S
            self.copier.schedule.chunks_found(1, now)
            self.assertEqual({ReadOrigin(0)}, self.plan(now))
            now += sources.STALLED_S * 1.1
            self.assertEqual({ReadOrigin(1)}, self.plan(now))

    def test_a_second_copy_for_a_region_waits_for_the_first(self):
        """Chunks that no agent holds are lost if the origin fails."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.copier.imports.set_importers('own', ('own',))
        self.start()
        now = sources.GRACE_S
        readers = sources.reader_group('d', 'other', ['own', 'other'])
        self.copier.schedule.set_readers(readers._replace(own='own'))
        far = (1 << len(MANIFEST.chunks)) - 1
        self.copier.have_received('far', OTHER_REGION, have(far & ~1), now)
        unknown = {
            action.chunk for action in self.plan(now) if is_read(action)
        }
        self.assertLessEqual(unknown, {0})
        self.copier.have_received('far', OTHER_REGION, have(far), now)
        actions = self.plan(now + 0.01)
        self.assertTrue(
            any(is_read(action) and action.chunk != 0 for action in actions)
        )

    def test_next_read_waits_after_a_failed_one(self):
        self.copier.set_expected_peers(set())
        now = sources.GRACE_S + 4.0
        self.assertEqual({ReadOrigin(MANIFEST_INDEX)}, self.plan(now))
        self.copier.origin_read_failed(MANIFEST_INDEX, now)
        self.assertEqual(set(), self.plan(now + 0.1))


class UploadQueueTest(unittest.TestCase):
    def test_peers_are_served_in_turn(self):
        # One peer requests many chunks at once. The single request of
        # another peer must not wait for all of them.
        uploads = UploadQueue()
        for index in range(4):
            uploads.add(Upload('greedy', 'd', index))
        uploads.add(Upload('other', 'd', 9))
        first_two = {uploads.next().peer, uploads.next().peer}
        self.assertEqual({'greedy', 'other'}, first_two)

    def test_queue_is_bounded(self):
        uploads = UploadQueue()
        accepted = [uploads.add(Upload('p', 'd', n)) for n in range(20)]
        self.assertEqual(8, sum(accepted))

    def test_uploads_of_a_removed_digest_leave_the_queue(self):
        uploads = UploadQueue()
        uploads.add(Upload('p', 'd', 1))
        uploads.add(Upload('p', 'e', 2))
        self.assertEqual([Upload('p', 'd', 1)], uploads.remove_digest('d'))
        self.assertEqual(Upload('p', 'e', 2), uploads.next())
        self.assertIsNone(uploads.next())


def reads() -> set[ReadOrigin]:
    return {ReadOrigin(index) for index in range(-1, 4)}


class EngineStateTrackerTest(unittest.TestCase):
    SETTLE_S = settle_s(0)

    def state(self, *digests: str, fence: int = 7, checks: bool = True):
        loaded = frozenset(LoadedWeights('model', 'story', d) for d in digests)
        return EngineState(fence, checks, loaded, frozenset())

    def settled(
        self, tracker: EngineStateTracker, checks: bool = True
    ) -> bool:
        return tracker.is_settled(STORY, 7, checks, self.SETTLE_S)

    def test_engine_that_checks_fencing_numbers_is_trusted_at_once(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d'))
        self.assertTrue(self.settled(tracker))
        self.assertFalse(self.settled(tracker, checks=False))

    def test_engine_that_ignores_fencing_numbers_is_watched_first(self):
        # An agent that was paused and replaced sends its last order when it
        # resumes. An engine that ignores fencing numbers obeys it.
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d', checks=False))
        self.assertFalse(self.settled(tracker))
        tracker.update(
            1.0 + self.SETTLE_S + 0.1, self.state('d', checks=False)
        )
        self.assertTrue(self.settled(tracker))

    def test_change_restarts_the_watch(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d', checks=False))
        tracker.update(6.0, self.state('d', 'e', checks=False))
        tracker.update(8.0, self.state('d', checks=False))
        self.assertFalse(self.settled(tracker))

    def test_engine_with_an_older_fencing_number_is_not_settled(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d', fence=3))
        self.assertFalse(self.settled(tracker))
        self.assertFalse(tracker.is_superseded(7))
        tracker.update(2.0, self.state('d', fence=9))
        self.assertTrue(tracker.is_superseded(7))

    def test_doubt_is_not_cleared_by_one_report(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d'))
        tracker.mark_doubtful(STORY, 1.5)
        tracker.update(2.0, self.state('d'))
        self.assertFalse(self.settled(tracker))
        tracker.update(1.5 + self.SETTLE_S + 0.1, self.state('d'))
        self.assertTrue(self.settled(tracker))

    def test_engine_that_stops_answering_has_nothing_loaded(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d'))
        tracker.update(2.0, EngineError('refused'))
        self.assertEqual({'d'}, tracker.loaded('model', 'story'))
        for asked in (3.0, 4.0):
            tracker.update(asked, EngineError('refused'))
        self.assertEqual(frozenset(), tracker.loaded('model', 'story'))


class RowSwitchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.switch = RowSwitch('model', 'story')
        self.order = Order('load', 'model', 'story', '', 'd', '', '', 7, 1)

    def observe(self, asked: float, *loaded: str) -> bool:
        return self.switch.observe(
            frozenset(loaded), frozenset(), asked, asked
        )

    def test_report_older_than_the_reply_is_ignored(self):
        self.switch.order_sent(self.order)
        self.assertFalse(self.observe(9.0, 'd'))
        self.switch.order_ended('order-1', 1.0)
        self.assertFalse(self.observe(0.9))
        self.assertFalse(self.switch.may_order(1.0))
        self.assertFalse(self.observe(1.1, 'd'))
        self.assertTrue(self.switch.may_order(1.1))

    def test_lost_reply_of_an_order_that_took_effect(self):
        # The engine obeys and its reply is lost. A second order would make
        # it load the same weights again, so its report decides.
        self.switch.order_sent(self.order)
        self.switch.order_ended(EngineError('timed out'), 1.0)
        self.assertFalse(self.observe(1.1, 'd'))
        self.assertTrue(self.switch.may_order(1.1))

    def test_failed_load_is_tried_again_later(self):
        self.switch.order_sent(self.order)
        self.switch.order_ended('order-1', 1.0)
        self.assertTrue(self.observe(2.0))
        self.assertFalse(self.switch.may_order(2.5))
        self.assertTrue(self.switch.may_order(3.1))

    def test_no_memory_for_a_second_version(self):
        self.switch.order_sent(self.order)
        self.switch.order_ended(EngineError('full', 507), 1.0)
        self.assertFalse(self.switch.fits_two_versions)


class BandwidthTest(unittest.TestCase):
    def test_refused_requests_release_their_bytes(self):
        # A peer with too many requests refuses some. The bytes reserved for
        # the chunk must go to the next request, or the link is idle for the
        # time that the chunk would have taken.
        bandwidth = Bandwidth(1000.0, 1000.0, 0.0)
        bandwidth.refill(1.0)
        self.assertTrue(bandwidth.reserve_downlink(500))
        self.assertFalse(bandwidth.reserve_downlink(1))
        bandwidth.release_downlink(500)
        self.assertTrue(bandwidth.reserve_downlink(1))

    def test_live_requests_have_priority_over_copies(self):
        bandwidth = Bandwidth(1000.0, 1000.0, 0.0)
        quiet = bandwidth.send_rate
        for step in range(50):
            bandwidth.note_live(60, step * 0.1)
        bandwidth.refill(5.0)
        self.assertLess(bandwidth.send_rate, quiet / 2)
