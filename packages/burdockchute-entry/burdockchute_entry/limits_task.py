"""Divides customers' limits between the entries; see decisions.limits."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from gevent import queue

from burdockchute import tasks
from burdockchute.decisions import hosting
from burdockchute.decisions import limits
from burdockchute.decisions.limits import Demand
from burdockchute.decisions.limits import Share
from burdockchute.model import table as tables
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.rows import CustomerRow
from burdockchute.model.table import Table
from burdockchute.nodes import links
from burdockchute.wire import messages

PERIOD_S = 1.0

ENTRY = 'entry'


class DemandMeasured(NamedTuple):
    """The demand of each customer at this entry in the last period."""

    demands: Mapping[str, Demand]


class SharesChanged(NamedTuple):
    """For the router: this entry's shares, and the number of entries."""

    shares: Mapping[str, Share]
    entries: int


class _ReportedDemand(NamedTuple):
    demand: Demand
    at: float


class LimitsTask:
    """Handles the messages in `inbox`.

    These are DemandMeasured, TableChanged, MembersChanged and links.Received.
    `publish` gets SharesChanged; `send_to` sends a message to another entry.
    """

    def __init__(
        self,
        name: str,
        send_to: Callable[[str, Any], None],
        publish: Callable[[SharesChanged], None],
        now: Callable[[], float],
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._name = name
        self._send_to = send_to
        self._publish = publish
        self._now = now
        self._table: Table = tables.EMPTY_TABLE
        self._entries = [name]
        self._reported: dict[str, dict[str, _ReportedDemand]] = {}
        self._shares: dict[str, Share] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            DemandMeasured: self._demand_measured,
            TableChanged: self._table_changed,
            MembersChanged: self._members_changed,
            links.Received: self._received,
        }

    def run(self) -> None:
        """Handle messages forever."""
        tasks.process_inbox(
            self.inbox, self.handle, self.tick, PERIOD_S, self._now
        )

    def handle(self, event: Any) -> None:
        """Handle one message."""
        self._handlers[type(event)](event)

    def tick(self) -> None:
        """Divide the limits of the customers that this entry owns."""
        now = self._now()
        replies: dict[str, list[messages.Share]] = {}
        for customer in list(self._reported):
            for entry, share in self._divide(customer, now).items():
                replies.setdefault(entry, []).append(share)
        for entry, shares in replies.items():
            if entry == self._name:
                self._apply_shares(shares)
            else:
                self._send_to(entry, messages.ShareReport(shares))
        self._expire_shares(now)

    def _divide(self, customer: str, now: float) -> dict[str, messages.Share]:
        recent = {
            entry: reported
            for entry, reported in self._reported[customer].items()
            if now - reported.at <= limits.SHARE_VALID_S
        }
        row = tables.find_row(self._table, CustomerRow, customer)
        if not recent or row is None:
            del self._reported[customer]
            return {}
        self._reported[customer] = recent
        entries = len(self._entries)
        requests = limits.divide(
            row.requests_per_s,
            {e: r.demand.requests_per_s for e, r in recent.items()},
            entries,
        )
        tokens = limits.divide(
            row.tokens_per_s,
            {e: r.demand.tokens_per_s for e, r in recent.items()},
            entries,
        )
        return {
            entry: messages.Share(customer, requests[entry], tokens[entry])
            for entry in recent
        }

    def _demand_measured(self, event: DemandMeasured) -> None:
        reports: dict[str, list[messages.Demand]] = {}
        for customer, demand in event.demands.items():
            owner = hosting.ranked(f'limit/{customer}', self._entries)[0]
            reports.setdefault(owner, []).append(
                messages.Demand(customer, *demand)
            )
        for entry, demands in reports.items():
            if entry == self._name:
                self._record_demands(entry, demands)
            else:
                self._send_to(entry, messages.DemandReport(demands))

    def _received(self, event: links.Received) -> None:
        message = event.message
        if isinstance(message, messages.DemandReport):
            self._record_demands(event.link.peer.name, message.demands)
        elif isinstance(message, messages.ShareReport):
            self._apply_shares(message.shares)

    def _record_demands(
        self, entry: str, demands: list[messages.Demand]
    ) -> None:
        now = self._now()
        for demand in demands:
            found = Demand(demand.requests_per_s, demand.tokens_per_s)
            reported = self._reported.setdefault(demand.customer, {})
            reported[entry] = _ReportedDemand(found, now)

    def _apply_shares(self, shares: list[messages.Share]) -> None:
        now = self._now()
        for share in shares:
            self._shares[share.customer] = Share(
                share.requests_per_s, share.tokens_per_s, now
            )
        self._publish_shares()

    def _expire_shares(self, now: float) -> None:
        kept = {
            customer: share
            for customer, share in self._shares.items()
            if now - share.at <= limits.SHARE_VALID_S + limits.SHARE_FADE_S
        }
        if len(kept) != len(self._shares):
            self._shares = kept
            self._publish_shares()

    def _publish_shares(self) -> None:
        self._publish(SharesChanged(dict(self._shares), len(self._entries)))

    def _table_changed(self, event: TableChanged) -> None:
        self._table = event.table

    def _members_changed(self, event: MembersChanged) -> None:
        live = {
            m.name for m in event.members if m.role == ENTRY and not m.leaving
        }
        self._entries = sorted(live | {self._name})
        self._publish_shares()
