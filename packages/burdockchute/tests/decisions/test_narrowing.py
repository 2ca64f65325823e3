"""Chunks under way to an instance while its link is squeezed."""

from __future__ import annotations

import unittest

from burdockchute.decisions import narrowing
from burdockchute.decisions.narrowing import Arrival
from burdockchute.decisions.narrowing import Window

MOST = 5
CHUNK = 49_152
LINK = 590_000.0
SQUEEZED = 150_000.0
STEP_S = 0.01


class SharedLink:
    """A link on which the chunks under way get equal shares."""

    def __init__(self) -> None:
        self.rate = LINK
        self.left: list[tuple[float, float, str]] = []

    def step(self, now):
        """Carry for one step; gives the chunks that came."""
        if not self.left:
            return []
        share = self.rate * STEP_S / len(self.left)
        sharing = len(self.left)
        left = [(size - share, at, peer) for size, at, peer in self.left]
        self.left = [each for each in left if each[0] > 0]
        return [
            Arrival(peer, (now - at) / sharing / (CHUNK / LINK))
            for size, at, peer in left
            if size <= 0
        ]

    def queue_s(self):
        """Give how long a request stands behind what is under way."""
        return sum(size for size, _at, _peer in self.left) / self.rate


def play(squeeze_from, squeeze_to, until):
    """Keep the window full; gives queue and window over time."""
    link, window = SharedLink(), Window(MOST, MOST)
    seen = []
    asked = 0
    for step in range(int(until / STEP_S)):
        now = step * STEP_S
        link.rate = SQUEEZED if squeeze_from <= now < squeeze_to else LINK
        for arrival in link.step(now):
            window = narrowing.arrived(window, arrival)
        while len(link.left) < window.size:
            asked += 1
            link.left.append((CHUNK, now, f'p{asked % 3}'))
        seen.append((now, link.queue_s(), window.size))
    return seen


class NarrowingTest(unittest.TestCase):
    def test_a_squeezed_link_is_not_filled_with_chunks(self):
        """The link of an engine carries a quarter while a version is copied.

        Five chunks that arrive together hold up every request by 1.6 s, and
        an engine works on answers whose callers have left.
        """
        seen = play(2.0, 9.0, 12.0)
        squeezed = [queue for now, queue, _size in seen if 5.0 < now < 9.0]
        self.assertLess(max(squeezed), 0.4)

    def test_the_link_is_used_again_once_it_is_wide(self):
        seen = play(2.0, 9.0, 12.0)
        self.assertEqual(MOST, seen[-1][2])

    def test_one_slow_sender_narrows_nothing(self):
        """One peer's own link is squeezed; all others send as ever."""
        window = Window(MOST, MOST)
        for _chunk in range(9):
            window = narrowing.arrived(window, Arrival('slow', 20.0))
        self.assertEqual(MOST, window.size)

    def test_slow_chunks_between_fast_ones_narrow_nothing(self):
        window = Window(MOST, MOST)
        for peer, slowness in (
            ('p', 9.0),
            ('q', 1.5),
            ('r', 9.0),
            ('p', 1.5),
        ) * 4:
            window = narrowing.arrived(window, Arrival(peer, slowness))
        self.assertEqual(MOST, window.size)


if __name__ == '__main__':
    unittest.main()
