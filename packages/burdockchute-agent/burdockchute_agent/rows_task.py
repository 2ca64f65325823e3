"""Rows and members as reported by the entries connected to this agent.

Several entries send them, each with a view of a different age. Rows only
move to a higher offset: older rows, of an entry that was paused and resumes,
are ignored, and the log event `delta_ignored` names that entry. Of members
the agent keeps the latest view of each entry and merges these views.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Any

from gevent import queue
from opentelemetry import metrics as otel
from returns.result import Failure

from burdockchute import logs
from burdockchute import metrics
from burdockchute.model import deltas
from burdockchute.model import findings
from burdockchute.model import table as tables
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.members import Member
from burdockchute.model.members import Place
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages

Publish = Callable[[TableChanged | MembersChanged], None]


class RowsTask:
    """Owns the agent's table and its view of members."""

    def __init__(
        self, publish: Publish, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.table: Table = tables.EMPTY_TABLE
        self.members: tuple[Member, ...] = ()
        self._publish = publish
        self._clock = clock
        self._confirmed_at: float | None = None
        self._views: dict[links.Link, tuple[Member, ...]] = {}

    def run(self) -> None:
        """Handle messages until killed."""
        metrics.meter().create_observable_gauge(
            'burdockchute.table.age', [self._observe_age], 's'
        )
        while True:
            self.handle(self.inbox.get())

    def handle(self, event: links.Event) -> None:
        """Handle one event of a link with an entry."""
        if isinstance(event, links.Closed):
            self._drop_view(event.link)
        elif isinstance(event, links.Received):
            self._handle_message(event.link, event.message)

    def _handle_message(self, link: links.Link, message: Any) -> None:
        if isinstance(message, messages.TableDelta):
            self._apply(link, message)
        elif isinstance(message, messages.Members):
            self._update_view(link, message)
            self._merge_views()

    def age_s(self) -> float | None:
        """Return the seconds since an entry confirmed these rows as newest.

        None if no entry has.
        """
        if self._confirmed_at is None:
            return None
        return self._clock() - self._confirmed_at

    def _observe_age(
        self, _options: otel.CallbackOptions
    ) -> list[otel.Observation]:
        age_s = self.age_s()
        return [] if age_s is None else [otel.Observation(age_s)]

    def _update_age(self, delta: messages.TableDelta) -> None:
        if delta.to_offset != self.table.offset or delta.age_ms is None:
            return
        confirmed_at = self._clock() - delta.age_ms / 1000
        self._confirmed_at = max(
            confirmed_at, self._confirmed_at or confirmed_at
        )

    def _apply(self, link: links.Link, delta: messages.TableDelta) -> None:
        self._apply_rows(link, delta)
        self._update_age(delta)

    def _apply_rows(
        self, link: links.Link, delta: messages.TableDelta
    ) -> None:
        if delta.to_offset <= self.table.offset:
            if delta.rows and delta.to_offset < self.table.offset:
                logs.event(
                    'delta_ignored',
                    entry=link.peer.name,
                    offset=delta.to_offset,
                    held=self.table.offset,
                )
            return
        result = deltas.apply_delta(self.table, delta)
        if isinstance(result, Failure):
            logs.warn(
                'delta_refused',
                entry=link.peer.name,
                reason=str(result.failure()),
            )
            _request_full_table(link)
            return
        applied = result.unwrap()
        for finding in applied.findings:
            logs.warn('row_finding', finding=findings.render(finding))
        if applied.table.offset <= self.table.offset:
            return
        self.table = applied.table
        logs.event(
            'table_applied', offset=self.table.offset, entry=link.peer.name
        )
        self._publish(TableChanged(self.table))

    def _update_view(
        self, link: links.Link, message: messages.Members
    ) -> None:
        members = {member.name: member for member in self._views.get(link, ())}
        if not message.changes_only:
            members.clear()
        for member in message.members:
            members[member.name] = _member_of(member)
        for name in message.gone or ():
            members.pop(name, None)
        self._views[link] = tuple(members.values())

    def _drop_view(self, link: links.Link) -> None:
        # The last view is kept, so that an agent without entries still knows
        # its peers and can finish a copy.
        if link in self._views and len(self._views) > 1:
            del self._views[link]
            self._merge_views()

    def _merge_views(self) -> None:
        members = merge_views(self._views.values())
        if members != self.members:
            self.members = members
            self._publish(MembersChanged(members))


def merge_views(
    views: Iterable[tuple[Member, ...]],
) -> tuple[Member, ...]:
    """Merge views; a member is leaving if any view marks it as leaving."""
    merged: dict[str, Member] = {}
    for view in views:
        for member in view:
            known = merged.get(member.name)
            leaving = member.leaving or (known is not None and known.leaving)
            merged[member.name] = member._replace(leaving=leaving)
    return tuple(merged[name] for name in sorted(merged))


def _member_of(member: messages.Member) -> Member:
    return Member(
        member.name,
        'agent',
        member.address,
        member.port,
        Place(member.zone, member.region, member.pool),
        member.leaving,
    )


def _request_full_table(link: links.Link) -> None:
    try:
        link.send(messages.TableRequest(tables.NO_OFFSET))
    except links.LinkError:
        pass
