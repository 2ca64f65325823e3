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
from burdockchute.upstreams.orders import Loaded
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
MANIFEST_OF = manifests.build('story', CONTENT, 10)
STORY = Weights('model', 'story', 'd')


def have(held: int, **fields) -> messages.Have:
    values = {'uploads': 0, 'wants': True, 'loading': 0, 'open': False}
    return messages.Have(
        MANIFEST_OF.digest, bytes([held]), **{**values, **fields}
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
            MANIFEST_OF.digest,
            1.0,
            chunks.rarest_from_least_loaded,
            random.Random(1),
            0.0,
        )
        self.copier.schedule.set_readers(
            sources.reader_group('d', 'own', ['own', 'other'])
        )

    def begin(self) -> None:
        self.copier.manifest_received(MANIFEST_OF, 0.0)

    def plan(self, now: float) -> set:
        reads = self.copier.plan_reads(now, unlimited)
        return {*reads, *self.copier.plan_requests(now, unlimited)}

    def test_manifest_comes_from_a_peer_that_has_it(self):
        self.copier.have_received('p', 0, have(0), 0.0)
        self.assertEqual({RequestChunk('p', MANIFEST_INDEX)}, self.plan(0.0))
        self.assertEqual(set(), self.plan(0.1))

    def test_two_requests_for_each_peer(self):
        self.begin()
        for name in ('p', 'q'):
            self.copier.have_received(name, 0, have(0b1111), 0.0)
        asked = self.plan(0.0)
        self.assertEqual({0, 1, 2, 3}, {ask.chunk for ask in asked})
        self.assertEqual(
            ['p', 'p', 'q', 'q'], sorted(ask.peer for ask in asked)
        )

    def test_peer_that_lets_a_deadline_pass_is_left_alone(self):
        self.begin()
        self.copier.have_received('p', 0, have(0b0001), 0.0)
        self.assertEqual({RequestChunk('p', 0)}, self.plan(0.0) - reads())
        late = sources.deadline_s(0.0) + 0.1
        self.copier.have_received('q', 2, have(0b0001), late)
        self.assertIn(RequestChunk('q', 0), self.plan(late))

    def test_last_chunk_is_asked_for_twice(self):
        # All but one chunk are there and the peer that has the last one
        # has gone slow. Waiting for its deadline would hold up the whole
        # version for one chunk.
        self.begin()
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

    def test_what_a_neighbour_has_is_not_brought_from_another_region(self):
        """An instance joins where its neighbours hold the weights already.

        Its share of what is to be brought over is nothing then; fetched
        from another region it would use the narrow link for nothing.
        """
        self.begin()
        self.copier.max_reads = 0
        self.copier.imports.set_importers('own', ['own'])
        self.copier.have_received('far', 2, have(0b1111), 0.0)
        self.copier.have_received('near', 0, have(0b0011), 0.0)
        asked = self.plan(0.0)
        self.assertEqual(
            {('far', 2), ('far', 3), ('near', 0), ('near', 1)},
            {(ask.peer, ask.chunk) for ask in asked - reads()},
        )

    def test_chunks_of_a_peer_that_died_are_asked_for_elsewhere(self):
        self.begin()
        self.copier.have_received('p', 0, have(0b0011), 0.0)
        self.plan(0.0)
        self.copier.have_received('q', 0, have(0b0011), 0.0)
        self.copier.peer_disconnected('p')
        asked = self.plan(0.0) - reads()
        self.assertEqual({RequestChunk('q', 0), RequestChunk('q', 1)}, asked)

    def test_origin_is_read_once_for_what_nobody_has(self):
        self.begin()
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
        # The store was away for so long that everyone's turn has come. If
        # all read at once when it is back it would have to carry a copy
        # for each of them.
        hosts = [f'a{number}' for number in range(30)]
        readers = sources.reader_group('d', 'a7', hosts)
        ranks = {sources.reader_rank(readers, index) for index in range(4)}
        self.assertNotIn(0, ranks)
        self.copier.schedule.set_readers(readers)
        self.begin()
        now = 100.0
        for action in self.plan(now):
            self.copier.origin_read_failed(action.chunk, now)
        back = now + 2 * sources.MIN_BACKOFF_S
        self.assertEqual(set(), self.plan(back))
        self.assertNotEqual(set(), self.plan(back + 100.0))

    def test_few_unknown_chunks_are_read_at_a_time(self):
        """All readers of a thin origin at once would end together, late."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.begin()
        with mock.patch.object(sources, 'CHUNKS_AT_ONCE', 2):
            now = sources.GRACE_S
            self.copier.schedule.chunks_found(1, now)
            readers = sources.reader_group('d', 'own', ['own'])
            self.copier.schedule.set_readers(readers)
            self.assertEqual({ReadOrigin(0), ReadOrigin(1)}, self.plan(now))
            # A peer has told that it holds one of them.
            self.copier.have_received('p', 0, have(0b0010), now)
            self.assertIn(ReadOrigin(2), self.plan(now))

    def test_more_are_read_where_none_turns_up(self):
        """A reader may be dead, or the origin slow."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.begin()
        with mock.patch.object(sources, 'CHUNKS_AT_ONCE', 1):
            readers = sources.reader_group('d', 'own', ['own'])
            self.copier.schedule.set_readers(readers)
            now = sources.GRACE_S
            self.copier.schedule.chunks_found(1, now)
            self.assertEqual({ReadOrigin(0)}, self.plan(now))
            now += sources.STALLED_S * 1.1
            self.assertEqual({ReadOrigin(1)}, self.plan(now))

    def test_a_second_copy_for_a_region_waits_for_the_first(self):
        """Chunks that nobody has are lost if the origin fails."""
        self.copier.reads_in_order = True
        self.copier.max_reads = 4
        self.copier.imports.set_importers('own', ('own',))
        self.begin()
        now = sources.GRACE_S
        readers = sources.reader_group('d', 'other', ['own', 'other'])
        self.copier.schedule.set_readers(readers._replace(own='own'))
        far = (1 << len(MANIFEST_OF.chunks)) - 1
        self.copier.have_received('far', OTHER_REGION, have(far & ~1), now)
        unknown = {a.chunk for a in self.plan(now) if is_read(a)}
        self.assertLessEqual(unknown, {0})
        self.copier.have_received('far', OTHER_REGION, have(far), now)
        asked = self.plan(now + 0.01)
        self.assertTrue(any(is_read(a) and a.chunk != 0 for a in asked))

    def test_failed_reads_wait_before_the_next(self):
        self.copier.set_expected_peers(set())
        now = sources.GRACE_S + 4.0
        self.assertEqual({ReadOrigin(MANIFEST_INDEX)}, self.plan(now))
        self.copier.origin_read_failed(MANIFEST_INDEX, now)
        self.assertEqual(set(), self.plan(now + 0.1))


