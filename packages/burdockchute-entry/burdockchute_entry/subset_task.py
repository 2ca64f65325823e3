"""The task that chooses which agents this entry links to.

The choice takes about a second of processor time on the largest site. It is
made in small steps, so that requests are handled meanwhile, and only when the
members or the table have changed.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import queue

from burdockchute import logs
from burdockchute.decisions.subset import Subset
from burdockchute.model.changes import MembersChanged
from burdockchute.model.changes import TableChanged
from burdockchute.model.table import EMPTY_TABLE
from burdockchute.model.table import Table

# About 5 ms of work on the largest site, followed by as much time for the rest
# of the process.
AGENTS_PER_STEP = 25
PAUSE_S = 0.005


class SubsetTask:
    """Owns the choice; `publish` gets the agents' names when it changes."""

    def __init__(
        self, own_name: str, publish: Callable[[frozenset[str]], None]
    ) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self._subset = Subset(own_name)
        self._table: Table = EMPTY_TABLE
        self._chosen: frozenset[str] = frozenset()
        self._publish = publish

    def run(self) -> None:
        """Handle messages forever."""
        while True:
            self._apply(self.inbox.get())
            while not self.inbox.empty():
                self._apply(self.inbox.get())
            self._choose()

    def _apply(self, event: TableChanged | MembersChanged) -> None:
        if isinstance(event, TableChanged):
            self._table = event.table
        else:
            self._subset.set_members(event.members)

    def _choose(self) -> None:
        while not self._subset.step(AGENTS_PER_STEP):
            gevent.sleep(PAUSE_S)
        chosen = self._subset.wanted(
            self._table, lambda: gevent.sleep(PAUSE_S)
        )
        if chosen != self._chosen:
            self._chosen = frozenset(chosen)
            logs.event('subset_chosen', agents=len(chosen))
            self._publish(self._chosen)
