"""How many chunks may be under way to an instance.

Load: the link of an instance becomes a quarter as wide while a version is
copied to it. Chunks that were asked for of several peers arrive at once and
stand before the link, 1.6 s of it where five of them share 1.2 Mbit/s; live
requests stand behind them, and the closes of those whose callers have left.
The engine works on answers that nobody waits for, and new requests reach it
when their callers are about to leave.

The chunks under way share the link, so that the time from the first byte of
one to its last, by their number, tells how wide the way is. One sender may be
slow by itself; when the last chunks of two senders or more were all slow, it
is our own link. Then one chunk at a time is asked for until chunks are as
fast again as they should be: at a quarter of the link that is 0.3 s before
it. Chunks that we send go out slowly meanwhile (`rates.FLOOR_SHARE`), as the
way out is most likely as narrow, and answers go that way.
"""

from __future__ import annotations

from typing import NamedTuple

# Senders share their own links among several peers and live answers, which
# makes chunks up to twice as slow as our link alone would.
SLOW = 3.0
# At half of its usual width a link still carries one chunk in twice the time.
FAST = 2.0
# One chunk may have met a burst of live requests. On a link of a quarter of
# its width each one takes a second, so waiting for more costs seconds.
EVIDENCE = 2


class Arrival(NamedTuple):
    """A chunk that came.

    `slowness` is 1 for one that took its share of a link of its usual width.
    """

    peer: str
    slowness: float


class Window(NamedTuple):
    """How many chunks may be under way, of `most`, and the last arrivals."""

    size: int
    most: int
    last: tuple[Arrival, ...] = ()


def arrived(window: Window, arrival: Arrival) -> Window:
    """Take in how long a chunk took.

    >>> window = Window(4, 4)
    >>> for peer in ('p', 'q'):
    ...     window = arrived(window, Arrival(peer, 9.0))
    >>> window.size
    1
    """
    last = (*window.last, arrival)[-EVIDENCE:]
    if arrival.slowness < FAST:
        return Window(min(window.size + 1, window.most), window.most, last)
    is_slow = all(each.slowness > SLOW for each in last)
    peers = {each.peer for each in last}
    if is_slow and len(last) == EVIDENCE and len(peers) > 1:
        return Window(1, window.most, last)
    return window._replace(last=last)
