"""Load reports to the entries, from what the engine beside says."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import copy
import time

import gevent

from burdockchute.decisions.versions import History
from burdockchute.model.beliefs import Beliefs
from burdockchute.nodes import links
from burdockchute.nodes.wishes_news import news_of
from burdockchute.wire import messages
from burdockchute_agent.staged.origins import copy_name
from burdockchute_agent.staged.staged_task import StagedTask

# A change of load is told this often. Six entries at ten reports a second
# each take two hundredths of an engine's thin link.
REPORT_S = 0.15

# A report costs each entry a wake-up; what has not changed is told this
# often, well within the time for which entries believe it.
IDLE_REPORT_S = 1.8

OPEN = 'open'

# Closing and opening times are told in steps of this; -1 stands for none.
CLOSING_STEP_S = 0.25
NEVER = -1


class ReportsTask:
    """Tells each entry what changed; `entries` are the links to them."""

    def __init__(
        self,
        staged: StagedTask,
        slots: Callable[[], int],
        beliefs: Callable[[], Beliefs],
        name: str,
    ) -> None:
        self.entries: dict[links.Link, None] = {}
        self._staged = staged
        self._slots = slots
        self._beliefs = beliefs
        self._told_histories: Mapping[str, History] = {}
        self._name = name
        self._told: messages.LoadReport | None = None
        self._told_at = 0.0

    def run(self) -> None:
        """Report for ever."""
        while True:
            self.tell(time.monotonic())
            gevent.sleep(REPORT_S)

    def opened(self, link: links.Link) -> None:
        """Take a new link to an entry, and tell it all at once."""
        self.entries[link] = None
        report = self.current()
        beliefs = self._beliefs()
        report.named = news_of(beliefs.histories, time.monotonic())
        report.configuration = beliefs.newest_configuration()
        self._send_frame(link, links.frame_of(report))

    def closed(self, link: links.Link) -> None:
        """Forget a link."""
        self.entries.pop(link, None)

    def give_back(self, link: links.Link, probe: messages.LinkProbe) -> None:
        """Return an entry's probe of its link."""
        self._send_frame(link, links.frame_of(probe))

    def hand_on(
        self, link: links.Link, news: messages.CrashNews | messages.LinkNews
    ) -> None:
        """Tell all other entries what one has said."""
        frame = links.frame_of(news)
        for other in list(self.entries):
            if other is not link:
                self._send_frame(other, frame)

    def current(self) -> messages.LoadReport:
        """Give the report as of now."""
        report = self._staged.report
        in_hand = report.running + report.waiting if report else 0
        return messages.LoadReport(
            instance=self._name,
            running=in_hand,
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
        )

    def _opens_in_ms(self) -> int | None:
        # Left out where it serves, so that reports in quiet grow by nothing.
        opens_in_s = self._staged.opens_in_s()
        return None if opens_in_s is None else _milliseconds(opens_in_s)

    def tell(self, now: float) -> None:
        """Tell all entries what has changed by now."""
        current = self.current()
        histories = self._beliefs().histories
        is_news = histories != self._told_histories
        is_due = current != self._told or now - self._told_at >= IDLE_REPORT_S
        if not is_news and not is_due:
            return
        self._told = current
        self._told_at = now
        self._told_histories = histories
        if is_news:
            # What was told is kept without ages, which are no change.
            current = copy.copy(current)
            current.named = news_of(histories, now)
        frame = links.frame_of(current)
        for link in list(self.entries):
            self._send_frame(link, frame)

    def _send_frame(self, link: links.Link, frame: bytes) -> None:
        try:
            link.send_frame(frame)
        except links.LinkError:
            # Its closing is on its way in the inbox.
            self.closed(link)


def _milliseconds(seconds: float | None) -> int:
    if seconds is None:
        return NEVER
    # Rounded, as a report that has not changed isn't sent again.
    return int(seconds / CLOSING_STEP_S) * int(CLOSING_STEP_S * 1000)
