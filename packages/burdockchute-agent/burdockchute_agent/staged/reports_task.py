"""Load reports to the entries, made of the reports of the local engine."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import copy
import time

import gevent

from burdockchute.decisions import engine_speed
from burdockchute.decisions.versions import History
from burdockchute.model.known_state import KnownState
from burdockchute.nodes import links
from burdockchute.nodes.desired_state import encode_versions
from burdockchute.wire import messages
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.staged_task import StagedTask

# Minimum interval between reports of changed load. Ten reports a second to
# each of six entries take 2% of an engine's narrow link.
REPORT_INTERVAL_S = 0.15

# Interval between reports without changes. Each report wakes up the entry;
# this is well below the time for which entries consider a report valid.
IDLE_REPORT_INTERVAL_S = 1.8

OPEN = 'open'

# Closing and opening times are rounded down to multiples of this.
FORECAST_STEP_S = 0.25
# Value on the wire for an engine that isn't expected to close.
NEVER = -1


class ReportsTask:
    """Sends changed reports to each entry; `entries` are their links."""

    def __init__(
        self,
        staged: StagedTask,
        slots: Callable[[], int],
        known_state: Callable[[], KnownState],
        name: str,
    ) -> None:
        self.entries: dict[links.Link, None] = {}
        self._staged = staged
        self._slots = slots
        self._known_state = known_state
        self._reported_histories: Mapping[str, History] = {}
        self._reported_configuration = 0
        self._name = name
        self._reported: messages.LoadReport | None = None
        self._reported_at = 0.0

    def run(self) -> None:
        """Report until killed."""
        while True:
            self.report_changes(time.monotonic())
            gevent.sleep(REPORT_INTERVAL_S)

    def opened(self, link: links.Link) -> None:
        """Add a new link to an entry and send the full state over it."""
        self.entries[link] = None
        report = self.current_report()
        known_state = self._known_state()
        report.named = encode_versions(known_state.histories, time.monotonic())
        report.configuration = known_state.newest_configuration_version()
        self._send_frame(link, links.encode_frame(report))

    def closed(self, link: links.Link) -> None:
        """Remove a link."""
        self.entries.pop(link, None)

    def return_probe(
        self, link: links.Link, probe: messages.LinkProbe
    ) -> None:
        """Send an entry's probe of its link back unchanged."""
        self._send_frame(link, links.encode_frame(probe))

    def report_store(
        self, link: links.Link, report: messages.StoreReport
    ) -> None:
        """Send what the store has answered for an entry."""
        self._send_frame(link, links.encode_frame(report))

    def forward(
        self, link: links.Link, event: messages.CrashNews | messages.LinkNews
    ) -> None:
        """Forward an event from one entry to all others."""
        frame = links.encode_frame(event)
        for other in list(self.entries):
            if other is not link:
                self._send_frame(other, frame)

    def current_report(self) -> messages.LoadReport:
        """Return the current report."""
        report = self._staged.report
        in_flight = report.running + report.waiting if report else 0
        return messages.LoadReport(
            instance=self._name,
            running=in_flight,
            waiting=report.waiting if report else 0,
            slots=self._slots(),
            tokens_per_s=0.0,
            leaving=False,
            weights=[
                messages.WeightsState(
                    row=f'model/{model}',
                    digest=copy_name(model, version),
                    phase=OPEN,
                    chunks_held=0,
                    chunks_total=0,
                )
                for model, version in self._staged.loaded().items()
            ],
            services=[],
            prefixes=[],
            table_offset=0,
            prefill_tokens_per_s=0,
            entries=max(1, len(self.entries)),
            evicted=[],
            closes_in_ms=_milliseconds(self._staged.closes_in_s()),
            opens_in_ms=self._opens_in_ms(),
            slowness=engine_speed.slowness_to_report(report.slowness)
            if report
            else None,
            memory_free=engine_speed.free_memory_to_report(
                report.memory_used, report.memory_total
            )
            if report
            else None,
            # Omitted while there are none, to keep regular reports small.
            unverified=[
                copy_name(model, version)
                for model, version in self._staged.unverified().items()
            ]
            or None,
            engine_started_ms=report.started_ms if report else None,
        )

    def _opens_in_ms(self) -> int | None:
        # Omitted while the engine serves, to keep regular reports small.
        opens_in_s = self._staged.opens_in_s()
        return None if opens_in_s is None else _milliseconds(opens_in_s)

    def report_changes(self, now: float) -> None:
        """Send all entries a report if it changed or the last one is old."""
        current = self.current_report()
        known_state = self._known_state()
        histories = known_state.histories
        configuration = known_state.newest_configuration_version()
        has_new_versions = histories != self._reported_histories
        has_new_configuration = configuration > self._reported_configuration
        is_due = (
            current != self._reported
            or now - self._reported_at >= IDLE_REPORT_INTERVAL_S
        )
        if not (has_new_versions or has_new_configuration or is_due):
            return
        self._reported = current
        self._reported_at = now
        self._reported_histories = histories
        self._reported_configuration = configuration
        if has_new_versions or has_new_configuration:
            # The stored report has neither, or it would count as changed.
            current = copy.copy(current)
        if has_new_versions:
            current.named = encode_versions(histories, now)
        if has_new_configuration:
            # An entry that the store doesn't answer learns that its own
            # configuration is outdated.
            current.configuration = configuration
        frame = links.encode_frame(current)
        for link in list(self.entries):
            self._send_frame(link, frame)

    def _send_frame(self, link: links.Link, frame: bytes) -> None:
        try:
            link.send_frame(frame)
        except links.LinkError:
            # The event of its closing is still to come in the inbox.
            self.closed(link)


def _milliseconds(seconds: float | None) -> int:
    if seconds is None:
        return NEVER
    # Rounded so that the report stays equal, and isn't sent again, while the
    # estimate changes only slightly.
    return int(seconds / FORECAST_STEP_S) * int(FORECAST_STEP_S * 1000)
