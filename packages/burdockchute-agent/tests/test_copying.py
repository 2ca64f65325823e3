"""In which order copies read the origin and ask peers."""

from __future__ import annotations

import random
import unittest

from burdockchute.decisions import chunks
from burdockchute.decisions import sources
from burdockchute.weights import manifest as manifests
from burdockchute.wire import messages
from burdockchute_agent.copier import Copier
from burdockchute_agent.copy_manager import copies_reading_origin
from burdockchute_agent.copy_manager import copies_requesting_chunks

CONTENT = bytes(range(80))


def copier(digest, known=0):
    """Give a copy of eight chunks, of which a peer holds some."""
    made = Copier(
        digest, 1.0, chunks.rarest_from_least_loaded, random.Random(1), 0.0
    )
    made.manifest_received(manifests.build(digest, CONTENT, 10), 0.0)
    bitmap = bytes([(1 << known) - 1])
    have = messages.Have(digest, bitmap, 0, True, 0, False)
    made.have_received('p', 0, have, 0.0)
    return made


class ReadingTest(unittest.TestCase):
    def test_one_copy_reads_the_origin_at_a_time(self):
        """Two that share it are both without their last chunks for longer."""
        first, second = copier('a'), copier('b')
        self.assertEqual([first], copies_reading_origin([first, second]))

    def test_one_that_is_half_out_goes_first(self):
        """The origin may fail before it has given out a newer one."""
        newest, older = copier('b'), copier('a', known=5)
        self.assertEqual([older], copies_reading_origin([newest, older]))

    def test_the_next_one_follows_when_each_chunk_is_out(self):
        out, second = copier('a', known=8), copier('b')
        self.assertEqual([out, second], copies_reading_origin([out, second]))

    def test_a_copy_whose_reads_fail_holds_up_no_other(self):
        """Its chunks are corrupt at the origin, or it gives them no more."""
        broken, second = copier('a', known=5), copier('b')
        broken.schedule.read_failed(1.0)
        self.assertEqual(
            [broken, second], copies_reading_origin([broken, second])
        )

    def test_a_copy_without_a_manifest_is_read_for(self):
        fresh = Copier('a', 1.0, chunks.uniform, random.Random(1), 0.0)
        self.assertEqual([fresh], copies_reading_origin([fresh, copier('b')]))


class AskingTest(unittest.TestCase):
    def test_a_later_copy_asks_once_peers_hold_no_more_of_the_first(self):
        """Uplinks of the fleet are what copies wait for."""
        first, second = copier('a', known=3), copier('b', known=3)
        self.assertEqual(
            [first], copies_requesting_chunks([first, second], 0.0)
        )
        first = copier('a')
        self.assertEqual(
            [first, second], copies_requesting_chunks([first, second], 0.0)
        )

    def test_peers_that_do_not_send_hold_up_no_other_copy(self):
        first, second = copier('a', known=3), copier('b', known=3)
        first.request_refused('p', 0, sources.MIN_AVOID_S, 0.0)
        self.assertEqual(
            [first, second], copies_requesting_chunks([first, second], 0.5)
        )


if __name__ == '__main__':
    unittest.main()
