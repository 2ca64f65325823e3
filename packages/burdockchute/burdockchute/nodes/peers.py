"""Links to agents that a process wants to have, dialled until they are."""

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
# News of weights that this instance doesn't host yet is kept, as a table may
# reach a peer first; for so many digests of each peer.
MAX_KEPT_HAVES = 16


class DialResult(NamedTuple):
    """An attempt to open a link to a peer has ended."""

    name: str
    link: links.Link | None


class PeerLink:
    """One open link and what came on it about weights."""

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
        """Remember the newest news of a digest."""
        self.haves.pop(have.digest, None)
        self.haves[have.digest] = have
        while len(self.haves) > MAX_KEPT_HAVES:
            self.haves.popitem(last=False)


class _Redial:
    def __init__(self) -> None:
        self.dialling = False
        self.failures = 0
        self.not_before = 0.0


class Peers:
    """Dials the wanted peers and keeps one link to each."""

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
        self._redials: dict[str, _Redial] = {}
        self._dialled: set[links.Link] = set()

    def set_wanted(self, wanted: Mapping[str, Member]) -> None:
        """Say with whom a link is wanted; others may still dial us.

        For each of them that is not linked yet, a link that is not wanted
        any more stays.
        """
        self._wanted = dict(wanted)
        for name in set(self._redials) - set(wanted):
            del self._redials[name]
        self._close_surplus()

    def expected(self) -> set[str]:
        """Give who is linked or is yet to be, as far as one can tell."""
        return (set(self._wanted) | set(self.links)) - self.unreachable()

    def unreachable(self) -> frozenset[str]:
        """Give the wanted peers that the last try has not reached."""
        return frozenset(
            name
            for name, redial in self._redials.items()
            if redial.failures and name not in self.links
        )

    def reset_backoff(self) -> None:
        """Forget earlier failures and dial everyone who is wanted now."""
        for redial in self._redials.values():
            redial.failures = 0
            redial.not_before = 0.0

    def on_opened(self, link: links.Link) -> PeerLink | None:
        """Take a new link; None if it is the second to the same process."""
        peer = PeerLink(link, self._own.place)
        known = self.links.get(peer.name)
        if known is not None:
            same = known.link.peer.incarnation == link.peer.incarnation
            if same and not self._goes_first(link, known.link):
                link.close('duplicate')
                return None
            known.link.close('duplicate')
        self.links[peer.name] = peer
        return peer

    def on_closed(self, link: links.Link) -> str | None:
        """Forget a link; its peer's name if no other link is left to it."""
        self._dialled.discard(link)
        known = self.links.get(link.peer.name)
        if known is None or known.link is not link:
            return None
        del self.links[link.peer.name]
        return known.name

    def find_by_link(self, link: links.Link) -> PeerLink | None:
        """Give what is kept of an open link."""
        known = self.links.get(link.peer.name)
        return known if known is not None and known.link is link else None

    def on_dialled(self, ended: DialResult, now: float) -> None:
        """Note how an attempt to dial ended."""
        redial = self._redials.get(ended.name)
        if redial is None:
            return
        redial.dialling = False
        if ended.link is not None:
            redial.failures = 0
            return
        redial.failures += 1
        wait = min(MIN_REDIAL_S * 2**redial.failures, MAX_REDIAL_S)
        redial.not_before = now + wait * (0.5 + 0.5 * self._rng.random())

    def tick(self, now: float) -> None:
        """Dial who is wanted and not there, close what they replace."""
        self._close_surplus()
        for name, member in self._wanted.items():
            redial = self._redials.setdefault(name, _Redial())
            if name in self.links or redial.dialling:
                continue
            if now >= redial.not_before:
                redial.dialling = True
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
            and peer.link in self._dialled
            and not peer.link.closed_reason
        ]
        missing = self._wanted.keys() - self.links.keys()
        for link in surplus[len(missing) :]:
            link.close('no longer wanted')

    def _dial(self, member: Member) -> None:
        hello = self._hello()
        try:
            link = links.dial(
                member.address,
                member.port,
                hello,
                self._inbox,
                lambda: hello.table_offset,
            )
        except links.LinkError:
            self._inbox.put(DialResult(member.name, None))
            return
        self._dialled.add(link)
        self._inbox.put(DialResult(member.name, link))

    def _goes_first(self, link: links.Link, known: links.Link) -> bool:
        ours = link in self._dialled
        if ours == (known in self._dialled):
            # The side that dials dials again only once it has lost the link
            # that we still hold for good.
            return True
        # Both sides dialled at once. Each must keep the same of the two
        # links, or both would be closed: the one dialled by the first name.
        return ours == (self._own.name < link.peer.name)
