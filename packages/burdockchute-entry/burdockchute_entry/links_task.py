"""Links of an entry: to the agents it places work on and to other entries.

This task polls the platform's instance list, dials agents, and dispatches the
messages received over the links. Messages of agents go to the router; messages
of other entries go to the handler for their type. Each agent is sent the rows
it lacks and the members it may copy from.

An entry dials another only when it has a message for it. A full mesh of 360
entries would need more traffic for heartbeats than the budget of the control
plane allows.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from functools import partial
import random
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import queue

from burdockchute import logs
from burdockchute import tasks
from burdockchute.decisions import membership
from burdockchute.decisions.membership import LinkReport
from burdockchute.decisions.membership import Membership
from burdockchute.model import table as tables
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.nodes import links
from burdockchute.platform.instances import InstanceList
from burdockchute.wire import messages
from burdockchute_entry import instance_polling
from burdockchute_entry.instance_polling import Tick
from burdockchute_entry.subset_task import SubsetTask

# An instance that refuses connections has died or not yet started. One dial
# per interval finds it soon, without a connection storm from all entries.
REDIAL_S = 0.5

# Changes of the list within this time, as when a zone fails, are sent to
# agents in one message.
MEMBERS_DELAY_S = 0.2

# Interval at which agents are sent the age of the rows: a tenth of the age
# that an operator would act on, at some 30 bytes per second and link. It is
# shorter than the heartbeat interval, so that the link needs no heartbeats.
AGE_INTERVAL_S = 1.5

# An entry that cannot read the log asks this many others for the table. If
# each asked all others, an outage would cost the square of the number of
# entries.
MAX_PEERS_ASKED = 3


# A link to an agent that is no longer chosen is kept for this long, since the
# instance list may change back, and then until no request uses it.
SURPLUS_KEPT_S = 60.0


class LinkHandlers(NamedTuple):
    """Handlers of events on links.

    `router` gets the events of links to agents; `peers` has a handler for each
    type of message that other entries send; `in_use` tells whether a request
    runs on an instance.
    """

    router: Callable[[Any], None]
    peers: dict[type, Callable[[links.Received], None]]
    in_use: Callable[[str], bool]


class TableSource(NamedTuple):
    """Provides the rows for agents and for other entries."""

    offset: Callable[[], int]
    delta_for: Callable[[int], messages.TableDelta]
    answer: Callable[[int], messages.TableDelta | None]


class _SubsetChanged(NamedTuple):
    names: frozenset[str]


class _Dialled(NamedTuple):
    name: str
    error: str


class _MessageToPeer(NamedTuple):
    name: str
    message: Any


class LinksTask:
    """Owns the links of an entry."""

    def __init__(
        self,
        name: str,
        hello: Callable[[], messages.Hello],
        instance_list: InstanceList,
        table: TableSource,
        handlers: LinkHandlers,
        rng: random.Random,
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.members: tuple[Member, ...] = ()
        self.list_read_at = 0.0
        self._name = name
        self._hello = hello
        self._list = instance_list
        self._table = table
        self._rng = rng
        self._handlers = handlers
        self._links: dict[str, links.Link] = {}
        self._sent_offset: dict[links.Link, int] = {}
        self._dialling: dict[str, float] = {}
        self._unsent: dict[str, list[Any]] = {}
        self._membership = Membership()
        self._link_reports: dict[str, LinkReport] = {}
        self._chosen: frozenset[str] = frozenset()
        self._surplus: dict[str, float] = {}
        self._subset = SubsetTask(
            name, lambda names: self.inbox.put(_SubsetChanged(names))
        )
        self._members_reported: tuple[Member, ...] = ()
        self._members_sent = 0
        self._complete_frame_members: tuple[Member, ...] | None = None
        self._complete_frame = b''
        self._members_due = 0.0
        self._age_due = 0.0

    def run(self) -> None:
        """Handle messages forever."""
        tasks.start_part(
            partial(instance_polling.poll, self._list, self.inbox.put)
        )
        tasks.start_part(self._subset.run)
        while True:
            self._handle(self.inbox.get())

    def send_to(self, name: str, message: Any) -> None:
        """Send a message to another entry, dialling it if there is no link.

        The message is lost if the entry cannot be reached; callers that need
        an answer must set their own deadline.
        """
        self.inbox.put(_MessageToPeer(name, message))

    def ask_peers(self, known_offset: int) -> None:
        """Ask some other entries for a table newer than `known_offset`."""
        entries = [
            member.name
            for member in self.members
            if member.role == 'entry' and member.name != self._name
        ]
        count = min(MAX_PEERS_ASKED, len(entries))
        for name in self._rng.sample(entries, count):
            self.send_to(name, messages.TableRequest(known_offset))

    def agent_links(self) -> list[links.Link]:
        """Return the open links to agents."""
        return [
            link for link in self._links.values() if link.peer.role == 'agent'
        ]

    def _handle(self, event: Any) -> None:
        handlers: dict[type, Callable[[Any], None]] = {
            Tick: self._on_tick,
            _SubsetChanged: self._on_subset,
            _Dialled: self._on_dialled,
            _MessageToPeer: self._on_to_peer,
            TableChanged: self._on_table,
            links.Opened: self._on_opened,
            links.Closed: self._on_closed,
            links.Received: self._on_received,
        }
        handlers[type(event)](event)

    def _on_tick(self, tick: Tick) -> None:
        now = time.monotonic()
        if tick.listed is not None:
            self.list_read_at = now
            self._set_membership(
                membership.on_list(
                    self._membership, tick.listed, self._link_reports, now
                )
            )
        if self._members_due and now >= self._members_due:
            self._send_member_changes()
        if now >= self._age_due:
            self._age_due = now + AGE_INTERVAL_S
            self._send_rows(self.agent_links())
        self._dial_missing(now)
        self._close_surplus(now)

    def _set_membership(self, state: Membership) -> None:
        if state.shrunk_since != self._membership.shrunk_since:
            logs.warn('instance_list_short', kept=len(state.members))
        self._membership = state
        if state.members == self.members:
            return
        self.members = state.members
        self._members_due = time.monotonic() + MEMBERS_DELAY_S
        for publish in (self._handlers.router, self._subset.inbox.put):
            publish(MembersChanged(self.members))

    def _send_member_changes(self) -> None:
        self._members_due = 0.0
        self._members_sent += 1
        added, gone = membership.changes(self._members_reported, self.members)
        self._members_reported = self.members
        message = messages.Members(
            list(instance_polling.agents_on_wire(added)),
            self._members_sent,
            True,
            gone,
        )
        frame = links.encode_frame(message)
        for link in self.agent_links():
            self._send_frame(link, frame)

    def _on_subset(self, changed: _SubsetChanged) -> None:
        self._chosen = changed.names
        self._dial_missing(time.monotonic())

    def _dial_missing(self, now: float) -> None:
        for member in self.members:
            if member.name in self._chosen and member.name not in self._links:
                self._dial(member, now)

    def _close_surplus(self, now: float) -> None:
        members = {member.name for member in self.members}
        surplus: dict[str, links.Link] = {}
        for link in self.agent_links():
            name = link.peer.name
            # Links to agents that are not listed are kept while they work.
            if name in self._chosen or name not in members:
                self._surplus.pop(name, None)
            else:
                surplus[name] = link
        # Chosen agents may be unreachable. Until they are linked, as many
        # surplus links are kept in their place.
        missing = (self._chosen & members) - self._links.keys()
        spare = len(surplus) - len(missing)
        for name, link in surplus.items():
            since = self._surplus.setdefault(name, now)
            if spare <= 0 or now - since <= SURPLUS_KEPT_S:
                continue
            if not self._handlers.in_use(name):
                spare -= 1
                del self._surplus[name]
                link.close('not in the subset of this entry')

    def _dial(self, member: Member, now: float) -> None:
        if now < self._dialling.get(member.name, 0.0):
            return
        self._dialling[member.name] = now + links.DIAL_TIMEOUT_S + REDIAL_S
        gevent.spawn(self._dial_one, member)

    def _dial_one(self, member: Member) -> None:
        error = ''
        try:
            links.dial(
                member.address,
                member.port,
                self._hello(),
                self.inbox,
                self._table.offset,
            )
        except links.LinkError as exc:
            error = str(exc)
        self.inbox.put(_Dialled(member.name, error))

    def _on_dialled(self, dialled: _Dialled) -> None:
        self._dialling[dialled.name] = time.monotonic() + REDIAL_S
        if dialled.error:
            self._unsent.pop(dialled.name, None)
            logs.event(
                'dial_failed', instance=dialled.name, reason=dialled.error
            )

    def _on_to_peer(self, request: _MessageToPeer) -> None:
        link = self._links.get(request.name)
        if link is not None:
            self._send(link, request.message)
            return
        peer = self._member(request.name)
        if peer is not None:
            self._unsent.setdefault(request.name, []).append(request.message)
            self._dial(peer, time.monotonic())

    def _on_table(self, changed: TableChanged) -> None:
        self._subset.inbox.put(changed)
        self._send_rows(self.agent_links())

    def _on_opened(self, event: links.Opened) -> None:
        link = event.link
        logs.event('link_opened', instance=link.peer.name, role=link.peer.role)
        if link.peer.role == 'agent':
            self._agent_opened(event)
        else:
            # Two entries may dial each other at once. Both links are kept,
            # since closing one could lose messages in transit.
            self._links.setdefault(link.peer.name, link)
        for message in self._unsent.pop(link.peer.name, ()):
            self._send(link, message)

    def _agent_opened(self, event: links.Opened) -> None:
        link = event.link
        old: links.Link | None = self._links.get(link.peer.name)
        if old is not None and _is_same_process(old, link):
            # Two dials overlapped, and the older link may carry requests.
            link.close('duplicate')
            return
        self._links[link.peer.name] = link
        self._sent_offset[link] = link.peer.table_offset
        self._send_rows([link])
        self._send_frame(link, self._complete_members_frame())
        self._handlers.router(event)
        if old is not None:
            old.close('replaced by a newer link')

    def _on_closed(self, event: links.Closed) -> None:
        link = event.link
        if self._links.get(link.peer.name) is link:
            del self._links[link.peer.name]
            self._link_reports.pop(link.peer.name, None)
        self._sent_offset.pop(link, None)
        logs.event(
            'link_closed',
            instance=link.peer.name,
            role=link.peer.role,
            reason=event.reason,
        )
        if link.peer.role == 'agent':
            self._handlers.router(event)

    def _on_received(self, event: links.Received) -> None:
        if isinstance(event.message, messages.TableRequest):
            self._answer_table(event.link, event.message)
        elif event.link.peer.role == 'agent':
            if isinstance(event.message, messages.LoadReport):
                self._record_leaving(event.link, event.message.leaving)
            self._handlers.router(event)
        else:
            handler = self._handlers.peers.get(type(event.message))
            if handler is not None:
                handler(event)

    def _record_leaving(self, link: links.Link, leaving: bool) -> None:
        name = link.peer.name
        known = self._link_reports.get(name)
        if self._links.get(name) is not link:
            return
        if known is not None and known.leaving == leaving:
            return
        member = self._member(name)
        if member is not None:
            self._link_reports[name] = LinkReport(member, leaving)
            self._set_membership(
                membership.on_link_reports(
                    self._membership, self._link_reports
                )
            )

    def _answer_table(
        self, link: links.Link, request: messages.TableRequest
    ) -> None:
        if link.peer.role == 'entry':
            answer = self._table.answer(request.known_offset)
        else:
            answer = self._table.delta_for(request.known_offset)
        if answer is not None:
            self._send(link, answer)

    def _send_rows(self, to: Iterable[links.Link]) -> None:
        # A delta is sent even without rows: it has the age of the rows, and
        # advances the agent's offset past records that changed none. Nearly
        # all agents lack the same rows, so each delta is encoded once.
        if self._table.offset() == tables.NO_OFFSET:
            return
        frames: dict[int, bytes] = {}
        for link in to:
            sent = self._sent_offset.get(link, tables.NO_OFFSET)
            if sent not in frames:
                delta = self._table.delta_for(sent)
                frames[sent] = links.encode_frame(delta)
            self._sent_offset[link] = max(sent, self._table.offset())
            self._send_frame(link, frames[sent])

    def _complete_members_frame(self) -> bytes:
        # A megabyte on the largest site; encoded once for all agents that
        # connect between two changes.
        if self._complete_frame_members is not self.members:
            agents = list(instance_polling.agents_on_wire(self.members))
            message = messages.Members(agents, self._members_sent)
            self._complete_frame = links.encode_frame(message)
            self._complete_frame_members = self.members
        return self._complete_frame

    def _member(self, name: str) -> Member | None:
        return next((m for m in self.members if m.name == name), None)

    def _send(self, link: links.Link, message: Any) -> None:
        self._send_frame(link, links.encode_frame(message))

    def _send_frame(self, link: links.Link, frame: bytes) -> None:
        try:
            link.send_frame(frame)
        except links.LinkError:
            # The Closed event of this link is already queued.
            pass


def _is_same_process(old: links.Link, link: links.Link) -> bool:
    same = old.peer.incarnation == link.peer.incarnation
    return same and not old.closed_reason
