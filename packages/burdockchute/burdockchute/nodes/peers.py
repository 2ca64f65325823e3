"""Keeps a link open to each agent that a process wants to be linked to.

Failed dials are repeated with a growing delay. Of two links to the same
process one is closed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import NamedTuple

import gevent
from gevent import queue

from burdockchute.decisions.neighbours import distance
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.nodes import links
from burdockchute.wire import messages

MIN_REDIAL_S = 0.25
MAX_REDIAL_S = 5.0
# Announcements of weights that this instance doesn't host yet are kept, since
# a peer may receive the table earlier. The limit counts digests per peer.
MAX_KEPT_HAVES = 16


class DialResult(NamedTuple):
    """The result of a dial to a peer; `link` is None if it failed."""

    name: str
    link: links.Link | None


class PeerLink:
    """One open link and the weights that its peer has announced."""

    def __init__(self, link: links.Link, own: Place) -> None:
        self.link = link
        self.name: str = link.peer.name
        place = Place(link.peer.zone, link.peer.region, '')
        self.distance = distance(own, place)
        self.haves: OrderedDict[str, messages.Have] = OrderedDict()

    def send(self, message: object) -> bool:
        """Queue a message; False if the link is closed."""
        try:
            self.link.send(message)
        except links.LinkError:
            return False
        return True

    def record_have(self, have: messages.Have) -> None:
        """Keep the newest announcement of a digest."""
        self.haves.pop(have.digest, None)
        self.haves[have.digest] = have
        while len(self.haves) > MAX_KEPT_HAVES:
            self.haves.popitem(last=False)


class _DialState:
    def __init__(self) -> None:
        self.dialling = False
        self.failures = 0
        self.not_before = 0.0


class Peers:
    """Dials the wanted peers and keeps one link to each of them."""

    def __init__(
        self,
        own: Member,
        hello: Callable[[], messages.Hello],
        inbox: queue.Queue,
        rng: random.Random,
    ) -> None:
        self.links: dict[str, PeerLink] = {}
        self._own = own
        self._hello = hello
        self._inbox = inbox
        self._rng = rng
        self._wanted: dict[str, Member] = {}
        self._dial_states: dict[str, _DialState] = {}
        self._outbound: set[links.Link] = set()

    def set_wanted(self, wanted: Mapping[str, Member]) -> None:
        """Replace the peers to dial; other processes may still dial this one.

        For each wanted peer that is not linked yet, one link that is no
        longer wanted stays open.
        """
        self._wanted = dict(wanted)
        for name in set(self._dial_states) - set(wanted):
            # A dial in progress is not repeated if the peer is wanted again.
            if not self._dial_states[name].dialling:
                del self._dial_states[name]
        self._close_surplus()

    def expected(self) -> set[str]:
        """Return the peers that are linked, or may still be reached."""
        return (set(self._wanted) | set(self.links)) - self.unreachable()

    def unreachable(self) -> frozenset[str]:
        """Return the wanted peers that the last dial did not reach."""
        return frozenset(
            name
            for name, dial_state in self._dial_states.items()
            if dial_state.failures
            and name in self._wanted
            and name not in self.links
        )

    def reset_backoff(self) -> None:
        """Forget earlier failures, so that the next tick dials every peer."""
        for dial_state in self._dial_states.values():
            dial_state.failures = 0
            dial_state.not_before = 0.0

    def on_opened(self, link: links.Link) -> PeerLink | None:
        """Add a link; None if it was closed as a duplicate."""
        peer = PeerLink(link, self._own.place)
        current = self.links.get(peer.name)
        if current is not None:
            same = current.link.peer.incarnation == link.peer.incarnation
            if same and not self._supersedes(link, current.link):
                link.close('duplicate')
                return None
            current.link.close('duplicate')
        self.links[peer.name] = peer
        return peer

    def on_closed(self, link: links.Link) -> str | None:
        """Remove a link; return its peer's name if no other link is left."""
        self._outbound.discard(link)
        current = self.links.get(link.peer.name)
        if current is None or current.link is not link:
            return None
        del self.links[link.peer.name]
        return current.name

    def find_by_link(self, link: links.Link) -> PeerLink | None:
        """Return the peer of a link, None if that has another link now."""
        current = self.links.get(link.peer.name)
        return (
            current if current is not None and current.link is link else None
        )

    def on_dialled(self, result: DialResult, now: float) -> None:
        """Record the result of a dial."""
        dial_state = self._dial_states.get(result.name)
        if dial_state is None:
            return
        dial_state.dialling = False
        if result.name not in self._wanted:
            del self._dial_states[result.name]
            return
        if result.link is not None:
            dial_state.failures = 0
            return
        dial_state.failures += 1
        backoff_s = min(MIN_REDIAL_S * 2**dial_state.failures, MAX_REDIAL_S)
        dial_state.not_before = now + backoff_s * (
            0.5 + 0.5 * self._rng.random()
        )

    def tick(self, now: float) -> None:
        """Dial the wanted peers without a link, and close surplus links."""
        self._close_surplus()
        for name, member in self._wanted.items():
            dial_state = self._dial_states.setdefault(name, _DialState())
            if name in self.links or dial_state.dialling:
                continue
            if now >= dial_state.not_before:
                dial_state.dialling = True
                gevent.spawn(self._dial, member)

    def close_all(self) -> None:
        """Close every link."""
        for peer in list(self.links.values()):
            peer.link.close('agent ends')

    def _close_surplus(self) -> None:
        surplus = [
            peer.link
            for name, peer in self.links.items()
            if name not in self._wanted
            and peer.link in self._outbound
            and not peer.link.closed_reason
        ]
        missing = self._wanted.keys() - self.links.keys()
        for link in surplus[len(missing) :]:
            link.close('no longer wanted')

    def _dial(self, member: Member) -> None:
        hello = self._hello()
        link = None
        try:
            link = links.dial(
                member.address,
                member.port,
                hello,
                self._inbox,
                lambda: hello.table_offset,
            )
            self._outbound.add(link)
        except links.LinkError:
            pass
        finally:
            # Without a result, the peer would count as being dialled for ever.
            self._inbox.put(DialResult(member.name, link))

    def _supersedes(self, link: links.Link, current: links.Link) -> bool:
        is_outbound = link in self._outbound
        if is_outbound == (current in self._outbound):
            # The same side dialled both. It dials again only after it has
            # lost the other link, even if that still looks open here.
            return True
        # Both sides dialled at once. Both must keep the same link, or both
        # links would be closed: the one that the lower name has dialled.
        return is_outbound == (self._own.name < link.peer.name)
