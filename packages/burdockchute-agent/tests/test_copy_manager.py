"""The order in which copies read the origin and request chunks of peers."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from gevent import queue

from burdockchute.decisions import chunks
from burdockchute.decisions import sources
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes.peers import Peers
from burdockchute.weights import manifest as manifests
from burdockchute.wire import messages
from burdockchute_agent.bandwidth import Bandwidth
from burdockchute_agent.copier import Copier
from burdockchute_agent.copy_manager import copies_reading_origin
from burdockchute_agent.copy_manager import copies_requesting_chunks
from burdockchute_agent.copy_manager import CopyManager
from burdockchute_agent.copy_manager import WeightsSource
from burdockchute_agent.hosting_plan import Target
from burdockchute_agent.policy import DEFAULT_POLICY

CONTENT = bytes(range(80))


def copier(digest, known=0):
    """Return a copier of eight chunks; a peer holds the first `known`."""
    made = Copier(
        digest, 1.0, chunks.rarest_from_least_loaded, random.Random(1), 0.0
    )
    made.manifest_received(manifests.build(digest, CONTENT, 10), 0.0)
    bitmap = bytes([(1 << known) - 1])
    have = messages.Have(digest, bitmap, 0, True, 0, False)
    made.have_received('p', 0, have, 0.0)
    return made


class CopiesReadingOriginTest(unittest.TestCase):
    def test_one_copy_reads_the_origin_at_a_time(self):
        """Two that share it would both lack their last chunks for longer."""
        first, second = copier('a'), copier('b')
        self.assertEqual([first], copies_reading_origin([first, second]))

    def test_a_copy_of_which_half_is_known_goes_first(self):
        """The origin may fail before a newer copy has been read from it."""
        newest, older = copier('b'), copier('a', known=5)
        self.assertEqual([older], copies_reading_origin([newest, older]))

    def test_the_next_copy_follows_when_each_chunk_is_known(self):
        known, second = copier('a', known=8), copier('b')
        self.assertEqual(
            [known, second], copies_reading_origin([known, second])
        )

    def test_a_copy_whose_reads_fail_blocks_no_other(self):
        """Its chunks may be corrupt at the origin, or no longer there."""
        broken, second = copier('a', known=5), copier('b')
        broken.schedule.read_failed(1.0)
        self.assertEqual(
            [broken, second], copies_reading_origin([broken, second])
        )

    def test_a_copy_without_a_manifest_may_read_the_origin(self):
        without_manifest = Copier(
            'a', 1.0, chunks.uniform, random.Random(1), 0.0
        )
        self.assertEqual(
            [without_manifest],
            copies_reading_origin([without_manifest, copier('b')]),
        )


class CopiesRequestingChunksTest(unittest.TestCase):
    def test_a_later_copy_waits_while_peers_hold_chunks_of_the_first(self):
        """Copies are limited by the peers' uplinks, which both would use."""
        first, second = copier('a', known=3), copier('b', known=3)
        self.assertEqual(
            [first], copies_requesting_chunks([first, second], 0.0)
        )
        first = copier('a')
        self.assertEqual(
            [first, second], copies_requesting_chunks([first, second], 0.0)
        )

    def test_peers_that_do_not_send_block_no_other_copy(self):
        first, second = copier('a', known=3), copier('b', known=3)
        first.request_refused('p', 0, sources.MIN_AVOID_S, 0.0)
        self.assertEqual(
            [first, second], copies_requesting_chunks([first, second], 0.5)
        )


class ReadersTest(unittest.TestCase):
    """The order of readers is computed once for each set of hosts."""

    def setUp(self):
        self.readers = mock.Mock(side_effect=sources.reader_group)
        own = Member('a', 'agent', '127.0.0.1', 1, Place('z', 'r', ''))
        inbox = queue.Queue()
        rng = random.Random(1)
        self.copies = CopyManager(
            own,
            WeightsSource(mock.Mock(), mock.Mock()),
            Bandwidth(1e6, 1e6, 0.0),
            Peers(own, mock.Mock(), inbox, rng),
            inbox,
            DEFAULT_POLICY._replace(readers=self.readers),
            rng,
            0.0,
        )

    def set_hosts(self, *hosts):
        target = Target('model', 'story', '1', 'x', '', False, 1.0, 1.0)
        self.copies.set_targets([target], {'x': hosts}, 0.0)
        return self.copies._copiers['x'].schedule._readers.names

    def test_the_same_hosts_are_ordered_once(self):
        """Each step sets them, and each order takes a hash of each host."""
        self.assertEqual(self.set_hosts('a', 'b'), self.set_hosts('a', 'b'))
        self.assertEqual(1, self.readers.call_count)

    def test_changed_hosts_are_noticed(self):
        """A reader that has left would never read its chunks."""
        self.set_hosts('a', 'b')
        self.assertEqual({'a', 'c'}, set(self.set_hosts('a', 'c')))