class UploadsTest(unittest.TestCase):
    def test_peers_are_served_in_turn(self):
        # One peer asks for many chunks at once. Another one's single
        # request must not wait for all of them.
        uploads = UploadQueue()
        for index in range(4):
            uploads.add(Upload('greedy', 'd', index))
        uploads.add(Upload('other', 'd', 9))
        first_two = {uploads.next().peer, uploads.next().peer}
        self.assertEqual({'greedy', 'other'}, first_two)

    def test_queue_is_bounded(self):
        uploads = UploadQueue()
        taken = [uploads.add(Upload('p', 'd', n)) for n in range(20)]
        self.assertEqual(8, sum(taken))

    def test_given_up_weights_leave_the_queue(self):
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
        loaded = frozenset(Loaded('model', 'story', d) for d in digests)
        return EngineState(fence, checks, loaded, frozenset())

    def settled(
        self, tracker: EngineStateTracker, checks: bool = True
    ) -> bool:
        return tracker.is_settled(STORY, 7, checks, self.SETTLE_S)

    def test_engine_that_checks_our_number_is_believed_at_once(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d'))
        self.assertTrue(self.settled(tracker))
        self.assertFalse(self.settled(tracker, checks=False))

    def test_engine_that_ignores_numbers_is_watched_first(self):
        # An agent that was paused and replaced gives its last order when it
        # goes on. An engine that ignores numbers obeys.
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d', checks=False))
        self.assertFalse(self.settled(tracker))
        tracker.update(
            1.0 + self.SETTLE_S + 0.1, self.state('d', checks=False)
        )
        self.assertTrue(self.settled(tracker))

    def test_change_starts_the_watch_again(self):
        tracker = EngineStateTracker(0.0)
        tracker.update(1.0, self.state('d', checks=False))
        tracker.update(6.0, self.state('d', 'e', checks=False))
        tracker.update(8.0, self.state('d', checks=False))
        self.assertFalse(self.settled(tracker))

    def test_old_number_in_the_engine_is_not_ours(self):
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

    def test_engine_that_answers_no_more_has_nothing_loaded(self):
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

    def test_report_older_than_the_reply_tells_nothing(self):
        self.switch.order_sent(self.order)
        self.assertFalse(self.observe(9.0, 'd'))
        self.switch.order_ended('order-1', 1.0)
        self.assertFalse(self.observe(0.9))
        self.assertFalse(self.switch.may_order(1.0))
        self.assertFalse(self.observe(1.1, 'd'))
        self.assertTrue(self.switch.may_order(1.1))

    def test_lost_reply_of_an_order_that_took_effect(self):
        # The engine obeys and its reply is lost. A second order would make
        # it load the same weights again; what it reports decides.
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

    def test_no_room_beside_the_old_version(self):
        self.switch.order_sent(self.order)
        self.switch.order_ended(EngineError('full', 507), 1.0)
        self.assertFalse(self.switch.fits_two_versions)


class BandwidthTest(unittest.TestCase):
    def test_refused_requests_give_their_bytes_back(self):
        # A peer that is asked too much refuses. The bytes that were set
        # aside for its chunk must go to the next request, or the link is
        # idle for as long as the chunk would have taken.
        bandwidth = Bandwidth(1000.0, 1000.0, 0.0)
        bandwidth.refill(1.0)
        self.assertTrue(bandwidth.reserve_downlink(500))
        self.assertFalse(bandwidth.reserve_downlink(1))
        bandwidth.release_downlink(500)
        self.assertTrue(bandwidth.reserve_downlink(1))

    def test_copies_stand_back_for_live_requests(self):
        bandwidth = Bandwidth(1000.0, 1000.0, 0.0)
        quiet = bandwidth.send_rate
        for step in range(50):
            bandwidth.note_live(60, step * 0.1)
        bandwidth.refill(5.0)
        self.assertLess(bandwidth.send_rate, quiet / 2)
